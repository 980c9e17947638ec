package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1700000000, 0)

func TestDecideTable(t *testing.T) {
	alt := Alternate{Addr: testAgents(1)[0].Addr}
	for _, c := range []struct {
		name     string
		own, alt Occupancy
		has      bool
		handOn   bool
	}{
		{"idle stays", 0, 0, true, false},
		{"clearly busier hands on", 100, 20, true, true},
		{"about equal stays", 100, 96, true, false},
		{"full hands on", Full, 250, true, true},
		{"both full stays", Full, Full, true, false},
		{"no alternate stays", Full, 0, false, false},
	} {
		alt.Occupancy = c.alt
		got := NewDecider(1, DeciderOptions{}).Decide(testStart, testID(1), c.own, alt, c.has)
		if got.Forward != c.handOn {
			t.Errorf("%s: hand on %v", c.name, got.Forward)
		}
	}
}

// Symptom: a handshake hangs although both agents are well. Sequence: the first
// Initial packet is handed on, the second comes by another balancer that names
// another alternate, and the load has changed. Cause: deciding per packet.
func TestInitialFlightFollowsFirstDecision(t *testing.T) {
	agents := testAgents(2)
	d := NewDecider(1, DeciderOptions{})
	first := d.Decide(testStart, testID(1), 200, Alternate{agents[0].Addr, 0}, true)
	second := d.Decide(testStart.Add(repeatAfter/2), testID(1), 0, Alternate{agents[1].Addr, 0}, true)
	if !first.Forward || second != first {
		t.Errorf("first %v, second %v", first, second)
	}
	late := d.Decide(testStart.Add(DefaultTTL+time.Second), testID(1), 0, Alternate{agents[1].Addr, 0}, true)
	if late.Forward {
		t.Errorf("a decision outlived its time: %v", late)
	}
}

// Symptom: callers wait for seconds after a backend server died, although their
// primary is well. Sequence: the primary hands the flow on to the dead agent,
// the caller repeats its Initial, the primary follows its decision. Cause: a
// remembered decision that no missing answer ends.
func TestRepeatedInitialStaysAtPrimary(t *testing.T) {
	d := NewDecider(1, DeciderOptions{})
	dead := Alternate{testAgents(1)[0].Addr, 0}
	d.Decide(testStart, testID(1), 200, dead, true)
	for _, after := range []time.Duration{time.Second, 2 * time.Second} {
		if got := d.Decide(testStart.Add(after), testID(1), 200, dead, true); got.Forward {
			t.Errorf("the repeat after %v follows", after)
		}
	}
	if d.Unanswered != 1 {
		t.Errorf("unanswered: %d", d.Unanswered)
	}
}

// Symptom: an Initial goes round between two agents. Sequence: the alternate is
// busier than believed and sends the flow back, the next Initial packet reaches
// the primary. Cause: a primary that doesn't remember that the flow came back.
func TestReturnedFlowStays(t *testing.T) {
	agents := testAgents(2)
	primary, alternate := NewDecider(1, DeciderOptions{}), NewDecider(2, DeciderOptions{})
	id := testID(1)
	if !primary.Decide(testStart, id, 100, Alternate{agents[1].Addr, 10}, true).Forward {
		t.Fatal("the primary keeps")
	}
	back := alternate.Decide(testStart, id, 200, Alternate{agents[0].Addr, 100}, true)
	if !back.Forward || back.To != agents[0].Addr {
		t.Fatalf("the busier alternate decided %v", back)
	}
	primary.Keep(testStart, id)
	if got := primary.Decide(testStart, id, 200, Alternate{agents[1].Addr, 0}, true); got.Forward {
		t.Errorf("the returned flow leaves again: %v", got)
	}
}

// Symptom: a backend server that is leaving gets new work. Cause: its agent
// keeps a flow although another can take it, or the other sends it back.
func TestFullAgentGetsNoFlowThatAnotherCanTake(t *testing.T) {
	agents := testAgents(2)
	rapid.Check(t, func(t *rapid.T) {
		believed := Occupancy(rapid.IntRange(0, int(Full)-1).Draw(t, "believed"))
		actual := Occupancy(rapid.IntRange(0, int(Full)).Draw(t, "actual"))
		id := rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "id")
		primary, alternate := NewDecider(1, DeciderOptions{}), NewDecider(2, DeciderOptions{})
		if !primary.Decide(testStart, id, Full, Alternate{agents[1].Addr, believed}, true).Forward {
			t.Fatal("the full primary keeps the flow")
		}
		if alternate.Decide(testStart, id, actual, Alternate{agents[0].Addr, Full}, true).Forward {
			t.Fatal("the flow goes back to the full primary")
		}
	})
}

func TestForgottenDecisionsAreCounted(t *testing.T) {
	d := NewDecider(1, DeciderOptions{})
	for i := range uint64(2 * DefaultDecisions) {
		d.Decide(testStart, testID(i), 0, Alternate{}, false)
	}
	if d.Evicted < DefaultDecisions {
		t.Errorf("forgotten: %d", d.Evicted)
	}
}

func TestLoad(t *testing.T) {
	agent := testAgents(1)[0].Addr
	l := NewLoad(10, LoadOptions{})
	if _, _, ok := l.Get(agent, testStart); ok {
		t.Error("an occupancy before any report")
	}
	l.Report(agent, 42, testStart)
	o, age, ok := l.Get(agent, testStart.Add(time.Second))
	if !ok || o != 42 || age != time.Second {
		t.Errorf("got %d, %v, %v", o, age, ok)
	}
}

// Symptom: a draining agent is named as the alternate seconds after it said so.
// Cause: an aged report of Full that counts as merely busy.
func TestBeliefAgesToUnknownButFullStays(t *testing.T) {
	agents := testAgents(2)
	l := NewLoad(2, LoadOptions{})
	l.Report(agents[0].Addr, 0, testStart)
	l.Report(agents[1].Addr, Full, testStart)
	for _, c := range []struct {
		age        time.Duration
		idle, full Occupancy
	}{
		{0, 0, Full},
		{DefaultMaxAge / 2, DefaultUnknown / 2, Full},
		{DefaultMaxAge + time.Second, DefaultUnknown, DefaultUnknown},
	} {
		for i, want := range []Occupancy{c.idle, c.full} {
			p, _ := pack(agents[i].Addr)
			got, _ := l.believed(p, ticks(testStart.Add(c.age)))
			if int(got) < int(want)-1 || got > want {
				t.Errorf("after %v: %d, want %d", c.age, got, want)
			}
		}
	}
}

func TestAlternateIsLeastLoadedOther(t *testing.T) {
	agents := testAgents(5)
	table := testTable(t, agents)
	l := NewLoad(5, LoadOptions{})
	for i, a := range agents {
		l.Report(a.Addr, Occupancy(50-10*i), testStart)
	}
	for i := range uint64(100) {
		id := testID(i)
		primary := table.Primary(id)
		alt, ok := table.Alternate(id, primary, l, testStart)
		want := agents[4].Addr
		if table.Addr(primary) == want {
			want = agents[3].Addr
		}
		if !ok || alt.Addr != want {
			t.Fatalf("flow %d: alternate %v, want %v", i, alt, want)
		}
	}
}

func TestAlternatePrefersOwnZoneWithinPenalty(t *testing.T) {
	agents := testAgents(3)
	cfg := Config{Zone: agents[1].Zone, RemotePenalty: DefaultRemotePenalty}
	table, err := NewTable(cfg, agents)
	if err != nil {
		t.Fatal(err)
	}
	primary := 0
	for table.Addr(primary) != agents[0].Addr {
		primary++
	}
	for _, c := range []struct {
		own  Occupancy
		want int
	}{{50 + DefaultRemotePenalty - 1, 1}, {50 + DefaultRemotePenalty + 1, 2}} {
		l := NewLoad(3, LoadOptions{})
		l.Report(agents[1].Addr, c.own, testStart)
		l.Report(agents[2].Addr, 50, testStart)
		alt, _ := table.Alternate(testID(1), primary, l, testStart)
		if alt.Addr != agents[c.want].Addr {
			t.Errorf("own zone at %d: alternate %v", c.own, alt)
		}
	}
}

// Symptom: a backend server that has just started is flooded. Sequence: its
// weight keeps primaries away, its idle slots make every balancer name it as
// the alternate. Cause: an alternate chosen without regard to weights.
func TestColdAgentIsNotEveryonesAlternate(t *testing.T) {
	agents := testAgents(3)
	agents[1].Weight = 51
	table, l := testTable(t, agents), NewLoad(3, LoadOptions{})
	l.Report(agents[1].Addr, 0, testStart)
	l.Report(agents[2].Addr, 20, testStart)
	for i := range uint64(100) {
		primary := table.Primary(testID(i))
		if table.Addr(primary) != agents[0].Addr {
			continue
		}
		if alt, _ := table.Alternate(testID(i), primary, l, testStart); alt.Addr != agents[2].Addr {
			t.Fatalf("flow %d: the cold agent is the alternate", i)
		}
	}
}

func TestRampRisesToFullInItsSteps(t *testing.T) {
	r := Ramp{Duration: 10 * time.Second, Steps: 4}
	last, steps := uint8(0), 0
	for at, more := time.Duration(0), true; more; steps++ {
		w := r.Weight(at)
		if w <= last {
			t.Errorf("at %v: weight %d after %d", at, w, last)
		}
		last = w
		var next time.Duration
		next, more = r.Next(at)
		at = next
	}
	if last != FullWeight || steps != r.Steps+1 {
		t.Errorf("last weight %d after %d weights", last, steps)
	}
}

func TestPacketPathAllocatesNothing(t *testing.T) {
	agents := testAgents(1000)
	var tables Tables
	tables.Set(70000, testTable(t, agents))
	l, id := NewLoad(1000, LoadOptions{}), testID(1)
	allocs := testing.AllocsPerRun(100, func() {
		l.Report(agents[7].Addr, 10, testStart)
		tables.Get(70000).Choose(id, l, testStart)
	})
	if allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}
