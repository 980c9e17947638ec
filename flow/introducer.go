package flow

import (
	"net/netip"
	"time"
)

// introductionFanout is the number of agents that a new one is introduced to in a fleet
// larger than queryAllLimit. All of a smaller one are told of it.
const introductionFanout = 3

// introducedContactTimeout is firstContactTimeout for an agent that only other agents have named:
// it has run lately, and may be paused or out of reach. Callers of ended flows are to be notified
// within 2 s.
const introducedContactTimeout = 1500 * time.Millisecond

// introduce introduces an agent to others, as it has requested. The first of them that
// answers ends that; see onIntroductions.
func (d *Director) introduce(now time.Time, a *agent, round uint16) {
	b := introduced{addr: a.addr, service: a.service, incarnation: a.incarnation, round: round, at: now, replaces: a.replaced}.append(nil, now)
	for _, other := range d.introductionTargets(a) {
		a.introducing = round
		d.send(other.addr, Message{Kind: Introduce}, b)
	}
	if len(d.agents) == 1 && (d.storeListed || d.discoveryDone(now)) {
		a.introducing = round
		d.confirmIntroduction(now, a)
	}
}

// introductionTargets returns the agents that another one is introduced to: those that
// answer, if there are enough, from a random one on.
func (d *Director) introductionTargets(a *agent) []*agent {
	limit := introductionFanout
	if len(d.agents) <= queryAllLimit {
		limit = queryAllLimit
	}
	var list, silent []*agent
	first := d.cfg.Random.IntN(d.contacts.Len())
	for i := range min(d.contacts.Len(), queryAllLimit) {
		other := d.agents[d.contacts.Member((first+i)%d.contacts.Len())]
		switch {
		case other == a || other.ended():
		case other.unresponsive || other.lastReceivedAt.IsZero():
			silent = append(silent, other)
		default:
			list = append(list, other)
		}
	}
	list = append(list, silent...)
	return list[:min(limit, len(list))]
}

// onIntroductions handles the list of the agents that were introduced to another one.
func (d *Director) onIntroductions(now time.Time, from netip.AddrPort, m *Message, agents []byte) {
	for i, rest, ok := nextIntroduced(now, agents); ok; i, rest, ok = nextIntroduced(now, rest) {
		d.mergeIntroduced(now, i)
		if a := d.agents[i.addr]; a.introducing != 0 && a.introducing == i.round && a.incarnation == i.incarnation {
			d.confirmIntroduction(now, a)
		}
	}
	d.agents[from].listVersion = m.ListVersion
}

// mergeIntroduced adds an introduced agent, or has lookups wait for its answer again if it
// was introduced after it had no flows.
func (d *Director) mergeIntroduced(now time.Time, i introduced) {
	a := d.agents[i.addr]
	if a == nil {
		d.AddAgent(now, i.addr, i.service, "")
		a = d.agents[i.addr]
		a.introduced, a.introduction = true, i
		d.trace.Agent(now, a.addr, a.service, a.state, "introduced")
		return
	}
	a.replaced = a.replaced || i.replaces || i.round != 0 && a.incarnation != 0 && a.incarnation != i.incarnation
	if i.round != 0 && !a.introduction.at.After(i.at) {
		a.introduction = i
	}
	if !a.holdsNoFlows || !a.introducedSince(i) && (a.flowsFromPeer || !a.outdated()) {
		return
	}
	a.holdsNoFlows = false
	if a.ended() {
		a.state = ServerUnknown
		d.tablesChanged(a.service)
	}
}

// introducedSince reports whether an introduction is later than the latest report that the
// agent's server holds no flows. Rounds order the introductions of one process, times those
// of different ones.
func (a *agent) introducedSince(i introduced) bool {
	if i.round == 0 || i.incarnation == a.incarnation && int16(i.round-a.round) <= 0 {
		return false
	}
	return !i.at.Before(a.flowsKnownAt.Add(-memberAgeSlack))
}

// outdated reports whether another process of an agent may have been introduced since the one
// that it sent its latest message from. A process that this balancer received messages from
// before is an earlier one, and so is one that was introduced before the first message from the
// present one.
func (a *agent) outdated() bool {
	i := &a.introduction
	if i.round == 0 || a.processSince.IsZero() || i.incarnation == a.incarnation || i.incarnation == a.earlierProcess {
		return false
	}
	return !i.at.Before(a.processSince.Add(-memberAgeSlack))
}

// confirmIntroduction informs an agent that others know of it. An agent of a small fleet is
// named the others in turn, so that each agent knows of all that may hold flows.
func (d *Director) confirmIntroduction(now time.Time, a *agent) {
	m := Message{Kind: Introduced, Incarnation: a.incarnation, Round: a.introducing}
	a.introducing = 0
	var b []byte
	if len(d.agents) <= queryAllLimit {
		for i := range d.contacts.Len() {
			other := d.agents[d.contacts.Member(i)]
			if other != a && !other.ended() && !other.holdsNoFlows && !other.latestMessage().IsZero() {
				b = introduced{addr: other.addr, service: other.service, incarnation: other.incarnation, at: other.latestMessage()}.append(b, now)
			}
		}
	}
	d.send(a.addr, m, b)
}

// listKnown reports whether this balancer knows the agents that were introduced to the sender
// of an answer when it answered.
func (a *agent) listKnown(m *Message) bool { return a.listVersion == m.ListVersion }
