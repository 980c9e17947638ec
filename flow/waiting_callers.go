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
	case len(g.waitingCallers) >= g.waitingCallerLimit(now, now.Add(m.Wait)):
		reason = ReasonBusy
	}
	if reason != ReasonNone {
		g.reply(now, from, Message{Kind: Refused, Reason: reason, Key: m.Key}, nil)
		return
	}
	q := newQueueEntry(now, m)
	q.key, q.via = m.Key, from
	g.waitingCallers = append(g.waitingCallers, q)
	g.reply(now, from, Message{Kind: Queued, Key: m.Key}, nil)
	g.dequeue(now)
}

// expireReservations removes the reservations that no new flow has used in time.
func (g *Gate) expireReservations(now time.Time) {
	for g.reservations.len() > 0 && !g.reservations.first().After(now) {
		g.reservations.pop()
	}
}

// hasCallerCapacity reports whether the server has capacity for another notified caller,
// besides the requests in progress and the reservations.
func (g *Gate) hasCallerCapacity(now time.Time) bool {
	return g.requests+g.reservations.len() < g.callerCapacity() && g.hasColdCapacity(now, g.reservations.len())
}

// waitingCallerPrecedes reports whether a waiting caller precedes the new flow that m
// offers.
func (g *Gate) waitingCallerPrecedes(now time.Time, m *Message) bool {
	first := nextIndex(g.waitingCallers, now)
	if first < 0 {
		return false
	}
	q := newQueueEntry(now, m)
	return g.waitingCallers[first].precedes(&q, now)
}

// reserveCapacity reserves capacity for a caller and reports that to the balancer, which
// then notifies the caller that its flow ended.
func (g *Gate) reserveCapacity(now time.Time, q queueEntry) {
	g.reservations.push(now.Add(reservationTTL))
	g.reply(now, q.via, Message{Kind: CapacityReserved, Key: q.key}, nil)
}

// expireWaitingCallers refuses the waiting callers that have expired.
func (g *Gate) expireWaitingCallers(now time.Time) {
	kept := g.waitingCallers[:0]
	for _, q := range g.waitingCallers {
		if q.expiresAt.After(now) {
			kept = append(kept, q)
			continue
		}
		g.reply(now, q.via, Message{Kind: Refused, Reason: ReasonBusy, Key: q.key}, nil)
	}
	g.waitingCallers = kept
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
