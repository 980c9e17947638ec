package balancer

import (
	"sync/atomic"
	"time"
)

// batchClock holds the time of the batch of packets at work. Reading the
// system's clock for each packet costs a fifth of the decision on a first
// packet, and beliefs about load are kept in steps of 10 ms.
type batchClock struct {
	nanos atomic.Int64 // since the Unix epoch; 0 before the first batch
}

// update reads the system's clock. A duty calls it once for each batch.
func (c *batchClock) update() { c.nanos.Store(time.Now().UnixNano()) }

func (c *batchClock) now() time.Time {
	n := c.nanos.Load()
	if n == 0 {
		return time.Now()
	}
	return time.Unix(0, n)
}
