package flow

import (
	"net/netip"
	"testing"
	"time"
)

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
	d.AddAgent(w.now, agentAddr((c.holders()[0]+1)%3), listing, "a")
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
			case Lookup:
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
	w.pass(DefaultAgentExpiry + time.Second)
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

// Symptom: an open flow is reset while its server holds it.
// Sequence: an agent starts and becomes known to one balancer; what that one tells
// the others of it gets lost. A flow is opened at the agent, and then comes by one
// of the other balancers.
// Cause: a balancer that once knew all agents takes those that it knows now for
// all.
func TestAgentThatOthersKnowIsAsked(t *testing.T) {
	w := newWorld(t, 2)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
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
	w.balancers[balancerA].AddBalancer(balancerB)
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

// Symptom: callers of flows that ended with their server wait for their deadlines
// for a minute after some VM was taken away.
// Sequence: the server of an agent is gone and its agent says so; then the VM
// vanishes without a word. Flows come by that nobody holds.
// Cause: no flow is reset while an agent that may hold it has fallen silent, also
// if it held none.
func TestEmptyAgentThatVanishesHoldsNothingUp(t *testing.T) {
	w := newWorld(t, 3)
	w.restartAgent(2)
	w.gate(2).StatusCheck(w.now, StatusCheckResult{Absent: true})
	w.pass(time.Second)
	w.cut = func(from, to netip.AddrPort) bool { return from == agentAddr(2) || to == agentAddr(2) }
	for i, silence := range []time.Duration{DefaultAgentTimeout, DefaultAgentExpiry, time.Second} {
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
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.addAgent(1, records)
	g := w.restartAgent(1)
	g.StatusCheck(w.now, StatusCheckResult{Absent: true})
	w.pass(time.Second)
	w.cut = func(from, to netip.AddrPort) bool {
		return from == agentAddr(1) && to == balancerB || from == balancerB && to == agentAddr(1)
	}
	w.pass(DefaultAgentTimeout + ReportEvery)
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
// Sequence: hundreds of callers go on with flows that ended with their servers; the
// balancer's link carries 10 Mbit/s.
// Cause: a search for each of them at once, the caller's packet to every agent and
// an answer from each, leaves neither link nor processor for offers.
func TestSearchesLeaveRoomForNewFlows(t *testing.T) {
	const agents, flows, link = 47, 300, 1.25e6
	const firstRepeat = 200 * time.Millisecond // of a caller's packet
	d, now := benchDirector(agents)
	d.queries = newQueries(link)
	packet := make([]byte, 200)
	var messages, bytes, asked int
	count := func() {
		for _, e := range d.Effects() {
			if e.Kind != SendMessage || e.Message.Kind != Lookup && e.Message.Kind != Query {
				continue
			}
			messages++
			bytes += messageOverhead + len(e.Packet)
			asked++
			if e.Message.Kind == Query {
				asked += (len(e.Packet)-numberSize)/querySize - 1
			}
		}
	}
	for i := range flows {
		d.FromCaller(now, Segment{Key: benchKey(i), Seq: 1, Ack: 2, HasAck: true, Data: 168}, packet)
		count()
	}
	start := now
	for now.Sub(start) < firstRepeat {
		now = now.Add(time.Millisecond)
		d.Tick(now)
		count()
	}
	if asked < flows*askFirst {
		t.Errorf("%d questions within %v, want %d flows at %d agents", asked, firstRepeat, flows, askFirst)
	}
	span := now.Sub(start).Seconds()
	largest := agents * (messageOverhead + numberSize + maxQueried*querySize)
	if limit := int(span*link*searchShare) + largest; bytes > limit {
		t.Errorf("%d bytes within %v s, want %d at most", bytes, span, limit)
	}
	if limit := int(span*searchMessages) + agents; messages > limit {
		t.Errorf("%d messages within %v s, want %d at most", messages, span, limit)
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

// Symptom: callers of dead flows wait for their deadlines for a minute.
// Sequence: the server of an agent is gone, and its VM vanishes. One balancer notices
// a moment before another, whose roster still names the agent as one that it hears.
// Cause: that the other one hears it counted, not since when: an agent that had said
// that its server holds nothing was taken for one that may hold flows now, behind a cut.
func TestRosterOfTheSameSilenceHoldsNothingUp(t *testing.T) {
	w := newWorld(t, 3)
	w.pass(startSpan)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	w.restartAgent(2)
	w.gate(2).StatusCheck(w.now, StatusCheckResult{Absent: true})
	w.pass(time.Second)
	gone := agentAddr(2)
	w.cut = func(from, to netip.AddrPort) bool {
		return from == gone && to == balancerA || from == balancerA && to == gone
	}
	w.pass(200 * time.Millisecond)
	w.cut = func(from, to netip.AddrPort) bool { return from == gone || to == gone }
	for i, wait := range []time.Duration{DefaultAgentTimeout - 150*time.Millisecond, DefaultAgentExpiry, time.Second} {
		w.pass(wait)
		w.caller(uint16(100+i), listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
		w.pass(300 * time.Millisecond)
	}
	if len(w.resets) != 3 {
		t.Errorf("%d of 3 lost flows reset", len(w.resets))
	}
}

// Symptom: an open flow is reset although its server lives (soak, seed 4).
// Sequence: a server leaves, and its agent says so to a balancer; a new server starts
// on the VM, with a new agent that this balancer has not heard yet. A flow is opened
// there through another balancer and then comes by this one.
// Cause: an agent whose server was gone needed not be asked, and a roster that named
// it changed nothing.
func TestNewServerAfterOneThatIsGoneIsAsked(t *testing.T) {
	w := newWorld(t, 2)
	w.pass(startSpan)
	w.balancers[balancerA].AddBalancer(balancerB)
	w.balancers[balancerB].AddBalancer(balancerA)
	for n := range 2 {
		w.gate(n).Deregister(w.now, w.server(n).instance, 0)
		w.settle()
		w.cut = func(from, to netip.AddrPort) bool {
			return from == agentAddr(n) && to == balancerB || from == balancerB && to == agentAddr(n)
		}
		w.restartAgent(n)
		delete(w.gate(n).balancers, balancerB)
		w.server(n).instance = "i-new"
		w.server(n).flows = map[Key]*serverFlow{}
		w.beat(n, 1, false)
		w.pass(100 * time.Millisecond)
		c := w.caller(uint16(10+n), listingPort)
		c.open(balancerA, 0)
		if len(c.holders()) != 1 || c.holders()[0] != n {
			w.cut = nil
			w.pass(time.Second)
			continue
		}
		c.request(balancerA)
		w.cut = nil
		c.request(balancerB)
		w.pass(200 * time.Millisecond)
		if len(w.resets) > 0 || c.served() != 2 {
			t.Errorf("%d resets, served %d times", len(w.resets), c.served())
		}
		return
	}
	t.Error("no flow was opened at the new server")
}

// Symptom: in a fleet of hundreds callers of dead flows are told six seconds after an
// agent has vanished, all at once, where a small fleet takes less than one.
// Sequence: an agent whose server held nothing vanishes without a farewell; a flow that
// nobody holds comes by.
// Cause: the agent was waited for until three reports were missing, and reports come
// the more seldom the more agents there are.
func TestSilenceIsNoticedInASecondAtAnySize(t *testing.T) {
	for _, agents := range []int{3, 150} {
		w := newWorld(t, agents)
		w.restartAgent(2)
		w.gate(2).StatusCheck(w.now, StatusCheckResult{Absent: true})
		w.pass(startSpan)
		w.cut = func(from, to netip.AddrPort) bool { return from == agentAddr(2) || to == agentAddr(2) }
		w.caller(1, listingPort).send(balancerA, Segment{Seq: 5, Ack: 77, HasAck: true, Data: 10})
		w.pass(time.Second)
		if len(w.resets) != 1 {
			t.Errorf("%d agents: %d resets, want 1", agents, len(w.resets))
		}
	}
}
