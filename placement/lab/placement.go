package lab

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

// Options configures the policy under test.
type Options struct {
	Table   placement.Config
	Load    placement.LoadOptions
	Decider placement.DeciderOptions
}

// placementPolicy uses the package placement in the same way as the daemons.
type placementPolicy struct {
	options     Options
	primaryOnly bool // without alternates and cold-start weights

	tables   []*placement.Table   // per balancer
	loads    []*placement.Load    // per balancer
	deciders []*placement.Decider // per agent
	meters   []placement.Meter    // per agent
	start    time.Time            // time of the beginning of the run
}

// agentNet is the first address of the simulated agents, 10.0.0.0.
const agentNet = 10 << 24

func agentAddr(i int) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], agentNet+uint32(i))
	return netip.AddrPortFrom(netip.AddrFrom4(b), 4000)
}

func agentIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(binary.BigEndian.Uint32(b[:]) - agentNet)
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func (p *placementPolicy) begin(m *model) {
	p.start = time.Unix(1_700_000_000, 0)
	p.tables = make([]*placement.Table, m.c.Balancers)
	p.loads = make([]*placement.Load, m.c.Balancers)
	for b := range p.loads {
		p.loads[b] = placement.NewLoad(m.c.Agents, p.options.Load)
	}
	p.meters = make([]placement.Meter, m.c.Agents)
	p.deciders = make([]*placement.Decider, m.c.Agents)
	o := p.options.Decider
	o.Decisions = 64
	for i := range p.deciders {
		p.deciders[i] = placement.NewDecider(uint64(i), o)
	}
	p.membersChanged(m)
}

func (p *placementPolicy) membersChanged(m *model) {
	for b := range p.tables {
		var agents []placement.Agent
		for i := range m.servers {
			if listed(m, b, i) {
				agents = append(agents, p.agent(m, i))
			}
		}
		cfg := p.options.Table
		cfg.Zone = zoneName(b % m.c.Zones)
		t, err := placement.NewTable(cfg, agents)
		if err != nil {
			panic(err) // can't happen, as the addresses of the model are IPv4
		}
		p.tables[b] = t
	}
}

func (p *placementPolicy) agent(m *model, i int) placement.Agent {
	s := &m.servers[i]
	a := placement.Agent{Addr: agentAddr(i), Zone: zoneName(s.zone), Weight: placement.FullWeight}
	if s.cold && !p.primaryOnly {
		a.Weight = placement.Ramp{Duration: m.c.ColdFor, Steps: rampSteps}.Weight(m.now - s.joined)
	}
	return a
}

func (p *placementPolicy) wantsReports() bool { return !p.primaryOnly }

func (p *placementPolicy) report(m *model, b, agent int) {
	p.loads[b].Report(agentAddr(agent), p.occupancy(m, agent), p.start.Add(m.now))
}

func (p *placementPolicy) requestDone(m *model, agent int) {
	p.meters[agent].Done(p.start.Add(m.now), m.servers[agent].fails)
}

func (p *placementPolicy) occupancy(m *model, i int) placement.Occupancy {
	s := &m.servers[i]
	return p.meters[i].Occupancy(p.start.Add(m.now), placement.Usage{
		SlotsBusy: s.busy, Slots: m.c.Slots, Queue: len(s.queue),
		Connections: s.conns, MaxConnections: m.c.MaxConns,
	})
}

func (p *placementPolicy) first(m *model, b int, id uint64) int {
	t := p.tables[b]
	i := t.Primary(binary.BigEndian.AppendUint64(nil, id))
	if i == placement.None {
		return -1
	}
	return agentIndex(t.Addr(i))
}

func (p *placementPolicy) place(m *model, b int, id uint64) (first, chosen int) {
	t, cid, now := p.tables[b], binary.BigEndian.AppendUint64(nil, id), p.start.Add(m.now)
	primary := t.Primary(cid)
	if primary == placement.None {
		return -1, -1
	}
	first = agentIndex(t.Addr(primary))
	if p.primaryOnly || !m.servers[first].alive {
		return first, first
	}
	alt, ok := t.Alternate(cid, primary, p.loads[b], now)
	own := p.occupancy(m, first)
	d := p.deciders[first].Decide(now, cid, own, alt, ok)
	if !d.Forward {
		return first, first
	}
	to := agentIndex(d.To)
	if !m.servers[to].alive {
		return first, to
	}
	primaryAgent := placement.Alternate{Addr: agentAddr(first), Occupancy: own}
	if p.deciders[to].Decide(now, cid, p.occupancy(m, to), primaryAgent, true).Forward {
		p.deciders[first].Keep(now, cid)
		return first, first
	}
	return first, to
}
