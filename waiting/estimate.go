package waiting

import "time"

const (
	// estimateGain is the weight of a new observation: a tenth reaches nine tenths of a
	// change after 22 observations, and gives the mean of log-normal work with a spread of
	// one half with a standard error of 12 %.
	estimateGain = 0.1
	// DefaultMaxStep bounds an observation, as a multiple of the present mean. Of log-normal
	// work with a spread of one half, 0.13 % takes longer than four times the mean, so the
	// mean of such work is not changed by the bound, while an answer of seconds after a hang
	// raises the mean by three tenths at most.
	DefaultMaxStep = 4
	// startDeviation is the mean deviation relative to the mean of log-normal work with a
	// spread of one half.
	startDeviation = 0.39
	// highDeviations is the number of mean deviations above the mean within which four of
	// five requests are answered if their work is log-normal with a spread of one half.
	highDeviations = 0.87

	// DefaultLowest and DefaultHighest are the bounds of an Estimate without bounds. A mean
	// of 0 could not grow, because an observation is bounded by a multiple of the mean.
	DefaultLowest  = time.Microsecond
	DefaultHighest = 24 * time.Hour
)

// Estimate is the expected time from a request's start to its answer: exponential moving
// averages of the observed times and of their deviation. Create it with NewEstimate.
type Estimate struct {
	lowest, highest time.Duration
	maxStep         float64
	mean, deviation float64 // nanoseconds; a mean of 0 is not known
	count           int
}

// NewEstimate returns an Estimate that is start before the first observation and stays
// within lowest and highest. A start of 0 or less means that nothing is known: Mean and High
// are 0 until the first observation, which is then taken as it is. A lowest or highest of 0
// or less means DefaultLowest or DefaultHighest; a highest below lowest means lowest.
func NewEstimate(start, lowest, highest time.Duration) Estimate {
	if lowest <= 0 {
		lowest = DefaultLowest
	}
	if highest <= 0 {
		highest = DefaultHighest
	}
	e := Estimate{lowest: lowest, highest: max(lowest, highest), maxStep: DefaultMaxStep}
	if start > 0 {
		e.set(start)
	}
	return e
}

// WithMaxStep returns e with observations bounded to step times the present mean; infinite
// means that they are bounded only by the bounds of the estimate. A step that is not above 1
// would keep the mean from growing and means DefaultMaxStep.
func (e Estimate) WithMaxStep(step float64) Estimate {
	if !(step > 1) {
		step = DefaultMaxStep
	}
	e.maxStep = step
	return e
}

// set makes d, within the bounds, the estimate, with the usual deviation.
func (e *Estimate) set(d time.Duration) {
	e.mean = float64(e.bounded(d))
	e.deviation = startDeviation * e.mean
}

// bounded returns d within the bounds of the estimate.
func (e *Estimate) bounded(d time.Duration) time.Duration {
	return min(max(d, e.lowest), e.highest)
}

// Observe adds the time that a request took. The time is bounded to a multiple of the present
// mean and to the bounds of the estimate; a time of 0 or less counts as the lowest.
func (e *Estimate) Observe(took time.Duration) {
	e.count++
	if e.mean == 0 {
		e.set(took)
		return
	}
	d := min(float64(e.bounded(took)), e.maxStep*e.mean)
	diff := d - e.mean
	e.mean += estimateGain * diff
	e.deviation += estimateGain * (max(diff, -diff) - e.deviation)
}

// Mean returns the mean time, or 0 if nothing is known.
func (e *Estimate) Mean() time.Duration { return e.duration(e.mean) }

// High returns the time within which about four of five requests are answered, or 0 if
// nothing is known.
func (e *Estimate) High() time.Duration { return e.duration(e.mean + highDeviations*e.deviation) }

// Count returns the number of observations.
func (e *Estimate) Count() int { return e.count }

// duration converts ns to a duration within the bounds. The comparison before the conversion
// matters: the float64 of the greatest duration is above it and would overflow.
func (e *Estimate) duration(ns float64) time.Duration {
	switch {
	case ns == 0:
		return 0
	case ns >= float64(e.highest):
		return e.highest
	}
	return e.bounded(time.Duration(ns))
}
