package flow

import (
	"net/netip"
	"slices"
	"time"
)

// onUnknownFlow handles a packet of a flow that this balancer does not know, because
// routers have recently moved the flow here or the balancer has restarted.
func (d *Director) onUnknownFlow(now time.Time, s *Segment, packet []byte) {
	if s.Rst {
		d.countDropped(ReasonNotHeld)
		return
	}
	e := d.addEntry(now, s.Key)
	if e == nil {
		d.countDropped(ReasonOverflow)
		return
	}
	d.stats.Lookups++
	d.startLookup(now, e, s, packet, false)
}

// startLookup queries the agents that may hold the flow: those among which it was
// placed, or all of the fleet. The query carries the packet if possible, and the agent
// that holds the flow forwards it at once, so a flow that is found is not delayed.
func (d *Director) startLookup(now time.Time, e *entry, s *Segment, packet []byte, all bool) {
	d.free.release(e)
	l := d.free.lookup()
	l.serial, l.startedAt, l.allQueried, l.lastAttemptAt, l.segment = d.nextSerial(), now, all, now, *s
	l.lastRetry = maxQueryAttempts
	l.packet = append(l.packet, packet...)
	e.state = entryLookup
	e.lookup = l
	var targets []netip.AddrPort
	if v := d.serviceOf(s.Key); !all && v != nil && len(d.agents) > queryAllLimit {
		targets = v.all.AppendRanked(s.Key.hash(), lookupFanout, d.targetScratch[:0])
		d.targetScratch = targets
	} else {
		l.allQueried = true
		targets = d.agentsNotQueried(l)
	}
	d.trace.LookupStarted(now, s.Key, len(targets), l.allQueried)
	if len(targets) == 0 {
		d.countDropped(ReasonNoAgent)
		d.removeEntry(s.Key)
		return
	}
	d.queryAgents(l, targets)
	d.scheduleRetry(now, l)
}

// scheduleRetry schedules another query to the agents that do not answer. One of some
// dozens of queries and answers is easily lost, and a missing one leaves the caller of
// an ended flow waiting for its deadline.
func (d *Director) scheduleRetry(now time.Time, l *lookup) {
	d.lookupRetries.push(lookupRetry{lookupRef{l, l.serial}, now.Add(queryRetryInterval)})
}

// neverSentMessage reports whether this balancer knows an agent only by others.
func (d *Director) neverSentMessage(addr netip.AddrPort) bool {
	a := d.agents[addr]
	return a != nil && a.lastReceivedAt.IsZero()
}

// extendRetries gives agents that are queried later than others as much time to answer. Those
// that have sent a message before are not ruled out by their silence.
func (d *Director) extendRetries(now time.Time, l *lookup) {
	l.lastRetry = l.retries + maxQueryAttempts
	if l.retriesEnded {
		l.retriesEnded = false
		d.scheduleRetry(now, l)
	}
}

// blockLookup has a lookup checked again once fewer agents have to answer.
func (d *Director) blockLookup(l *lookup) {
	if !l.blocked {
		l.blocked = true
		d.blockedLookups = append(d.blockedLookups, lookupRef{l, l.serial})
	}
}

// resumeBlocked continues the lookups that waited for an agent's answer once that
// answer is no longer required. If lookups resumed only with the callers' packets, whose
// intervals grow to 1.6 s, the callers of 377 of 623 flows that ended in a power loss
// would not be notified before their deadline of 2 s.
func (d *Director) resumeBlocked(now time.Time) {
	if !d.recheckBlocked {
		return
	}
	d.recheckBlocked = false
	blocked := d.blockedLookups
	d.blockedLookups = nil
	for _, ref := range blocked {
		if !ref.ended() {
			ref.lookup.blocked = false
			d.conclude(now, ref.lookup)
		}
	}
}

// retryLookups queries the agents that have not answered in time again.
func (d *Director) retryLookups(now time.Time) {
	for d.lookupRetries.len() > 0 && !d.lookupRetries.first().at.After(now) {
		a := d.lookupRetries.pop()
		l := a.lookup
		if a.ended() {
			continue
		}
		if l.hasPendingQuery() {
			d.scheduleRetry(now, l)
			continue
		}
		l.retries++
		if l.retries <= l.lastRetry {
			d.queryAgents(l, d.unansweredTargets(l))
			d.scheduleRetry(now, l)
			continue
		}
		l.retriesEnded = true // silent agents have had time to answer
		d.conclude(now, l)
	}
}

// hasPendingQuery reports whether the query to some agent has not been sent yet. On a
// slow link it is sent late, and querying the others again would delay it further.
func (l *lookup) hasPendingQuery() bool {
	for i := range l.targets {
		if l.targets[i].queryPending {
			return true
		}
	}
	return false
}

// unansweredTargets returns the agents that were queried and have not answered.
func (d *Director) unansweredTargets(l *lookup) []netip.AddrPort {
	list := d.targetScratch[:0]
	for i := range l.targets {
		if q := &l.targets[i]; !q.answered && !q.queryPending && d.agents[q.agent] != nil {
			list = append(list, q.agent)
		}
	}
	d.targetScratch = list
	return list
}

// queryAgents queries agents for a flow. If no other lookup was sent recently, the
// query carries the flow's packet and is sent at once, so that a flow that is found is
// not delayed; otherwise it waits for its place in the queue.
func (d *Director) queryAgents(l *lookup, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	atOnce := d.queries.idle(d.now) && len(targets) <= queryAllLimit
	l.addTargets(targets)
	for _, addr := range targets {
		if atOnce {
			d.sendRequest(addr, Message{Kind: Lookup}, l.packet)
			continue
		}
		l.target(addr).queryPending = true
		d.queries.add(addr, l)
	}
	if atOnce {
		d.queries.charge(d.now, len(targets), len(targets)*len(l.packet))
	}
}

// sendRequest sends a message that an agent has to answer.
func (d *Director) sendRequest(to netip.AddrPort, m Message, packet []byte) {
	if a := d.agents[to]; a != nil {
		d.recordRequest(d.now, a)
		if m.Kind == Lookup || m.Kind == Query {
			m.ListVersion = a.listVersion
		}
	}
	d.send(to, m, packet)
}

// agentsNotQueried returns the agents that were not queried for a flow.
func (d *Director) agentsNotQueried(l *lookup) []netip.AddrPort {
	list := d.targetScratch[:0]
	for addr, a := range d.agents {
		if !a.ended() && l.target(addr) == nil {
			list = append(list, addr)
		}
	}
	d.targetScratch = list
	return list
}

// serviceOf returns the service of a flow's route, nil if there is none.
func (d *Director) serviceOf(key Key) *service {
	if d.orders.Routes == nil {
		return nil
	}
	route, ok := d.orders.Routes.Lookup(key.ServiceAddr())
	if !ok {
		return nil
	}
	return d.tables(route.ServiceFor(key))
}

// continueLookup handles a further packet of a flow that is being looked up. It is
// buffered until an agent answers that it holds the flow: sending each packet of a
// download to all agents would take a small VM's whole processor. A packet that arrives
// after a caller's retransmission time triggers another query to the agents that have
// not answered, and so does the first one with data: an agent that has restarted sees
// whether its server holds the flow by the server's reaction, and a server does not
// react to a packet without data. Answers received before remain valid, unless the packet belongs
// to another flow from the same port: then the lookup starts again for that one.
func (d *Director) continueLookup(now time.Time, e *entry, s *Segment, packet []byte) {
	l := e.lookup
	if !l.segment.near(s) {
		if s.Rst {
			d.countDropped(ReasonNotHeld)
			return
		}
		d.startLookup(now, e, s, packet, false)
		return
	}
	first := s.Data > 0 && l.segment.Data == 0
	due := now.Sub(l.lastAttemptAt) >= minRetransmissionTime
	if replaces := s.Data > 0 || l.segment.Data == 0; replaces && (first || due) {
		l.segment = *s
		l.packet = append(l.packet[:0], packet...)
	} else if !l.buffer(packet) {
		d.countDropped(ReasonOverflow)
	}
	if !first && !due {
		return
	}
	l.lastAttemptAt = now
	d.queryAgents(l, d.unansweredTargets(l))
	d.conclude(now, l)
}

// buffer copies a packet for the agent that holds the flow, reusing the memory of an
// earlier one if possible. It reports whether there was space.
func (l *lookup) buffer(packet []byte) bool {
	n := len(l.buffered)
	if n == maxBufferedPackets {
		return false
	}
	if n == cap(l.buffered) {
		l.buffered = append(l.buffered, nil)
	} else {
		l.buffered = l.buffered[:n+1]
	}
	l.buffered[n] = append(l.buffered[n][:0], packet...)
	return true
}

// onHeld handles an agent's answer that its server holds a flow that was looked up.
func (d *Director) onHeld(now time.Time, from netip.AddrPort, m *Message) {
	if e := d.flows[m.Key]; e != nil && e.state == entryLookup {
		d.completeLookup(now, e, from, false)
	}
}

// completeLookup ends a lookup. The agent gets the buffered packets, and the one that
// started the lookup if it was queried without it.
func (d *Director) completeLookup(now time.Time, e *entry, at netip.AddrPort, withFirst bool) {
	l := e.lookup
	d.stats.Found++
	d.trace.Found(now, l.segment.Key, at, now.Sub(l.lastAttemptAt))
	d.setHolder(e, at)
	if withFirst {
		d.forward(at, l.packet)
	}
	for _, packet := range l.buffered {
		d.forward(at, packet)
	}
}

// onNotHeld handles an agent's answer that its server does not hold a flow. s is the
// header of the packet if the agent returned it, as it does with a packet that was
// forwarded to it as the flow's holder.
func (d *Director) onNotHeld(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	e := d.flows[m.Key]
	if e == nil {
		return
	}
	switch {
	case m.Reason == ReasonLost && m.ResetSeq != 0:
		d.onLostNotice(now, e, from, m)
	case m.Reason == ReasonLost && e.state == entryLookup:
		d.endFlow(now, e, &e.lookup.segment, ReasonLost)
	case m.Reason == ReasonLost && e.agent == from && s != nil:
		d.endFlow(now, e, s, ReasonLost)
	case e.state == entryPlaced && e.agent == from && s != nil:
		d.startLookup(now, e, s, packet, false)
		if e.lookup != nil {
			e.lookup.addTargets([]netip.AddrPort{from})
		}
		d.recordNotHeld(now, e, from, m)
	case e.state == entryPlaced && e.agent == from && m.Reason == ReasonNotHeld:
		// A restarted agent has learned from its server's reaction to a packet that the
		// server does not hold the flow. The caller's next packet is looked up.
		d.removeEntry(m.Key)
	case e.state == entryLookup:
		d.recordNotHeld(now, e, from, m)
	}
}

// recordNotHeld records that an agent's server does not hold a flow that is being
// looked up.
func (d *Director) recordNotHeld(now time.Time, e *entry, from netip.AddrPort, m *Message) {
	if e.lookup == nil || !d.agents[from].listKnown(m) {
		return
	}
	q := e.lookup.target(from)
	if q == nil || m.Kind == NotHeld && m.ResetSeq != 0 && !nearNumber(m.ResetSeq, e.lookup.segment.Ack) {
		// This answers a query for another flow from the same port.
		return
	}
	q.answered = true
	d.conclude(now, e.lookup)
}

// conclude continues the lookup of a flow that the agents queried so far do not hold:
// it queries the others, and resets the flow once it is certain that none holds it.
func (d *Director) conclude(now time.Time, l *lookup) {
	for l.answeredPrefix < len(l.targets) && l.targets[l.answeredPrefix].answered {
		l.answeredPrefix++
	}
	silent := false // agents that get time to answer while the others are queried
	for i := l.answeredPrefix; i < len(l.targets); i++ {
		q := &l.targets[i]
		if d.ruledOut(now, l, q) {
			continue
		}
		if !d.answerOptional(now, d.agents[q.agent]) {
			d.blockLookup(l)
			return
		}
		silent = true
	}
	if others := d.agentsNotQueried(l); len(others) > 0 {
		l.allQueried = true
		d.queryAgents(l, others)
		if slices.ContainsFunc(others, d.neverSentMessage) {
			d.extendRetries(now, l)
		}
		return
	}
	if silent {
		d.blockLookup(l)
		return
	}
	if !d.knowsAllAgents(now) || !d.membersConfirmed(now, l) {
		if !l.undecided {
			l.undecided = true
			d.undecidedLookups = append(d.undecidedLookups, l)
		}
		return
	}
	if e := d.flows[l.segment.Key]; e != nil {
		d.trace.NotHeld(now, l.segment.Key, len(l.targets), d.discoveryBasis(), d.memberCheck.confirmedBy)
		d.endFlow(now, e, &l.segment, ReasonNotHeld)
	}
}

// resumeUndecided continues the lookups that found no holder while this balancer had
// recently started, some agents had failed, or other balancers had not confirmed its
// member list. Waiting for the callers' next packets, which come at growing intervals,
// would take seconds.
func (d *Director) resumeUndecided(now time.Time) {
	if len(d.undecidedLookups) == 0 || !d.knowsAllAgents(now) {
		return
	}
	lookups := d.undecidedLookups
	d.undecidedLookups = nil
	for _, l := range lookups {
		l.undecided = false
		if e := d.flows[l.segment.Key]; e != nil && e.lookup == l {
			d.conclude(now, l)
		}
	}
}
