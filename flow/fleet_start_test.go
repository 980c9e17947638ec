package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// startAll replaces all balancers, agents and servers at once, as a return of power
// does. Each agent has its server's status at once and takes as the server's first
// heartbeat the one with the given number: the ones before found no agent.
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
	w.settle()
	w.pass(40 * time.Millisecond)
	for n := range len(w.agents) {
		w.beat(n, sequence, false)
	}
}

// Symptom: for many seconds after power was lost everywhere callers wait for their
// deadlines; balancers on small links send callers' packets to every agent.
// Sequence: balancers, agents and servers start together; each agent hears its server
// after a few heartbeats that found nobody. Callers go on with their flows.
// Cause: an agent that has not heard its server's first heartbeat could not tell what
// the server holds, and every flow had to be tried at every server.
func TestStartOfEverythingIsSeen(t *testing.T) {
	w := newWorld(t, 20)
	var callers []*testCaller
	for port := range uint16(40) {
		c := w.caller(1000+port, listingPort)
		c.open(balancerA, 0)
		c.request(balancerA)
		callers = append(callers, c)
	}
	w.startAll(3)
	got := 0
	for n := range len(w.agents) {
		got += len(w.server(n).got)
	}
	for _, c := range callers {
		c.request(balancerA)
	}
	w.pass(400 * time.Millisecond)
	if n := len(w.resets); n != len(callers) {
		t.Errorf("%d of %d callers were told", n, len(callers))
	}
	tried := -got
	for n := range len(w.agents) {
		tried += len(w.server(n).got)
	}
	if limit := 6 * askFirst; tried > limit {
		// A few searches go with their packets at once.
		t.Errorf("%d packets of ended flows were tried at servers, want %d at most", tried, limit)
	}
}

// Symptom: an open flow is reset while its server holds it.
// Sequence: shortly after a start of everything one balancer starts again, hears some
// of the agents and is not told of the others; the flow is at one of these.
// Cause: agents that have all just started were taken for all that there are.
func TestBalancerThatStartsAloneIsNotSure(t *testing.T) {
	w := newWorld(t, 2)
	w.startAll(3)
	w.pass(time.Second)
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
	w.pass(300 * time.Millisecond)
	c.request(balancerB)
	w.pass(300 * time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset while the server holds the flow")
	}
}

// Symptom: an open flow is reset while its server holds it.
// Sequence: all processes are killed and start again; the servers live on.
// Cause: processes that have just started were taken for servers that have.
func TestStartOfAllProcessesIsNoStartOfServers(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.pass(10 * time.Second)
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
	w.pass(2 * time.Second)
	c.request(balancerB)
	w.pass(time.Second)
	if len(w.resets) > 0 || c.served() != 2 {
		t.Errorf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Symptom: callers of dead flows wait for seconds after a server was taken away.
// Sequence: an agent whose server is gone goes on reporting, and other balancers name
// it; then its process is away. Flows come by that nobody holds.
// Cause: the agent was forgotten with its server and introduced again by others, as one
// that another balancer hears and that has to be waited for.
func TestAgentOfGoneServerHoldsNothingUp(t *testing.T) {
	w := newWorld(t, 3)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.pass(2 * time.Second)
	w.gate(2).Deregister(w.now, w.server(2).instance, 0)
	w.server(2).mute = true
	w.settle()
	w.pass(time.Second)
	delete(w.agents, agentAddr(2))
	w.caller(1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.pass(300 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Symptom: a search goes on until its caller's next packet, up to 1.6 s later.
// Sequence: a flow is looked for while the store names an agent that is not there; no
// further packet comes.
// Cause: nothing looked at the search again when the agent counted as absent.
func TestSearchEndsWhenAnAgentCountsAsAbsent(t *testing.T) {
	w := newWorld(t, 2)
	w.pass(startSpan)
	w.balancers[balancerA].AddAgent(w.now, agentAddr(9), listing, "a")
	w.caller(1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.pass(absentAfter - 100*time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset before the agent counts as absent")
	}
	w.pass(200 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Symptom: an open flow is reset although its server lives (soak, seed 2).
// Sequence: shortly after a start of everything one balancer starts again and is told
// nothing by others; an agent that the store names stands still for most of a second. A
// flow of its server comes by.
// Cause: an agent that is not heard counted as absent sooner if all others had just
// started.
func TestAgentThatStandsStillAfterAStartIsWaitedFor(t *testing.T) {
	w := newWorld(t, 3)
	w.startAll(3)
	w.pass(time.Second)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	still := agentAddr(c.holders()[0])
	delete(w.balancers, balancerA)
	d := w.addBalancer(balancerB)
	w.cut = func(from, to netip.AddrPort) bool {
		return from == still && to == balancerB || from == balancerB && to == still
	}
	for n := range len(w.agents) {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	d.StoreListed()
	d.othersNew = true
	c.request(balancerB)
	w.pass(absentAfter - 100*time.Millisecond)
	if len(w.resets) > 0 {
		t.Error("reset while the agent stands still")
	}
}

// Symptom: after a loss of power everywhere the callers of dead flows are told half a
// second later than could be; or a balancer that starts takes the few agents that it
// was told of for all, and resets a flow that another one's server holds.
// Sequence: two balancers start together; one hears agents for the first time and tells
// the other before that one has asked for a roster.
// Cause: news of a few agents counted as the roster of a balancer that knows all.
func TestNewsOfAgentsIsNoRoster(t *testing.T) {
	w := newWorld(t, 3)
	a, b := w.addBalancer(balancerA), w.addBalancer(balancerB)
	a.AddBalancer(balancerB)
	for n := range len(w.agents) {
		w.restartAgent(n)
		a.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	for range 2 {
		a.Tick(w.now)
		w.settle()
		w.now = w.now.Add(announceEvery)
	}
	if len(b.agents) != len(w.agents) {
		t.Fatalf("%d agents known, want all of which it was told", len(b.agents))
	}
	b.Tick(w.now)
	asked := false
	for _, e := range clone(b.Effects()) {
		asked = asked || e.Message.Kind == MemberListRequest
	}
	if !asked {
		t.Error("no roster is asked for")
	}
}

// Symptom: after a loss of power everywhere a balancer that starts a little later than
// the others tells the callers of dead flows half a second late.
// Sequence: the others have found out that everything has just started and answer the
// late one's question with their rosters.
// Cause: only a balancer whose others did not know yet was sure before 0.6 s.
func TestLateBalancerSeesStartOfEverything(t *testing.T) {
	w := newWorld(t, 20)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.startAll(3)
	w.pass(300 * time.Millisecond)
	d := w.addBalancer(balancerB)
	d.AddBalancer(balancerA)
	for n := range len(w.agents) {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	d.StoreListed()
	c.request(balancerB)
	w.pass(300 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Symptom: callers of dead flows wait for six seconds at a balancer that starts shortly
// after an agent has vanished.
// Sequence: the agent's server held nothing; it vanishes without a farewell; a balancer
// starts, and another one names the agent to it as heard a moment ago.
// Cause: an agent that others have heard was waited for whatever its server held.
func TestVanishedEmptyAgentThatOthersNameHoldsNothingUp(t *testing.T) {
	w := newWorld(t, 3)
	w.restartAgent(2)
	w.gate(2).StatusCheck(w.now, StatusCheckResult{Absent: true})
	w.pass(time.Second)
	delete(w.agents, agentAddr(2))
	d := w.addBalancer(balancerB)
	d.AddBalancer(balancerA)
	for n := range 2 {
		d.AddAgent(w.now, agentAddr(n), listing, "a")
	}
	w.pass(100 * time.Millisecond)
	if d.agents[agentAddr(2)] == nil {
		t.Fatal("the vanished agent was not named")
	}
	w.caller(1, listingPort).send(balancerB, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.pass(time.Second)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Symptom: after an agent has said farewell and ended, callers of dead flows wait for
// half a second and more at every balancer.
// Sequence: one balancer misses the farewell and goes on naming the agent; the others ask
// it for its roster before they tell a caller that its flow has ended.
// Cause: any roster that named an agent which had said that its server is gone brought
// it back, also one that had heard it before it said so.
func TestRosterFromBeforeFarewellBringsNobodyBack(t *testing.T) {
	w := newWorld(t, 3)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.pass(2 * time.Second)
	w.cut = func(from, to netip.AddrPort) bool { return from == agentAddr(2) && to == balancerA }
	w.gate(2).Deregister(w.now, w.server(2).instance, 0)
	w.settle()
	delete(w.agents, agentAddr(2))
	w.now = w.now.Add(20 * time.Millisecond)
	w.caller(1, listingPort).send(balancerB, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
	w.now = w.now.Add(20 * time.Millisecond)
	w.balancers[balancerB].Tick(w.now)
	w.settle()
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}
