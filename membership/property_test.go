package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// Guards against member lists that stay different, a healthy process that stays dead,
// or a leaving process that is ready again, after loss, duplicates, reordering, kills,
// restarts, pauses, one-way cuts, partitions and state changes in any order. Merge
// and repair must depend on the records alone.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFaultSchedule(rt, t)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			f.inject()
			f.x.Run(time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "ms"))*time.Millisecond, nil)
		}
		f.heal()
		if !f.x.Run(90*time.Second, f.x.Converged) {
			rt.Fatalf("member lists differ 90 s after the last fault: %s", f.x.Differences())
		}
	})
}

// faultSchedule injects one generated schedule of faults and checks the
// invariants at each change of a member list.
type faultSchedule struct {
	rt      *rapid.T
	x       *lab.Exchange
	cutFrom map[*lab.Process]map[*lab.Process]bool
	split   int                                        // zones below it are partitioned from the others
	leaving map[*lab.Process]map[netip.AddrPort]uint64 // incarnation that was leaving
	newest  map[*lab.Process]map[netip.AddrPort]uint64
}

func newFaultSchedule(rt *rapid.T, t testing.TB) *faultSchedule {
	x := newExchange(t, rapid.Uint64().Draw(rt, "seed"))
	x.Encode = true
	f := &faultSchedule{
		rt: rt, x: x, cutFrom: map[*lab.Process]map[*lab.Process]bool{},
		leaving: map[*lab.Process]map[netip.AddrPort]uint64{}, newest: map[*lab.Process]map[netip.AddrPort]uint64{},
	}
	zones := rapid.IntRange(1, 4).Draw(rt, "zones")
	seeds := lab.Seeds(0, 1)
	for i := range rapid.IntRange(3, 10).Draw(rt, "balancers") {
		x.Balancer(i, i%zones, seeds...)
	}
	for i := range rapid.IntRange(1, 8).Draw(rt, "agents") {
		x.Agent(i, i%zones, seeds...)
	}
	x.Cut = func(from, to *lab.Process) bool {
		if f.cutFrom[from][to] {
			return true
		}
		return f.split > 0 && (f.zone(from) < f.split) != (f.zone(to) < f.split)
	}
	x.OnChange = f.check
	if !x.Run(30*time.Second, x.Converged) {
		rt.Fatal("the fleet doesn't converge at the start")
	}
	return f
}

func (f *faultSchedule) zone(p *lab.Process) int {
	return int(p.Record.Zone[len(p.Record.Zone)-1] - '0')
}

// check fails if an older incarnation replaces a newer one, or if a leaving process
// changes its state within its incarnation.
func (f *faultSchedule) check(p *lab.Process, c *Change) {
	if c.Kind != ChangeRecord {
		return
	}
	k, inc := c.Record.Addr, c.Record.Incarnation
	if f.newest[p] == nil {
		f.newest[p], f.leaving[p] = map[netip.AddrPort]uint64{}, map[netip.AddrPort]uint64{}
	}
	if inc < f.newest[p][k] {
		f.rt.Fatalf("%v: incarnation %d of %v replaced by %d", p.Record.Addr, f.newest[p][k], c.Record.Addr, inc)
	}
	f.newest[p][k] = inc
	if f.leaving[p][k] == inc && c.Record.State != StateLeaving {
		f.rt.Fatalf("%v: %v was leaving and is %v", p.Record.Addr, c.Record.Addr, c.Record.State)
	}
	if c.Record.State == StateLeaving {
		f.leaving[p][k] = inc
	}
}

func (f *faultSchedule) pick() *lab.Process {
	return f.x.Processes[rapid.IntRange(0, len(f.x.Processes)-1).Draw(f.rt, "process")]
}

func (f *faultSchedule) inject() {
	p := f.pick()
	switch rapid.IntRange(0, 7).Draw(f.rt, "fault") {
	case 0:
		f.x.Loss = float64(rapid.IntRange(0, 40).Draw(f.rt, "loss")) / 100
	case 1:
		f.x.Duplicate = 0.3
		f.x.Delay = func(_, _ *lab.Process) time.Duration {
			return lab.Step * time.Duration(1+f.x.Rand.IntN(100)) // reorders
		}
	case 2:
		p.Stopped = true
	case 3:
		f.restart(p)
	case 4:
		p.Paused = !p.Stopped
	case 5:
		f.cutFrom[p] = map[*lab.Process]bool{f.pick(): true}
	case 6:
		f.split = rapid.IntRange(0, 3).Draw(f.rt, "split")
	case 7:
		f.setState(p, State(rapid.IntRange(int(StateStarting), int(StateLeaving)).Draw(f.rt, "state")))
	}
}

func (f *faultSchedule) setState(p *lab.Process, s State) {
	if p.Stopped || p.Paused {
		return
	}
	p.SetState(f.x.Now, s)
	f.x.Flush(p)
}

// restart replaces p with a new process at the same address.
func (f *faultSchedule) restart(p *lab.Process) {
	if p.Stopped && f.x.ProcessAt(p.Record.Addr) != p {
		return
	}
	ip := p.Record.Addr.Addr().As4()
	i := int(ip[2])<<8 | int(ip[3])
	p.Stopped = true
	if p.Machine != nil {
		f.x.Balancer(i, f.zone(p), lab.Seeds(0, 1, 2)...)
	} else {
		f.x.Agent(i, f.zone(p), lab.Seeds(0, 1, 2)...)
	}
}

// heal ends all faults and restarts stopped processes, since a fleet without its
// seeds can't be joined.
func (f *faultSchedule) heal() {
	f.x.Loss, f.x.Duplicate, f.split = 0, 0, 0
	clear(f.cutFrom)
	for _, p := range append([]*lab.Process(nil), f.x.Processes...) {
		if p.Paused {
			f.x.Resume(p)
		}
		if p.Stopped && f.x.ProcessAt(p.Record.Addr) == p {
			f.restart(p)
		}
	}
}
