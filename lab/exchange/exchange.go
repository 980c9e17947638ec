// Package exchange decides what becomes of messages between the state machines
// of one process: loss, duplication, delay and cuts, drawn from a seed. It
// carries nothing by itself; the caller sets the arrivals in simulated time.
package exchange

import (
	"math/rand/v2"
	"time"
)

// Network is the network between processes that a P names. It isn't safe for
// concurrent use.
type Network[P any] struct {
	Rand      *rand.Rand
	Loss      float64                        // share of messages lost, each copy by itself
	Duplicate float64                        // share of messages that arrive twice
	Delay     func(from, to P) time.Duration // of each copy
	Cut       func(from, to P) bool          // drops what it holds for; may be nil
}

// Deliver calls arrive once for each copy of a message that arrives, with the
// copy's delay.
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
