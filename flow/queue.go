package flow

import (
	"net/netip"
	"time"
)

// queuePerSlot limits the flows that wait at an agent, as a multiple of its server's slots:
// a slot processes 100 requests in about two and a half seconds, which is how long callers
// wait in total. A caller refused because the queue is full retries at once as a new flow,
// takes the place of one that could be answered in time, and has used up its attempts
// after 30 ms. With 40 per slot, fewer requests are answered in time after a power loss:
// in flow/lab the credit of the window from 2 to 4 s is 0.864 instead of 0.909.
const queuePerSlot = 100

// queueEntry is a flow, or a caller to be notified, that waits for capacity at the server.
type queueEntry struct {
	key         Key
	via         netip.AddrPort // balancer to reply to
	onTimeUntil time.Time      // until when its request can be answered in time
	expiresAt   time.Time      // when it is refused
	urgent      bool
	mayBeOlder  bool   // the request may be older than onTimeUntil assumes
	opener      uint32 // sequence number of the packet
	packet      []byte
}

// newQueueEntry returns an entry with the time limits and priority of a balancer's message.
func newQueueEntry(now time.Time, m *Message) queueEntry {
	return queueEntry{
		onTimeUntil: now.Add(m.OnTime), expiresAt: now.Add(m.Wait), urgent: m.Priority <= urgentPriority, mayBeOlder: m.Reason == ReasonStarted,
	}
}

// timeliness is whether a request can still be answered in time.
type timeliness uint8

const (
	inTime      timeliness = iota
	maybeInTime            // in time unless the request is older than assumed
	late
)

// timeliness returns whether the entry's request can still be answered in time at now.
func (q *queueEntry) timeliness(now time.Time) timeliness {
	switch {
	case !q.onTimeUntil.After(now):
		return late
	case q.mayBeOlder:
		return maybeInTime
	}
	return inTime
}

// precedes reports whether q is served before o: requests that can still be in time go
// first, then urgent ones. Of equal entries the one that arrived first is served first;
// only of those that may be older than assumed the latest one is, because it is the least
// likely to be older.
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

// enqueue adds an offered flow to the queue. It returns false if the queue is full.
//
// The caller of a flow that is reset for lack of capacity retries at once with a new flow,
// and gives up after three attempts. A waiting flow costs the server nothing, and flows
// that are already late yield to those that are not.
func (g *Gate) enqueue(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) bool {
	q := g.findQueued(s.Key)
	if q == nil {
		waiter := newQueueEntry(now, m)
		waiter.key, waiter.opener = s.Key, s.Seq
		if !g.makeQueueSpace(now, &waiter) {
			return false
		}
		waiter.packet = append([]byte(nil), packet...)
		g.queue = append(g.queue, waiter)
		q = &g.queue[len(g.queue)-1]
	}
	q.via = from
	g.reply(now, from, Message{Kind: Queued, Key: s.Key}, nil)
	return true
}

// makeQueueSpace reports whether the queue has space for q. If the queue is full, the entry
// that would be served last is refused in favour of q if q precedes it.
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

// findQueued returns the queued entry of a flow, or nil.
func (g *Gate) findQueued(key Key) *queueEntry {
	for i := range g.queue {
		if g.queue[i].key == key {
			return &g.queue[i]
		}
	}
	return nil
}

// dequeue sends waiting flows to the server and has waiting callers notified as far as
// there is capacity, and refuses entries that have expired or that the server must not
// receive any more.
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

// dequeueOne serves the waiting flow or caller that precedes all others, and reports
// whether there was capacity for it.
//
// After a power loss the callers of all lost flows wait to be notified, two thirds of all
// callers where flows are long-lived, while other callers send copies of first packets
// from before the loss. If every waiting flow preceded every waiting caller, new requests
// of the waiting callers would wait behind late ones, until all of these callers were
// notified at once.
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

// expireQueue refuses waiting flows that have expired, and all of them if the server is not
// ready.
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

// nextIndex returns the index of the entry that precedes all others, negative if the list
// is empty.
func nextIndex(list []queueEntry, now time.Time) int {
	first := -1
	for i := range list {
		if first < 0 || list[i].precedes(&list[first], now) {
			first = i
		}
	}
	return first
}

// removeNext removes and returns the entry that precedes all others; the list must not be
// empty.
func removeNext(list *[]queueEntry, now time.Time) queueEntry {
	i := nextIndex(*list, now)
	q := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return q
}

// refuseQueued removes and refuses the waiting flows for which remove returns true.
func (g *Gate) refuseQueued(now time.Time, reason Reason, remove func(*queueEntry) bool) {
	kept := g.queue[:0]
	for i := range g.queue {
		q := g.queue[i]
		if !remove(&q) {
			kept = append(kept, q)
			continue
		}
		g.refuse(now, q.via, q.key, reason)
	}
	g.queue = kept
}

// earliestExpiry returns when the first waiting flow or caller expires; ok is false if none
// waits.
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
