package flow

import (
	"net/netip"
	"testing"
	"time"
)

func TestFlowIsServed(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	if c.served() != 1 || len(c.holders()) != 1 {
		t.Fatalf("served %d times, held by %v", c.served(), c.holders())
	}
	// Through a balancer that has never seen the flow.
	c.send(balancerB, Segment{Seq: c.seq + 51, Ack: w.toCaller[len(w.toCaller)-1].Seq + 100, HasAck: true, Data: 50})
	if c.served() != 2 || len(c.holders()) != 1 {
		t.Fatalf("by another balancer: served %d times, held by %v", c.served(), c.holders())
	}
	if len(w.resets) > 0 {
		t.Fatalf("%d resets", len(w.resets))
	}
}

// Symptom: new flows wait for their callers' copies while an agent is dead.
// Sequence: an agent loses power; the balancer offers it a flow.
// Cause: nobody answers, and nothing says so.
func TestDeadAgentCostsOneTimeout(t *testing.T) {
	w := newWorld(t, 2)
	w.cut = func(_, to netip.AddrPort) bool { return to == agentAddr(0) }
	w.pass(100 * time.Millisecond)
	for port := uint16(1000); port < 1020; port++ {
		c := w.caller(port, listingPort)
		c.open(balancerA, 0)
		w.now = w.now.Add(DefaultOpenTimeout)
		w.tick()
		if got := c.holders(); len(got) != 1 || got[0] != 1 {
			t.Fatalf("port %d: held by %v", port, got)
		}
	}
	if n := w.balancers[balancerA].Stats().Refusals[ReasonTimeout]; n > 1 {
		t.Fatalf("%d offers to the dead agent; after the first it is known to be silent", n)
	}
}

// Symptom: an agent that is silent for a moment gets no flows for good.
// Sequence: a cut between balancer and agent heals.
// Cause: what is left out has to be heard again by itself.
func TestSilentAgentIsUsedAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.cut = func(netip.AddrPort, netip.AddrPort) bool { return true }
	w.pass(2 * time.Second)
	if n := w.balancers[balancerA].Stats().Ready; n != 0 {
		t.Fatalf("%d agents ready behind a cut", n)
	}
	w.cut = nil
	w.pass(2 * HelloEvery)
	if n := w.balancers[balancerA].Stats().Ready; n != 1 {
		t.Fatalf("%d agents ready after the cut", n)
	}
}

// Symptom: a whole fleet of agents is left out at once.
// Sequence: the balancer's own VM stands still for seconds and goes on.
// Cause: its own pause looks like everybody's silence.
func TestOwnPauseIsNotOthersSilence(t *testing.T) {
	w := newWorld(t, 3)
	w.now = w.now.Add(20 * time.Second)
	w.balancers[balancerA].Tick(w.now)
	if n := w.balancers[balancerA].Stats().Ready; n != 3 {
		t.Fatalf("%d agents ready after a pause of the balancer", n)
	}
}

// Symptom: a caller whose flows are refused asks three times within 30 ms and
// gives up, while a slot would have become free in 40 ms.
// Sequence: more flows come than there is room.
// Cause: a refusal at once makes callers spend their tries at once.
func TestFlowWaitsWhenAllAreBusy(t *testing.T) {
	w := newWorld(t, 2)
	for n := range 2 {
		for i := range w.gate(n).requestCapacity() {
			w.offerTo(n, listing, uint16(2000+100*n+i))
		}
	}
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	if len(w.resets) > 0 || len(c.holders()) > 0 {
		t.Fatalf("%d resets, held by %v", len(w.resets), c.holders())
	}
	w.now = w.now.Add(confirmTimeout)
	w.tick()
	if len(c.holders()) != 1 {
		t.Fatalf("held by %v once there is room", c.holders())
	}
}

func TestRevisionNeverGoesBack(t *testing.T) {
	d := NewDirector(time.Unix(1000, 0), DirectorConfig{}, nil)
	for _, c := range []struct {
		revision uint64
		taken    bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {6, false}} {
		if got := d.SetRoutes(testRoutes(c.revision)); got != c.taken {
			t.Errorf("revision %d: taken %v, want %v", c.revision, got, c.taken)
		}
	}
	if got := d.Routes().Revision; got != 7 {
		t.Errorf("revision %d in force, want 7", got)
	}
}

// Symptom: a configuration is not in force on one balancer for seconds.
// Sequence: its watch hears nothing, and looks like one with nothing to tell.
// Cause: only its own watch would have told it. Whoever has read the store
// tells all others through the agents how old that is, and of what revision.
func TestReadsOfOthersAreHeardOf(t *testing.T) {
	w := newWorld(t, 1)
	a, b := w.balancers[balancerA], w.balancers[balancerB]
	a.StoreRead(w.now)
	a.SetRoutes(testRoutes(5))
	w.pass(HelloEvery + ReportEvery)
	if !b.Behind() {
		t.Fatal("the other balancer has not heard of the newer revision")
	}
	if age := w.now.Sub(b.ReadAt()); age > 2*HelloEvery {
		t.Fatalf("the read counts as %v old at the other balancer", age)
	}
}

// A flow in a table full of flows is forwarded or dropped, never remembered
// beyond the bound.
func TestTablesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{MaxFlows: 100, MaxOpening: 50}, nil)
	d.SetRoutes(testRoutes(1))
	d.AddAgent(now, agentAddr(0), listing, "a")
	for i := range 1000 {
		syn := Segment{Key: Key{CallerPort: uint16(i), Service: [4]byte{198, 18, 0, 1}, ServicePort: listingPort}, Seq: 1, Syn: true}
		d.FromCaller(now, syn, make([]byte, 32))
		data := syn
		data.Syn, data.Key.CallerPort = false, uint16(i+10000)
		d.FromCaller(now, data, make([]byte, 32))
		d.Effects()
	}
	s := d.Stats()
	if s.Flows > 100 || s.Opening > 50 {
		t.Fatalf("%d flows, %d of them being offered", s.Flows, s.Opening)
	}
	if s.Dropped[ReasonOverflow] == 0 {
		t.Fatal("nothing counted as dropped")
	}
	d.Tick(now.Add(time.Hour))
	if n := d.Stats().Flows; n > 50 {
		t.Fatalf("%d flows left after an hour", n)
	}
}

// Symptom: a flow is reset although its server holds it (soak, seed 4).
// Sequence: the store's keys are taken away; a balancer is killed and starts; an
// agent stands still and can't report to it. A flow of that agent comes by, and
// all agents that the balancer knows say that they don't hold it.
// Cause: the balancer took the agents that the store named for all there are.
func TestStartedBalancerAsksOthersForAgents(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	home := agentAddr(c.holders()[0])
	d := w.addBalancer(balancerB)
	for n := range 3 {
		if agentAddr(n) != home {
			d.AddAgent(w.now, agentAddr(n), listing, "a")
		}
	}
	w.cut = func(from, to netip.AddrPort) bool { return from == home || to == home }
	d.AddBalancer(balancerA)
	for range 10 {
		w.pass(2 * retransmission)
		c.request(balancerB)
	}
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that does not know its agent")
	}
	w.cut = nil
	served := c.served()
	w.pass(2 * retransmission)
	c.request(balancerB)
	if c.served() == served {
		t.Fatal("the flow is not found once its agent is back")
	}
}

// Symptom: a flow is reset although its server holds it (soak, seed 4).
// Sequence: an agent starts while the store names no balancers; one balancer
// reaches it, another that has been up for long does not know it. The agent's
// flow comes by the other one.
// Cause: each balancer learned of agents by the store and by themselves alone.
func TestBalancersTellOfNewAgents(t *testing.T) {
	w := newWorld(t, 2)
	for b, d := range w.balancers {
		for other := range w.balancers {
			if other != b {
				d.AddBalancer(other)
			}
		}
	}
	a := &worldAgent{
		gate:   NewGate(w.now, GateConfig{Zone: "a", Incarnation: 9, Service: records}, nil),
		server: &worldServer{instance: "i-9", seq: 99 << 20, flows: map[Key]*serverFlow{}},
	}
	w.agents[agentAddr(2)] = a
	w.beat(2, 1, false)
	a.gate.AddBalancer(w.now, balancerA)
	w.pass(2 * HelloEvery)
	c := w.caller(1000, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerB)
	if len(w.resets) > 0 || c.served() != 1 {
		t.Fatalf("%d resets, served %d times by the balancer that was told", len(w.resets), c.served())
	}
}

// Symptom: a flow is reset although its server holds it (soak, seed 2).
// Sequence: a balancer starts while the store names nobody; one agent reports to
// it, the flow's own does not yet.
// Cause: "no other balancer is known" counted as "there is no other balancer".
func TestStartedBalancerWithoutOthersIsNotSure(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	home := c.holders()[0]
	d := w.addBalancer(balancerB)
	d.AddAgent(w.now, agentAddr(1-home), listing, "a")
	w.pass(2 * DefaultDiscoveryTime)
	c.request(balancerB)
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that knows no other balancer")
	}
}

// Symptom: a flow is reset although its server holds it (soak, seed 1).
// Sequence: the store's keys are taken away; a balancer is started anew and knows
// no other. An agent starts and learns of that balancer alone. Its flow comes by
// a balancer that has been up for long.
// Cause: the two balancers did not know each other, so the one could not tell the
// other of the agent.
func TestAgentsTellBalancersOfEachOther(t *testing.T) {
	w := newWorld(t, 2)
	w.pass(aloneAfter)
	d := w.addBalancer(balancerA)
	d.AddAgent(w.now, agentAddr(0), listing, "a")
	w.pass(2 * HelloEvery)
	a := &worldAgent{
		gate:   NewGate(w.now, GateConfig{Zone: "a", Incarnation: 9, Service: records}, nil),
		server: &worldServer{instance: "i-9", seq: 99 << 20, flows: map[Key]*serverFlow{}},
	}
	w.agents[agentAddr(2)] = a
	w.beat(2, 1, false)
	a.gate.AddBalancer(w.now, balancerA)
	w.pass(2 * HelloEvery)
	c := w.caller(1000, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerB)
	if len(w.resets) > 0 || c.served() != 1 {
		t.Fatalf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Symptom: the callers of one balancer time out for as long as a cut lasts, while
// the other balancers could serve them.
// Sequence: a balancer that served flows is cut off from every agent, in both
// directions or in one; the routers go on handing it packets. The cut heals.
// Cause: a balancer says that it is ready as long as it has a configuration.
func TestCutOffBalancerIsNotReady(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(from, to netip.AddrPort) bool
	}{
		{"both ways", func(from, to netip.AddrPort) bool { return from == balancerA || to == balancerA }},
		{"one way", func(from, _ netip.AddrPort) bool { return from == balancerA }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3)
			if !w.balancers[balancerA].Ready() {
				t.Fatal("not ready before the cut")
			}
			w.cut = c.cut
			for port := range uint16(3) {
				w.caller(port, listingPort).open(balancerA, 0)
			}
			w.pass(time.Second)
			if w.balancers[balancerA].Ready() {
				t.Error("ready without an agent that it can reach")
			}
			if !w.balancers[balancerB].Ready() {
				t.Error("the other balancer is not ready")
			}
			w.pass(DefaultAgentExpiry)
			if w.balancers[balancerA].Ready() {
				t.Error("ready once the agents are forgotten")
			}
			w.cut = nil
			for n := range 3 {
				w.gate(n).AddBalancer(w.now, balancerA)
			}
			w.pass(time.Second)
			if !w.balancers[balancerA].Ready() {
				t.Error("not ready after the cut")
			}
		})
	}
}

// Symptom: a balancer that starts behind a cut takes packets that it can't pass
// on.
// Sequence: it starts, learns the configuration and the agents from the store,
// and no agent answers.
// Cause: agents that were never heard count like ones that are about to answer.
func TestBalancerThatHearsNobodyIsNotReady(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(testRoutes(1))
	d.AddAgent(now, agentAddr(0), listing, "a")
	if !d.Ready() {
		t.Error("not ready at the start, when agents are about to answer")
	}
	d.Tick(now.Add(absentAfter))
	if d.Ready() {
		t.Error("ready although no agent answers")
	}
}

// Symptom: a small VM's balancer spends its processor and its network on reports.
// Sequence: the fleet grows; every agent reports to every balancer four times a
// second.
// Cause: the time between reports did not depend on how many agents report.
func TestReportsReceivedDoNotGrowWithAgents(t *testing.T) {
	for _, c := range []struct {
		agents int
		every  time.Duration
	}{{11, ReportEvery}, {59, 786 * time.Millisecond}, {120, 1600 * time.Millisecond}, {1000, maxReportEvery}} {
		now := time.Unix(1000, 0)
		d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
		for i := range c.agents {
			d.AddAgent(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7700), listing, "a")
		}
		d.Tick(now)
		hello := d.Effects()[0].Message
		if hello.Kind != Hello || hello.Wait.Truncate(time.Millisecond) != c.every {
			t.Errorf("%d agents are asked to report every %v, want %v", c.agents, hello.Wait, c.every)
		}
	}
}

// The other half: an agent reports as often as it is asked to, and a change of its
// server's state at once.
func TestAgentReportsAsAsked(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	for _, every := range []time.Duration{ReportEvery, time.Second} {
		g.FromBalancer(w.now, balancerA, &Message{Kind: Hello, Wait: every}, nil, nil)
		g.Effects()
		reports := 0
		for range 100 {
			w.now = w.now.Add(50 * time.Millisecond)
			g.Heartbeat(w.now, Heartbeat{Instance: w.server(0).instance, Sequence: g.server.sequence + 1, Service: listing, Slots: 5})
			g.Tick(w.now)
			for _, e := range g.Effects() {
				if e.To == balancerA && e.Message.Kind == Report {
					reports++
				}
			}
		}
		if want := int(5 * time.Second / every); reports < want-1 || reports > want+1 {
			t.Errorf("%d reports in 5 s at one every %v", reports, every)
		}
	}
	g.Heartbeat(w.now, Heartbeat{Instance: w.server(0).instance, Sequence: g.server.sequence + 1, Service: listing, Slots: 5, Draining: true})
	told := false
	for _, e := range g.Effects() {
		told = told || e.To == balancerA && e.Message.Kind == Report && e.Message.State == ServerDraining
	}
	if !told {
		t.Error("a drain is not told at once")
	}
}
