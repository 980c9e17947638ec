package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// announceInterval is how long agents are collected before they are announced to other
	// balancers. After a power loss of the whole fleet each balancer learns of many agents
	// within milliseconds.
	announceInterval = 10 * time.Millisecond
	// announcePause is the shortest time between two groups of announcements of a kind. It
	// bounds their rate whatever happens to the fleet.
	announcePause = 50 * time.Millisecond
	// announceFanout is the number of balancers that an announcement is sent to. Those to
	// which it is new announce it to as many others, so it reaches 98 of 100 balancers with
	// four messages of each, however many there are.
	announceFanout = 4
	// announceSuccessors is the number of these that follow the sender in the ring of all
	// balancers: the second takes the place of a first that has failed.
	announceSuccessors = 2
	// repeatInterval is the time after which an announcement is sent once more, to other
	// balancers: two leave out three of 10,000 balancers. For a balancer that does not learn
	// of an end the agent counts as failed, and an agent whose return it does not learn of
	// gets no flows of it until its next hello message in turn.
	repeatInterval = 300 * time.Millisecond
	// maxEndAge is the age up to which an announced end is accepted. The address of an
	// agent may be given to another one after a longer time.
	maxEndAge = 1500 * time.Millisecond
	// maxFailureAge is the age of the first message that an agent left unanswered up to which
	// its announced failure is accepted: the time in which a failure is noticed, and its
	// spread.
	maxFailureAge = 4 * time.Second
)

// announcements collects agents to announce to other balancers.
type announcements struct {
	kind    MessageKind
	pending fifo[announcement]
	repeats fifo[announcement]          // were announced once, ordered by time
	names   map[netip.AddrPort]struct{} // of the agents in pending
	sentAt  time.Time
}

// announcement is an agent to announce.
type announcement struct {
	member member
	at     time.Time // when it is announced
}

func newAnnouncements(kind MessageKind) announcements {
	return announcements{kind: kind, names: make(map[netip.AddrPort]struct{})}
}

// add has an agent announced, unless that is pending already.
func (l *announcements) add(now time.Time, m member) {
	if _, pending := l.names[m.addr]; pending {
		return
	}
	l.names[m.addr] = struct{}{}
	l.pending.push(announcement{m, later(now.Add(announceInterval), l.sentAt.Add(announcePause))})
}

// due returns when the next announcement is due; ok is false if there is none.
func (l *announcements) due() (at time.Time, ok bool) {
	for _, list := range [...]*fifo[announcement]{&l.pending, &l.repeats} {
		if list.len() > 0 && (!ok || list.first().at.Before(at)) {
			at, ok = list.first().at, true
		}
	}
	return at, ok
}

// take removes and returns the agents to announce: once the first of the pending ones is
// due all of them, at most as many as fit a message.
func (l *announcements) take(now time.Time) []member {
	var list []member
	if l.pending.len() > 0 && !l.pending.first().at.After(now) {
		for l.pending.len() > 0 && len(list) < membersPerMessage {
			m := l.pending.pop().member
			delete(l.names, m.addr)
			list = append(list, m)
			l.repeats.push(announcement{m, now.Add(repeatInterval)})
		}
	}
	for l.repeats.len() > 0 && !l.repeats.first().at.After(now) && len(list) < membersPerMessage {
		list = append(list, l.repeats.pop().member)
	}
	if len(list) > 0 {
		l.sentAt = now
	}
	return list
}

// sendAnnouncements announces agents to other balancers when that is due.
func (d *Director) sendAnnouncements(now time.Time) {
	for _, l := range d.announcements() {
		for list := l.take(now); len(list) > 0; list = l.take(now) {
			var b []byte
			for _, m := range list {
				if a := d.agents[m.addr]; l.kind == Announce && a != nil && !a.ended() {
					// A balancer that knows of an end shortly before the agent's first
					// message accepts only a later one.
					m = a.member()
				}
				b = m.append(b, now)
			}
			for _, addr := range d.announceTargets(now) {
				d.send(addr, Message{Kind: l.kind}, b)
			}
		}
	}
}

// announceTargets returns the balancers that an announcement is sent to: some at random, which
// spreads it fast, and those that follow this one in the ring of all balancers. Random ones
// alone leave out each balancer with a chance, and one that is left out finds a failed agent
// by itself only after seconds.
func (d *Director) announceTargets(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	if d.cfg.Addr.IsValid() {
		list = d.peers.successors(d.cfg.Addr, announceSuccessors)
	}
	for _, addr := range d.peers.sample(now, announceFanout, announceFanout/2) {
		if len(list) < announceFanout && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

func (d *Director) announcements() [3]*announcements {
	return [...]*announcements{&d.learned, &d.ended, &d.failed}
}

// onAnnounced adds the agents that another balancer has learned of, or has received a
// message from after their servers ended or they were announced as failed, and announces
// those of which this is new here. An agent that starts while the store is unavailable may reach only some of the
// balancers, and the others must not treat its flows as lost.
func (d *Director) onAnnounced(now time.Time, members []byte) {
	for m, rest, ok := nextMember(now, members); ok; m, rest, ok = nextMember(now, rest) {
		before := d.agents[m.addr]
		isNew := before == nil || before.ended()
		d.mergeMember(now, m)
		isNew = isNew && !d.agents[m.addr].ended()
		if isNew || d.retractFailure(m) {
			d.learned.add(now, m)
		}
	}
}

// retractFailure offers flows again to an agent that was announced as failed, if another
// balancer has received a later message from it, and reports whether it did.
func (d *Director) retractFailure(m member) bool {
	a := d.agents[m.addr]
	if !a.failureAnnounced || !m.receivedAt.After(a.failedAfter.Add(memberAgeSlack)) {
		return false
	}
	a.unresponsive, a.failureAnnounced = false, false
	d.tablesChanged(a.service)
	return true
}

// onFailuresAnnounced excludes agents from new flows that have stopped answering another
// balancer.
func (d *Director) onFailuresAnnounced(now time.Time, members []byte) {
	for m, rest, ok := nextMember(now, members); ok; m, rest, ok = nextMember(now, rest) {
		if now.Sub(m.receivedAt) < maxFailureAge {
			d.onFailureAnnounced(now, m)
		}
	}
}

// onFailureAnnounced handles the announced failure of one agent, which has not answered a
// message sent at m.receivedAt. A balancer that has received a message from the agent since
// announces that instead: the other one may only be cut off from the agent.
func (d *Director) onFailureAnnounced(now time.Time, m member) {
	a := d.agents[m.addr]
	switch {
	case a == nil || a.ended():
	case a.lastReceivedAt.After(m.receivedAt.Add(memberAgeSlack)):
		if !a.unresponsive {
			d.learned.add(now, a.member())
		}
	case a.peerReceivedAt.After(m.receivedAt.Add(memberAgeSlack)):
	case a.unresponsive && !a.failureAnnounced && !a.announcedFailed:
		// This balancer has found out by itself and not announced it, but those that follow
		// it in the ring may not know.
		a.announcedFailed = true
		d.failed.add(now, m)
	case !a.unresponsive || a.failureAnnounced && m.receivedAt.After(a.failedAfter.Add(memberAgeSlack)):
		d.excludeFailed(now, a, m)
	}
}

// excludeFailed excludes an agent from new flows and passes its announced failure on.
func (d *Director) excludeFailed(now time.Time, a *agent, m member) {
	if a.holdsNoFlows || !a.stateIsCurrent(now) {
		a.recordPeerContact(m)
	}
	if !a.unresponsive {
		a.unresponsive, a.unresponsiveSince = true, now
		d.tablesChanged(a.service)
		d.trace.Agent(now, a.addr, a.service, a.state, "announced as failed")
	}
	a.failureAnnounced, a.failedAfter = true, m.receivedAt
	d.failed.add(now, m)
}

// onEndsAnnounced records that agents' servers have ended.
func (d *Director) onEndsAnnounced(now time.Time, members []byte) {
	for m, rest, ok := nextMember(now, members); ok; m, rest, ok = nextMember(now, rest) {
		if now.Sub(m.receivedAt) < maxEndAge {
			d.onEndAnnounced(now, m)
		}
	}
}

// onEndAnnounced records the end of one agent's server, unless a later message has come
// from that address: then another agent has started there.
func (d *Director) onEndAnnounced(now time.Time, m member) {
	delete(d.failedAgents, m.addr)
	a := d.agents[m.addr]
	if a == nil || a.ended() || a.latestMessage().Add(memberAgeSlack).After(m.receivedAt) {
		return
	}
	a.state = ServerEnded
	a.peerReceivedAt = later(a.peerReceivedAt, m.receivedAt)
	d.recordEnded(now, a)
	a.flowsFromPeer = true
	d.trace.Agent(now, a.addr, a.service, a.state, "announced")
}
