package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// returnWaitPart is the part of a request's time that the caller of a flow that has
	// ended may wait to be told. A caller that learns late has no time left for its new
	// flow; told before there is room, all come back together, and look like new ones.
	returnWaitPart = 2
	// maxReturnWait bounds that wait for requests with long deadlines.
	maxReturnWait = 2500 * time.Millisecond
	// reopenTime is what a caller takes from the reset of its flow until its request
	// is at a server: exchanges with the farthest callers, and a request's work.
	reopenTime = serviceTime
	// returnCheck is the time between two looks whether an agent has let a caller wait
	// for too long.
	returnCheck = 250 * time.Millisecond
	// maxReturnTries is the number of agents that are asked for room.
	maxReturnTries = 2
)

// returning is a flow that has ended and whose caller is told when a server has
// room for its new flow.
type returning struct {
	key      Key
	ack      uint32    // what the caller acknowledged last
	reason   Reason    // why the flow has ended
	until    time.Time // when the caller is told in any case
	onTime   time.Time // until when its request can be answered in time
	older    bool      // the request may be older than it seems
	tries    int
	tried    [maxReturnTries]netip.AddrPort
	service  ServiceID
	priority uint8
	serial   uint64 // of the wait for an agent's answer
}

// lost ends a flow that no server holds any more: its caller would wait for its
// deadline, and can open a new flow at once. A caller that only says that it is
// done wants no room, and is told at once: told nothing it repeats that for seconds, and
// each repeat is looked for at every agent. After a loss of power those were 600 searches
// a second; without them a day's bytes between zones fell from 0.129 to 0.075 GB and the
// processor's time from 69 to 47 s (58 VMs, one run each).
//
// After a loss of power all callers have such flows. Told at once they all come
// back in the same 0.1 s to cold servers, are refused as busy, and have spent their
// three tries 0.3 s later; and they take the room of requests that could be in
// time. So each is told when an agent has room for it.
func (d *Director) lost(now time.Time, e *entry, s *Segment, reason Reason) {
	if s.Fin && s.Data == 0 {
		d.forget(s.Key)
		d.reset(now, s.Key, s.Ack, reason)
		return
	}
	r := d.returningOf(now, e, s, reason)
	d.spare.release(e)
	e.state = entryReturning
	e.returning = r
	d.askRoom(now, e)
}

// returningOf works out how long the caller of a flow that has ended may wait.
func (d *Director) returningOf(now time.Time, e *entry, s *Segment, reason Reason) *returning {
	r := take(&d.spare.returns)
	*r = returning{key: s.Key, ack: s.Ack, reason: reason, until: now, onTime: now}
	var route Route
	if d.orders.Routes != nil {
		route, _ = d.orders.Routes.Lookup(s.Key.ServiceAddr())
	}
	r.service, r.priority = route.ServiceFor(s.Key), route.Priority
	asked := now
	if e.seek != nil {
		asked = e.seek.begun
	}
	left := route.Timeout - now.Sub(asked) - 2*reopenTime
	r.until = now.Add(min(maxReturnWait, route.Timeout/returnWaitPart, max(0, left)))
	r.onTime = asked.Add(route.Target - reopenTime)
	// Until all callers of before have repeated their packets, one may be of before.
	r.older = now.Sub(d.started) < longestPause
	return r
}

// askRoom asks the least loaded agent for room for a caller. If nobody is left to
// ask the caller is told at once.
func (d *Director) askRoom(now time.Time, e *entry) {
	r := e.returning
	v := d.services[r.service]
	if v == nil || r.tries == maxReturnTries || !now.Before(r.until) {
		d.tell(now, e)
		return
	}
	wasTried := func(a netip.AddrPort) bool { return slices.Contains(r.tried[:r.tries], a) }
	to, ok := v.ready.Pick(r.key.hash(), d.load, now, wasTried)
	if !ok {
		d.tell(now, e)
		return
	}
	r.tried[r.tries] = to.Addr
	r.tries++
	e.agent = to.Addr
	r.serial = d.nextSerial()
	d.returns.push(returnDue{r, r.serial, now.Add(d.cfg.OpenTimeout)})
	d.trace.Ended(now, r.key, r.reason, to.Addr, r.until.Sub(now))
	reason := ReasonNone
	if r.older {
		reason = ReasonStarted
	}
	d.send(to.Addr, Message{
		Kind: ReserveCapacity, Reason: reason, Key: r.key, Service: r.service, Priority: r.priority,
		OnTime: max(0, r.onTime.Sub(now)), Wait: r.until.Sub(now),
	}, nil)
}

// returnDue is when an agent's answer to a Return is no longer waited for.
type returnDue struct {
	r      *returning
	serial uint64 // of the wait; another one has begun if it differs
	at     time.Time
}

// tell tells a caller that its flow has ended.
func (d *Director) tell(now time.Time, e *entry) {
	r := e.returning
	d.forget(r.key)
	d.reset(now, r.key, r.ack, r.reason)
}

// onRoom takes an agent's word that there is room for a caller.
func (d *Director) onRoom(now time.Time, from netip.AddrPort, m *Message) {
	if e := d.flows[m.Key]; e != nil && e.state == entryReturning && e.agent == from {
		d.tell(now, e)
	}
}

// expireReturns goes on with callers whose agent has not answered in time.
func (d *Director) expireReturns(now time.Time) {
	for d.returns.len() > 0 && !d.returns.first().at.After(now) {
		w := d.returns.pop()
		e := d.flows[w.r.key]
		if e == nil || e.returning != w.r || w.r.serial != w.serial {
			continue
		}
		d.askRoom(now, e)
	}
	for d.waitingReturns.len() > 0 && !d.waitingReturns.first().at.After(now) {
		w := d.waitingReturns.pop()
		e := d.flows[w.r.key]
		if e == nil || e.returning != w.r || w.r.serial != w.serial {
			continue
		}
		if now.Before(w.r.until.Add(2 * d.cfg.OpenTimeout)) {
			d.waitingReturns.push(returnDue{w.r, w.serial, now.Add(returnCheck)})
			continue
		}
		d.tell(now, e)
	}
}
