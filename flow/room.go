package flow

import (
	"net/netip"
	"time"
)

const (
	// waitingCallersPerSlot bounds the callers of ended flows that wait for room at an
	// agent, as a multiple of its server's slots.
	waitingCallersPerSlot = 12
	// reservationTTL is how long room is kept for a caller that was told to come
	// back: two exchanges with the farthest callers.
	reservationTTL = 20 * time.Millisecond
)

// onReturn lets the caller of a flow that has ended wait for room. It reaches the
// server by a new flow, which any agent may get; what counts is that as many come
// back as there is room for.
func (g *Gate) onReturn(now time.Time, from netip.AddrPort, m *Message) {
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

// expireReservations gives up the room of callers that did not come back.
func (g *Gate) expireReservations(now time.Time) {
	for g.reservations.len() > 0 && !g.reservations.first().After(now) {
		g.reservations.pop()
	}
}

// hasCallerCapacity reports whether the server has a slot for another caller that neither a
// request nor an earlier caller takes.
func (g *Gate) hasCallerCapacity(now time.Time) bool {
	return g.requests+g.reservations.len() < g.callerCapacity() && g.hasColdCapacity(now, g.reservations.len())
}

// waitingCallerPrecedes reports whether a caller that waits to be told goes before a new flow.
func (g *Gate) waitingCallerPrecedes(now time.Time, m *Message) bool {
	first := nextIndex(g.waitingCallers, now)
	if first < 0 {
		return false
	}
	q := newQueueEntry(now, m)
	return g.waitingCallers[first].precedes(&q, now)
}

// reserveCapacity has a caller told to come back.
func (g *Gate) reserveCapacity(now time.Time, q queueEntry) {
	g.reservations.push(now.Add(reservationTTL))
	g.reply(now, q.via, Message{Kind: CapacityReserved, Key: q.key}, nil)
}

// expireWaitingCallers hands back the callers that have waited for too long.
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

// callerCapacity is the number of requests at work, and callers told to come back, up
// to which another one is told.
func (g *Gate) callerCapacity() int {
	return max(1, int(g.cfg.CallerCapacityFactor*float64(g.server.slots)))
}

// consumeReservation has a new flow take the room that was kept longest.
func (g *Gate) consumeReservation() {
	if g.reservations.len() > 0 {
		g.reservations.pop()
	}
}
