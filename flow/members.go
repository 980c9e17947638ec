package flow

import (
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
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
	// memberAgeSlack is by how much a member list may be wrong about the time of an agent's
	// last message: the rounding of ages, the time for which announcements are collected,
	// and the network delay.
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

// peer is another balancer.
type peer struct {
	receivedAt time.Time // last message from it; zero: none yet
	namedAt    time.Time // when the store or another process last named it
}

// peers holds the other balancers that a balancer knows.
type peers struct {
	known map[netip.AddrPort]*peer
	order []netip.AddrPort // their addresses, sorted

	random *rand.Rand
}

const (
	// peerTimeout is how long a balancer counts as live after its last message. Each one
	// receives messages from a few others per second.
	peerTimeout = 3 * time.Second
	// peerExpiry is above the time for which the store keeps the key of a failed process,
	// and above most of its outages.
	peerExpiry = 2 * time.Minute
	// drawsPerSample bounds the random draws for each live balancer of a sample.
	drawsPerSample = 16
)

func (p *peers) len() int { return len(p.order) }

// get returns a balancer, and adds it if it is new.
func (p *peers) get(addr netip.AddrPort) *peer {
	v := p.known[addr]
	if v == nil {
		v = &peer{}
		p.known[addr] = v
		i, _ := slices.BinarySearchFunc(p.order, addr, netip.AddrPort.Compare)
		p.order = slices.Insert(p.order, i, addr)
	}
	return v
}

// expire removes the balancers that nothing has named and that have sent no message for
// peerExpiry.
func (p *peers) expire(now time.Time) {
	for addr, v := range p.known {
		if now.Sub(later(v.receivedAt, v.namedAt)) < peerExpiry {
			continue
		}
		i, _ := slices.BinarySearchFunc(p.order, addr, netip.AddrPort.Compare)
		p.order = slices.Delete(p.order, i, i+1)
		delete(p.known, addr)
	}
}

// successors returns the n balancers that follow an address in the ring of all addresses.
func (p *peers) successors(addr netip.AddrPort, n int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, n)
	next, _ := slices.BinarySearchFunc(p.order, addr, netip.AddrPort.Compare)
	for i := range p.order {
		if to := p.order[(next+i)%len(p.order)]; to != addr && len(list) < n {
			list = append(list, to)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

// sample returns up to n balancers drawn at random, up to live of them among those that
// sent a message recently.
func (p *peers) sample(now time.Time, n, live int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, n)
	for range drawsPerSample * live {
		if len(list) == live || len(p.order) == 0 {
			break
		}
		addr := p.order[p.random.IntN(len(p.order))]
		if v := p.known[addr]; !v.receivedAt.IsZero() && now.Sub(v.receivedAt) < peerTimeout && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	if n >= len(p.order) {
		return append(list[:0], p.order...)
	}
	for len(list) < n {
		if addr := p.order[p.random.IntN(len(p.order))]; !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// AddBalancer adds another balancer. A balancer that has started asks others for the
// agents that they know: the store may list too few, because keys can be removed, and a
// paused agent can't report.
func (d *Director) AddBalancer(addr netip.AddrPort) { d.peers.get(addr).namedAt = d.now }

// SampleBalancers returns up to n other balancers in random order. All but one are
// among those that sent a message recently, if there are enough, since half of all
// known balancers may have failed. One is among all, so that balancers from which no
// process has received a message are contacted as well.
func (d *Director) SampleBalancers(now time.Time, n int) []netip.AddrPort {
	return d.peers.sample(now, n, n-1)
}

// balancersPerMessage is the number of balancers that an agent lists in one message,
// and balancerSize the length of one in bytes.
const (
	balancersPerMessage = 64
	balancerSize        = 6
)

// sendBalancers sends a recently started balancer others from which this agent has
// received messages. The store may list none, and other balancers announce agents only to
// balancers that they know.
func (g *Gate) sendBalancers(now time.Time, to netip.AddrPort) {
	var b []byte
	for _, addr := range sortedAddrs(g.balancers) {
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

// sortedAddrs returns the keys of m in order, so that runs of the model repeat with their seed.
func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
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

// FromBalancer handles a message from another balancer, and its payload.
func (d *Director) FromBalancer(now time.Time, from netip.AddrPort, m *Message, members []byte) {
	d.now = now
	d.newestOrders = max(d.newestOrders, m.Revision)
	d.StoreRead(ReadAt(now, m.ReadAge))
	d.peers.get(from).receivedAt = now
	switch m.Kind {
	case MemberListRequest:
		d.sendMemberList(now, from, m.Incarnation)
		return
	case Configured:
		return
	case Announce:
		d.onAnnounced(now, members)
		return
	case AnnounceEnded:
		d.onEndsAnnounced(now, members)
		return
	case AnnounceFailed:
		d.onFailuresAnnounced(now, members)
		return
	}
	d.mergeMemberList(now, members)
	defer d.onMemberListAnswer(now, from, m)
	if m.Reason == ReasonState {
		d.peerRecentlyStarted = true
	} else if len(members) > 0 && !d.memberListKnown {
		d.memberListKnown, d.memberListFrom = true, from
	}
}

// sendMemberList answers a request with the agents that this balancer or another one has
// received messages from. A recently started balancer only reports that it is one: the few
// agents that it knows must not count as all agents. After a start of the whole fleet
// balancers ask ten times a second, and each list is as long as the fleet is large.
func (d *Director) sendMemberList(now time.Time, to netip.AddrPort, request uint64) {
	m := Message{Kind: MemberList, Incarnation: request}
	if !d.discoveryDone(now) {
		m.Reason = ReasonState
		d.send(to, m, nil)
		return
	}
	var contacted []*agent
	for i := range d.contacts.Len() {
		a := d.agents[d.contacts.Member(i)]
		if (a.confirmedByPeer || !a.lastReceivedAt.IsZero()) && !a.ended() {
			contacted = append(contacted, a)
		}
	}
	parts := max(1, (len(contacted)+membersPerMessage-1)/membersPerMessage)
	for left := parts - 1; left >= 0; left-- {
		m.Priority = uint8(min(left, math.MaxUint8))
		var b []byte
		n := min(len(contacted), membersPerMessage)
		for _, a := range contacted[:n] {
			b = a.member().append(b, now)
		}
		contacted = contacted[n:]
		d.send(to, m, b)
	}
}

// member is an agent as balancers name it to each other.
type member struct {
	addr         netip.AddrPort
	service      ServiceID
	receivedAt   time.Time // last message from it; in an announced failure: first message to it that it left unanswered
	holdsNoFlows bool      // as of its last message
	direct       bool      // the balancer that names it received that message itself
}

// member returns the agent as named to other balancers.
func (a *agent) member() member {
	return member{
		addr: a.addr, service: a.service, receivedAt: a.latestMessage(), holdsNoFlows: a.holdsNoFlows,
		direct: !a.lastReceivedAt.Before(a.peerReceivedAt),
	}
}

// latestMessage returns the time of the latest message from the agent to any balancer, as
// far as this one knows.
func (a *agent) latestMessage() time.Time { return later(a.lastReceivedAt, a.peerReceivedAt) }

// append appends the encoded member to b.
func (m member) append(b []byte, now time.Time) []byte {
	ip := m.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.LittleEndian.AppendUint16(b, m.addr.Port())
	b = binary.LittleEndian.AppendUint64(b, uint64(m.service))
	age := now.Sub(m.receivedAt) / memberAgeUnit
	if !m.direct {
		age++ // what is passed on and on would never grow old if its age were rounded down
	}
	last := byte(min(age, maxMemberAge))
	if m.holdsNoFlows {
		last |= memberHoldsNoFlows
	}
	return append(b, last)
}

// nextMember decodes the first member of a list and returns the rest of the list. ok is
// false if there is none.
func nextMember(now time.Time, b []byte) (m member, rest []byte, ok bool) {
	if len(b) < memberSize {
		return member{}, nil, false
	}
	m.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:]))
	m.service = ServiceID(binary.LittleEndian.Uint64(b[6:]))
	last := b[memberSize-1]
	m.receivedAt = now.Add(-time.Duration(last&maxMemberAge) * memberAgeUnit)
	m.holdsNoFlows = last&memberHoldsNoFlows != 0
	return m, b[memberSize:], true
}

// mergeMemberList adds the agents that another balancer knows.
func (d *Director) mergeMemberList(now time.Time, members []byte) {
	for m, rest, ok := nextMember(now, members); ok; m, rest, ok = nextMember(now, rest) {
		d.mergeMember(now, m)
	}
}

func (d *Director) mergeMember(now time.Time, m member) {
	d.AddAgent(now, m.addr, m.service, "")
	a := d.agents[m.addr]
	a.confirmedByPeer = true
	if a.ended() && m.receivedAt.After(a.latestMessage().Add(memberAgeSlack)) {
		// The other balancer has received a message from a new agent at that address,
		// beside a new server, which may hold the flow that is being looked up.
		a.state = ServerUnknown
		d.tablesChanged(a.service)
	}
	a.recordPeerContact(m)
}

// recordPeerContact records when another balancer last received a message from the
// agent, and whether the agent's server held no flow then. That counts only if it is later
// than this balancer's own last message by more than the inaccuracy of ages.
func (a *agent) recordPeerContact(m member) {
	if !m.receivedAt.After(a.peerReceivedAt) || !a.lastReceivedAt.IsZero() && !m.receivedAt.After(a.lastReceivedAt.Add(memberAgeSlack)) {
		return
	}
	a.peerReceivedAt = m.receivedAt
	a.holdsNoFlows, a.flowsKnownAt, a.flowsFromPeer = m.holdsNoFlows, m.receivedAt, true
}
