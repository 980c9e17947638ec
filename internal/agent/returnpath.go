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
	// failedAfter is how much longer than the others a balancer may be unheard
	// by all paths before it counts as dead.
	failedAfter = 300 * time.Millisecond
	// minExclusion is for how long a way that does not deliver is left out at
	// first. Each time that it fails again the time doubles, to excludeMost:
	// a trial of a way that still fails stalls one flow.
	minExclusion = time.Second
	maxExclusion = 32 * time.Second
	// deliveryGain is the weight of one observation in a way's delivery.
	deliveryGain = 1.0 / 8
	// maxDeliveryGap is how far a way's delivery may lie below the best one's.
	// Callers that vanish count against the ways of their paths too, but
	// against all ways alike.
	maxDeliveryGap = 0.4
)

// returnPath is the returnPath back through one balancer, shared by all paths.
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
type returnPath struct {
	balancer   netip.AddrPort
	receivedAt time.Time

	seq          uint32
	sampleSeq    uint32    // sequence number whose echo is awaited
	sampleSentAt time.Time // when it was sent; zero if none is awaited
	broken       bool
	probedAt     time.Time

	deliveryRate  float64 // share of the paths' epochs on this way in which callers answered
	excludedUntil time.Time
	backoff       time.Duration
}

func newReturnPath(balancer netip.AddrPort) *returnPath {
	return &returnPath{balancer: balancer, deliveryRate: 1}
}

// receiveEcho takes in a datagram from the balancer at now with its echo.
func (w *returnPath) receiveEcho(now time.Time, echo uint32) {
	if w.sampleSentAt.IsZero() {
		return
	}
	if int32(echo-w.sampleSeq) >= 0 {
		w.sampleSentAt = time.Time{}
		w.broken = false
		return
	}
	if now.Sub(w.sampleSentAt) > echoTimeout {
		w.broken = true
	}
}

// nextSeq numbers a return datagram sent through w at now.
func (w *returnPath) nextSeq(now time.Time) uint32 {
	w.seq++
	if w.sampleSentAt.IsZero() || w.broken {
		w.sampleSeq, w.sampleSentAt = w.seq, now
	}
	return w.seq
}

// probeDue reports whether a cut way is to be tried again.
func (w *returnPath) probeDue(now time.Time) bool {
	if !w.broken || now.Sub(w.probedAt) < probeInterval {
		return false
	}
	w.probedAt = now
	return true
}

// recordDelivery records that a path on this way was answered.
func (w *returnPath) recordDelivery() {
	w.deliveryRate += (1 - w.deliveryRate) * deliveryGain
	if w.deliveryRate > 1-maxDeliveryGap {
		w.backoff = 0
	}
}

// recordFailure records that a path on this way fell silent. best is the delivery of
// the best way.
func (w *returnPath) recordFailure(now time.Time, best float64) {
	w.deliveryRate -= w.deliveryRate * deliveryGain
	if w.deliveryRate > best-maxDeliveryGap || now.Before(w.excludedUntil) {
		return
	}
	w.backoff = min(max(2*w.backoff, minExclusion), maxExclusion)
	w.excludedUntil = now.Add(w.backoff)
}

// grade tells how much is to be expected of a way.
type grade int

// The grades, from the worst.
const (
	gradeFailed   grade = iota // not heard while others are, or cut
	gradeExcluded              // heard, but left out for what it lost
	gradeUsable                // nothing speaks against it
)

// grade returns the grade of w. newest is when any way was heard last.
func (w *returnPath) grade(now, newest time.Time) grade {
	switch {
	case w.broken || newest.Sub(w.receivedAt) > failedAfter:
		return gradeFailed
	case now.Before(w.excludedUntil):
		return gradeExcluded
	}
	return gradeUsable
}
