package flow

import (
	"net/netip"
	"time"
)

// unknown takes a packet of a flow that this balancer does not know: routers
// have just begun to hand it the flow, or it has started.
func (d *Director) unknown(now time.Time, s *Segment, packet []byte) {
	if s.Rst {
		d.drop(ReasonNotHeld)
		return
	}
	e := d.remember(now, s.Key)
	if e == nil {
		d.drop(ReasonOverflow)
		return
	}
	d.stats.Lookups++
	d.seek(now, e, s, packet, false)
}

// seek sends the packet to the agents that may hold the flow: those that it was
// placed among, or all of the fleet. The one that holds it passes the packet on
// at once, so a flow that is found loses no time.
func (d *Director) seek(now time.Time, e *entry, s *Segment, packet []byte, all bool) {
	d.spare.release(e)
	k := d.spare.seek()
	k.serial, k.begun, k.all, k.since, k.segment = d.nextSerial(), now, all, now, *s
	k.packet = append(k.packet, packet...)
	e.state = entrySought
	e.seek = k
	var targets []netip.AddrPort
	if v := d.serviceOf(s.Key); !all && v != nil && len(d.agents) > askAllUpTo {
		targets = v.all.AppendRanked(s.Key.hash(), askFirst, d.targets[:0])
		d.targets = targets
	} else {
		k.all = true
		targets = d.notAsked(k)
	}
	d.trace.LookupStarted(now, s.Key, len(targets), k.all)
	if len(targets) == 0 {
		d.drop(ReasonNoAgent)
		d.forget(s.Key)
		return
	}
	d.ask(k, targets)
	d.askLater(now, k)
}

// askLater has the agents that do not answer asked again: of some dozens of
// questions and answers one is easily lost, and one that is missing leaves the
// caller of a dead flow waiting for its deadline.
func (d *Director) askLater(now time.Time, k *seek) {
	if k.again < maxAsked {
		d.asking.push(asking{seekRef{k, k.serial}, now.Add(askEvery)})
	}
}

// block has a search looked at again once there are fewer agents to wait for.
func (d *Director) block(k *seek) {
	if !k.blocked {
		k.blocked = true
		d.blocked = append(d.blocked, seekRef{k, k.serial})
	}
}

// concludeBlocked comes back to the searches that waited for an agent's answer,
// once an agent need not answer any more. Their callers' packets come at intervals
// that grow to 1.6 s: of 623 flows that ended in a loss of power 377 ran into
// their callers' deadline of 2 s when only those packets woke their searches up.
func (d *Director) concludeBlocked(now time.Time) {
	if !d.fewer {
		return
	}
	d.fewer = false
	blocked := d.blocked
	d.blocked = nil
	for _, ref := range blocked {
		if !ref.ends() {
			ref.k.blocked = false
			d.conclude(now, ref.k)
		}
	}
}

// askAgain asks the agents that have not answered in time.
func (d *Director) askAgain(now time.Time) {
	for d.asking.len() > 0 && !d.asking.first().at.After(now) {
		a := d.asking.pop()
		k := a.k
		if a.ends() {
			continue
		}
		if !k.waits() {
			k.again++
			d.ask(k, d.unanswering(k))
		}
		d.askLater(now, k)
	}
}

// waits reports whether some agent has not been asked yet: its turn comes late on a
// slow link, and asking the others again would only put it off.
func (k *seek) waits() bool {
	for i := range k.asked {
		if k.asked[i].waits {
			return true
		}
	}
	return false
}

// unanswering returns the agents that were asked and have not answered.
func (d *Director) unanswering(k *seek) []netip.AddrPort {
	list := d.targets[:0]
	for i := range k.asked {
		if q := &k.asked[i]; !q.answered && !q.waits && d.agents[q.agent] != nil {
			list = append(list, q.agent)
		}
	}
	d.targets = list
	return list
}

// ask asks agents for a flow: with its packet if no search went before it lately,
// so that a flow that is found loses no time, else when it is their turn.
func (d *Director) ask(k *seek, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	atOnce := d.queries.idle(d.now) && len(targets) <= askAllUpTo
	for _, addr := range targets {
		q := k.question(addr)
		if q == nil {
			k.asked = append(k.asked, question{agent: addr})
			q = &k.asked[len(k.asked)-1]
		}
		if atOnce {
			d.question(addr, Message{Kind: Lookup}, k.packet)
			continue
		}
		q.waits = true
		d.queries.add(addr, k)
	}
	if atOnce {
		d.queries.charge(d.now, len(targets), len(targets)*len(k.packet))
	}
}

// question sends a message that an agent has to answer.
func (d *Director) question(to netip.AddrPort, m Message, packet []byte) {
	if a := d.agents[to]; a != nil {
		a.noteQuestion(d.now)
	}
	d.send(to, m, packet)
}

// notAsked returns the agents that a sought flow was not looked for at.
func (d *Director) notAsked(k *seek) []netip.AddrPort {
	list := d.targets[:0]
	for addr, a := range d.agents {
		if !a.gone() && k.question(addr) == nil {
			list = append(list, addr)
		}
	}
	d.targets = list
	return list
}

// serviceOf returns the service that a flow's route leads to, nil if none does.
func (d *Director) serviceOf(key Key) *service {
	if d.orders.Routes == nil {
		return nil
	}
	route, ok := d.orders.Routes.Lookup(key.ServiceAddr())
	if !ok {
		return nil
	}
	return d.services[route.ServiceFor(key)]
}

// seekAgain takes a further packet of a flow that is being looked for. It is
// kept until an agent says that it holds the flow: asking all with each packet
// of a download would take a small VM's whole processor. A packet that comes
// after a caller's retransmission time is another try at those that have not
// answered, and so is the first one with data: an agent that has restarted learns from
// its server's reaction whether the server holds the flow, and a server does not react to
// a packet without data. What the others have said holds.
func (d *Director) seekAgain(now time.Time, e *entry, s *Segment, packet []byte) {
	k := e.seek
	first := s.Data > 0 && k.segment.Data == 0
	due := now.Sub(k.since) >= retransmission
	if replaces := s.Data > 0 || k.segment.Data == 0; replaces && (first || due) {
		k.segment = *s
		k.packet = append(k.packet[:0], packet...)
	} else if !k.keep(packet) {
		d.drop(ReasonOverflow)
	}
	if !first && !due {
		return
	}
	k.since = now
	d.ask(k, d.unanswering(k))
	d.conclude(now, k)
}

// keep copies a packet for whoever holds the flow, into memory of an earlier
// one if there is some. It reports whether there was room.
func (k *seek) keep(packet []byte) bool {
	n := len(k.kept)
	if n == maxKept {
		return false
	}
	if n == cap(k.kept) {
		k.kept = append(k.kept, nil)
	} else {
		k.kept = k.kept[:n+1]
	}
	k.kept[n] = append(k.kept[n][:0], packet...)
	return true
}

// onHeld takes an agent's word that it holds a flow that was looked for.
func (d *Director) onHeld(now time.Time, from netip.AddrPort, m *Message) {
	if e := d.flows[m.Key]; e != nil && e.state == entrySought {
		d.found(now, e, from, false)
	}
}

// found ends a search. The agent gets the packets that were kept, and the one
// that began the search if it was asked without it.
func (d *Director) found(now time.Time, e *entry, at netip.AddrPort, withFirst bool) {
	k := e.seek
	d.stats.Found++
	d.trace.Found(now, k.segment.Key, at, now.Sub(k.since))
	d.placed(e, at)
	if withFirst {
		d.pass(at, k.packet)
	}
	for _, packet := range k.kept {
		d.pass(at, packet)
	}
}

// onNotHeld takes an agent's word that it does not hold a flow. s is the header
// of the packet if the agent sent it back, as it does with one that was passed
// to it as the flow's holder.
func (d *Director) onNotHeld(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	e := d.flows[m.Key]
	if e == nil {
		return
	}
	switch {
	case m.Reason == ReasonLost && e.state == entrySought:
		d.lost(now, e, &e.seek.segment, ReasonLost)
	case m.Reason == ReasonLost && e.agent == from && s != nil:
		d.lost(now, e, s, ReasonLost)
	case e.state == entryPlaced && e.agent == from && s != nil:
		d.seek(now, e, s, packet, false)
		if e.seek != nil && e.seek.question(from) == nil {
			e.seek.asked = append(e.seek.asked, question{agent: from})
		}
		d.answered(now, e, from)
	case e.state == entrySought:
		d.answered(now, e, from)
	}
}

// answered notes that an agent does not hold a flow that is being looked for.
func (d *Director) answered(now time.Time, e *entry, from netip.AddrPort) {
	if e.seek == nil {
		return
	}
	q := e.seek.question(from)
	if q == nil {
		// The answer to a question for an earlier flow from the same port.
		return
	}
	q.answered = true
	d.conclude(now, e.seek)
}

// conclude goes on with a flow that those asked so far do not hold: it asks the
// others, and resets the flow when nobody is left. Until all have answered, and
// until this balancer knows all of them, it does not: a reset to a flow that
// lives breaks it.
func (d *Director) conclude(now time.Time, k *seek) {
	for i := range k.asked {
		q := &k.asked[i]
		told := q.answered || q.unsure && d.everyoneStarted
		if a := d.agents[q.agent]; !told && a != nil && !d.absent(now, a) {
			d.block(k)
			return
		}
	}
	if others := d.notAsked(k); len(others) > 0 {
		k.all = true
		d.ask(k, others)
		return
	}
	if !d.complete(now) || !d.confirmed(now, k) {
		if !k.unsure {
			k.unsure = true
			d.unsure = append(d.unsure, k)
		}
		return
	}
	if e := d.flows[k.segment.Key]; e != nil {
		d.lost(now, e, &k.segment, ReasonNotHeld)
	}
}

// complete reports whether every agent that may hold a flow is known and was not
// lost from sight: behind a cut, an agent and its flows live on.
func (d *Director) complete(now time.Time) bool {
	return d.sure(now) && len(d.missing) == 0
}

// concludeUnsure comes back to the flows that nobody held when this balancer had
// just started, had lost agents from sight, or waited for others to confirm its
// roster. Their callers repeat their packets at growing intervals; waiting for the
// next one would take seconds.
func (d *Director) concludeUnsure(now time.Time) {
	if len(d.unsure) == 0 || !d.complete(now) {
		return
	}
	unsure := d.unsure
	d.unsure = nil
	for _, k := range unsure {
		k.unsure = false
		if e := d.flows[k.segment.Key]; e != nil && e.seek == k {
			d.conclude(now, k)
		}
	}
}

// absent reports whether an agent need not answer: it has fallen silent, and its
// server held no flow before; or it was introduced and never heard since, long
// enough for it to have answered: a key of the store outlives its process. One
// that another balancer has heard may stand still for a while, with its server's flows.
func (d *Director) absent(now time.Time, a *agent) bool {
	switch {
	case a.gone() || a.silent && a.empty:
		return true
	case a.empty && a.asked >= maxAsked && now.Sub(a.askedAt) >= maxAsked*askEvery:
		// Its server held no flow, and it has left every question unanswered. After a
		// loss of power VMs whose servers had left start once more and are taken away;
		// waited for as long as for others, each held up all searches for half a second.
		return true
	case !a.heard.IsZero():
		return false
	case a.empty && a.unanswering(now):
		return true
	}
	limit := absentAfter
	if a.vouched && !a.empty {
		limit = d.cfg.AgentExpiry
	}
	return now.Sub(a.introduced) >= limit
}
