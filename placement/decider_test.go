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
		forward  bool
	}{
		{"idle stays", 0, 0, true, false},
		{"clearly busier forwards", 100, 20, true, true},
		{"about equal stays", 100, 96, true, false},
		{"full forwards", Full, 250, true, true},
		{"both full stays", Full, Full, true, false},
		{"no alternate stays", Full, 0, false, false},
	} {
		alt.Occupancy = c.alt
		got := NewDecider(1, DeciderOptions{}).Decide(testStart, testID(1), c.own, alt, c.has)
		if got.Forward != c.forward {
			t.Errorf("%s: forward is %v", c.name, got.Forward)
		}
	}
}

// Guards against deciding per packet: when the second Initial packet of a flow
// arrives through a balancer that chose another alternate, or after the load has
// changed, it must go where the first went, or the handshake stalls.
func TestInitialFlightFollowsFirstDecision(t *testing.T) {
	agents := testAgents(2)
	d := NewDecider(1, DeciderOptions{})
	first := d.Decide(testStart, testID(1), 200, Alternate{agents[0].Addr, 0}, true)
	second := d.Decide(testStart.Add(retransmitAfter/2), testID(1), 0, Alternate{agents[1].Addr, 0}, true)
	if !first.Forward || second != first {
		t.Errorf("first %v, second %v", first, second)
	}
	late := d.Decide(testStart.Add(DefaultTTL+time.Second), testID(1), 0, Alternate{agents[1].Addr, 0}, true)
	if late.Forward {
		t.Errorf("the decision is still in effect after its TTL: %v", late)
	}
}

// Guards against a decision that outlasts a missing answer: if the primary
// forwards a flow to a failed agent and does the same with the caller's
// retransmitted Initial, the caller waits for seconds although the primary works.
func TestRepeatedInitialStaysAtPrimary(t *testing.T) {
	d := NewDecider(1, DeciderOptions{})
	failed := Alternate{testAgents(1)[0].Addr, 0}
	d.Decide(testStart, testID(1), 200, failed, true)
	for _, after := range []time.Duration{time.Second, 2 * time.Second} {
		if got := d.Decide(testStart.Add(after), testID(1), 200, failed, true); got.Forward {
			t.Errorf("the retransmission after %v was forwarded", after)
		}
	}
	if d.Unanswered != 1 {
		t.Errorf("unanswered: %d", d.Unanswered)
	}
}

// Guards against an Initial being forwarded back and forth: the alternate is
// busier than estimated and sends the flow back; the primary must record that,
// or it forwards the next Initial packet again.
func TestReturnedFlowStays(t *testing.T) {
	agents := testAgents(2)
	primary, alternate := NewDecider(1, DeciderOptions{}), NewDecider(2, DeciderOptions{})
	id := testID(1)
	if !primary.Decide(testStart, id, 100, Alternate{agents[1].Addr, 10}, true).Forward {
		t.Fatal("the primary keeps the flow")
	}
	back := alternate.Decide(testStart, id, 200, Alternate{agents[0].Addr, 100}, true)
	if !back.Forward || back.To != agents[0].Addr {
		t.Fatalf("the busier alternate decided %v", back)
	}
	primary.Keep(testStart, id)
	if got := primary.Decide(testStart, id, 200, Alternate{agents[1].Addr, 0}, true); got.Forward {
		t.Errorf("the flow that was sent back is forwarded again: %v", got)
	}
}

// Guards against a full agent's backend server receiving new flows because the agent
// keeps a flow that another agent can take, or because that agent sends it back.
func TestFullAgentGetsNoFlowThatAnotherCanTake(t *testing.T) {
	agents := testAgents(2)
	rapid.Check(t, func(t *rapid.T) {
		reported := Occupancy(rapid.IntRange(0, int(Full)-1).Draw(t, "reported"))
		actual := Occupancy(rapid.IntRange(0, int(Full)).Draw(t, "actual"))
		id := rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "id")
		primary, alternate := NewDecider(1, DeciderOptions{}), NewDecider(2, DeciderOptions{})
		if !primary.Decide(testStart, id, Full, Alternate{agents[1].Addr, reported}, true).Forward {
			t.Fatal("the full primary keeps the flow")
		}
		if alternate.Decide(testStart, id, actual, Alternate{agents[0].Addr, Full}, true).Forward {
			t.Fatal("the flow goes back to the full primary")
		}
	})
}

func TestEvictedDecisionsAreCounted(t *testing.T) {
	d := NewDecider(1, DeciderOptions{})
	for i := range uint64(2 * DefaultDecisions) {
		d.Decide(testStart, testID(i), 0, Alternate{}, false)
	}
	if d.Evicted < DefaultDecisions {
		t.Errorf("evicted decisions: %d", d.Evicted)
	}
}

func TestLoad(t *testing.T) {
	agent := testAgents(1)[0].Addr
	l := NewLoad(10, LoadOptions{})
	if _, _, ok := l.Get(agent, testStart); ok {
		t.Error("Get returned an occupancy before any report")
	}
	l.Report(agent, 42, testStart)
	o, age, ok := l.Get(agent, testStart.Add(time.Second))
	if !ok || o != 42 || age != time.Second {
		t.Errorf("got %d, %v, %v", o, age, ok)
	}
}

// Guards against a draining agent being chosen as the alternate seconds after it
// reported Full, because the aged report counts as merely busy.
func TestReportAgesToUnknownButFullStays(t *testing.T) {
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
			got, _ := l.estimate(p, ticks(testStart.Add(c.age)))
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

// Guards against overload of a recently started backend server: its low weight
// limits the flows of which it is the primary, but if weights were ignored for
// alternates, its idle slots would make every balancer choose it.
func TestColdAgentIsNotPreferredAsAlternate(t *testing.T) {
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
