package admission

import "time"

// gain is the weight of a new sample in a moving average.
const gain = 0.1

// estimate is a moving average of durations and of their deviation.
type estimate struct {
	mean, dev time.Duration
}

// add takes a sample into the average. The first sample sets it.
func (e *estimate) add(d time.Duration) {
	if e.mean == 0 {
		e.mean, e.dev = d, d/2
		return
	}
	diff := d - e.mean
	e.mean += time.Duration(gain * float64(diff))
	e.dev += time.Duration(gain * float64(diff.Abs()-e.dev))
}

// or returns the mean, or def before the first sample.
func (e *estimate) or(def time.Duration) time.Duration {
	if e.mean == 0 {
		return def
	}
	return e.mean
}
