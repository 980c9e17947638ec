package agent

import (
	"net/netip"
	"time"
)

const (
	// echoTimeout is how long the echo of a return datagram may be missing from the packets
	// of a balancer before the return path through it counts as broken.
	echoTimeout = 400 * time.Millisecond
	// probeInterval is the time between two probes of a broken return path.
	probeInterval = 500 * time.Millisecond
	// failedAfter is how much older a balancer's last packet may be than the last packet
	// from any balancer before the balancer counts as failed.
	failedAfter = 300 * time.Millisecond
	// minExclusion is how long a return path that does not deliver is excluded the first
	// time. The time doubles with each further failure, up to maxExclusion, because every
	// trial of a return path that still fails stalls a flow.
	minExclusion = time.Second
	maxExclusion = 32 * time.Second
	// deliveryGain is the weight of one observation in a return path's delivery rate.
	deliveryGain = 1.0 / 8
	// maxDeliveryGap is how far a return path's delivery rate may be below the best one.
	// Callers that disappear also lower the rates, but those of all return paths alike.
	maxDeliveryGap = 0.4
)

// returnPath is the path back to callers through one balancer, shared by all paths.
//
// It detects three faults, none of which causes an error on this agent's socket:
//
// The balancer fails: no path receives packets from it any more, while packets from other
// balancers arrive.
//
// The agent's datagrams no longer reach the balancer, while the balancer's still arrive: the
// sequence number of a return datagram is never echoed.
//
// The balancer's packets to callers are lost, while it still receives, echoes and forwards:
// paths that use it become unresponsive one after another, and paths that use other balancers
// do not. deliveryRate shows this.
type returnPath struct {
	balancer   netip.AddrPort
	receivedAt time.Time

	seq          uint32
	sampleSeq    uint32    // sequence number whose echo is awaited
	sampleSentAt time.Time // when sampleSeq was sent; zero if no echo is awaited
	broken       bool
	probedAt     time.Time

	deliveryRate  float64 // moving average of the share of observations in which callers responded
	excludedUntil time.Time
	backoff       time.Duration
}

func newReturnPath(balancer netip.AddrPort) *returnPath {
	return &returnPath{balancer: balancer, deliveryRate: 1}
}

// receiveEcho handles the echo in a datagram from the balancer.
func (r *returnPath) receiveEcho(now time.Time, echo uint32) {
	if r.sampleSentAt.IsZero() {
		return
	}
	if int32(echo-r.sampleSeq) >= 0 {
		r.sampleSentAt = time.Time{}
		r.broken = false
		return
	}
	if now.Sub(r.sampleSentAt) > echoTimeout {
		r.broken = true
	}
}

// nextSeq returns the sequence number of a return datagram that is sent through r at now.
func (r *returnPath) nextSeq(now time.Time) uint32 {
	r.seq++
	if r.sampleSentAt.IsZero() || r.broken {
		r.sampleSeq, r.sampleSentAt = r.seq, now
	}
	return r.seq
}

// probeDue reports whether a broken return path is to be probed now.
func (r *returnPath) probeDue(now time.Time) bool {
	if !r.broken || now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

// recordDelivery records that a caller has responded to a packet sent through r.
func (r *returnPath) recordDelivery() {
	r.deliveryRate += (1 - r.deliveryRate) * deliveryGain
	if r.deliveryRate > 1-maxDeliveryGap {
		r.backoff = 0
	}
}

// recordFailure records that a path that uses r has become unresponsive. best is the highest
// delivery rate of all return paths.
func (r *returnPath) recordFailure(now time.Time, best float64) {
	r.deliveryRate -= r.deliveryRate * deliveryGain
	if r.deliveryRate > best-maxDeliveryGap || now.Before(r.excludedUntil) {
		return
	}
	r.backoff = min(max(2*r.backoff, minExclusion), maxExclusion)
	r.excludedUntil = now.Add(r.backoff)
}

// grade rates whether a return path is expected to deliver.
type grade int

// The grades, the worst first.
const (
	gradeFailed   grade = iota // no packets from the balancer while others send some, or broken
	gradeExcluded              // packets arrive, but excluded because of its delivery rate
	gradeUsable                // no fault detected
)

// grade returns the grade of r. newest is when a packet was last received through any
// return path.
func (r *returnPath) grade(now, newest time.Time) grade {
	switch {
	case r.broken || newest.Sub(r.receivedAt) > failedAfter:
		return gradeFailed
	case now.Before(r.excludedUntil):
		return gradeExcluded
	}
	return gradeUsable
}
