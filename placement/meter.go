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
	// failureTime is the time in which failures are forgotten but for 1/e: an
	// agent that nobody sends flows to must be tried again.
	failureTime = 10 * time.Second
	// failureShare is the weight of one request in the share of failures.
	failureShare = 1.0 / 16
	// failureScale is the occupancy of an agent whose requests all fail.
	failureScale = 150
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
	failures float64 // share of recent requests that failed
}

// Done notes a request that the backend server has ended. failed means that it
// gave no answer of its own, such as a refused connection or a timeout, or an
// answer that speaks of the server and not of the request. A server that fails
// at once is always idle: without this it would draw every flow.
func (m *Meter) Done(now time.Time, failed bool) {
	m.settle(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	m.failures += (outcome - m.failures) * failureShare
}

// Occupancy returns the occupancy for u. The requests in u are taken to hold
// until the next call: call it when they change, or for each report.
func (m *Meter) Occupancy(now time.Time, u Usage) Occupancy {
	requests := float64(u.SlotsBusy + u.Queue)
	m.settle(now)
	m.requests = requests
	o := u.occupancy(requests + (m.mean-requests)*meterShare)
	if o == Full {
		return Full
	}
	return Occupancy(min(float64(o)+m.failures*failureScale, float64(Full-1)))
}

// settle brings the means up to now.
func (m *Meter) settle(now time.Time) {
	passed := now.Sub(m.last)
	if passed <= 0 {
		return
	}
	m.last = now
	m.mean += (m.requests - m.mean) * -math.Expm1(-passed.Seconds()/meterTime.Seconds())
	m.failures *= math.Exp(-passed.Seconds() / failureTime.Seconds())
}
