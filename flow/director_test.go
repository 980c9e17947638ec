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
	// The other balancer has never seen the flow.
	c.send(balancerB, Segment{Seq: c.seq + 51, Ack: w.toCaller[len(w.toCaller)-1].Seq + 100, HasAck: true, Data: 50})
	if c.served() != 2 || len(c.holders()) != 1 {
		t.Fatalf("through another balancer: served %d times, held by %v", c.served(), c.holders())
	}
	if len(w.resets) > 0 {
		t.Fatalf("%d resets, want none", len(w.resets))
	}
}

// Guards against new flows that wait for their callers' next copy while an agent is
// down. An agent loses power, the balancer offers it a flow, and no answer or error
// arrives.
func TestFailedAgentCostsOneTimeout(t *testing.T) {
	w := newWorld(t, 2)
	w.drops = func(_, to netip.AddrPort) bool { return to == agentAddr(0) }
	w.advance(100 * time.Millisecond)
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
		t.Fatalf("%d offers to the failed agent timed out; after the first it counts as unresponsive", n)
	}
}

// Guards against an agent that was unresponsive for a moment and gets no flows for
// good. A network failure between balancer and agent ends; an agent that is offered
// nothing has to become responsive without an offer.
func TestUnresponsiveAgentIsUsedAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.drops = func(netip.AddrPort, netip.AddrPort) bool { return true }
	w.advance(2 * time.Second)
	if n := w.balancers[balancerA].Stats().Ready; n != 0 {
		t.Fatalf("%d agents ready while the network is down", n)
	}
	w.drops = nil
	w.advance(2 * MinHelloInterval)
	if n := w.balancers[balancerA].Stats().Ready; n != 1 {
		t.Fatalf("%d agents ready after the network came back", n)
	}
}

// Guards against a balancer that excludes all agents at once after its own VM was
// paused for seconds: no message arrived in that time because the balancer itself was
// paused.
func TestOwnPauseDoesNotExcludeAgents(t *testing.T) {
	w := newWorld(t, 3)
	w.now = w.now.Add(20 * time.Second)
	w.balancers[balancerA].Tick(w.now)
	if n := w.balancers[balancerA].Stats().Ready; n != 3 {
		t.Fatalf("%d agents ready after a pause of the balancer", n)
	}
}

// Guards against callers that are refused three times within 30 ms and give up although
// a slot becomes free after 40 ms. With more flows than capacity an immediate refusal
// makes callers use up their tries at once, so flows wait instead.
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
		t.Fatalf("held by %v once there is capacity", c.holders())
	}
}

func TestRevisionNeverGoesBack(t *testing.T) {
	d := NewDirector(time.Unix(1000, 0), DirectorConfig{}, nil)
	for _, c := range []struct {
		revision uint64
		accepted bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {6, false}} {
		if got := d.SetRoutes(testRoutes(c.revision)); got != c.accepted {
			t.Errorf("revision %d: accepted %v, want %v", c.revision, got, c.accepted)
		}
	}
	if got := d.Routes().Revision; got != 7 {
		t.Errorf("revision %d in force, want 7", got)
	}
}

// Guards against a configuration that is not in force on one balancer for seconds
// because its own watch of the store delivers nothing, like a watch without changes. A
// process that has read the store reports the age of the read and its revision to all
// others through the agents.
func TestReadsOfOtherProcessesCount(t *testing.T) {
	w := newWorld(t, 1)
	a, b := w.balancers[balancerA], w.balancers[balancerB]
	a.StoreRead(w.now)
	a.SetRoutes(testRoutes(5))
	w.advance(MinHelloInterval + tickInterval)
	if !b.Behind() {
		t.Fatal("the other balancer does not know of the newer revision")
	}
	if age := w.now.Sub(b.ReadAt()); age > 2*MinHelloInterval {
		t.Fatalf("the read is %v old for the other balancer", age)
	}
}

// A packet that meets a full flow table is forwarded or dropped; the table never
// exceeds its bound.
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
		t.Fatal("no packet counted as dropped")
	}
	d.Tick(now.Add(time.Hour))
	if n := d.Stats().Flows; n > 50 {
		t.Fatalf("%d flows left after an hour", n)
	}
}

// Guards against the reset of a flow that its server holds. The store's keys are
// removed, a balancer is killed and restarts, and a paused agent can't report to it. If
// the balancer took the agents listed in the store for all, it would reset a flow of
// the paused agent, because all agents that it knows answer that they do not hold it.
func TestStartedBalancerAsksOthersForAgents(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	holder := agentAddr(c.holders()[0])
	d := w.addBalancer(balancerB)
	for n := range 3 {
		if agentAddr(n) != holder {
			d.AddAgent(w.now, agentAddr(n), listing, "a")
		}
	}
	w.drops = func(from, to netip.AddrPort) bool { return from == holder || to == holder }
	d.AddBalancer(balancerA)
	for range 10 {
		w.advance(2 * minRetransmissionTime)
		c.request(balancerB)
	}
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that does not know the flow's agent")
	}
	w.drops = nil
	served := c.served()
	w.advance(2 * minRetransmissionTime)
	c.request(balancerB)
	if c.served() == served {
		t.Fatal("the flow is not found after its agent can be reached again")
	}
}

// Guards against the reset of a flow that its server holds. An agent starts while the
// store lists no balancers and reaches only one balancer; its flow then arrives at
// another that has run for long. If balancers learned of agents only from the store and
// from the agents themselves, the other one would not know this agent.
func TestBalancersAnnounceNewAgents(t *testing.T) {
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
	w.heartbeat(2, 1, false)
	a.gate.AddBalancer(w.now, balancerA)
	w.advance(2 * MinHelloInterval)
	c := w.caller(1000, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerB)
	if len(w.resets) > 0 || c.served() != 1 {
		t.Fatalf("%d resets, served %d times through the balancer that received the announcement", len(w.resets), c.served())
	}
}

// Guards against the reset of a flow that its server holds. A balancer starts while the
// store lists no process; one agent reports to it, the flow's agent not yet. That the
// balancer knows no other balancer does not mean that there is none.
func TestStartedBalancerWithoutPeersDoesNotReset(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	holder := c.holders()[0]
	d := w.addBalancer(balancerB)
	d.AddAgent(w.now, agentAddr(1-holder), listing, "a")
	w.advance(2 * DefaultDiscoveryTime)
	c.request(balancerB)
	if len(w.resets) > 0 {
		t.Fatal("flow reset by a balancer that knows no other balancer")
	}
}

// Guards against the reset of a flow that its server holds. The store's keys are
// removed, and a balancer restarts without knowing any other. An agent starts and knows
// this balancer alone; its flow then arrives at a balancer that has run for long.
// Unless agents list balancers to each other, the first balancer can't announce the
// agent to the second.
func TestAgentsListBalancersToEachOther(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(maxDiscoveryTime)
	d := w.addBalancer(balancerA)
	d.AddAgent(w.now, agentAddr(0), listing, "a")
	w.advance(2 * MinHelloInterval)
	a := &worldAgent{
		gate:   NewGate(w.now, GateConfig{Zone: "a", Incarnation: 9, Service: records}, nil),
		server: &worldServer{instance: "i-9", seq: 99 << 20, flows: map[Key]*serverFlow{}},
	}
	w.agents[agentAddr(2)] = a
	w.heartbeat(2, 1, false)
	a.gate.AddBalancer(w.now, balancerA)
	w.advance(2 * MinHelloInterval)
	c := w.caller(1000, recordsPort)
	c.open(balancerA, 0)
	c.request(balancerB)
	if len(w.resets) > 0 || c.served() != 1 {
		t.Fatalf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Guards against callers that time out at one balancer for as long as a network failure
// lasts although other balancers could serve them. A balancer with open flows is cut
// off from every agent, in both directions or in one, and routers keep sending it
// packets while it reports that it is ready. Afterwards the network comes back.
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
				t.Fatal("not ready before the network failure")
			}
			w.drops = c.cut
			for port := range uint16(3) {
				w.caller(port, listingPort).open(balancerA, 0)
			}
			w.advance(time.Second)
			if w.balancers[balancerA].Ready() {
				t.Error("ready although it can reach no agent")
			}
			if !w.balancers[balancerB].Ready() {
				t.Error("the other balancer is not ready")
			}
			w.advance(DefaultAgentExpiry)
			if w.balancers[balancerA].Ready() {
				t.Error("ready after the agents expired")
			}
			w.drops = nil
			for n := range 3 {
				w.gate(n).AddBalancer(w.now, balancerA)
			}
			w.advance(time.Second)
			if !w.balancers[balancerA].Ready() {
				t.Error("not ready after the network came back")
			}
		})
	}
}

// Guards against a balancer that starts while it is cut off from all agents and accepts
// packets that it can't forward. It gets the configuration and the agents from the
// store, but no agent answers. Agents that never sent a message count as reachable only
// for a short time.
func TestBalancerWithoutReachableAgentIsNotReady(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(testRoutes(1))
	d.AddAgent(now, agentAddr(0), listing, "a")
	if !d.Ready() {
		t.Error("not ready at the start, when agents are about to answer")
	}
	d.Tick(now.Add(firstContactTimeout))
	if d.Ready() {
		t.Error("ready although no agent answers")
	}
}

// Guards against a small VM's balancer that spends its processor and network on messages
// of agents as the fleet grows.
func TestHellosDoNotGrowWithAgents(t *testing.T) {
	const span = 10 * time.Second
	for _, agents := range []int{11, 59, 120, 1000, 10000} {
		now := time.Unix(1000, 0)
		d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
		for n := range agents {
			d.AddAgent(now, fleetAddr(n), listing, "a")
		}
		hellos := 0
		for end := now.Add(span); now.Before(end); now = now.Add(tickInterval) {
			d.Tick(now)
			for _, e := range clone(d.Effects()) {
				if e.Message.Kind == Hello {
					hellos++
					d.FromAgent(now, e.To, &Message{Kind: Report, State: ServerReady, Service: listing}, nil, nil)
				}
			}
		}
		most := maxImmediateHellos + int(span.Seconds())*(maxHelloRate+hellosPerSecond)
		if hellos > most {
			t.Errorf("%d agents: %d hello messages in %v, want at most %d", agents, hellos, span, most)
		}
		if interval := d.helloInterval(); interval < span && hellos < agents*int(span/interval) {
			t.Errorf("%d agents: %d hello messages in %v at an interval of %v", agents, hellos, span, interval)
		}
	}
}

// An agent reports at the requested interval, and reports a change of its server's
// state at once.
func TestAgentReportsAtRequestedInterval(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	for _, every := range []time.Duration{shortestReportInterval, time.Second} {
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
			t.Errorf("%d reports in 5 s at an interval of %v", reports, every)
		}
	}
	g.Heartbeat(w.now, Heartbeat{Instance: w.server(0).instance, Sequence: g.server.sequence + 1, Service: listing, Slots: 5, Draining: true})
	reported := false
	for _, e := range g.Effects() {
		reported = reported || e.To == balancerA && e.Message.Kind == Report && e.Message.State == ServerDraining
	}
	if !reported {
		t.Error("a drain is not reported at once")
	}
}
