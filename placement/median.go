package placement

import "math"

const (
	// medianStep is the smallest step of a Median, relative to its value. It bounds the
	// error around the median of steady values.
	medianStep = 0.01
	// medianMaxStep is the largest step, as a natural logarithm.
	medianMaxStep = 0.5
	// medianRun is the number of values in a row on the same side of a Median from which
	// on its step doubles: by chance, one value in 128 ends such a run.
	medianRun = 8
)

// Median is a running median of positive values that has a constant cost per value and
// follows a change of the values by any factor within tens of them. The zero value is ready
// to use. A Median is not safe for concurrent use.
type Median struct {
	log  float64 // natural logarithm of the value
	step float64 // of log
	run  int     // values in a row above (positive) or below (negative); at most medianRun
}

// Add adds a value. Values that are not positive and finite are ignored.
func (m *Median) Add(x float64) {
	if !(x > 0) || math.IsInf(x, 1) {
		return
	}
	log := math.Log(x)
	if m.step == 0 {
		m.log, m.step = log, medianMaxStep
		return
	}
	diff := log - m.log
	if diff == 0 {
		m.run, m.step = 0, max(m.step/2, medianStep)
		return
	}
	side := 1
	if diff < 0 {
		side = -1
	}
	switch {
	case side*m.run < 0:
		m.run, m.step = side, max(m.step/2, medianStep)
	case side*m.run < medianRun:
		m.run += side
	default:
		m.step = min(2*m.step, medianMaxStep)
	}
	m.log += float64(side) * min(math.Abs(diff), m.step)
}

// Value returns the median, or 0 before the first value.
func (m *Median) Value() float64 {
	if m.step == 0 {
		return 0
	}
	return math.Exp(m.log)
}
