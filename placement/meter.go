package placement

import (
	"math"
	"time"
)

const (
	// meterTime is the time in which a past load loses its weight but for 1/e.
	meterTime = 2 * time.Second
	// meterShare is the weight of the past beside the present.
	meterShare = 0.5
)

// Meter turns an agent's usage into the occupancy that it reports and decides
// by: half the requests of this moment, half their mean over the last seconds.
// The present alone misleads: with a few slots it changes many times before a
// report is used, and an agent that is slow or holds many long connections
// looks idle at every pause. The zero value is ready to use; a Meter belongs to
// one goroutine.
type Meter struct {
	last     time.Time
	requests float64 // at last
	mean     float64
}

// Occupancy returns the occupancy for u. The requests in u are taken to hold
// until the next call: call it when they change, or for each report.
func (m *Meter) Occupancy(now time.Time, u Usage) Occupancy {
	requests := float64(u.SlotsBusy + u.Queue)
	if passed := now.Sub(m.last); passed > 0 {
		m.mean += (m.requests - m.mean) * -math.Expm1(-passed.Seconds()/meterTime.Seconds())
		m.last = now
	}
	m.requests = requests
	return u.occupancy(requests + (m.mean-requests)*meterShare)
}
