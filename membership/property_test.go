package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Symptom: rosters differ for ever, a healthy process stays dead, or one that
// leaves is ready again.
// Sequence: generated: loss, duplicates, reordering, kills, restarts, pauses,
// one-way cuts, partitions and state changes in any order.
// Cause: any record order or repair step that isn't a function of the records
// alone.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFaults(rt, t)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			f.one()
			f.x.run(time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "ms"))*time.Millisecond, nil)
		}
		f.heal()
		if !f.x.run(90*time.Second, f.x.agree) {
			rt.Fatalf("rosters differ 90 s after the last fault: %s", f.x.differences())
		}
	})
}

// faults drives one generated schedule and checks what must hold at each
// change of a roster.
type faults struct {
	rt         *rapid.T
	x          *exchange
	cutFrom    map[*proc]map[*proc]bool
	split      int                      // zones below it can't talk to the others
	leftBefore map[*proc]map[key]uint64 // incarnation that was seen leaving
	newest     map[*proc]map[key]uint64
}

func newFaults(rt *rapid.T, t testing.TB) *faults {
	x := newExchange(t, rapid.Uint64().Draw(rt, "seed"))
	x.encode = true
	f := &faults{
		rt: rt, x: x, cutFrom: map[*proc]map[*proc]bool{},
		leftBefore: map[*proc]map[key]uint64{}, newest: map[*proc]map[key]uint64{},
	}
	zones := rapid.IntRange(1, 4).Draw(rt, "zones")
	seeds := x.seeds(0, 1)
	for i := range rapid.IntRange(3, 10).Draw(rt, "balancers") {
		x.balancer(i, i%zones, seeds...)
	}
	for i := range rapid.IntRange(1, 8).Draw(rt, "agents") {
		x.agent(i, i%zones, seeds...)
	}
	x.cut = func(from, to *proc) bool {
		if f.cutFrom[from][to] {
			return true
		}
		return f.split > 0 && (f.zone(from) < f.split) != (f.zone(to) < f.split)
	}
	x.onChange = f.check
	if !x.run(30*time.Second, x.agree) {
		rt.Fatal("the fleet doesn't agree at the start")
	}
	return f
}

func (f *faults) zone(p *proc) int { return int(p.rec.Zone[len(p.rec.Zone)-1] - '0') }

// check fails if a newer incarnation yields to an older, or a process that
// was leaving is anything else within its incarnation.
func (f *faults) check(p *proc, c *Change) {
	if c.Kind != ChangeRecord {
		return
	}
	k, inc := keyOf(c.Record.Addr), c.Record.Incarnation
	if f.newest[p] == nil {
		f.newest[p], f.leftBefore[p] = map[key]uint64{}, map[key]uint64{}
	}
	if inc < f.newest[p][k] {
		f.rt.Fatalf("%v: incarnation %d of %v replaced by %d", p.rec.Addr, f.newest[p][k], c.Record.Addr, inc)
	}
	f.newest[p][k] = inc
	if f.leftBefore[p][k] == inc && c.Record.State != StateLeaving {
		f.rt.Fatalf("%v: %v was leaving and is %v", p.rec.Addr, c.Record.Addr, c.Record.State)
	}
	if c.Record.State == StateLeaving {
		f.leftBefore[p][k] = inc
	}
}

func (f *faults) pick() *proc {
	return f.x.procs[rapid.IntRange(0, len(f.x.procs)-1).Draw(f.rt, "process")]
}

func (f *faults) one() {
	p := f.pick()
	switch rapid.IntRange(0, 7).Draw(f.rt, "fault") {
	case 0:
		f.x.loss = float64(rapid.IntRange(0, 40).Draw(f.rt, "loss")) / 100
	case 1:
		f.x.duplicate = 0.3
		f.x.delay = func(_, _ *proc) time.Duration {
			return exchangeStep * time.Duration(1+f.x.rng.IntN(100)) // reorders
		}
	case 2:
		p.stopped = true
	case 3:
		f.restart(p)
	case 4:
		p.paused = !p.stopped
	case 5:
		f.cutFrom[p] = map[*proc]bool{f.pick(): true}
	case 6:
		f.split = rapid.IntRange(0, 3).Draw(f.rt, "split")
	case 7:
		f.setState(p, State(rapid.IntRange(int(StateStarting), int(StateLeaving)).Draw(f.rt, "state")))
	}
}

func (f *faults) setState(p *proc, s State) {
	if p.stopped || p.paused {
		return
	}
	if p.machine != nil {
		p.machine.SetState(f.x.now, s)
	} else {
		p.announcer.SetState(f.x.now, s)
	}
	f.x.flush(p)
}

// restart replaces p by a new process at the same address.
func (f *faults) restart(p *proc) {
	if p.stopped && f.x.by[p.rec.Addr] != p {
		return
	}
	ip := p.rec.Addr.Addr().As4()
	i := int(ip[2])<<8 | int(ip[3])
	p.stopped = true
	if p.machine != nil {
		f.x.balancer(i, f.zone(p), f.x.seeds(0, 1, 2)...)
	} else {
		f.x.agent(i, f.zone(p), f.x.seeds(0, 1, 2)...)
	}
}

// heal ends all faults and starts again what isn't running, since a fleet
// without its seeds has nobody to turn to.
func (f *faults) heal() {
	f.x.loss, f.x.duplicate, f.split = 0, 0, 0
	clear(f.cutFrom)
	for _, p := range append([]*proc(nil), f.x.procs...) {
		if p.paused {
			f.x.resume(p)
		}
		if p.stopped && f.x.by[p.rec.Addr] == p {
			f.restart(p)
		}
	}
}

// differences tells where the rosters differ, for the message of a failure.
func (x *exchange) differences() string {
	s := ""
	for _, p := range x.procs {
		if p.machine == nil || p.stopped {
			continue
		}
		for _, q := range x.procs {
			got, _ := p.machine.Lookup(q.rec.Addr)
			if !q.stopped && got != q.self() {
				s += "\n" + p.rec.Addr.String() + " holds " + describe(got) + " but it is " + describe(q.self())
			}
		}
	}
	return s
}

func describe(r Record) string {
	return r.Addr.String() + " " + r.State.String() + " " + r.Verdict.String()
}
