package admission

import "time"

// estimateGain is the weight of a new sample in the moving average.
const estimateGain = 0.1

// estimate is an exponential moving average of durations and of their deviation.
type estimate struct {
	mean, dev time.Duration
}

// add adds a sample to the average. The first sample sets it.
func (e *estimate) add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.dev = d, d/2
		return
	}
	diff := d - e.mean
	e.mean += time.Duration(estimateGain * float64(diff))
	e.dev += time.Duration(estimateGain * float64(diff.Abs()-e.dev))
}

// meanOr returns the mean, or def before the first sample.
func (e *estimate) meanOr(def time.Duration) time.Duration {
	if e.mean == 0 {
		return def
	}
	return e.mean
}
