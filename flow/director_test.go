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

// Symptom: a flow that lives is reset.
// Sequence: a balancer that does not know a flow asks for it while one agent
// can't be reached, or right after its own start, when it does not know all
// agents.
// Cause: "nobody of those who answered holds it" is not "nobody holds it".
func TestResetOnlyWhenAllHaveAnswered(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	home := agentAddr(c.holders()[0])
	w.cut = func(from, to netip.AddrPort) bool { return from == home || to == home }
	for range 5 {
		w.now = w.now.Add(2 * retransmission)
		c.request(balancerB)
	}
	if len(w.resets) > 0 {
		t.Fatal("flow reset while its agent could not be asked")
	}
	w.cut = nil
	d := NewDirector(w.now, DirectorConfig{}, nil)
	d.SetRoutes(testRoutes(1))
	w.balancers[balancerB] = d
	d.Introduce(w.now, agentAddr((c.holders()[0]+1)%3), listing, "a")
	c.request(balancerB)
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that had just started")
	}
}

// Symptom: a caller waits for its deadline on a flow that has ended.
// Sequence: its server crashed, and was started anew; the flow is nowhere.
// Cause: nobody tells the caller.
func TestLostFlowIsReset(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	n := c.holders()[0]
	w.server(n).instance = "i-new"
	w.server(n).flows = map[Key]*serverFlow{}
	w.beat(n, 1, false)
	c.request(balancerA)
	if len(w.resets) != 1 {
		t.Fatalf("%d resets by the balancer that knew the flow", len(w.resets))
	}
	a, _ := c.answer()
	if got := w.resets[0].ResetSeq; got != a.Seq+1 {
		t.Fatalf("reset at %d; the caller acknowledged %d", got, a.Seq+1)
	}
	c.request(balancerB)
	if len(w.resets) != 2 {
		t.Fatalf("%d resets with the balancer that did not know it", len(w.resets))
	}
}

// Symptom: a small balancer's processor is used up, and all its flows are late.
// Sequence: routers hand it a download that it does not know; each of the
// caller's packets is sent to every agent of the service until the first answer
// comes.
// Cause: each packet of a flow that was being looked for was a search.
func TestSoughtFlowIsSoughtOnce(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	a, _ := c.answer()
	d := w.balancers[balancerB]
	var asked, passed int
	count := func() {
		for _, e := range clone(d.Effects()) {
			switch e.Message.Kind {
			case Seek:
				asked++
			case Pass:
				passed++
			}
			w.carry(balancerB, e)
		}
	}
	for i := range 4 {
		s := Segment{Key: c.key, Seq: c.seq + 1 + uint32(i)*50, Ack: a.Seq + 1, HasAck: true, Data: 50}
		d.FromCaller(w.now, s, w.packet(s))
		count()
	}
	if asked != 3 {
		t.Fatalf("%d questions for one flow at 3 agents", asked)
	}
	n := c.holders()[0]
	for _, e := range clone(w.gate(n).Effects()) {
		w.carryFromAgent(agentAddr(n), w.agents[agentAddr(n)], e)
	}
	count()
	if passed != 3 {
		t.Fatalf("%d packets were kept and passed on, want 3", passed)
	}
}

// Symptom: a caller whose flows are refused asks three times within 30 ms and
// gives up, while a slot would have become free in 40 ms.
// Sequence: more flows come than there is room.
// Cause: a refusal at once makes callers spend their tries at once.
func TestFlowWaitsWhenAllAreBusy(t *testing.T) {
	w := newWorld(t, 2)
	for n := range 2 {
		for i := range w.gate(n).room() {
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
	a.Confirm(w.now)
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
	d.Introduce(now, agentAddr(0), listing, "a")
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
			d.Introduce(w.now, agentAddr(n), listing, "a")
		}
	}
	w.cut = func(from, to netip.AddrPort) bool { return from == home || to == home }
	d.IntroduceBalancer(balancerA)
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
				d.IntroduceBalancer(other)
			}
		}
	}
	a := &worldAgent{
		gate:   NewGate(w.now, GateConfig{Zone: "a", Incarnation: 9, Service: records}, nil),
		server: &worldServer{instance: "i-9", seq: 99 << 20, flows: map[Key]*serverFlow{}},
	}
	w.agents[agentAddr(2)] = a
	w.beat(2, 1, false)
	a.gate.Introduce(w.now, balancerA)
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
	d.Introduce(w.now, agentAddr(1-home), listing, "a")
	w.pass(2 * DefaultSureAfter)
	c.request(balancerB)
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that knows no other balancer")
	}
}

// Symptom: a flow is reset although its server holds it.
// Sequence: a cut keeps an agent from the balancers for longer than they remember
// a silent one, and heals; a packet of its flow comes before its next report.
// Cause: an agent that had been lost from sight counted as gone with its flows.
func TestAgentBehindCutKeepsItsFlows(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	home := agentAddr(c.holders()[0])
	w.cut = func(from, to netip.AddrPort) bool { return from == home || to == home }
	w.pass(DefaultAgentForget + time.Second)
	w.cut = nil
	c.request(balancerA)
	c.request(balancerB)
	if len(w.resets) > 0 {
		t.Fatalf("%d resets after the cut", len(w.resets))
	}
	w.pass(time.Second)
	served := c.served()
	c.request(balancerA)
	if c.served() == served {
		t.Fatal("the flow is not found after the cut")
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
	d.Introduce(w.now, agentAddr(0), listing, "a")
	w.pass(2 * HelloEvery)
	a := &worldAgent{
		gate:   NewGate(w.now, GateConfig{Zone: "a", Incarnation: 9, Service: records}, nil),
		server: &worldServer{instance: "i-9", seq: 99 << 20, flows: map[Key]*serverFlow{}},
	}
	w.agents[agentAddr(2)] = a
	w.beat(2, 1, false)
	a.gate.Introduce(w.now, balancerA)
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
			w.pass(DefaultAgentForget)
			if w.balancers[balancerA].Ready() {
				t.Error("ready once the agents are forgotten")
			}
			w.cut = nil
			for n := range 3 {
				w.gate(n).Introduce(w.now, balancerA)
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
	d.Introduce(now, agentAddr(0), listing, "a")
	if !d.Ready() {
		t.Error("not ready at the start, when agents are about to answer")
	}
	d.Tick(now.Add(ghostAfter))
	if d.Ready() {
		t.Error("ready although no agent answers")
	}
}

// Symptom: an open flow is reset while its server holds it.
// Sequence: an agent starts and becomes known to one balancer; what that one tells
// the others of it gets lost. A flow is opened at the agent, and then comes by one
// of the other balancers.
// Cause: a balancer that once knew all agents takes those that it knows now for
// all.
func TestAgentThatOthersKnowIsAsked(t *testing.T) {
	w := newWorld(t, 2)
	w.balancers[balancerA].IntroduceBalancer(balancerB)
	w.balancers[balancerB].IntroduceBalancer(balancerA)
	w.pass(time.Second)
	w.addAgent(2, records)
	delete(w.balancers[balancerB].agents, agentAddr(2))
	delete(w.gate(2).balancers, balancerB)
	w.balancers[balancerB].retable(records)
	c := w.caller(1, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerB)
	if len(w.resets) > 0 || c.served() != 1 {
		t.Errorf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Symptom: callers of flows that ended with their server wait for their deadlines.
// Sequence: the other balancers are gone; a flow comes by that nobody holds.
// Cause: a balancer waits for others to confirm that it knows all agents.
func TestLostFlowIsResetWithoutOtherBalancers(t *testing.T) {
	w := newWorld(t, 2)
	w.balancers[balancerA].IntroduceBalancer(balancerB)
	w.pass(5 * time.Second)
	delete(w.balancers, balancerB)
	c := w.caller(1, listingPort)
	c.send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	if len(w.resets) > 0 {
		t.Error("reset before others had the time to answer")
	}
	w.pass(maxAsked*askEvery + 100*time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets", len(w.resets))
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
			d.Introduce(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7700), listing, "a")
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

// Symptom: callers of flows that ended with their server wait for their deadlines
// for a minute after some VM was taken away.
// Sequence: the server of an agent is gone and its agent says so; then the VM
// vanishes without a word. Flows come by that nobody holds.
// Cause: no flow is reset while an agent that may hold it has fallen silent, also
// if it held none.
func TestEmptyAgentThatVanishesHoldsNothingUp(t *testing.T) {
	w := newWorld(t, 3)
	w.restartAgent(2)
	w.gate(2).Checked(w.now, Check{Absent: true})
	w.pass(time.Second)
	w.cut = func(from, to netip.AddrPort) bool { return from == agentAddr(2) || to == agentAddr(2) }
	for i, silence := range []time.Duration{DefaultAgentSilence, DefaultAgentForget, time.Second} {
		w.pass(silence)
		w.caller(uint16(100+i), listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
		w.pass(100 * time.Millisecond)
		if len(w.resets) != i+1 {
			t.Fatalf("%d of %d lost flows reset", len(w.resets), i+1)
		}
	}
}

// Symptom: an open flow is reset while its server holds it.
// Sequence: an agent whose server held nothing is cut off from one balancer; its
// server gets ready and takes a flow through another one. The flow comes by the
// balancer that does not hear the agent.
// Cause: what an agent said before a cut passes for what holds now.
func TestEmptyAgentBehindCutMayHoldFlowsNow(t *testing.T) {
	w := newWorld(t, 1)
	w.balancers[balancerA].IntroduceBalancer(balancerB)
	w.balancers[balancerB].IntroduceBalancer(balancerA)
	w.addAgent(1, records)
	g := w.restartAgent(1)
	g.Checked(w.now, Check{Absent: true})
	w.pass(time.Second)
	w.cut = func(from, to netip.AddrPort) bool {
		return from == agentAddr(1) && to == balancerB || from == balancerB && to == agentAddr(1)
	}
	w.pass(DefaultAgentSilence + ReportEvery)
	g.Heartbeat(w.now, Heartbeat{Instance: "i-new", Sequence: 1, Service: records, Slots: 5})
	w.server(1).instance, w.server(1).sequence = "i-new", 1
	w.settle()
	c := w.caller(1, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	c.request(balancerB)
	w.pass(time.Second)
	if len(w.resets) > 0 {
		t.Error("reset while the server holds the flow")
	}
}

// Symptom: for seconds after a loss of power everywhere new flows are not taken by
// balancers on small VMs; agents whose answers come too late are left out.
// Sequence: hundreds of callers go on with flows that ended with their servers.
// Cause: a search for each of them at once, a message to every agent and an answer
// from each, leaves no processor for offers.
func TestSearchesLeaveRoomForNewFlows(t *testing.T) {
	d, now := benchDirector(47)
	packet := make([]byte, 100)
	flood := func(at time.Time) (searches int) {
		for i := range 300 {
			d.FromCaller(at, Segment{Key: benchKey(i), Seq: 1, Ack: 2, HasAck: true, Data: 68}, packet)
			for _, e := range d.Effects() {
				if e.Kind == SendMessage && e.Message.Kind == Seek {
					searches++
				}
			}
		}
		return searches / askFirst
	}
	if n := flood(now); n != maxSeeking {
		t.Errorf("%d searches begun at once, want %d", n, maxSeeking)
	}
	if n := flood(now.Add(seekSlotTime)); n != maxSeeking {
		t.Errorf("%d searches begun later, want %d more", n, maxSeeking)
	}
	if n := d.Stats().Dropped[ReasonSearches]; n == 0 {
		t.Error("dropped packets are not counted")
	}
}

// Symptom: an open flow that routers hand to another balancer goes nowhere.
// Sequence: that balancer is busy with flows that nobody holds; the caller repeats
// its packet.
// Cause: searches that don't end keep others from beginning.
func TestHeldFlowIsFoundAmongLostOnes(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.cut = func(from, _ netip.AddrPort) bool { return from == agentAddr((c.holders()[0]+1)%3) }
	for port := range uint16(50) {
		w.caller(30000+port, listingPort).send(balancerB, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	}
	for range 3 {
		c.request(balancerB)
		w.pass(200 * time.Millisecond)
	}
	if c.served() < 2 {
		t.Errorf("served %d times", c.served())
	}
	for _, r := range w.resets {
		if r.Message.Key == c.key {
			t.Error("the flow was reset")
		}
	}
}
