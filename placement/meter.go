package placement

import (
	"math"
	"time"
)

const (
	// meanTimeConstant is the time in which the weight of a past load falls to
	// 1/e.
	meanTimeConstant = 2 * time.Second
	// meanShare is the weight of the mean against the current load.
	meanShare = 0.5
	// failureTimeConstant is the time in which the failure rate decays to 1/e
	// without requests, so that an agent that receives no flows is tried again.
	failureTimeConstant = 10 * time.Second
	// failureGain is the weight of one request in the failure rate.
	failureGain = 1.0 / 16
	// failureOccupancy is added to the occupancy when all requests fail.
	failureOccupancy = 150
)

// Meter computes from an agent's usage the occupancy that the agent reports and
// bases its decisions on. It counts half the current requests and half their
// mean over the last seconds, because the current number alone is misleading:
// with few slots it changes many times before a report is used, and an agent
// that is slow or holds many long connections looks idle at every pause. The
// zero value is ready to use: until the mean covers some seconds, it is that of the time
// since the first call or the latest Restart. A Meter is not safe for concurrent use.
type Meter struct {
	last     time.Time
	requests float64 // number in progress or waiting since the time last
	sum      float64 // exponentially weighted sum of requests
	weight   float64 // of the time in sum, 0 to 1
	failures float64 // share of recent requests that failed
}

// Restart starts a new mean at now. Call it when the agent begins to get new flows again,
// because the load of the time without them is not what further flows meet. The failure
// rate is kept: it decays with time, and a server that fails may be ready at any time.
func (m *Meter) Restart(now time.Time) {
	m.advance(now)
	m.sum, m.weight = 0, 0
}

// Done records the end of a request at the backend server. failed means that
// there was no answer, as with a refused connection or a timeout, or that the
// answer reports a fault of the server rather than of the request. Failures
// raise the occupancy, because a server that fails immediately is always idle
// and would otherwise attract every flow.
func (m *Meter) Done(now time.Time, failed bool) {
	m.advance(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	m.failures += (outcome - m.failures) * failureGain
}

// Occupancy returns the occupancy for u. The number of requests in u is assumed
// to be constant until the next call: call it on each change or for each report.
func (m *Meter) Occupancy(now time.Time, u Usage) Occupancy {
	requests := float64(u.SlotsBusy + u.Queue)
	m.advance(now)
	m.requests = requests
	o := u.occupancy(requests + (m.mean()-requests)*meanShare)
	if o == Full {
		return Full
	}
	return Occupancy(min(float64(o)+m.failures*failureOccupancy, float64(Full-1)))
}

// mean returns the mean number of requests, which is the present number before any time has
// passed.
func (m *Meter) mean() float64 {
	if m.weight == 0 {
		return m.requests
	}
	return m.sum / m.weight
}

// advance updates the mean and the failure rate to now.
func (m *Meter) advance(now time.Time) {
	passed := now.Sub(m.last)
	if passed <= 0 {
		return
	}
	first := m.last.IsZero()
	m.last = now
	if first {
		return // nothing is known about the time before the first call
	}
	gain := -math.Expm1(-passed.Seconds() / meanTimeConstant.Seconds())
	m.sum += (m.requests - m.sum) * gain
	m.weight += (1 - m.weight) * gain
	m.failures *= math.Exp(-passed.Seconds() / failureTimeConstant.Seconds())
}
