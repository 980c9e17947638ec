package balancer

import (
	"net/netip"
	"sync/atomic"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/placement"
)

// loadTableSize is the number of agents for which the table of estimated occupancies is sized.
const loadTableSize = 4096

// addresses implements Addresses with the catalogue in force.
type addresses struct {
	table atomic.Pointer[catalogue.Table]
}

// Service implements Addresses.
func (a *addresses) Service(addr [4]byte) (uint32, bool) {
	t := a.table.Load()
	if t == nil {
		return 0, false
	}
	n := t.Number(addr)
	return n, n != 0
}

// placer implements Chooser and LoadObserver with the agents of the member list.
type placer struct {
	cfg           placement.Config
	tables        placement.Tables
	load          *placement.Load
	clock         batchClock
	placedService map[netip.AddrPort]uint32 // service of each placed agent; only the control loop uses it
}

func newPlacer(zone string) *placer {
	return &placer{
		cfg:           placement.Config{Zone: zone},
		load:          placement.NewLoad(loadTableSize, placement.LoadOptions{}),
		placedService: make(map[netip.AddrPort]uint32),
	}
}

// Choose implements Chooser.
func (p *placer) Choose(service uint32, id []byte, c *Choice) bool {
	t := p.tables.Get(service)
	if t == nil {
		return false
	}
	chosen, ok := t.Choose(id, p.load, p.clock.now())
	if !ok {
		return false
	}
	c.Primary = chosen.Primary
	c.Alternate = chosen.Alternate.Addr
	c.AlternateLoad = byte(chosen.Alternate.Occupancy)
	c.HasAlternate = chosen.HasAlternate
	return true
}

// Observe implements LoadObserver.
func (p *placer) Observe(_ uint32, agent netip.AddrPort, load byte) {
	p.load.Report(agent, placement.Occupancy(load), p.clock.now())
}

// set applies an agent's record to the placement of new flows. takesWork is false for an
// agent that must get none.
//
// When a VM is replaced, its address may be reused by an agent of another service. set
// removes the address from the old service's table. Otherwise that table would still send
// it new flows, which the agent drops as foreign, and a share of the old service's new
// callers would get no connection.
func (p *placer) set(r *membership.Record, takesWork bool) error {
	if old, ok := p.placedService[r.Addr]; ok && old != r.Service {
		if err := p.remove(r.Addr); err != nil {
			return err
		}
	}
	a := placement.Agent{Addr: r.Addr, Zone: r.Zone}
	if takesWork {
		a.Weight = r.Weight
		p.placedService[r.Addr] = r.Service
	} else {
		delete(p.placedService, r.Addr)
	}
	return p.put(r.Service, a)
}

// remove excludes the agent at an address, if there is one, from placement.
func (p *placer) remove(addr netip.AddrPort) error {
	service, ok := p.placedService[addr]
	if !ok {
		return nil
	}
	delete(p.placedService, addr)
	return p.put(service, placement.Agent{Addr: addr})
}

// put replaces the table of a service by one with the agent's new state.
func (p *placer) put(service uint32, a placement.Agent) error {
	t := p.tables.Get(service)
	if t == nil {
		t = &placement.Table{}
	}
	next, err := t.With(p.cfg, a)
	if err != nil {
		return err
	}
	p.tables.Set(service, next)
	return nil
}
