package flow

import (
	"net/netip"
	"time"
)

// queuePerSlot bounds the flows that wait at an agent, as a multiple of its server's
// slots: what a slot works off in about two and a half seconds, as long as callers
// wait in all. A caller that is refused for want of a place comes back at once as if
// it were new, takes the place of one that could be in time, and has spent its tries
// after 30 ms. With 40, credit of the second two seconds after a loss of power was
// 0.864 in place of 0.909 (flow/lab, ten seeds).
const queuePerSlot = 100

// queueEntry is a flow that waits for room at the server.
type queueEntry struct {
	key         Key
	via         netip.AddrPort
	onTimeUntil time.Time // until when its request can be answered in time
	expiresAt   time.Time // when it is given up
	urgent      bool
	mayBeOlder  bool   // may have been asked longer ago than onTime takes for granted
	opener      uint32 // sequence number of the packet
	packet      []byte
}

// newQueueEntry returns the wait that a balancer's message asks for.
func newQueueEntry(now time.Time, m *Message) queueEntry {
	return queueEntry{
		onTimeUntil: now.Add(m.OnTime), expiresAt: now.Add(m.Wait), urgent: m.Priority <= urgentPriority, mayBeOlder: m.Reason == ReasonStarted,
	}
}

// timeliness says how likely it is that a request is answered in time.
type timeliness uint8

const (
	inTime      timeliness = iota
	maybeInTime            // if it is as young as it looks
	late
)

func (q *queueEntry) timeliness(now time.Time) timeliness {
	switch {
	case !q.onTimeUntil.After(now):
		return late
	case q.mayBeOlder:
		return maybeInTime
	}
	return inTime
}

// precedes reports whether q goes to the server precedes o: what can still be in time,
// then what is urgent. Otherwise the one that came first does; but of those that may be
// older than they look the last one, which most likely is not.
func (q *queueEntry) precedes(o *queueEntry, now time.Time) bool {
	c, oc := q.timeliness(now), o.timeliness(now)
	if c != oc {
		return c < oc
	}
	if q.urgent != o.urgent {
		return q.urgent
	}
	return c == maybeInTime && q.onTimeUntil.After(o.onTimeUntil)
}

// enqueue lets a flow wait for room. It returns false if too many wait.
//
// A flow that is reset for want of room comes again at once, as a new one, and
// after three times not at all. While it waits it costs nothing, and what is
// late already leaves the room to what is not.
func (g *Gate) enqueue(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) bool {
	q := g.findQueued(s.Key)
	if q == nil {
		waits := newQueueEntry(now, m)
		waits.key, waits.opener = s.Key, s.Seq
		if !g.makeQueueSpace(now, &waits) {
			return false
		}
		waits.packet = append([]byte(nil), packet...)
		g.queue = append(g.queue, waits)
		q = &g.queue[len(g.queue)-1]
	}
	q.via = from
	g.reply(now, from, Message{Kind: Queued, Key: s.Key}, nil)
	return true
}

// makeQueueSpace reports whether a flow may wait. If too many do, the one that would be served
// last is handed back for one that goes before it.
func (g *Gate) makeQueueSpace(now time.Time, q *queueEntry) bool {
	if len(g.queue) < g.queueLimit(now, q.expiresAt) {
		return true
	}
	last := -1
	for i := range g.queue {
		if last < 0 || !g.queue[i].precedes(&g.queue[last], now) {
			last = i
		}
	}
	if last < 0 || !q.precedes(&g.queue[last], now) {
		return false
	}
	g.refuse(now, g.queue[last].via, g.queue[last].key, ReasonBusy)
	g.queue = append(g.queue[:last], g.queue[last+1:]...)
	return true
}

func (g *Gate) findQueued(key Key) *queueEntry {
	for i := range g.queue {
		if g.queue[i].key == key {
			return &g.queue[i]
		}
	}
	return nil
}

// dequeue passes flows that wait to the server, and tells callers to come back, as far as
// there is room for them, and hands back those whose time is over or that the server may
// not get any more.
func (g *Gate) dequeue(now time.Time) {
	g.expireReservations(now)
	g.expireQueue(now)
	g.expireWaitingCallers(now)
	if g.State(now) != ServerReady {
		return
	}
	for g.dequeueOne(now) {
	}
}

// dequeueOne serves what goes first of the flows and the callers that wait, and reports
// whether there was room for it.
//
// Load: after a loss of power the callers of all dead flows wait to be told, two thirds of
// all callers where flows are long, while callers of before repeat their first packets.
// If every flow that waits went before every caller, new requests of those callers waited
// behind late ones until all of them were told at once.
func (g *Gate) dequeueOne(now time.Time) bool {
	flow, caller := nextIndex(g.queue, now), nextIndex(g.waitingCallers, now)
	if caller >= 0 && (flow < 0 || g.waitingCallers[caller].precedes(&g.queue[flow], now)) {
		if !g.hasCallerCapacity(now) {
			return false
		}
		g.reserveCapacity(now, removeNext(&g.waitingCallers, now))
		return true
	}
	if flow < 0 || g.requests+g.reservations.len() >= g.requestCapacity() || !g.hasColdCapacity(now, g.reservations.len()) {
		return false
	}
	q := removeNext(&g.queue, now)
	g.admit(now, q.via, q.key, q.opener, q.packet)
	return true
}

// expireQueue hands back flows whose time is over or that the server may not get.
func (g *Gate) expireQueue(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	if g.State(now) != ServerReady {
		g.refuseQueued(now, ReasonState, func(*queueEntry) bool { return true })
		return
	}
	g.refuseQueued(now, ReasonBusy, func(q *queueEntry) bool { return !q.expiresAt.After(now) })
}

// nextIndex returns the index of what goes first, negative if the list is empty.
func nextIndex(list []queueEntry, now time.Time) int {
	best := -1
	for i := range list {
		if best < 0 || list[i].precedes(&list[best], now) {
			best = i
		}
	}
	return best
}

// removeNext takes out what goes first; the list must not be empty.
func removeNext(list *[]queueEntry, now time.Time) queueEntry {
	i := nextIndex(*list, now)
	q := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return q
}

// refuseQueued hands back the flows that over selects.
func (g *Gate) refuseQueued(now time.Time, reason Reason, over func(*queueEntry) bool) {
	kept := g.queue[:0]
	for i := range g.queue {
		q := g.queue[i]
		if !over(&q) {
			kept = append(kept, q)
			continue
		}
		g.refuse(now, q.via, q.key, reason)
	}
	g.queue = kept
}

// earliestExpiry returns when the first flow, or caller, has waited for too long.
func (g *Gate) earliestExpiry() (at time.Time, ok bool) {
	for _, list := range [...][]queueEntry{g.queue, g.waitingCallers} {
		for i := range list {
			if !ok || list[i].expiresAt.Before(at) {
				at, ok = list[i].expiresAt, true
			}
		}
	}
	return at, ok
}
