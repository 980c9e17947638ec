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

// Seeds returns the addresses of the balancers with the given numbers.
func Seeds(list ...int) []netip.AddrPort {
	var s []netip.AddrPort
	for _, i := range list {
		s = append(s, AddrOf(membership.RoleBalancer, i))
	}
	return s
}

// ZoneName returns the name of zone z.
func ZoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// NewRecord returns the record of process i of zone z that starts now. Three zones
// form a region; four consecutive agents have different services.
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

// Fleet adds n balancers spread over the zones, with the first one as the seed of
// all, and shares their records.
func (x *Exchange) Fleet(n, zones int) []*Process {
	list := make([]*Process, n)
	for i := range list {
		list[i] = x.Balancer(i, i*zones/n, AddrOf(membership.RoleBalancer, 0))
	}
	x.ShareRecords()
	return list
}

// ShareRecords gives every machine the record of every running process, like a bulk
// transfer.
func (x *Exchange) ShareRecords() {
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

// interRegionDelay is the one-way delay between regions.
const interRegionDelay = 50 * time.Millisecond

// RegionDelay delays messages between regions by 50 ms and others by Step.
func RegionDelay(from, to *Process) time.Duration {
	if from.Record.Region == to.Record.Region {
		return Step
	}
	return interRegionDelay
}

// ConvergedFleet builds zones with this many balancers and agents each and waits
// until their member lists have converged; if this takes more than 30 s, it fails.
// Balancer i of list is in zone i/balancers, agent i of as in zone i%zones.
func ConvergedFleet(x *Exchange, zones, balancers, agents int) (list, as []*Process) {
	x.Delay = RegionDelay
	list = x.Fleet(zones*balancers, zones)
	for i := range zones * agents {
		z := i % zones
		as = append(as, x.Agent(i, z, Seeds(z*balancers, z*balancers+1)...))
	}
	x.ShareRecords()
	x.Run(15*time.Second, nil)
	if !x.Run(15*time.Second, x.Converged) {
		x.Fail(&FaultError{What: fmt.Sprintf("member lists not converged at the start:%s", x.Differences())})
	}
	return list, as
}

// Converged reports whether every running machine lists every running process with
// its current record in a reachable zone, and no other process as alive.
func (x *Exchange) Converged() bool {
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
		if !x.listsAll(p.Machine, alive) {
			return false
		}
	}
	return true
}

func (x *Exchange) listsAll(m *membership.Machine, alive int) bool {
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

// Differences describes the differences between the member lists.
func (x *Exchange) Differences() string {
	s := ""
	for _, p := range x.Processes {
		if p.Machine == nil || p.Stopped {
			continue
		}
		for _, q := range x.Processes {
			got, _ := p.Machine.Lookup(q.Record.Addr)
			if !q.Stopped && got != q.Self() {
				s += "\n" + p.Record.Addr.String() + " lists " + describe(got) + ", current record " + describe(q.Self())
			}
		}
	}
	return s
}

func describe(r membership.Record) string {
	return r.Addr.String() + " " + r.State.String() + " " + r.Verdict.String()
}
