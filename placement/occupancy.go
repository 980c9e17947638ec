package placement

import "math"

// Occupancy is an agent's load in one byte, 0 (idle) to Full.
type Occupancy uint8

// Full means that the agent accepts no new flows.
const Full Occupancy = 255

// AllSlotsBusy is the occupancy of an agent with as many requests as slots and no
// connections. An agent with a lower one has free slots. An agent without a recent report is
// assumed to have none, as DefaultUnknown is not lower.
const AllSlotsBusy Occupancy = requestScale

// Components of an occupancy below Full.
const (
	requestScale    = 40  // one request per slot, in progress or waiting
	requestMax      = 200 // maximum contribution of requests
	connectionScale = 50  // all connections in use
)

// Usage is an agent's own usage. MaxConnections must be set: 0 means that no
// connection is left.
type Usage struct {
	SlotsBusy, Slots            int // requests in progress at the backend server, and their limit
	Queue                       int // requests that wait for a slot
	Connections, MaxConnections int // open caller connections
	Draining                    bool
}

// Occupancy returns the occupancy of the current usage; an agent reports the
// value that a [Meter] derives from it. It is proportional to the requests in
// progress and waiting, up to five per slot, plus a smaller part proportional
// to the square root of the share of connections in use, so that one more
// connection still makes a difference among agents with few. It is Full while
// draining and when no connection is left.
func (u Usage) Occupancy() Occupancy {
	return u.occupancy(float64(u.SlotsBusy + u.Queue))
}

func (u Usage) occupancy(requests float64) Occupancy {
	if u.Draining || u.Connections >= u.MaxConnections {
		return Full
	}
	perSlot := requests / float64(max(u.Slots, 1))
	connections := float64(u.Connections) / float64(u.MaxConnections)
	level := min(perSlot*requestScale, requestMax) + math.Sqrt(connections)*connectionScale
	return Occupancy(level)
}

const (
	// evenRatio is the ratio of two times below which they count as the same, and
	// certainRatio the one from which on they count in full. A mean of 128 log-normal times
	// with a spread of one half has a standard error of 3 %, one of a service of equally many
	// requests of 5 and 60 ms one of 7 %.
	evenRatio    = 1.25
	certainRatio = 1.5
	// maxRatio bounds the ratio of two times.
	maxRatio = 4
)

// TimeRatio returns the ratio of an agent's time to an answer to the usual one of its
// service, from 1/4 to 4, for [Occupancy.Scaled]. Differences that may be due to chance are
// left out. If one of the times is not known the ratio is 1.
func TimeRatio(took, usual float64) float64 {
	if !(took > 0 && usual > 0) {
		return 1
	}
	r := took / usual
	if r < 1 {
		return 1 / certain(1/r)
	}
	return certain(r)
}

// certain returns the part of a ratio of 1 or more that is not due to chance.
func certain(r float64) float64 {
	switch {
	case r <= evenRatio:
		return 1
	case r < certainRatio:
		return 1 + (r-evenRatio)*(certainRatio-1)/(certainRatio-evenRatio)
	}
	return min(r, maxRatio)
}

// Scaled returns the load of an agent whose server takes ratio times the usual time for an
// answer: the expected time of one more request, in units of the usual time, instead of the
// number of requests. Full stays Full.
//
// An idle server has a load of 0 and takes as long as one request per slot, so the time is
// proportional to the load plus requestScale. For fast servers the result would often be
// below 0; it is then in proportion to their load, because otherwise they would all look
// alike.
func (o Occupancy) Scaled(ratio float64) Occupancy {
	if o == Full || ratio == 1 || !(ratio > 0) {
		return o
	}
	level := (float64(o)+requestScale)*ratio - requestScale
	level = max(level, float64(o)*ratio/2)
	return Occupancy(min(level, float64(Full-1)))
}
