package placement

// Occupancy is an agent's load in one byte, 0 (idle) to Full.
type Occupancy uint8

// Full means that the agent takes no new flow.
const Full Occupancy = 255

// Parts of the scale below Full.
const (
	slotScale       = 96 // all slots busy, none waiting
	queueScale      = 64 // a queue without end
	connectionScale = 90 // all connections taken
)

// Usage is what an agent knows about itself.
type Usage struct {
	SlotsBusy, Slots            int // requests at work at the backend server
	Queue                       int // requests that wait for a slot
	Connections, MaxConnections int // open caller connections
	Draining                    bool
}

// Occupancy returns the usage in one byte. It rises with busy slots, with the
// queue and with connections; draining and no connection left are Full.
func (u Usage) Occupancy() Occupancy {
	if u.Draining || u.Connections >= u.MaxConnections {
		return Full
	}
	slots := max(u.Slots, 1)
	busy := min(u.SlotsBusy, slots)
	level := busy * slotScale / slots
	level += u.Queue * queueScale / (u.Queue + slots)
	level += u.Connections * connectionScale / u.MaxConnections
	return Occupancy(min(level, int(Full)-1))
}
