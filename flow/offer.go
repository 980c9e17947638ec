package flow

import (
	"net/netip"
	"time"
)

// first takes a first packet, or a copy of one.
func (d *Director) first(now time.Time, e *entry, s *Segment, packet []byte) {
	routes := d.orders.Routes
	if routes == nil {
		d.drop(ReasonNoRoute)
		return
	}
	// Callers use their ports again: another sequence number is a new flow.
	if e != nil && (e.state == entryOpening || e.state == entryPlaced) && e.opener == s.Seq {
		e.used = now
		if e.state == entryOpening {
			e.open.copies = max(e.open.copies, s.Ack)
			return // an offer is under way; its timeout leads on
		}
		if a := d.agents[e.agent]; a != nil && !a.silent {
			// The server's answer was lost: the same server answers again.
			route, _ := routes.Lookup(s.Key.ServiceAddr())
			d.send(e.agent, Message{Kind: Open, Service: route.ServiceFor(s.Key), Priority: route.Priority}, packet)
			return
		}
	}
	d.forget(s.Key)
	route, ok := routes.Lookup(s.Key.ServiceAddr())
	if !ok {
		d.reset(now, s.Key, s.Key.strangeSeq(), ReasonNoRoute)
		return
	}
	d.open(now, route, s, packet)
}

// strangeSeq returns a sequence number for a reset that must end a flow only if
// it is not open: a copy of a first packet may be late, and its flow open by
// now. An open flow takes a reset only near the number that its server drew, so
// a number drawn otherwise misses it but for 4 in 100,000.
func (k Key) strangeSeq() uint32 { return uint32(k.hash() >> 32) }

// open begins to offer a flow.
func (d *Director) open(now time.Time, route Route, s *Segment, packet []byte) {
	if len(packet) > synSize || d.queue.len() >= d.cfg.MaxOpening {
		d.drop(ReasonOverflow)
		return
	}
	e := d.remember(now, s.Key)
	if e == nil {
		d.drop(ReasonOverflow)
		return
	}
	o := d.spare.opening()
	o.key, o.opener, o.route, o.service, o.since, o.copies = s.Key, s.Seq, route, route.ServiceFor(s.Key), now, s.Ack
	o.synLen = copy(o.syn[:], packet)
	e.state = entryOpening
	e.opener = s.Seq
	e.open = o
	d.stats.Offered++
	d.offer(now, e)
}

// offer sends the flow to the best agent that has not been tried.
func (d *Director) offer(now time.Time, e *entry) {
	o := e.open
	to, ok := d.choose(now, o)
	if !ok {
		if o.busy > 0 {
			d.offerToWait(now, e)
			return
		}
		d.giveUp(now, o, ReasonNoAgent)
		return
	}
	o.tried[o.tries] = to
	o.tries++
	d.sendOffer(now, e, to)
}

// offerToWait lets the flow wait at the least loaded agent, after the best ones
// had no room. A caller that is refused asks again at once, and after a few
// refusals not at all: a short wait serves it instead.
func (d *Director) offerToWait(now time.Time, e *entry) {
	o := e.open
	v := d.services[o.service]
	if o.mayWait || v == nil {
		d.giveUp(now, o, ReasonBusy)
		return
	}
	to, ok := v.ready.Pick(o.key.hash(), d.load, now, d.barredFor(&o.route, func(netip.AddrPort) bool { return false }))
	if !ok {
		d.giveUp(now, o, ReasonBusy)
		return
	}
	o.mayWait = true
	d.sendOffer(now, e, to.Addr)
}

func (d *Director) sendOffer(now time.Time, e *entry, to netip.AddrPort) {
	o := e.open
	e.agent = to
	d.waitFor(&d.queue, o, now.Add(d.cfg.OpenTimeout))
	m := Message{Kind: Open, Service: o.service, Priority: o.route.Priority}
	onTime, wait := o.route.waits(o.copies)
	m.OnTime = onTime
	if o.mayWait {
		m.Wait = wait
	}
	d.send(to, m, o.syn[:o.synLen])
}

// choose returns the agent that the flow is offered to next.
func (d *Director) choose(now time.Time, o *opening) (netip.AddrPort, bool) {
	if o.tries == maxTried {
		return netip.AddrPort{}, false
	}
	if v := d.services[o.service]; v != nil {
		if a, ok := v.ready.Pick(o.key.hash(), d.load, now, d.barredFor(&o.route, o.wasTried)); ok {
			return a.Addr, true
		}
	}
	return d.lastResort(o)
}

// lastResort returns an agent that may serve the flow although nothing good is
// known about it: after a start the agents were introduced but not heard yet,
// and one that was silent may be back. The agent's gate decides.
func (d *Director) lastResort(o *opening) (netip.AddrPort, bool) {
	var best *agent
	var bestRank uint64
	for _, a := range d.agents {
		if a.service != o.service || o.wasTried(a.addr) || !d.inService(a) || !d.mayServe(a, &o.route) {
			continue
		}
		if a.state == ServerDraining || a.state == ServerEnded {
			continue
		}
		rank := o.key.hash() ^ hashAddr(a.addr)
		if a.takesFlows() {
			rank = 0
		}
		if best == nil || rank < bestRank {
			best, bestRank = a, rank
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.addr, true
}

// giveUp ends an offer without success. A flow that was refused for load is
// reset, so that its caller knows at once that nothing ran. If no agent could
// be reached the caller's next copy tries again; after the last copy it would
// wait for nothing.
func (d *Director) giveUp(now time.Time, o *opening, reason Reason) {
	reset := o.busy > 0 || o.copies >= lastCopy
	switch {
	case o.busy > 0:
		reason = ReasonBusy
	case reason == ReasonNoAgent && d.evacuated(o.service):
		reason, reset = ReasonEvacuated, true
	case reason == ReasonNoAgent && d.outOfRegion(o):
		reason, reset = ReasonRegion, true
	}
	d.trace.Abandoned(now, ID{o.key, o.opener}, o.route, reason, o.tries, now.Sub(o.since), reset)
	d.forget(o.key)
	if !reset {
		d.drop(reason)
		return
	}
	d.reset(now, o.key, o.key.strangeSeq(), reason)
}

// outOfRegion reports whether all agents of a flow's service are in regions that its
// route does not name. Its caller is refused at once.
func (d *Director) outOfRegion(o *opening) bool {
	known := false
	for _, a := range d.agents {
		if a.service != o.service || a.gone() {
			continue
		}
		if a.zone == 0 || d.mayServe(a, &o.route) {
			return false
		}
		known = true
	}
	return known
}

// onTaken takes an agent's word that its server answered the caller.
func (d *Director) onTaken(now time.Time, from netip.AddrPort, m *Message) {
	e := d.flows[m.Key]
	if e == nil || e.state != entryOpening {
		return
	}
	d.taken(now, e, from)
}

// taken notes that a flow that was offered is at an agent.
func (d *Director) taken(now time.Time, e *entry, agent netip.AddrPort) {
	o := e.open
	d.stats.Taken++
	d.trace.Taken(now, ID{o.key, o.opener}, o.route, agent, o.tries, now.Sub(o.since))
	d.placed(e, agent)
}

// onRefused offers the flow to the next agent.
func (d *Director) onRefused(now time.Time, from netip.AddrPort, m *Message) {
	d.stats.Refusals[m.Reason]++
	e := d.flows[m.Key]
	if e == nil || e.agent != from {
		return
	}
	if e.state == entryReturning {
		d.askRoom(now, e)
		return
	}
	if e.state == entryPlaced {
		// A copy of the first packet met a server that does not have the flow.
		d.forget(m.Key)
		return
	}
	if e.state != entryOpening {
		return
	}
	d.trace.Refused(now, m.Key, e.open.route, from, m.Reason, m.Occupancy)
	d.next(now, e, m.Reason)
}

func (d *Director) next(now time.Time, e *entry, reason Reason) {
	o := e.open
	if reason == ReasonBusy || reason == ReasonBounced {
		o.busy++
	}
	switch {
	case o.mayWait && reason == ReasonBusy:
		d.giveUp(now, o, ReasonBusy)
	case o.busy >= maxBusy:
		d.offerToWait(now, e)
	default:
		d.offer(now, e)
	}
}

// onQueued notes that the flow waits for room at an agent.
func (d *Director) onQueued(now time.Time, from netip.AddrPort, m *Message) {
	e := d.flows[m.Key]
	if e == nil || e.agent != from {
		return
	}
	switch e.state {
	case entryOpening:
		d.waitFor(&d.queued, e.open, now.Add(queueTimeout))
	case entryReturning:
		r := e.returning
		r.serial = d.nextSerial()
		d.waitingReturns.push(returnDue{r, r.serial, now.Add(returnCheck)})
	}
}

// expireOffers goes on with the flows whose agent has not answered in time.
func (d *Director) expireOffers(now time.Time) {
	d.expire(now, &d.queue)
	d.expire(now, &d.queued)
}

// due is the end of the time that an agent has for its answer.
type due struct {
	o      *opening
	serial uint64 // of the wait; another one has begun if it differs
	at     time.Time
}

// waitFor begins the wait for an agent's answer.
func (d *Director) waitFor(queue *fifo[due], o *opening, at time.Time) {
	o.serial = d.nextSerial()
	queue.push(due{o, o.serial, at})
}

// expire goes through a queue, which is in the order of its times, up to now.
func (d *Director) expire(now time.Time, queue *fifo[due]) {
	for queue.len() > 0 && !queue.first().at.After(now) {
		w := queue.pop()
		if e := d.flows[w.o.key]; e != nil && e.open == w.o && w.o.serial == w.serial {
			d.unanswered(now, e)
		}
	}
}

// unanswered goes on with a flow whose agent let its time pass.
func (d *Director) unanswered(now time.Time, e *entry) {
	d.stats.Refusals[ReasonTimeout]++
	d.trace.Refused(now, e.open.key, e.open.route, e.agent, ReasonTimeout, 0)
	d.setSilent(now, e.agent)
	d.next(now, e, ReasonTimeout)
}
