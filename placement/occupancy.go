package placement

import "math"

// Occupancy is an agent's load in one byte, 0 (idle) to Full.
type Occupancy uint8

// Full means that the agent takes no new flow.
const Full Occupancy = 255

// Parts of the scale below Full.
const (
	requestScale    = 40  // one request per slot, at work or waiting
	requestTop      = 200 // the most that requests count
	connectionScale = 50  // all connections taken
)

// Usage is what an agent knows about itself. MaxConnections has to be set: 0
// is an agent that has no connection left.
type Usage struct {
	SlotsBusy, Slots            int // requests at work at the backend server
	Queue                       int // requests that wait for a slot
	Connections, MaxConnections int // open caller connections
	Draining                    bool
}

// Occupancy returns the usage of this moment in one byte; an agent reports what
// a [Meter] makes of it. It rises in step with the requests at work and waiting,
// up to five for each slot, and more finely with the root of the connections:
// among agents of few connections one more still shows. Draining and no
// connection left are Full.
func (u Usage) Occupancy() Occupancy {
	return u.occupancy(float64(u.SlotsBusy + u.Queue))
}

func (u Usage) occupancy(requests float64) Occupancy {
	if u.Draining || u.Connections >= u.MaxConnections {
		return Full
	}
	perSlot := requests / float64(max(u.Slots, 1))
	connections := float64(u.Connections) / float64(u.MaxConnections)
	level := min(perSlot*requestScale, requestTop) + math.Sqrt(connections)*connectionScale
	return Occupancy(level)
}
