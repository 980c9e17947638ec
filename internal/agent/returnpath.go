package agent

import (
	"net/netip"
	"time"
)

const (
	// echoTimeout is how long a return datagram may stay unechoed by a
	// balancer that goes on sending before its way back counts as cut.
	echoTimeout = 400 * time.Millisecond
	// probeInterval is how often a cut way is tried again.
	probeInterval = 500 * time.Millisecond
	// staleAfter is how much longer than the others a balancer may be unheard
	// by all paths before it counts as dead.
	staleAfter = 300 * time.Millisecond
	// excludeFirst is for how long a way that does not deliver is left out at
	// first. Each time that it fails again the time doubles, to excludeMost:
	// a trial of a way that still fails stalls one flow.
	excludeFirst = time.Second
	excludeMost  = 32 * time.Second
	// deliveryGain is the weight of one observation in a way's delivery.
	deliveryGain = 1.0 / 8
	// deliveryGap is how far a way's delivery may lie below the best one's.
	// Callers that vanish count against the ways of their paths too, but
	// against all ways alike.
	deliveryGap = 0.4
)

// way is the way back through one balancer, shared by all paths.
//
// Three things go wrong with it, none of which shows at the caller side of
// this agent's socket.
//
// The balancer dies: it is no longer heard, by any path, while others are.
//
// The agent's datagrams no longer reach it, while its own still arrive: the
// sequence number of a return datagram never comes back as an echo.
//
// What it sends to callers is lost, while it still hears, echoes and is heard:
// paths that use it fall silent, one after the other, and paths that use other
// ways do not. That is told by delivery.
type way struct {
	balancer netip.AddrPort
	heardAt  time.Time

	seq      uint32
	sample   uint32    // sequence number whose echo is awaited
	sampleAt time.Time // when it was sent; zero if none is awaited
	cut      bool
	probedAt time.Time

	delivery float64 // share of the paths' epochs on this way in which callers answered
	excluded time.Time
	backoff  time.Duration
}

func newWay(balancer netip.AddrPort) *way {
	return &way{balancer: balancer, delivery: 1}
}

// heard takes in a datagram from the balancer at now with its echo.
func (w *way) heard(now time.Time, echo uint32) {
	if w.sampleAt.IsZero() {
		return
	}
	if int32(echo-w.sample) >= 0 {
		w.sampleAt = time.Time{}
		w.cut = false
		return
	}
	if now.Sub(w.sampleAt) > echoTimeout {
		w.cut = true
	}
}

// next numbers a return datagram sent through w at now.
func (w *way) next(now time.Time) uint32 {
	w.seq++
	if w.sampleAt.IsZero() || w.cut {
		w.sample, w.sampleAt = w.seq, now
	}
	return w.seq
}

// probeDue reports whether a cut way is to be tried again.
func (w *way) probeDue(now time.Time) bool {
	if !w.cut || now.Sub(w.probedAt) < probeInterval {
		return false
	}
	w.probedAt = now
	return true
}

// delivered records that a path on this way was answered.
func (w *way) delivered() {
	w.delivery += (1 - w.delivery) * deliveryGain
	if w.delivery > 1-deliveryGap {
		w.backoff = 0
	}
}

// failed records that a path on this way fell silent. best is the delivery of
// the best way.
func (w *way) failed(now time.Time, best float64) {
	w.delivery -= w.delivery * deliveryGain
	if w.delivery > best-deliveryGap || now.Before(w.excluded) {
		return
	}
	w.backoff = min(max(2*w.backoff, excludeFirst), excludeMost)
	w.excluded = now.Add(w.backoff)
}

// grade tells how much is to be expected of a way.
type grade int

// The grades, from the worst.
const (
	dead   grade = iota // not heard while others are, or cut
	alive               // heard, but left out for what it lost
	usable              // nothing speaks against it
)

// grade returns the grade of w. newest is when any way was heard last.
func (w *way) grade(now, newest time.Time) grade {
	switch {
	case w.cut || newest.Sub(w.heardAt) > staleAfter:
		return dead
	case now.Before(w.excluded):
		return alive
	}
	return usable
}
