package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// startAll replaces all balancers, agents and servers at once, as after a power loss.
// Each agent checks its server's status at once, and the first heartbeat that it
// receives has the given number, because the agent was not running for those before.
func (w *world) startAll(sequence uint64) {
	for _, b := range inOrder(w.balancers) {
		w.addBalancer(b)
	}
	for n := range len(w.agents) {
		v := w.server(n)
		v.instance = fmt.Sprintf("i-again-%d", n)
		v.flows = map[Key]*serverFlow{}
		v.seq += 1 << 20
		g := w.restartAgent(n)
		g.StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: v.instance})
	}
	for b, d := range w.balancers {
		for other := range w.balancers {
			if other != b {
				d.AddBalancer(other)
			}
		}
		for n := range len(w.agents) {
			d.AddAgent(w.now, agentAddr(n), listing, "a")
		}
		d.StoreListed()
	}
	w.deliver()
	w.advance(40 * time.Millisecond)
	for n := range len(w.agents) {
		w.heartbeat(n, sequence, false)
	}
}

// Guards against callers that wait for their deadlines for many seconds after a power
// loss of the whole fleet, while balancers on small links send callers' packets to
// every agent. Balancers, agents and servers start together, and each agent misses the
// first few heartbeats of its server. Such an agent does not know whether its server
// holds a flow, so without the detection of a fleet start every flow has to be tried at
// every server.
func TestFleetStartIsDetected(t *testing.T) {
	w := newWorld(t, 20)
	var callers []*testCaller
	for port := range uint16(40) {
		c := w.caller(1000+port, listingPort)
		c.open(balancerA, 0)
		c.request(balancerA)
		callers = append(callers, c)
	}
	w.startAll(3)
	before := 0
	for n := range len(w.agents) {
		before += len(w.server(n).received)
	}
	for _, c := range callers {
		c.request(balancerA)
	}
	w.advance(400 * time.Millisecond)
	if n := len(w.resets); n != len(callers) {
		t.Errorf("%d of %d callers were notified", n, len(callers))
	}
	tried := -before
	for n := range len(w.agents) {
		tried += len(w.server(n).received)
	}
	if limit := 6 * lookupFanout; tried > limit {
		// A few lookups send their packets at once.
		t.Errorf("%d packets of ended flows were tried at servers, want %d at most", tried, limit)
	}
}

// Guards against the reset of an open flow. Shortly after a start of the whole fleet
// one balancer restarts, receives messages from some of the agents and no member list;
// the flow is at another agent. Agents that have all recently started are not
// necessarily all agents.
func TestBalancerThatRestartsAloneDoesNotReset(t *testing.T) {
	w := newWorld(t, 2)
	w.startAll(3)
	w.advance(time.Second)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	other := (c.holders()[0] + 1) % 2
	d := w.addBalancer(balancerB)
	for n := range len(w.agents) {
		delete(w.gate(n).balancers, balancerB)
	}
	d.AddAgent(w.now, agentAddr(other), listing, "a")
	d.StoreListed()
	w.advance(300 * time.Millisecond)
	c.request(balancerB)
	w.advance(300 * time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset although the server holds the flow")
	}
}

// Guards against the reset of an open flow when all processes are killed and restart
// while the servers keep running: recently started processes do not mean recently
// started servers.
func TestProcessRestartIsNotFleetStart(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.advance(10 * time.Second)
	for _, b := range inOrder(w.balancers) {
		w.addBalancer(b)
	}
	for n := range len(w.agents) {
		w.restartAgent(n).StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: w.server(n).instance})
	}
	for _, d := range w.balancers {
		for n := range len(w.agents) {
			d.AddAgent(w.now, agentAddr(n), listing, "a")
		}
		d.StoreListed()
	}
	w.advance(2 * time.Second)
	c.request(balancerB)
	w.advance(time.Second)
	if len(w.resets) > 0 || c.served() != 2 {
		t.Errorf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Guards against callers of ended flows that wait for seconds after a server was
// removed. An agent whose server has ended goes on reporting, and other balancers name
// it; then its process ends. If the agent were removed with its server, others would
// add it again as an agent that another balancer receives messages from and that has to
// be waited for.
func TestAgentOfEndedServerDoesNotBlockLookups(t *testing.T) {
	w := newWorld(t, 3)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.advance(2 * time.Second)
	w.gate(2).Deregister(w.now, w.server(2).instance, 0)
	w.server(2).unresponsive = true
	w.deliver()
	w.advance(time.Second)
	delete(w.agents, agentAddr(2))
	w.caller(1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.advance(300 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against a lookup that continues until its caller's next packet, up to 1.6 s
// later. A flow is looked up while the store lists an agent that does not exist, and no
// further packet arrives. The lookup has to be checked again when the agent's answer is
// no longer required.
func TestLookupEndsWhenAgentNeverAnswers(t *testing.T) {
	w := newWorld(t, 2)
	w.advance(fleetStartWindow)
	w.balancers[balancerA].AddAgent(w.now, agentAddr(9), listing, "a")
	w.caller(1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.advance(firstContactTimeout - 100*time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset before the wait for the agent's first message ended")
	}
	w.advance(200 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against the reset of an open flow. Shortly after a start of the whole fleet
// one balancer restarts and gets no member list; an agent that the store lists is
// paused for most of a second, and a flow of its server arrives. The agent has to be
// waited for as long as usual even if all others have recently started.
func TestPausedAgentIsWaitedForAfterFleetStart(t *testing.T) {
	w := newWorld(t, 3)
	w.startAll(3)
	w.advance(time.Second)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	paused := agentAddr(c.holders()[0])
	delete(w.balancers, balancerA)
	d := w.addBalancer(balancerB)
	w.drops = func(from, to netip.AddrPort) bool {
		return from == paused && to == balancerB || from == balancerB && to == paused
	}
	for n := range len(w.agents) {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	d.StoreListed()
	d.peerRecentlyStarted = true
	c.request(balancerB)
	w.advance(firstContactTimeout - 100*time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset while the agent is paused")
	}
}

// Guards against callers of ended flows that are notified half a second late after a
// power loss, and against the reset of a flow that another agent's server holds. Two
// balancers start together; one receives the first messages of some agents and
// announces them before the other has requested a member list. An announcement of a few
// agents must not count as the member list of a balancer that knows all.
func TestAnnouncementIsNotMemberList(t *testing.T) {
	w := newWorld(t, 3)
	a, b := w.addBalancer(balancerA), w.addBalancer(balancerB)
	a.AddBalancer(balancerB)
	for n := range len(w.agents) {
		w.restartAgent(n)
		a.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	for range 2 {
		a.Tick(w.now)
		w.deliver()
		w.now = w.now.Add(announceInterval)
	}
	if len(b.agents) != len(w.agents) {
		t.Fatalf("%d agents known, want all that were announced", len(b.agents))
	}
	b.Tick(w.now)
	requested := false
	for _, e := range clone(b.Effects()) {
		requested = requested || e.Message.Kind == MemberListRequest
	}
	if !requested {
		t.Error("no member list is requested")
	}
}

// Guards against callers of ended flows that are notified half a second late by a
// balancer that starts a little later than the others after a power loss of the whole
// fleet. The others have detected the fleet start and answer with their complete member
// lists. The late one must not wait 0.6 s because of that.
func TestLateBalancerDetectsFleetStart(t *testing.T) {
	w := newWorld(t, 20)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.startAll(3)
	w.advance(300 * time.Millisecond)
	d := w.addBalancer(balancerB)
	d.AddBalancer(balancerA)
	for n := range len(w.agents) {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	d.StoreListed()
	c.request(balancerB)
	w.advance(300 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against callers of ended flows that wait for six seconds at a balancer that
// starts shortly after an agent has failed. The agent's server held no flows, the agent
// fails without deregistering, and another balancer lists it to the new one with a
// recent message. An agent without flows need not be waited for as long as others.
func TestListedFailedAgentWithoutFlowsDoesNotBlockLookups(t *testing.T) {
	w := newWorld(t, 3)
	w.restartAgent(2)
	w.gate(2).StatusCheck(w.now, StatusCheckResult{Absent: true})
	w.advance(time.Second)
	delete(w.agents, agentAddr(2))
	d := w.addBalancer(balancerB)
	d.AddBalancer(balancerA)
	for n := range 2 {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	w.advance(100 * time.Millisecond)
	if d.agents[agentAddr(2)] == nil {
		t.Fatal("the failed agent was not listed")
	}
	w.caller(1, listingPort).send(balancerB, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.advance(time.Second)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against callers of ended flows that wait for half a second and more at every
// balancer after an agent has deregistered and ended. One balancer misses the
// deregistration and goes on listing the agent; the others request its member list
// before they reset a flow. A list whose last message from the agent is older than the
// deregistration must not bring the agent back.
func TestOldMemberListDoesNotRestoreDeregisteredAgent(t *testing.T) {
	w := newWorld(t, 3)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.advance(2 * time.Second)
	w.drops = func(from, to netip.AddrPort) bool { return from == agentAddr(2) && to == balancerA }
	w.gate(2).Deregister(w.now, w.server(2).instance, 0)
	w.deliver()
	delete(w.agents, agentAddr(2))
	w.now = w.now.Add(20 * time.Millisecond)
	w.caller(1, listingPort).send(balancerB, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.now = w.now.Add(20 * time.Millisecond)
	w.balancers[balancerB].Tick(w.now)
	w.deliver()
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against callers of ended flows that wait until their deadlines after a power loss of a
// fleet whose servers send heartbeats several seconds apart: the first that agents receive come
// after that time. The store has the identity of the server that each agent had before.
func TestFleetStartIsDetectedWithoutHeartbeats(t *testing.T) {
	const flows = 40
	for _, c := range []struct {
		name    string
		same    bool // the server of one agent is the one that it had before
		running bool // the server of one agent sends a heartbeat with a high sequence number
		resets  int  // at least, of the flows that are asked for without their packets
	}{{"all servers are new", false, false, flows / 2}, {"one server kept running", true, false, 0}, {"one identity is out of date", false, true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 20)
			for n := range len(w.agents) {
				previous := w.server(n).instance
				if !c.same || n > 0 {
					w.server(n).instance += "-again"
				}
				g := w.restartAgent(n)
				g.SetLimits(w.now, 0, 0, distantHeartbeats)
				g.StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: w.server(n).instance})
				g.PreviousInstance(w.now, previous)
				if c.running && n == 0 {
					w.heartbeat(n, maxRecentlyStartedSequence+1, false)
				}
			}
			d := w.addBalancer(balancerA)
			for n := range len(w.agents) {
				d.AddAgent(w.now, agentAddr(n), listing, "a")
			}
			d.StoreListed()
			d.peerRecentlyStarted = true
			for n := range len(w.agents) {
				w.server(n).unresponsive = true // does not answer packets of unknown flows
			}
			for port := range uint16(flows) {
				w.caller(port+1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
			}
			w.advance(500 * time.Millisecond)
			if n := len(w.resets); n < c.resets || c.resets == 0 && n > 0 {
				t.Errorf("%d resets, want %d", n, c.resets)
			}
		})
	}
}
