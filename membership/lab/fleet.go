package lab

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// AddrOf returns the address of process i of a role.
func AddrOf(role membership.Role, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(role), byte(i >> 8), byte(i)}), uint16(7000+i>>16))
}

// Seeds returns the addresses of balancers.
func Seeds(list ...int) []netip.AddrPort {
	var s []netip.AddrPort
	for _, i := range list {
		s = append(s, AddrOf(membership.RoleBalancer, i))
	}
	return s
}

// ZoneName returns the name of zone z.
func ZoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// NewRecord returns the record of process i of zone z that starts now; three
// zones make a region, four agents in a row have different services.
func (x *Exchange) NewRecord(role membership.Role, i, z int) membership.Record {
	r := membership.Record{
		Addr: AddrOf(role, i), Role: role, State: membership.StateReady, Weight: 100,
		Incarnation: uint64(x.Now.UnixNano()), Zone: ZoneName(z), Region: fmt.Sprintf("region-%d", z/3),
	}
	if role == membership.RoleAgent {
		r.Service = uint32(1 + i%4)
	}
	return r
}

// Balancer adds a balancer, or restarts the one with the same number.
func (x *Exchange) Balancer(i, z int, seeds ...netip.AddrPort) *Process {
	rec := x.NewRecord(membership.RoleBalancer, i, z)
	m, err := membership.NewMachine(membership.Config{Self: rec, Seeds: seeds, Seed: x.seed + uint64(i)})
	if err != nil {
		x.Fail(&FaultError{"balancer", err})
	}
	return x.Add(&Process{Machine: m, Record: rec})
}

// Agent adds an agent, or restarts the one with the same number.
func (x *Exchange) Agent(i, z int, seeds ...netip.AddrPort) *Process {
	rec := x.NewRecord(membership.RoleAgent, i, z)
	a, err := membership.NewAnnouncer(membership.AnnouncerConfig{Self: rec, Seeds: seeds, Seed: x.seed + uint64(i)})
	if err != nil {
		x.Fail(&FaultError{"agent", err})
	}
	return x.Add(&Process{Announcer: a, Record: rec})
}

// Fleet adds n balancers over the zones, all seeded with the first one, and
// makes all known to all.
func (x *Exchange) Fleet(n, zones int) []*Process {
	list := make([]*Process, n)
	for i := range list {
		list[i] = x.Balancer(i, i*zones/n, AddrOf(membership.RoleBalancer, 0))
	}
	x.Acquaint()
	return list
}

// Acquaint hands every machine the record of every process, as a bulk
// transfer would.
func (x *Exchange) Acquaint() {
	var all []membership.Record
	for _, p := range x.Processes {
		if !p.Stopped {
			all = append(all, p.Self())
		}
	}
	for _, p := range x.Processes {
		if p.Machine != nil {
			p.Machine.MergeAll(x.Now, all)
			p.Machine.Changes()
		}
	}
}

// farDelay is the one-way time between regions.
const farDelay = 50 * time.Millisecond

// Geography delays messages between regions by 50 ms, others by Step.
func Geography(from, to *Process) time.Duration {
	if from.Record.Region == to.Record.Region {
		return Step
	}
	return farDelay
}

// Settle builds zones with so many balancers and agents each and waits until
// they agree; not within 30 s is a fault. It returns balancers and agents;
// balancer i is in zone i/balancers, agent i in zone i%zones.
func Settle(x *Exchange, zones, balancers, agents int) (list, as []*Process) {
	x.Delay = Geography
	list = x.Fleet(zones*balancers, zones)
	for i := range zones * agents {
		z := i % zones
		as = append(as, x.Agent(i, z, Seeds(z*balancers, z*balancers+1)...))
	}
	x.Acquaint()
	x.Run(15*time.Second, nil)
	if !x.Run(15*time.Second, x.Agree) {
		x.Fail(&FaultError{What: fmt.Sprintf("no agreement at the start:%s", x.Differences())})
	}
	return list, as
}

// Agree reports whether every running machine lists every running process as
// alive in its own state and version, and no other process as alive.
func (x *Exchange) Agree() bool {
	alive := 0
	for _, p := range x.Processes {
		if !p.Stopped {
			alive++
		}
	}
	for _, p := range x.Processes {
		if p.Machine == nil || p.Stopped {
			continue
		}
		if !x.complete(p.Machine, alive) {
			return false
		}
	}
	return true
}

func (x *Exchange) complete(m *membership.Machine, alive int) bool {
	for _, p := range x.Processes {
		if p.Stopped {
			continue
		}
		got, ok := m.Lookup(p.Record.Addr)
		if !ok || got != p.Self() || !m.ZoneReachable(p.Record.Addr) {
			return false
		}
	}
	n := 0
	for rec := range m.Records() {
		if rec.Verdict != membership.VerdictDead {
			n++
		}
	}
	return n == alive
}

// Differences tells where the rosters differ, for the message of a failure.
func (x *Exchange) Differences() string {
	s := ""
	for _, p := range x.Processes {
		if p.Machine == nil || p.Stopped {
			continue
		}
		for _, q := range x.Processes {
			got, _ := p.Machine.Lookup(q.Record.Addr)
			if !q.Stopped && got != q.Self() {
				s += "\n" + p.Record.Addr.String() + " holds " + describe(got) + " but it is " + describe(q.Self())
			}
		}
	}
	return s
}

func describe(r membership.Record) string {
	return r.Addr.String() + " " + r.State.String() + " " + r.Verdict.String()
}
