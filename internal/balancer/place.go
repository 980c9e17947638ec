package balancer

import (
	"net/netip"
	"sync/atomic"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/placement"
)

// loadEntries is how many agents the table of believed occupancies is made for.
const loadEntries = 4096

// addresses implements Addresses over the catalogue in force.
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

// places implements Chooser and LoadObserver over the roster.
type places struct {
	cfg    placement.Config
	tables placement.Tables
	load   *placement.Load
	clock  batchClock
}

func newPlaces(zone string) *places {
	return &places{cfg: placement.Config{Zone: zone}, load: placement.NewLoad(loadEntries, placement.LoadOptions{})}
}

// Choose implements Chooser.
func (p *places) Choose(service uint32, id []byte, c *Choice) bool {
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
func (p *places) Observe(_ uint32, agent netip.AddrPort, load byte) {
	p.load.Report(agent, placement.Occupancy(load), p.clock.now())
}

// set puts an agent's record in force for new flows. takesWork is false for an
// agent that must get none.
func (p *places) set(r *membership.Record, takesWork bool) error {
	a := placement.Agent{Addr: r.Addr, Zone: r.Zone}
	if takesWork {
		a.Weight = r.Weight
	}
	t := p.tables.Get(r.Service)
	if t == nil {
		t = &placement.Table{}
	}
	next, err := t.With(p.cfg, a)
	if err != nil {
		return err
	}
	p.tables.Set(r.Service, next)
	return nil
}
