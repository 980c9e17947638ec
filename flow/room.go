package flow

import (
	"net/netip"
	"time"
)

const (
	// returnsPerSlot bounds the callers of ended flows that wait for room at an
	// agent, as a multiple of its server's slots.
	returnsPerSlot = 12
	// reserveTime is how long room is kept for a caller that was told to come
	// back: two exchanges with the farthest callers.
	reserveTime = 20 * time.Millisecond
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
	case len(g.returns) >= g.returnLimit(now, now.Add(m.Wait)):
		reason = ReasonBusy
	}
	if reason != ReasonNone {
		g.reply(now, from, Message{Kind: Refused, Reason: reason, Key: m.Key}, nil)
		return
	}
	q := waitOf(now, m)
	q.key, q.via = m.Key, from
	g.returns = append(g.returns, q)
	g.reply(now, from, Message{Kind: Queued, Key: m.Key}, nil)
	g.dequeue(now)
}

// expireReserved gives up the room of callers that did not come back.
func (g *Gate) expireReserved(now time.Time) {
	for g.reserved.len() > 0 && !g.reserved.first().After(now) {
		g.reserved.pop()
	}
}

// returnRoomLeft reports whether the server has a slot for another caller that neither a
// request nor an earlier caller takes.
func (g *Gate) returnRoomLeft(now time.Time) bool {
	return g.requests+g.reserved.len() < g.returnRoom() && g.coldRoom(now, g.reserved.len())
}

// returnGoesFirst reports whether a caller that waits to be told goes before a new flow.
func (g *Gate) returnGoesFirst(now time.Time, m *Message) bool {
	first := firstOf(g.returns, now)
	if first < 0 {
		return false
	}
	q := waitOf(now, m)
	return g.returns[first].before(&q, now)
}

// grantReturn has a caller told to come back.
func (g *Gate) grantReturn(now time.Time, q queued) {
	g.reserved.push(now.Add(reserveTime))
	g.reply(now, q.via, Message{Kind: CapacityReserved, Key: q.key}, nil)
}

// refuseReturns hands back the callers that have waited for too long.
func (g *Gate) refuseReturns(now time.Time) {
	kept := g.returns[:0]
	for _, q := range g.returns {
		if q.until.After(now) {
			kept = append(kept, q)
			continue
		}
		g.reply(now, q.via, Message{Kind: Refused, Reason: ReasonBusy, Key: q.key}, nil)
	}
	g.returns = kept
}

// returnRoom is the number of requests at work, and callers told to come back, up
// to which another one is told.
func (g *Gate) returnRoom() int {
	return max(1, int(g.cfg.CallerCapacityFactor*float64(g.server.slots)))
}

// useReserved has a new flow take the room that was kept longest.
func (g *Gate) useReserved() {
	if g.reserved.len() > 0 {
		g.reserved.pop()
	}
}
