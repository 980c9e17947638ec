package flow

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against new flows at a draining server: its draining heartbeat was acknowledged,
// balancers that have not been notified offer flows, and the agent is killed and restarted.
// A decision based on a balancer's state or on the store is older than the acknowledgement.
func TestNoNewFlowAtDrainingServer(t *testing.T) {
	w := newWorld(t, 1)
	if m := w.offerTo(0, listing, 1000); m.Kind != Taken {
		t.Fatalf("offer to a ready server: %v, %v", m.Kind, m.Reason)
	}
	w.heartbeat(0, 50, true)
	if m := w.offerTo(0, listing, 1001); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("offer to a draining server: %v, %v", m.Kind, m.Reason)
	}
	w.restartAgent(0)
	if m := w.offerTo(0, listing, 1002); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("offer to a draining server after a restart of its agent: %v, %v", m.Kind, m.Reason)
	}
	w.gate(0).StatusCheck(w.now, StatusCheckResult{Answered: true})
	if m := w.offerTo(0, listing, 1003); m.Kind != Refused {
		t.Fatalf("offer to a draining server that answers a status check: %v", m.Kind)
	}
	w.heartbeat(0, 51, true)
	if m := w.offerTo(0, listing, 1004); m.Kind != Refused {
		t.Fatalf("offer to a draining server after another heartbeat: %v", m.Kind)
	}
}

// Guards against a flow of one service reaching a server of another: a server ends and its
// address is given to another service, while a balancer still offers flows of the old
// service there.
func TestAddressOfAnotherService(t *testing.T) {
	w := newWorld(t, 1)
	if m := w.offerTo(0, records, 1000); m.Kind != Refused || m.Reason != ReasonService {
		t.Fatalf("offer of a records flow to a listing server: %v, %v", m.Kind, m.Reason)
	}
	w.server(0).unresponsive = true // sends no more heartbeats
	w.advance(DefaultStateTTL)
	if m := w.offerTo(0, listing, 1001); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("offer to a server whose state was not confirmed for DefaultStateTTL: %v, %v", m.Kind, m.Reason)
	}
}

func TestHeartbeats(t *testing.T) {
	type beat struct {
		instance string
		sequence uint64
		draining bool
	}
	for _, c := range []struct {
		name     string
		beats    []beat
		after    time.Duration // between the last two heartbeats
		accepted bool          // the last heartbeat is accepted
		state    ServerState
	}{
		{"first", []beat{{"a", 7, false}}, 0, true, ServerReady},
		{"next", []beat{{"a", 7, false}, {"a", 8, true}}, 0, true, ServerDraining},
		{"delayed", []beat{{"a", 8, true}, {"a", 7, false}}, 0, false, ServerDraining},
		{"repeated", []beat{{"a", 8, true}, {"a", 8, true}}, 0, false, ServerDraining},
		{"new instance", []beat{{"a", 8, true}, {"b", 1, false}}, 0, true, ServerReady},
		{"of the replaced instance", []beat{{"a", 8, true}, {"b", 1, false}, {"a", 9, true}}, 0, false, ServerReady},
		{"of an unknown instance, delayed", []beat{{"b", 5, false}, {"a", 9, true}}, 0, false, ServerReady},
		{"of an unknown instance that sends another", []beat{{"b", 5, false}, {"a", 9, true}, {"a", 10, true}}, 0, true, ServerDraining},
		{"of an unknown instance after the TTL", []beat{{"b", 5, false}, {"a", 9, true}}, 2 * time.Second, true, ServerDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{}, nil)
			accepted := false
			for i, b := range c.beats {
				if i == len(c.beats)-1 {
					now = now.Add(c.after)
				}
				accepted = g.Heartbeat(now, Heartbeat{Instance: b.instance, Sequence: b.sequence, Draining: b.draining})
			}
			if accepted != c.accepted || g.State(now) != c.state {
				t.Fatalf("accepted %v, state %v; want %v, %v", accepted, g.State(now), c.accepted, c.state)
			}
		})
	}
}

// Guards against a reset of an open flow whose server holds it: a new VM's agent starts a
// second before its server, and a balancer looks up a flow that it does not know. If the
// agent sends the packet to the address where no server runs yet, the VM answers with a
// reset that the caller accepts as its server's.
func TestNoPacketToUnseenServer(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	s := Segment{Key: Key{CallerPort: 1}, Seq: 5, Ack: 9, HasAck: true, Data: 10}
	sendLookup := func() (toServer, notHeld bool) {
		g.FromBalancer(now, balancerA, &Message{Kind: Lookup}, &s, []byte{1})
		for _, e := range g.Effects() {
			toServer = toServer || e.Kind == SendServer
			notHeld = notHeld || e.Message.Kind == NotHeld
		}
		return toServer, notHeld
	}
	if toServer, notHeld := sendLookup(); toServer || notHeld {
		t.Fatalf("before the status check: to server %v, not held %v", toServer, notHeld)
	}
	g.StatusCheck(now, StatusCheckResult{Absent: true})
	if toServer, notHeld := sendLookup(); toServer || !notHeld {
		t.Fatalf("status check found no server: to server %v, not held %v", toServer, notHeld)
	}
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing})
	if toServer, notHeld := sendLookup(); toServer || !notHeld {
		t.Fatalf("server that started after its agent: to server %v, not held %v", toServer, notHeld)
	}
}

// Guards against a reset of an open flow whose server holds it: a server answers a first
// packet later than AnswerTimeout, and the flow is opened at another server. Another
// balancer's lookup then reaches the slow server, which has the flow half open and answers
// with a reset, unless the agent still has the entry of the refused first packet.
func TestPacketsOfFlowAtOtherServerAreNotDelivered(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	for n := range 2 {
		w.server(n).unresponsive = true
	}
	c.open(balancerA, 0)
	slow := 0
	if len(w.server(1).received) > 0 {
		slow = 1
	}
	w.server(1 - slow).unresponsive = false
	w.now = w.now.Add(DefaultAnswerTimeout)
	w.tick()
	if got := c.holders(); len(got) != 1 || got[0] != 1-slow {
		t.Fatalf("held by %v, want by the server that answers", got)
	}
	// The slow server processes the first packet now.
	w.server(slow).unresponsive = false
	w.server(slow).receive(Segment{Key: c.key, Seq: c.seq, Syn: true})
	before := len(w.server(slow).received)
	for range 3 {
		c.request(balancerB)
	}
	if got := w.server(slow).received[before:]; len(got) > 0 {
		t.Fatalf("the slow server received %d packets of the flow", len(got))
	}
	if c.served() == 0 {
		t.Fatal("the server that holds the flow received no request")
	}
}

// Guards against a reset of an open flow whose server holds it: another server had hung when it
// was offered the flow and answers the first packet only after its agent has removed the entry.
// If that answer counts as an open flow, packets of the flow are delivered to that server too,
// and it answers them with a reset.
func TestLateAnswerDoesNotOpenFlow(t *testing.T) {
	const hung = 30 * time.Second
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	for n := range 2 {
		w.server(n).unresponsive = true
	}
	c.open(balancerA, 0)
	late := 0
	if len(w.server(1).received) > 0 {
		late = 1
	}
	w.server(1 - late).unresponsive = false
	w.now = w.now.Add(DefaultAnswerTimeout)
	w.tick()
	if got := c.holders(); len(got) != 1 || got[0] != 1-late {
		t.Fatalf("held by %v, want by the server that answers", got)
	}
	c.request(balancerA)
	w.advance(hung)
	v := w.server(late)
	v.unresponsive = false
	for _, s := range v.receive(Segment{Key: c.key, Seq: c.seq, Syn: true}) {
		w.gate(late).FromServer(w.now, s, w.packet(s))
	}
	w.deliver()
	before := len(v.received)
	answers := c.served()
	first, _ := c.answer()
	c.send(balancerB, Segment{Seq: c.seq + 51, Ack: first.Seq + 101, HasAck: true, Data: 50})
	w.advance(time.Second)
	if got := v.received[before:]; len(got) > 0 {
		t.Errorf("the server that answered late received %d packets of the flow", len(got))
	}
	if c.served() == answers {
		t.Error("the server that holds the flow received no request")
	}
}

// Guards against a new flow at a draining server: a caller reuses its port while the agent
// still has the port's old flow. If flows are distinguished by addresses and ports alone,
// the new first packet is forwarded as a copy of the old one.
func TestReusedPortOpensNewFlow(t *testing.T) {
	w := newWorld(t, 1)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.heartbeat(0, 50, true)
	before := len(w.server(0).received)
	c.seq += 12345
	c.open(balancerA, 0)
	if got := w.server(0).received[before:]; len(got) > 0 {
		t.Fatalf("draining server received %+v", got)
	}
}

// Guards against a flow that gets no answer or is reset after its caller's port was used
// at another server: a balancer looks up the new flow at all agents, and the one that has
// the port's old flow claims it. This happens if an acknowledgement within a wide window of
// the old flow's first sequence number is accepted as one of the old flow.
func TestOldFlowDoesNotMatchReusedPort(t *testing.T) {
	w := newWorld(t, 1)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	a, _ := c.answer()
	before := len(w.server(0).received)
	c.send(balancerB, Segment{Seq: c.seq + 999, Ack: a.Seq + 5000, HasAck: true, Data: 10})
	if got := w.server(0).received[before:]; len(got) > 0 {
		t.Fatalf("the old flow's server received %+v", got)
	}
}

// Guards against a service that, after a power loss everywhere, recovers to a fraction of
// its throughput for as long as the load lasts: callers give up while their flows wait, and
// the server answers first packets whose flows are never confirmed. If such flows count as
// requests until their entries expire seconds later, they use up the server's capacity.
func TestUnconfirmedFlowsStopCounting(t *testing.T) {
	w := newWorld(t, 1)
	capacity := w.gate(0).requestCapacity()
	for i := range capacity {
		if m := w.offerTo(0, listing, uint16(2000+i)); m.Kind != Taken {
			t.Fatalf("flow %d: %v, %v", i, m.Kind, m.Reason)
		}
	}
	if m := w.offerTo(0, listing, 3000); m.Reason != ReasonBusy {
		t.Fatalf("offer without capacity: %v, %v", m.Kind, m.Reason)
	}
	w.now = w.now.Add(confirmTimeout)
	w.tick()
	if m := w.offerTo(0, listing, 3001); m.Kind != Taken {
		t.Fatalf("offer after the callers gave up: %v, %v", m.Kind, m.Reason)
	}
}

// Flows that wait for capacity are served once there is some: those that can be in time
// before late ones, urgent ones before others.
func TestWaitingFlowsInOrder(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	capacity := g.requestCapacity()
	for i := range capacity {
		w.offerTo(0, listing, uint16(2000+i))
	}
	wait := func(port uint16, priority uint8, onTime time.Duration) Key {
		c := w.caller(port, listingPort)
		s := Segment{Key: c.key, Seq: c.seq, Syn: true}
		m := Message{Kind: Open, Service: listing, Priority: priority, OnTime: onTime, Wait: time.Second}
		g.FromBalancer(w.now, balancerA, &m, &s, w.packet(s))
		w.deliver()
		return c.key
	}
	late := wait(3000, 2, 0)
	plain := wait(3001, 2, 300*time.Millisecond)
	urgent := wait(3002, 1, 300*time.Millisecond)
	before := len(w.server(0).received)
	w.now = w.now.Add(confirmTimeout) // the flows that fill the capacity are not confirmed
	w.tick()
	got := w.server(0).received[before:]
	want := []Key{urgent, plain, late}
	if len(got) != len(want) {
		t.Fatalf("%d flows reached the server, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i].Key != want[i] {
			t.Errorf("position %d: port %d, want %d", i, got[i].Key.CallerPort, want[i].CallerPort)
		}
	}
}

// Guards against a waiting flow that reaches a draining server: it was queued while the
// server was ready, and the server starts to drain before there is capacity for the flow.
func TestDrainingServerGetsNoWaitingFlows(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	for i := range g.requestCapacity() {
		w.offerTo(0, listing, uint16(2000+i))
	}
	c := w.caller(3000, listingPort)
	s := Segment{Key: c.key, Seq: c.seq, Syn: true}
	g.FromBalancer(w.now, balancerA, &Message{Kind: Open, Service: listing, OnTime: time.Second, Wait: time.Second}, &s, w.packet(s))
	w.deliver()
	before := len(w.server(0).received)
	w.heartbeat(0, 50, true)
	w.now = w.now.Add(confirmTimeout)
	w.tick()
	if got := w.server(0).received[before:]; len(got) > 0 {
		t.Fatalf("draining server received %+v", got)
	}
	if n := g.waiting.counts[waitingFlow]; n > 0 {
		t.Fatalf("%d flows are queued for a draining server", n)
	}
}

// Guards against a reset of an open flow whose server holds it: flows are opened after a
// server's first heartbeat, and the agent is killed and restarted before the second one.
// If the second heartbeat, the first that the new agent process receives, counts as proof
// that the agent has seen all flows of the instance, it reports the flows as not held.
func TestAgentRestartedEarlyIsNotComplete(t *testing.T) {
	w := newWorld(t, 1)
	w.server(0).instance = "i-new"
	w.heartbeat(0, 1, false)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.restartAgent(0)
	w.heartbeat(0, 2, false)
	c.request(balancerA)
	if len(w.resets) > 0 || c.served() != 2 {
		t.Fatalf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Guards against a reset of an open flow whose server holds it: a balancer pauses, and a
// copy of the flow's first packet opens the flow through another balancer. The first
// balancer resumes and forwards the first packet from its socket; the server answers it
// again. If this repeated answer resets the record of what the server has sent, the
// caller's next packet is treated as one of another flow.
func TestRepeatedAnswerLeavesFlowOpen(t *testing.T) {
	w := newWorld(t, 1)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 1)
	c.request(balancerA)
	a, _ := c.answer()
	c.open(balancerB, 0)
	c.send(balancerB, Segment{Seq: c.seq + 51, Ack: a.Seq + 101, HasAck: true, Data: 50})
	if len(w.resets) > 0 || c.served() != 2 {
		t.Fatalf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Guards against a reset of an open flow whose server holds it: the replies of the holding
// agent to a balancer get lost. Another agent, recently started, receives the lookup and
// probes its server, which does not answer; then a new instance of that server starts, and
// the lookup comes again. If a probed flow counts as lost with the old instance, the
// balancer ends the lookup and resets the flow.
func TestLookedUpFlowIsNotLostWithInstance(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	holder := agentAddr(c.holders()[0])
	other := (c.holders()[0] + 1) % 3
	w.drops = func(from, to netip.AddrPort) bool { return from == holder && to == balancerB }
	g := w.restartAgent(other)
	w.server(other).unresponsive = true
	g.StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: w.server(other).instance})
	c.request(balancerB)
	w.advance(200 * time.Millisecond)
	w.server(other).unresponsive = false
	w.server(other).instance = "i-new"
	w.heartbeat(other, 1, false)
	c.request(balancerB)
	w.advance(time.Second)
	if len(w.resets) > 0 {
		t.Errorf("reset with sequence number %d while server %d holds the flow", w.resets[0].ResetSeq, c.holders()[0])
	}
}
