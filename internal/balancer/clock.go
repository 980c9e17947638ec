package balancer

import (
	"sync/atomic"
	"time"
)

// batchClock holds the time at which the current batch of packets was read. A clock
// read for each packet would take a fifth of the time of the decision on a first packet,
// and is not needed, since occupancy estimates have a resolution of 10 ms.
type batchClock struct {
	nanos atomic.Int64 // since the Unix epoch; 0 before the first batch
}

// update reads the system clock. The receive loops call it once for each batch.
func (c *batchClock) update() { c.nanos.Store(time.Now().UnixNano()) }

// now returns the time of the latest batch, or the current time before the first one.
func (c *batchClock) now() time.Time {
	n := c.nanos.Load()
	if n == 0 {
		return time.Now()
	}
	return time.Unix(0, n)
}
