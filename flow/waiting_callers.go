package flow

import (
	"net/netip"
	"time"
)

const (
	// waitingCallersPerSlot limits the callers of ended flows that wait for capacity at an
	// agent, as a multiple of its server's slots.
	waitingCallersPerSlot = 12
	// reservationTTL is how long capacity is reserved for a notified caller: two round
	// trips to the farthest callers.
	reservationTTL = 20 * time.Millisecond
)

// onReserveCapacity queues the caller of an ended flow until the server has capacity. The
// caller's new flow may be offered to any agent; the reservation only ensures that no more
// callers are notified than the servers have capacity for.
func (g *Gate) onReserveCapacity(now time.Time, from netip.AddrPort, m *Message) {
	reason := ReasonNone
	switch {
	case g.State(now) != ServerReady:
		reason = ReasonState
	case m.Service != g.server.service:
		reason = ReasonService
	case !g.enqueueCaller(now, from, m):
		reason = ReasonBusy
	}
	if reason != ReasonNone {
		g.reply(now, from, Message{Kind: Refused, Reason: reason, Key: m.Key}, nil)
		return
	}
	g.reply(now, from, Message{Kind: Queued, Key: m.Key}, nil)
	g.dequeue(now)
}

// expireReservations removes the reservations that no new flow has used in time.
func (g *Gate) expireReservations(now time.Time) {
	for g.reservations.len() > 0 && !g.reservations.first().After(now) {
		g.reservations.pop()
	}
}

// enqueueCaller adds a caller to the queue. It returns false if the caller is refused.
func (g *Gate) enqueueCaller(now time.Time, from netip.AddrPort, m *Message) bool {
	e := newWaitEntry(now, waitKey{m.Key, waitingCaller}, m)
	e.Value.via = from
	g.unqueue(e.Key) // a repeated message takes the place of the first one
	if g.waiting.counts[waitingCaller] >= g.waitingCallerLimit(now, e.RefuseAt) {
		return false
	}
	return g.wait(now, e, g.queueLimit(now, e.RefuseAt))
}

// reserveCapacity reserves capacity for a caller and reports that to the balancer, which
// then notifies the caller that its flow ended.
func (g *Gate) reserveCapacity(now time.Time, e *waitEntry) {
	g.reservations.push(now.Add(reservationTTL))
	g.reply(now, e.Value.via, Message{Kind: CapacityReserved, Key: e.Key.Key}, nil)
}

// callerCapacity returns the sum of requests in progress and reservations below which
// another caller is notified.
func (g *Gate) callerCapacity() int {
	return max(1, int(g.cfg.CallerCapacityFactor*float64(g.server.slots)))
}

// consumeReservation removes the oldest reservation, which a new flow uses.
func (g *Gate) consumeReservation() {
	if g.reservations.len() > 0 {
		g.reservations.pop()
	}
}
