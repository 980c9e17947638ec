package flow

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// rosterEntry is the length of one agent in a roster, in bytes: address, port,
	// service, and how long ago the teller heard it, in units of rosterAge up to
	// rosterMaxAge, with rosterEmpty added if its server held no flow then. An agent
	// that is not heard for as long is forgotten.
	rosterEntry  = 15
	rosterAge    = 50 * time.Millisecond
	rosterMaxAge = 0x7f
	rosterEmpty  = 0x80
	// lateNews is how much later than it was a roster may say that an agent was heard:
	// by what ages are rounded by, what news are collected for, and the way.
	lateNews = rosterAge + announceEvery + 20*time.Millisecond
	// rosterPart is the number of agents in one message, so that it stays below
	// the smallest MTU in use.
	rosterPart = 75
	// askRosterEvery is the time between two questions for a roster, askRosters
	// the number of balancers asked at once.
	askRosterEvery = 100 * time.Millisecond
	askRosters     = 3
	// aloneAfter is the time from which a balancer that got no roster takes the
	// agents that it knows for all there are: other balancers are gone too, and
	// agents that live have reported many times.
	aloneAfter = 3 * time.Second
)

// AddBalancer makes another balancer known. A balancer that has started
// asks others for the agents that they know: the store may name too few, since
// keys can be taken away, and an agent that stands still can't report.
func (d *Director) AddBalancer(addr netip.AddrPort) {
	if _, known := d.balancers[addr]; !known {
		d.balancers[addr] = time.Time{}
	}
}

// livelyFor is how long a balancer that was heard counts as one that lives. Each hears
// a few others a second.
const livelyFor = 3 * time.Second

// SampleBalancers returns up to n other balancers, in no order: all but one among those
// heard lately if there are as many, since of all that are known half may be gone, and
// one among all, so that those who are heard by nobody are spoken to as well.
func (d *Director) SampleBalancers(now time.Time, n int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, n)
	for addr, heard := range d.balancers {
		if len(list) < n-1 && !heard.IsZero() && now.Sub(heard) < livelyFor {
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

// balancersPart is the number of balancers that an agent tells of, and
// balancerEntry the length of one in bytes.
const (
	balancersPart = 64
	balancerEntry = 6
)

// tellBalancers tells a balancer that has just started of the others that this
// agent reports to. The store may name none, and only a balancer that the others
// know hears of agents that they hear.
func (g *Gate) tellBalancers(now time.Time, to netip.AddrPort) {
	var b []byte
	for addr := range g.balancers {
		if addr == to || len(b) == balancersPart*balancerEntry {
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

// takeBalancers introduces the balancers that an agent knows.
func (d *Director) takeBalancers(b []byte) {
	for ; len(b) >= balancerEntry; b = b[balancerEntry:] {
		d.AddBalancer(netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.LittleEndian.Uint16(b[4:])))
	}
}

// askRoster asks some balancers for the agents that they know, until one has
// answered.
func (d *Director) askRoster(now time.Time) {
	if d.rosterKnown || now.Before(d.rosterAt) || now.Sub(d.started) >= aloneAfter {
		return
	}
	d.rosterAt = now.Add(askRosterEvery)
	d.askBalancers(Message{Kind: MemberListRequest})
}

// sure reports whether this balancer knows all agents that may hold a flow: one
// that was there before has told its agents, or those that answered have just
// started like this one; and the agents have had the time to report, or all say that
// everything has just started, as after a loss of power.
func (d *Director) sure(now time.Time) bool {
	up := now.Sub(d.started)
	told := d.rosterKnown || d.othersNew
	return up >= aloneAfter || told && (d.everyoneStarted || up >= d.cfg.DiscoveryTime)
}

// FromBalancer takes a message of another balancer, and what follows it.
func (d *Director) FromBalancer(now time.Time, from netip.AddrPort, m *Message, roster []byte) {
	d.now = now
	d.newestOrders = max(d.newestOrders, m.Revision)
	d.StoreRead(ReadAt(now, m.ReadAge))
	d.balancers[from] = now
	switch m.Kind {
	case MemberListRequest:
		d.sendRoster(now, from, m.Incarnation)
		return
	case Configured:
		return
	case Announce:
		d.takeRoster(now, roster)
		return
	}
	d.takeRoster(now, roster)
	defer d.onConfirmed(now, m)
	if m.Reason == ReasonState {
		d.othersNew = true
	} else if len(roster) > 0 {
		d.rosterKnown = true
	}
}

// sendRoster tells the agents that were heard by this balancer itself, in answer
// to a question. One that has just started says so: the few that it knows would
// pass for all.
func (d *Director) sendRoster(now time.Time, to netip.AddrPort, question uint64) {
	m := Message{Kind: MemberList, Incarnation: question}
	if !d.sure(now) {
		m.Reason = ReasonState
	}
	var heard []*agent
	for _, a := range d.agents {
		if !a.heard.IsZero() && !a.gone() {
			heard = append(heard, a)
		}
	}
	parts := max(1, (len(heard)+rosterPart-1)/rosterPart)
	for left := parts - 1; left >= 0; left-- {
		m.Priority = uint8(min(left, math.MaxUint8))
		var b []byte
		n := min(len(heard), rosterPart)
		for _, a := range heard[:n] {
			b = a.appendRoster(b, now)
		}
		heard = heard[n:]
		d.send(to, m, b)
	}
}

func (a *agent) appendRoster(b []byte, now time.Time) []byte {
	ip := a.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.LittleEndian.AppendUint16(b, a.addr.Port())
	b = binary.LittleEndian.AppendUint64(b, uint64(a.service))
	last := byte(min(now.Sub(a.heard)/rosterAge, rosterMaxAge))
	if a.empty {
		last |= rosterEmpty
	}
	return append(b, last)
}

// announceEvery is how long agents that were heard for the first time are
// collected before the other balancers are told: after a loss of power everywhere
// each of 17 balancers hears 65 agents at once, and told one by one that was 100 KB
// in and out of each.
const announceEvery = 10 * time.Millisecond

// announceTo is the number of balancers that are told. Each of them greets the agent,
// and when it hears it tells as many others in turn: four reach 98 in 100 balancers, and
// the agent itself reports to those that the store names. Told by each to all, 204
// agents that start together are 300 KB out of and into each of 91 balancers: worked
// out, 0.12 s of a link of 20 Mbit/s, in which new flows wait.
const announceTo = 4

// announce has the other balancers told of an agent that was heard for the first
// time. An agent that starts while the store is away may reach only some of the
// balancers, and the others must not take its flows for lost.
func (d *Director) announce(now time.Time, a *agent) {
	if len(d.news) == 0 {
		d.newsAt = now.Add(announceEvery)
	}
	d.news = a.appendRoster(d.news, now)
	if len(d.news) >= rosterPart*rosterEntry {
		d.newsAt = now
	}
}

// announceNew tells the other balancers of new agents when that is due.
func (d *Director) announceNew(now time.Time) {
	if len(d.news) == 0 || now.Before(d.newsAt) {
		return
	}
	for _, addr := range d.SampleBalancers(now, announceTo) {
		d.send(addr, Message{Kind: Announce}, d.news)
	}
	d.news = nil
}

// takeRoster introduces the agents that another balancer knows.
func (d *Director) takeRoster(now time.Time, roster []byte) {
	for ; len(roster) >= rosterEntry; roster = roster[rosterEntry:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(roster[:4])), binary.LittleEndian.Uint16(roster[4:]))
		d.AddAgent(now, addr, ServiceID(binary.LittleEndian.Uint64(roster[6:])), "")
		a := d.agents[addr]
		a.vouched = true
		last := roster[rosterEntry-1]
		heard := now.Add(-time.Duration(last&rosterMaxAge) * rosterAge)
		if a.gone() && heard.After(a.heard.Add(lateNews)) {
			// Others hear a new agent there, beside a new server. The flow that is
			// looked for may be at it.
			a.state = ServerUnknown
			d.retable(a.service)
		}
		a.toldOf(heard, last&rosterEmpty != 0, 2*d.reportEvery())
	}
}

// toldOf takes another balancer's word that it heard the agent at the given time, and
// whether its server held no flow then. It counts if that is later than what this
// balancer knows by more than slack: of an agent that is gone others have heard no later
// than by one report, and by what ages are rounded by.
func (a *agent) toldOf(heard time.Time, empty bool, slack time.Duration) {
	if !heard.After(a.toldAt) || !a.heard.IsZero() && !heard.After(a.heard.Add(slack)) {
		return
	}
	a.toldAt = heard
	a.empty = empty
}
