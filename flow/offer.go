package flow

import (
	"math"
	"net/netip"
	"time"
)

// onFirstPacket handles a first packet, or a copy of one.
func (d *Director) onFirstPacket(now time.Time, e *entry, s *Segment, packet []byte) {
	routes := d.orders.Routes
	if routes == nil {
		d.countDropped(ReasonNoRoute)
		return
	}
	// Callers reuse their ports: another sequence number means a new flow.
	if e != nil && (e.state == entryOpening || e.state == entryPlaced) && e.opener == s.Seq {
		e.lastPacketAt = now
		if e.state == entryOpening {
			e.open.copies = max(e.open.copies, s.Ack)
			return // the offer in progress continues at its timeout
		}
		if a := d.agents[e.agent]; a != nil && !a.unresponsive {
			// The server's answer was lost; the same server answers again.
			route, _ := routes.Lookup(s.Key.ServiceAddr())
			d.send(e.agent, route.offerMessage(route.copyService(s.Key, a)), packet)
			return
		}
	}
	d.removeEntry(s.Key)
	route, ok := routes.Lookup(s.Key.ServiceAddr())
	if !ok {
		d.reset(now, s.Key, s.Key.mismatchedSeq(), ReasonNoRoute)
		return
	}
	d.startOffer(now, route, s, packet)
}

// mismatchedSeq returns a sequence number for a reset that must end a flow only if it
// is not open: a copy of a first packet may arrive late, when its flow is already open.
// An open flow accepts a reset only near the sequence number that its server drew,
// which this number hits with a probability of 4 in 100,000.
func (k Key) mismatchedSeq() uint32 { return uint32(k.hash() >> 32) }

// startOffer adds a flow and offers it to the first agent.
func (d *Director) startOffer(now time.Time, route Route, s *Segment, packet []byte) {
	if len(packet) > maxFirstPacketSize || d.offerTimeouts.len() >= d.cfg.MaxOpening {
		d.countDropped(ReasonOverflow)
		return
	}
	e := d.addEntry(now, s.Key)
	if e == nil {
		d.countDropped(ReasonOverflow)
		return
	}
	o := d.free.opening()
	o.key, o.opener, o.route, o.service, o.startedAt, o.copies = s.Key, s.Seq, route, route.ServiceFor(s.Key), now, s.Ack
	o.synLen = copy(o.syn[:], packet)
	e.state = entryOpening
	e.opener = s.Seq
	e.open = o
	d.stats.Offered++
	if to, ok := d.chooseTrial(o); ok {
		o.trial = true
		d.offerTo(now, e, to)
		return
	}
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
		d.abandon(now, o, ReasonNoAgent)
		return
	}
	d.offerTo(now, e, to)
}

// offerTo offers the flow to an agent that has not been tried.
func (d *Director) offerTo(now time.Time, e *entry, to netip.AddrPort) {
	o := e.open
	o.tried[o.tries] = to
	o.tries++
	d.sendOffer(now, e, to)
}

// offerToWait lets the flow wait at the least loaded agent, after the best agents had
// no capacity. A refused caller retries at once, and gives up after a few refusals, so
// a short wait serves it better. A free agent of another service of the flow's split is
// better still.
func (d *Director) offerToWait(now time.Time, e *entry) {
	if d.spill(now, e) {
		return
	}
	o := e.open
	v := d.tables(o.service)
	if o.mayWait || v == nil {
		d.abandon(now, o, ReasonBusy)
		return
	}
	to, ok := v.ready.Pick(o.key.hash(), d.load, now, d.excludedFor(&o.route, func(netip.AddrPort) bool { return false }))
	if !ok {
		d.abandon(now, o, ReasonBusy)
		return
	}
	o.mayWait = true
	d.sendOffer(now, e, to.Addr)
}

func (d *Director) sendOffer(now time.Time, e *entry, to netip.AddrPort) {
	o := e.open
	e.agent = to
	d.startTimeout(&d.offerTimeouts, o, now.Add(d.cfg.OpenTimeout))
	m := o.route.offerMessage(o.service)
	onTime, wait := o.route.waitLimits(o.copies)
	m.OnTime, m.Trial = onTime, o.trial
	if o.mayWait {
		m.Wait = wait
	}
	d.send(to, m, o.syn[:o.synLen])
}

// choose returns the agent that the flow is offered to next.
func (d *Director) choose(now time.Time, o *opening) (netip.AddrPort, bool) {
	if o.tries == maxOffers {
		return netip.AddrPort{}, false
	}
	if v := d.tables(o.service); v != nil {
		if a, ok := v.ready.Pick(o.key.hash(), d.load, now, d.excludedFor(&o.route, o.wasTried)); ok {
			return a.Addr, true
		}
	}
	return d.lastResort(o)
}

// lastResort returns an agent of the service that is not known to be ready. After a
// start, agents have been added but have not reported yet, and an unresponsive one may
// have recovered. The agent's gate decides. An agent that is left out is used after all
// others, and not while a busy one can let the flow wait.
func (d *Director) lastResort(o *opening) (netip.AddrPort, bool) {
	var best *agent
	var bestRank uint64
	for _, a := range d.agentsOf(o.service) {
		if o.wasTried(a.addr) || !d.inService(a) || !d.mayServe(a, &o.route) {
			continue
		}
		if a.state == ServerDraining || a.state == ServerEnded {
			continue
		}
		rank := o.key.hash() ^ hashAddr(a.addr)
		switch {
		case !d.leftOut(a):
			if d.takesFlows(a) {
				rank = 0
			}
		case o.busy > 0:
			continue
		default:
			rank = math.MaxUint64
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

// abandon ends an offer that no agent accepted. A flow that was refused because of load
// is reset, so that its caller knows at once that its request did not run. If no agent
// could be reached, the caller's next copy of the first packet tries again; after the
// last copy the flow is reset, because the caller would wait in vain.
func (d *Director) abandon(now time.Time, o *opening, reason Reason) {
	reset := o.busy > 0 || o.copies >= lastRetransmission
	switch {
	case o.busy > 0:
		reason = ReasonBusy
	case reason == ReasonNoAgent && d.evacuated(o.service):
		reason, reset = ReasonEvacuated, true
	case reason == ReasonNoAgent && d.outOfRegions(o):
		reason, reset = ReasonRegion, true
	}
	d.trace.Abandoned(now, ID{o.key, o.opener}, o.route, reason, o.tries, now.Sub(o.startedAt), reset)
	d.removeEntry(o.key)
	if !reset {
		d.countDropped(reason)
		return
	}
	d.reset(now, o.key, o.key.mismatchedSeq(), reason)
}

// outOfRegions reports whether all agents of a flow's service are in regions that its
// route does not name. Its caller is refused at once.
func (d *Director) outOfRegions(o *opening) bool {
	known := false
	for _, a := range d.agentsOf(o.service) {
		if a.ended() {
			continue
		}
		if a.zone == 0 || d.mayServe(a, &o.route) {
			return false
		}
		known = true
	}
	return known
}

// onTaken handles an agent's message that its server answered the caller.
func (d *Director) onTaken(now time.Time, from netip.AddrPort, m *Message) {
	e := d.flows[m.Key]
	if e == nil || e.state != entryOpening {
		return
	}
	d.recordTaken(now, e, from)
}

// recordTaken records that an offered flow is held by an agent.
func (d *Director) recordTaken(now time.Time, e *entry, agent netip.AddrPort) {
	o := e.open
	d.stats.Taken++
	if agent == o.spill.agent {
		d.stats.Spilled++
	}
	d.trace.Taken(now, ID{o.key, o.opener}, o.route, agent, o.tries, now.Sub(o.startedAt))
	d.setHolder(e, agent)
}

// onRefused offers the flow to the next agent.
func (d *Director) onRefused(now time.Time, from netip.AddrPort, m *Message) {
	d.stats.Refusals[m.Reason]++
	e := d.flows[m.Key]
	if e == nil || e.agent != from {
		return
	}
	if e.state == entryResetPending {
		d.reserveOrReset(now, e)
		return
	}
	if e.state == entryPlaced {
		// A copy of the first packet arrived at a server that does not hold the flow.
		d.removeEntry(m.Key)
		return
	}
	if e.state != entryOpening {
		return
	}
	d.trace.Refused(now, m.Key, e.open.route, from, m.Reason, m.Occupancy)
	d.offerNext(now, e, m.Reason)
}

func (d *Director) offerNext(now time.Time, e *entry, reason Reason) {
	o := e.open
	if o.spill.active {
		o.spill.active = false
		d.offerToWait(now, e)
		return
	}
	if o.trial {
		// The agent serves one trial at a time. Its refusal says nothing about the load of
		// the others.
		o.trial = false
		d.offer(now, e)
		return
	}
	if reason == ReasonBusy || reason == ReasonBounced {
		o.busy++
	}
	switch {
	case o.mayWait && reason == ReasonBusy:
		d.abandon(now, o, ReasonBusy)
	case o.busy >= maxBusyRefusals:
		d.offerToWait(now, e)
	default:
		d.offer(now, e)
	}
}

// onQueued records that the flow waits for capacity at an agent.
func (d *Director) onQueued(now time.Time, from netip.AddrPort, m *Message) {
	e := d.flows[m.Key]
	if e == nil || e.agent != from {
		return
	}
	switch e.state {
	case entryOpening:
		d.startTimeout(&d.queueTimeouts, e.open, now.Add(queueTimeout))
	case entryResetPending:
		r := e.reset
		r.serial = d.nextSerial()
		d.queuedResets.push(resetTimeout{r, r.serial, now.Add(resetCheckInterval)})
	}
}

// expireOffers continues with the flows whose agent has not answered in time.
func (d *Director) expireOffers(now time.Time) {
	d.expire(now, &d.offerTimeouts)
	d.expire(now, &d.queueTimeouts)
}

// offerTimeout is the deadline of an agent's answer.
type offerTimeout struct {
	opening *opening
	serial  uint64 // of the wait; if the opening's differs, another wait has begun
	at      time.Time
}

// startTimeout starts the wait for an agent's answer.
func (d *Director) startTimeout(queue *fifo[offerTimeout], o *opening, at time.Time) {
	o.serial = d.nextSerial()
	queue.push(offerTimeout{o, o.serial, at})
}

// expire handles the timeouts of a queue, which is ordered by time, up to now.
func (d *Director) expire(now time.Time, queue *fifo[offerTimeout]) {
	for queue.len() > 0 && !queue.first().at.After(now) {
		w := queue.pop()
		if e := d.flows[w.opening.key]; e != nil && e.open == w.opening && w.opening.serial == w.serial {
			d.onOfferTimeout(now, e)
		}
	}
}

// onOfferTimeout continues with a flow whose agent did not answer in time.
func (d *Director) onOfferTimeout(now time.Time, e *entry) {
	d.stats.Refusals[ReasonTimeout]++
	d.trace.Refused(now, e.open.key, e.open.route, e.agent, ReasonTimeout, 0)
	d.setUnresponsive(now, e.agent)
	d.offerNext(now, e, ReasonTimeout)
}
