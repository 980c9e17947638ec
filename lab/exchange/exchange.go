// Package exchange simulates a network between state machines in one process: loss,
// duplication and delay of messages, drawn from a random source, and partitions. It
// transports no messages; the caller schedules the arrivals in simulated time.
package exchange

import (
	"math/rand/v2"
	"time"
)

// Network is a network between processes identified by values of P. It isn't safe for
// concurrent use.
type Network[P any] struct {
	Rand      *rand.Rand
	Loss      float64                        // probability that a copy of a message is lost, 0 to 1
	Duplicate float64                        // probability that a message is sent twice, 0 to 1
	Delay     func(from, to P) time.Duration // delay of one copy, called for each copy that arrives
	Cut       func(from, to P) bool          // reports whether messages are dropped by a partition; may be nil
}

// Deliver calls deliver once for each copy of a message that arrives, with the delay of
// that copy.
func (n *Network[P]) Deliver(from, to P, deliver func(delay time.Duration)) {
	if n.Cut != nil && n.Cut(from, to) {
		return
	}
	copies := 1
	if n.Duplicate > 0 && n.Rand.Float64() < n.Duplicate {
		copies = 2
	}
	for ; copies > 0; copies-- {
		if n.Loss > 0 && n.Rand.Float64() < n.Loss {
			continue
		}
		deliver(n.Delay(from, to))
	}
}
