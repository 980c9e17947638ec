package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// resetWaitPart divides a request's time-out; the notification of a caller whose
	// flow has ended may be delayed for the result. A caller that is notified late has
	// no time left for its new flow; callers that are notified before there is capacity
	// all open new flows at the same time, as if they were new.
	resetWaitPart = 2
	// maxResetWait bounds that delay for requests with long deadlines.
	maxResetWait = 2500 * time.Millisecond
	// reopenTime is the time from the reset of a caller's flow until its request is at
	// a server: round trips with the farthest callers, and the work of a request.
	reopenTime = requestTime
	// resetCheckInterval is the time between two checks whether a caller has waited at
	// an agent for too long.
	resetCheckInterval = 250 * time.Millisecond
	// maxReserveTries is the number of agents that are asked for capacity.
	maxReserveTries = 2
)

// pendingReset is a flow that has ended and whose caller is notified, by a reset, when
// a server has capacity for its new flow.
type pendingReset struct {
	key         Key
	ack         uint32    // what the caller last acknowledged
	reason      Reason    // why the flow has ended
	notifyBy    time.Time // when the caller is notified in any case
	onTimeUntil time.Time // until when its request can be answered in time
	mayBeOlder  bool      // the packet may be a repeat of one from before this process started
	tries       int
	tried       [maxReserveTries]netip.AddrPort
	service     ServiceID
	priority    uint8
	serial      uint64 // of the wait for an agent's answer
}

// endFlow ends a flow that no server holds any more. Its caller would wait for its
// deadline, but can open a new flow as soon as it is notified. A caller that only
// closes the flow needs no capacity and is notified at once: without an answer it
// repeats the close for seconds, and each repeat is looked up at every agent. After a
// power loss, 600 such lookups per second on 58 VMs raise a day's traffic between zones
// from 0.075 to 0.129 GB and the processor time from 47 to 69 s.
//
// After a power loss every caller has such flows. If all were notified at once, they
// would all retry within the same 0.1 s at cold servers, be refused as busy, and have
// used up their three tries 0.3 s later; and they would take the capacity of requests
// that could be in time. So each is notified when an agent has capacity for it.
func (d *Director) endFlow(now time.Time, e *entry, s *Segment, reason Reason) {
	if s.Fin && s.Data == 0 {
		d.removeEntry(s.Key)
		d.reset(now, s.Key, s.Ack, reason)
		return
	}
	r := d.newPendingReset(now, e, s, reason)
	d.free.release(e)
	e.state = entryResetPending
	e.reset = r
	d.reserveOrReset(now, e)
}

// newPendingReset determines how long the notification of a caller may be delayed.
func (d *Director) newPendingReset(now time.Time, e *entry, s *Segment, reason Reason) *pendingReset {
	r := take(&d.free.resets)
	*r = pendingReset{key: s.Key, ack: s.Ack, reason: reason, notifyBy: now, onTimeUntil: now}
	var route Route
	if d.orders.Routes != nil {
		route, _ = d.orders.Routes.Lookup(s.Key.ServiceAddr())
	}
	r.service, r.priority = route.ServiceFor(s.Key), route.Priority
	requestedAt := now
	if e.lookup != nil {
		requestedAt = e.lookup.startedAt
	}
	left := route.Timeout - now.Sub(requestedAt) - 2*reopenTime
	r.notifyBy = now.Add(min(maxResetWait, route.Timeout/resetWaitPart, max(0, left)))
	r.onTimeUntil = requestedAt.Add(route.Target - reopenTime)
	// Until all callers have repeated their packets once, a packet may be a repeat of
	// one sent before this process started.
	r.mayBeOlder = now.Sub(d.started) < maxRetransmissionPause
	return r
}

// reserveOrReset asks the least loaded agent to reserve capacity for a caller. If no
// agent is left to ask, the caller is notified at once.
func (d *Director) reserveOrReset(now time.Time, e *entry) {
	r := e.reset
	v := d.tables(r.service)
	if v == nil || r.tries == maxReserveTries || !now.Before(r.notifyBy) {
		d.sendPendingReset(now, e)
		return
	}
	wasTried := func(a netip.AddrPort) bool { return slices.Contains(r.tried[:r.tries], a) }
	to, ok := v.ready.Pick(r.key.hash(), d.load, now, wasTried)
	if !ok {
		d.sendPendingReset(now, e)
		return
	}
	r.tried[r.tries] = to.Addr
	r.tries++
	e.agent = to.Addr
	r.serial = d.nextSerial()
	d.reserveTimeouts.push(resetTimeout{r, r.serial, now.Add(d.cfg.OpenTimeout)})
	d.trace.Ended(now, r.key, r.reason, to.Addr, r.notifyBy.Sub(now))
	reason := ReasonNone
	if r.mayBeOlder {
		reason = ReasonStarted
	}
	d.send(to.Addr, Message{
		Kind: ReserveCapacity, Reason: reason, Key: r.key, Service: r.service, Priority: r.priority,
		OnTime: max(0, r.onTimeUntil.Sub(now)), Wait: r.notifyBy.Sub(now),
	}, nil)
}

// resetTimeout is the deadline of an agent's answer to ReserveCapacity.
type resetTimeout struct {
	reset  *pendingReset
	serial uint64 // of the wait; if the reset's differs, another wait has begun
	at     time.Time
}

// sendPendingReset notifies a caller that its flow has ended.
func (d *Director) sendPendingReset(now time.Time, e *entry) {
	r := e.reset
	d.removeEntry(r.key)
	d.reset(now, r.key, r.ack, r.reason)
}

// onCapacityReserved handles an agent's answer that it has capacity for a caller.
func (d *Director) onCapacityReserved(now time.Time, from netip.AddrPort, m *Message) {
	if e := d.flows[m.Key]; e != nil && e.state == entryResetPending && e.agent == from {
		d.sendPendingReset(now, e)
	}
}

// expireReserves continues with callers whose agent has not answered in time.
func (d *Director) expireReserves(now time.Time) {
	for d.reserveTimeouts.len() > 0 && !d.reserveTimeouts.first().at.After(now) {
		w := d.reserveTimeouts.pop()
		e := d.flows[w.reset.key]
		if e == nil || e.reset != w.reset || w.reset.serial != w.serial {
			continue
		}
		d.reserveOrReset(now, e)
	}
	for d.queuedResets.len() > 0 && !d.queuedResets.first().at.After(now) {
		w := d.queuedResets.pop()
		e := d.flows[w.reset.key]
		if e == nil || e.reset != w.reset || w.reset.serial != w.serial {
			continue
		}
		if now.Before(w.reset.notifyBy.Add(2 * d.cfg.OpenTimeout)) {
			d.queuedResets.push(resetTimeout{w.reset, w.serial, now.Add(resetCheckInterval)})
			continue
		}
		d.sendPendingReset(now, e)
	}
}
