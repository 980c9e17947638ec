package flow

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberSize is the length of one agent in a member list, in bytes: address, port,
	// service, and the time since the sender last received a message from it, in units
	// of memberAgeUnit up to maxMemberAge. memberHoldsNoFlows is added if the agent's
	// server held no flow then. An agent without a message for maxMemberAge units is
	// removed.
	memberSize         = 15
	memberAgeUnit      = 50 * time.Millisecond
	maxMemberAge       = 0x7f
	memberHoldsNoFlows = 0x80
	// memberAgeSlack is by how much a member list may put an agent's last message too
	// late: the rounding of ages, the time for which announcements are collected, and
	// the network delay.
	memberAgeSlack = memberAgeUnit + announceInterval + 20*time.Millisecond
	// membersPerMessage is the number of agents in one message, so that it stays below
	// the smallest MTU in use.
	membersPerMessage = 75
	// memberListRetryInterval is the time between two requests for a member list,
	// memberListPeers the number of balancers that each is sent to.
	memberListRetryInterval = 100 * time.Millisecond
	memberListPeers         = 3
	// maxDiscoveryTime is the time after which a balancer that received no member list
	// assumes that it knows all agents: the other balancers have failed too, and live
	// agents have reported many times.
	maxDiscoveryTime = 3 * time.Second
)

// AddBalancer adds another balancer. A balancer that has started asks others for the
// agents that they know: the store may list too few, because keys can be removed, and a
// paused agent can't report.
func (d *Director) AddBalancer(addr netip.AddrPort) {
	if _, known := d.balancers[addr]; !known {
		d.balancers[addr] = time.Time{}
	}
}

// balancerTimeout is how long a balancer counts as live after its last message. Each
// one receives messages from a few others per second.
const balancerTimeout = 3 * time.Second

// SampleBalancers returns up to n other balancers in random order. All but one are
// among those that sent a message recently, if there are enough, since half of all
// known balancers may have failed. One is among all, so that balancers from which no
// process has received a message are contacted as well.
func (d *Director) SampleBalancers(now time.Time, n int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, n)
	for addr, receivedAt := range d.balancers {
		if len(list) < n-1 && !receivedAt.IsZero() && now.Sub(receivedAt) < balancerTimeout {
			list = append(list, addr)
		}
	}
	for addr := range d.balancers {
		if len(list) == n {
			break
		}
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// balancersPerMessage is the number of balancers that an agent lists in one message,
// and balancerSize the length of one in bytes.
const (
	balancersPerMessage = 64
	balancerSize        = 6
)

// sendBalancers sends a recently started balancer the other balancers that this agent
// reports to. The store may list none, and other balancers announce agents only to
// balancers that they know.
func (g *Gate) sendBalancers(now time.Time, to netip.AddrPort) {
	var b []byte
	for addr := range g.balancers {
		if addr == to || len(b) == balancersPerMessage*balancerSize {
			continue
		}
		ip := addr.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.LittleEndian.AppendUint16(b, addr.Port())
	}
	if len(b) > 0 {
		g.reply(now, to, Message{Kind: Balancers}, b)
	}
}

// addBalancers adds the balancers that an agent listed.
func (d *Director) addBalancers(b []byte) {
	for ; len(b) >= balancerSize; b = b[balancerSize:] {
		d.AddBalancer(netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:])))
	}
}

// requestMemberList asks some balancers for the agents that they know, until one has
// answered.
func (d *Director) requestMemberList(now time.Time) {
	if d.memberListKnown || now.Before(d.nextMemberListRequest) || now.Sub(d.started) >= maxDiscoveryTime {
		return
	}
	d.nextMemberListRequest = now.Add(memberListRetryInterval)
	d.sendToPeers(Message{Kind: MemberListRequest})
}

// discoveryDone reports whether this balancer knows all agents that may hold a flow, or
// maxDiscoveryTime has passed. It knows them once another balancer has sent a member list
// with agents or answered that it has recently started too, and the agents have had
// DiscoveryTime to report. It need not wait for DiscoveryTime if the whole fleet has
// recently started, as after a power loss.
func (d *Director) discoveryDone(now time.Time) bool {
	up := now.Sub(d.started)
	answered := d.memberListKnown || d.peerRecentlyStarted
	return up >= maxDiscoveryTime || answered && (d.fleetRecentlyStarted || up >= d.cfg.DiscoveryTime)
}

// FromBalancer handles a message from another balancer, and its payload.
func (d *Director) FromBalancer(now time.Time, from netip.AddrPort, m *Message, members []byte) {
	d.now = now
	d.newestOrders = max(d.newestOrders, m.Revision)
	d.StoreRead(ReadAt(now, m.ReadAge))
	d.balancers[from] = now
	switch m.Kind {
	case MemberListRequest:
		d.sendMemberList(now, from, m.Incarnation)
		return
	case Configured:
		return
	case Announce:
		d.mergeMemberList(now, members)
		return
	}
	d.mergeMemberList(now, members)
	defer d.onMemberListAnswer(now, m)
	if m.Reason == ReasonState {
		d.peerRecentlyStarted = true
	} else if len(members) > 0 {
		d.memberListKnown = true
	}
}

// sendMemberList answers a request with the agents that this balancer itself has
// received messages from. A recently started balancer marks its answer as such:
// otherwise the few agents that it knows would count as all agents.
func (d *Director) sendMemberList(now time.Time, to netip.AddrPort, request uint64) {
	m := Message{Kind: MemberList, Incarnation: request}
	if !d.discoveryDone(now) {
		m.Reason = ReasonState
	}
	var contacted []*agent
	for _, a := range d.agents {
		if !a.lastReceivedAt.IsZero() && !a.ended() {
			contacted = append(contacted, a)
		}
	}
	parts := max(1, (len(contacted)+membersPerMessage-1)/membersPerMessage)
	for left := parts - 1; left >= 0; left-- {
		m.Priority = uint8(min(left, math.MaxUint8))
		var b []byte
		n := min(len(contacted), membersPerMessage)
		for _, a := range contacted[:n] {
			b = a.appendMember(b, now)
		}
		contacted = contacted[n:]
		d.send(to, m, b)
	}
}

func (a *agent) appendMember(b []byte, now time.Time) []byte {
	ip := a.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.LittleEndian.AppendUint16(b, a.addr.Port())
	b = binary.LittleEndian.AppendUint64(b, uint64(a.service))
	last := byte(min(now.Sub(a.lastReceivedAt)/memberAgeUnit, maxMemberAge))
	if a.holdsNoFlows {
		last |= memberHoldsNoFlows
	}
	return append(b, last)
}

// announceInterval is how long newly discovered agents are collected before they are
// announced to other balancers. After a power loss of the whole fleet each of 17
// balancers discovers 65 agents at once; announced one by one they would cost 100 KB
// into and out of each balancer.
const announceInterval = 10 * time.Millisecond

// announceFanout is the number of balancers that an announcement is sent to. Each sends
// the agent a hello message, and on the first answer announces it to as many others:
// four reach 98 of 100 balancers, and the agent itself reports to those that the store
// lists. If each balancer announced to all, 204 agents that start together would cost
// 300 KB out of and into each of 91 balancers and delay new flows by 0.12 s on a
// 20 Mbit/s link.
const announceFanout = 4

// queueAnnouncement schedules the announcement of an agent that has sent its first
// message. An agent that starts while the store is unavailable may reach only some of
// the balancers, and the others must not treat its flows as lost.
func (d *Director) queueAnnouncement(now time.Time, a *agent) {
	if len(d.announcements) == 0 {
		d.announceAt = now.Add(announceInterval)
	}
	d.announcements = a.appendMember(d.announcements, now)
	if len(d.announcements) >= membersPerMessage*memberSize {
		d.announceAt = now
	}
}

// sendAnnouncements announces new agents to other balancers when that is due.
func (d *Director) sendAnnouncements(now time.Time) {
	if len(d.announcements) == 0 || now.Before(d.announceAt) {
		return
	}
	for _, addr := range d.SampleBalancers(now, announceFanout) {
		d.send(addr, Message{Kind: Announce}, d.announcements)
	}
	d.announcements = nil
}

// mergeMemberList adds the agents that another balancer knows.
func (d *Director) mergeMemberList(now time.Time, members []byte) {
	for ; len(members) >= memberSize; members = members[memberSize:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(members[:4])), binary.LittleEndian.Uint16(members[4:]))
		d.AddAgent(now, addr, ServiceID(binary.LittleEndian.Uint64(members[6:])), "")
		a := d.agents[addr]
		a.confirmedByPeer = true
		last := members[memberSize-1]
		receivedAt := now.Add(-time.Duration(last&maxMemberAge) * memberAgeUnit)
		if a.ended() && receivedAt.After(a.lastReceivedAt.Add(memberAgeSlack)) {
			// The other balancer has received a message from a new agent at that
			// address, beside a new server, which may hold the flow that is being
			// looked up.
			a.state = ServerUnknown
			d.rebuildTables(a.service)
		}
		a.recordPeerContact(receivedAt, last&memberHoldsNoFlows != 0, 2*d.reportInterval())
	}
}

// recordPeerContact records when another balancer last received a message from the
// agent, and whether the agent's server held no flow then. The report counts only if it
// is later than this balancer's own last message by more than slack: of a failed agent
// other balancers have received at most one further report, and ages are rounded.
func (a *agent) recordPeerContact(receivedAt time.Time, holdsNoFlows bool, slack time.Duration) {
	if !receivedAt.After(a.peerReceivedAt) || !a.lastReceivedAt.IsZero() && !receivedAt.After(a.lastReceivedAt.Add(slack)) {
		return
	}
	a.peerReceivedAt = receivedAt
	a.holdsNoFlows = holdsNoFlows
}
