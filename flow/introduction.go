package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// A flow may be reset only if no agent holds it, and a balancer can only query the agents
// that it knows. So an agent takes flows only after other agents know of it: a balancer
// that looks up a flow queries all agents that it knows, and their answers tell it whether
// there are others. See docs/design/membership.md, "Introductions".

const (
	// introducedSize is the length of one introduced agent in a message, in bytes: address,
	// port, service, incarnation, round, and the time since it was introduced as in a member
	// list. introducedReplaces is added if another process at its address was introduced before.
	introducedSize     = 25
	introducedReplaces = 0x80
	// maxIntroduced is the number of introduced agents that an agent keeps. They fit one
	// message below the smallest MTU in use.
	maxIntroduced = 48
	// introducedTTL is how long an introduced agent is kept. Later the store and the other
	// balancers' member lists name it; most outages of the store are shorter.
	introducedTTL = 2 * time.Minute
	// introductionRetryInterval is the time after which an agent that has not been introduced
	// asks another balancer, and maxIntroductionTries the number of balancers that it asks.
	// Then it takes flows all the same: balancers and agents of earlier builds do not
	// introduce, and other agents may have failed.
	introductionRetryInterval = 50 * time.Millisecond
	maxIntroductionTries      = 4
)

// introduced is an agent that others know of.
type introduced struct {
	addr        netip.AddrPort
	service     ServiceID
	incarnation uint64    // of its process
	round       uint16    // number of its introduction; 0: a balancer that knew the agent named it
	at          time.Time // when it was introduced, or last known to run
	replaces    bool      // another process at its address was introduced before
}

// append appends the encoded agent to b.
func (i introduced) append(b []byte, now time.Time) []byte {
	ip := i.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.LittleEndian.AppendUint16(b, i.addr.Port())
	b = binary.LittleEndian.AppendUint64(b, uint64(i.service))
	b = binary.LittleEndian.AppendUint64(b, i.incarnation)
	b = binary.LittleEndian.AppendUint16(b, i.round)
	last := byte(min(now.Sub(i.at)/memberAgeUnit, maxMemberAge))
	if i.replaces {
		last |= introducedReplaces
	}
	return append(b, last)
}

// nextIntroduced decodes the first introduced agent of a list and returns the rest of the
// list. ok is false if there is none.
func nextIntroduced(now time.Time, b []byte) (i introduced, rest []byte, ok bool) {
	if len(b) < introducedSize {
		return introduced{}, nil, false
	}
	i.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:]))
	i.service = ServiceID(binary.LittleEndian.Uint64(b[6:]))
	i.incarnation = binary.LittleEndian.Uint64(b[14:])
	i.round = binary.LittleEndian.Uint16(b[22:])
	last := b[introducedSize-1]
	i.at = now.Add(-time.Duration(last&maxMemberAge) * memberAgeUnit)
	i.replaces = last&introducedReplaces != 0
	return i, b[introducedSize:], true
}

// introducedList holds the agents that were introduced to an agent.
type introducedList struct {
	version uint16 // changes with the list; 0: empty
	agents  []introduced
}

// add adds an agent, in place of an earlier entry with its address, and reports whether that
// is news. The oldest entry makes room for it.
func (l *introducedList) add(now time.Time, i introduced) (changed bool) {
	changed = true
	kept := l.agents[:0]
	for _, other := range l.agents {
		switch {
		case other.addr != i.addr:
			if now.Sub(other.at) < introducedTTL {
				kept = append(kept, other)
			}
		case i.round == 0 || other.incarnation == i.incarnation && other.round == i.round:
			// A round that was interrupted continues with a later time.
			changed = i.round != 0 && i.at.After(other.at)
			other.at = later(other.at, i.at)
			i = other
		default:
			i.replaces = i.replaces || other.replaces || other.round != 0 && other.incarnation != i.incarnation
		}
	}
	if len(kept) == maxIntroduced {
		kept = append(kept[:0], kept[1:]...)
	}
	l.agents = append(kept, i)
	return changed
}

// merge adds the agents of a message.
func (l *introducedList) merge(now time.Time, b []byte) {
	changed := false
	for i, rest, ok := nextIntroduced(now, b); ok; i, rest, ok = nextIntroduced(now, rest) {
		changed = l.add(now, i) || changed
	}
	if changed {
		l.version = max(1, l.version+1)
	}
}

// introduction is the state of an agent's own introduction.
type introduction struct {
	done      bool   // other agents know that the server may take flows
	round     uint16 // number of the latest introduction requested; 0: none yet
	completed uint16 // number of the latest one after which the server took flows
	tries     int    // balancers asked in this round
	retryAt   time.Time
	asked     netip.AddrPort // the balancer asked last
}

// requestIntroduction asks a balancer to introduce this agent to other agents, if its server
// could take flows and they do not know that yet.
func (g *Gate) requestIntroduction(now time.Time) {
	i := &g.introduction
	if !g.awaitsIntroduction(now) || i.tries > 0 && now.Before(i.retryAt) {
		return
	}
	if i.tries == maxIntroductionTries {
		g.introduced(now)
		return
	}
	i.retryAt = now.Add(introductionRetryInterval)
	to, ok := g.introducer()
	if !ok {
		return
	}
	if i.tries == 0 {
		i.round = max(1, i.round+1)
	}
	i.tries++
	i.asked = to
	g.reply(now, to, Message{Kind: Report, Introduce: true, Round: i.round}, nil)
}

// awaitsIntroduction reports whether only the introduction keeps the server from taking flows.
func (g *Gate) awaitsIntroduction(now time.Time) bool {
	return g.cfg.Introduce && !g.introduction.done && g.serverState(now) == ServerReady
}

// introducer returns the balancer that sent the latest message, but not the one asked last
// if there is another.
func (g *Gate) introducer() (to netip.AddrPort, ok bool) {
	var at time.Time
	for addr, b := range g.balancers {
		if addr == g.introduction.asked && len(g.balancers) > 1 {
			continue
		}
		if !ok || b.lastReceivedAt.After(at) || b.lastReceivedAt.Equal(at) && addr.Compare(to) < 0 {
			to, at, ok = addr, b.lastReceivedAt, true
		}
	}
	return to, ok
}

// onIntroduced handles a balancer's message that other agents know of this one. It names
// agents that the balancer knows.
func (g *Gate) onIntroduced(now time.Time, m *Message, agents []byte) {
	g.introductions.merge(now, agents)
	i := &g.introduction
	if i.done || m.Incarnation != g.cfg.Incarnation || m.Round != i.round || !g.awaitsIntroduction(now) {
		return
	}
	g.introduced(now)
}

// introduced reports that the server takes flows.
func (g *Gate) introduced(now time.Time) {
	before := g.State(now)
	i := &g.introduction
	i.done, i.completed, i.tries = true, i.round, 0
	g.stateChanged(now, before, "introduced")
	g.dequeue(now)
}

// requireIntroduction has the agent introduced again before its server takes flows. A
// balancer that is told that the server holds no flows does not wait for this agent's
// answers any more, and may not hear that the server takes flows again.
func (g *Gate) requireIntroduction() { g.introduction.done = false }

// onIntroduce handles the introduction of another agent.
func (g *Gate) onIntroduce(now time.Time, from netip.AddrPort, agents []byte) {
	g.introductions.merge(now, agents)
	g.sendIntroductions(now, from)
}

// sendIntroductions sends a balancer the agents that were introduced to this one.
func (g *Gate) sendIntroductions(now time.Time, to netip.AddrPort) {
	var b []byte
	for _, i := range g.introductions.agents {
		b = i.append(b, now)
	}
	g.reply(now, to, Message{Kind: Introductions}, b)
}
