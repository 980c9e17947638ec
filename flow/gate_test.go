package flow

import (
	"net/netip"
	"testing"
	"time"
)

// Symptom: new flows at a backend server that had said that it leaves.
// Sequence: the server's heartbeat says draining and is acknowledged; balancers
// that have not heard of it offer flows; the agent is killed and starts again.
// Cause: whoever decides by what balancers believe, or by what the store held,
// decides by something older than the acknowledgement.
func TestNoNewFlowAtDrainingServer(t *testing.T) {
	w := newWorld(t, 1)
	if m := w.offerTo(0, listing, 1000); m.Kind != Taken {
		t.Fatalf("ready server: %v, %v", m.Kind, m.Reason)
	}
	w.beat(0, 50, true)
	if m := w.offerTo(0, listing, 1001); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("draining server: %v, %v", m.Kind, m.Reason)
	}
	w.restartAgent(0)
	if m := w.offerTo(0, listing, 1002); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("draining server after a restart of its agent: %v, %v", m.Kind, m.Reason)
	}
	w.gate(0).StatusCheck(w.now, StatusCheckResult{Answered: true})
	if m := w.offerTo(0, listing, 1003); m.Kind != Refused {
		t.Fatalf("draining server that answers a status check: %v", m.Kind)
	}
	w.beat(0, 51, true)
	if m := w.offerTo(0, listing, 1004); m.Kind != Refused {
		t.Fatalf("draining server heard again: %v", m.Kind)
	}
}

// Symptom: a flow of one service at a server of another.
// Sequence: a server ends, and its address is given to another service while a
// balancer goes on naming the old one.
// Cause: a balancer's view of who has an address is older than the address's
// owner.
func TestAddressOfAnotherService(t *testing.T) {
	w := newWorld(t, 1)
	if m := w.offerTo(0, records, 1000); m.Kind != Refused || m.Reason != ReasonService {
		t.Fatalf("flow of records at a server of listing: %v, %v", m.Kind, m.Reason)
	}
	w.server(0).mute = true // no heartbeats any more
	w.pass(DefaultHeartbeatTTL)
	if m := w.offerTo(0, listing, 1001); m.Kind != Refused || m.Reason != ReasonState {
		t.Fatalf("server not heard of for as long as an address rests: %v, %v", m.Kind, m.Reason)
	}
}

func TestHeartbeats(t *testing.T) {
	type beat struct {
		instance string
		sequence uint64
		draining bool
	}
	for _, c := range []struct {
		name  string
		beats []beat
		after time.Duration // before the last heartbeat
		taken bool          // the last heartbeat counts
		state ServerState
	}{
		{"first", []beat{{"a", 7, false}}, 0, true, ServerReady},
		{"next", []beat{{"a", 7, false}, {"a", 8, true}}, 0, true, ServerDraining},
		{"late", []beat{{"a", 8, true}, {"a", 7, false}}, 0, false, ServerDraining},
		{"repeated", []beat{{"a", 8, true}, {"a", 8, true}}, 0, false, ServerDraining},
		{"new instance", []beat{{"a", 8, true}, {"b", 1, false}}, 0, true, ServerReady},
		{"of the replaced instance", []beat{{"a", 8, true}, {"b", 1, false}, {"a", 9, true}}, 0, false, ServerReady},
		{"of an instance never heard, held up", []beat{{"b", 5, false}, {"a", 9, true}}, 0, false, ServerReady},
		{"of one that goes on sending", []beat{{"b", 5, false}, {"a", 9, true}, {"a", 10, true}}, 0, true, ServerDraining},
		{"after a silence", []beat{{"b", 5, false}, {"a", 9, true}}, 2 * time.Second, true, ServerDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{}, nil)
			taken := false
			for i, b := range c.beats {
				if i == len(c.beats)-1 {
					now = now.Add(c.after)
				}
				taken = g.Heartbeat(now, Heartbeat{Instance: b.instance, Sequence: b.sequence, Draining: b.draining})
			}
			if taken != c.taken || g.State(now) != c.state {
				t.Fatalf("taken %v, state %v; want %v, %v", taken, g.State(now), c.taken, c.state)
			}
		})
	}
}

// Symptom: an open flow is reset although its server lives.
// Sequence: a VM is added; its agent starts a second before its server. A
// balancer looks for a flow that it does not know, the agent passes the packet
// to the address of a server that is not there yet, and the VM answers with a
// reset that its caller takes for the server's.
// Cause: the agent took "not known whether it holds the flow" for "may hold it"
// before anything had shown that there is a server.
func TestNothingReachesServerThatNobodyHasSeen(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	s := Segment{Key: Key{CallerPort: 1}, Seq: 5, Ack: 9, HasAck: true, Data: 10}
	seek := func() (toServer, notHeld bool) {
		g.FromBalancer(now, balancerA, &Message{Kind: Lookup}, &s, []byte{1})
		for _, e := range g.Effects() {
			toServer = toServer || e.Kind == SendServer
			notHeld = notHeld || e.Message.Kind == NotHeld
		}
		return toServer, notHeld
	}
	if toServer, notHeld := seek(); toServer || notHeld {
		t.Fatalf("before the status check: to server %v, not held %v", toServer, notHeld)
	}
	g.StatusCheck(now, StatusCheckResult{Absent: true})
	if toServer, notHeld := seek(); toServer || !notHeld {
		t.Fatalf("no server there: to server %v, not held %v", toServer, notHeld)
	}
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing})
	if toServer, notHeld := seek(); toServer || !notHeld {
		t.Fatalf("server that started after its agent: to server %v, not held %v", toServer, notHeld)
	}
}

// Symptom: an open flow is reset although its server lives.
// Sequence: a server takes longer for a first packet than the agent waits, and
// the balancer offers the flow elsewhere. The caller takes the other server's
// answer. Its packets, sought by another balancer, come by the first server,
// which has the flow half open and answers with a reset.
// Cause: the agent forgot the first packet that it had given back.
func TestPacketsOfAnothersFlowStayAway(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1000, listingPort)
	for n := range 2 {
		w.server(n).mute = true
	}
	c.open(balancerA, 0)
	slow := 0
	if len(w.server(1).got) > 0 {
		slow = 1
	}
	w.server(1 - slow).mute = false
	w.now = w.now.Add(DefaultAnswerTimeout)
	w.tick()
	if got := c.holders(); len(got) != 1 || got[0] != 1-slow {
		t.Fatalf("held by %v, want by the server that answers", got)
	}
	// The slow server comes to the first packet now.
	w.server(slow).mute = false
	w.server(slow).take(Segment{Key: c.key, Seq: c.seq, Syn: true})
	before := len(w.server(slow).got)
	for range 3 {
		c.request(balancerB)
	}
	if got := w.server(slow).got[before:]; len(got) > 0 {
		t.Fatalf("the other server was handed %d packets of the flow", len(got))
	}
	if c.served() == 0 {
		t.Fatal("the flow's own server was not reached")
	}
}

// Symptom: a new flow at a draining server.
// Sequence: a caller uses its port again. The agent remembers the port's old
// flow, and passes the first packet on as a copy of the old one's.
// Cause: flows were told apart by addresses and ports alone.
func TestPortUsedAgainIsNewFlow(t *testing.T) {
	w := newWorld(t, 1)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.beat(0, 50, true)
	before := len(w.server(0).got)
	c.seq += 12345
	c.open(balancerA, 0)
	if got := w.server(0).got[before:]; len(got) > 0 {
		t.Fatalf("draining server was handed %+v", got)
	}
}

// Symptom: a flow gets nowhere, or is reset, after its caller's port was used
// before at another server.
// Sequence: a balancer that does not know the new flow asks all agents; the one
// that remembers the port's old flow claims it.
// Cause: any acknowledgement within a wide window of the old flow's first
// sequence number counted as one of the old flow.
func TestOldFlowOfPortIsNotTheNewOne(t *testing.T) {
	w := newWorld(t, 1)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	a, _ := c.answer()
	before := len(w.server(0).got)
	c.send(balancerB, Segment{Seq: c.seq + 999, Ack: a.Seq + 5000, HasAck: true, Data: 10})
	if got := w.server(0).got[before:]; len(got) > 0 {
		t.Fatalf("the old flow's server was handed %+v", got)
	}
}

// Symptom: after power was lost everywhere, a service recovers to a fraction of
// what it serves, for as long as the load lasts.
// Sequence: callers give up while their flows wait; the server answers first
// packets that nobody confirms; each counts as a request until it is forgotten
// seconds later, and takes the room of a flow that would be served.
// Cause: a flow counted as a request from its first packet on, without end.
func TestUnconfirmedFlowsStopCounting(t *testing.T) {
	w := newWorld(t, 1)
	room := w.gate(0).requestCapacity()
	for i := range room {
		if m := w.offerTo(0, listing, uint16(2000+i)); m.Kind != Taken {
			t.Fatalf("flow %d: %v, %v", i, m.Kind, m.Reason)
		}
	}
	if m := w.offerTo(0, listing, 3000); m.Reason != ReasonBusy {
		t.Fatalf("no room: %v, %v", m.Kind, m.Reason)
	}
	w.now = w.now.Add(confirmTimeout)
	w.tick()
	if m := w.offerTo(0, listing, 3001); m.Kind != Taken {
		t.Fatalf("after the callers gave up: %v, %v", m.Kind, m.Reason)
	}
}

// A flow that waits for room is served when there is some: what can be in time
// before what is late, the urgent before the others.
func TestWaitingFlowsInOrder(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	room := g.requestCapacity()
	for i := range room {
		w.offerTo(0, listing, uint16(2000+i))
	}
	wait := func(port uint16, priority uint8, onTime time.Duration) Key {
		c := w.caller(port, listingPort)
		s := Segment{Key: c.key, Seq: c.seq, Syn: true}
		m := Message{Kind: Open, Service: listing, Priority: priority, OnTime: onTime, Wait: time.Second}
		g.FromBalancer(w.now, balancerA, &m, &s, w.packet(s))
		w.settle()
		return c.key
	}
	late := wait(3000, 2, 0)
	plain := wait(3001, 2, 300*time.Millisecond)
	urgent := wait(3002, 1, 300*time.Millisecond)
	before := len(w.server(0).got)
	w.now = w.now.Add(confirmTimeout) // the flows before were never confirmed
	w.tick()
	got := w.server(0).got[before:]
	want := []Key{urgent, plain, late}
	if len(got) != len(want) {
		t.Fatalf("%d flows were passed on, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i].Key != want[i] {
			t.Errorf("place %d: port %d, want %d", i, got[i].Key.CallerPort, want[i].CallerPort)
		}
	}
}

// Symptom: flows wait at an agent whose server has begun to leave.
// Sequence: flows wait for room, and the server says that it drains.
// Cause: what waits had passed the gate when the server was ready.
func TestWaitingFlowsLeaveDrainingServer(t *testing.T) {
	w := newWorld(t, 1)
	g := w.gate(0)
	for i := range g.requestCapacity() {
		w.offerTo(0, listing, uint16(2000+i))
	}
	c := w.caller(3000, listingPort)
	s := Segment{Key: c.key, Seq: c.seq, Syn: true}
	g.FromBalancer(w.now, balancerA, &Message{Kind: Open, Service: listing, OnTime: time.Second, Wait: time.Second}, &s, w.packet(s))
	w.settle()
	before := len(w.server(0).got)
	w.beat(0, 50, true)
	w.now = w.now.Add(confirmTimeout)
	w.tick()
	if got := w.server(0).got[before:]; len(got) > 0 {
		t.Fatalf("draining server was handed %+v", got)
	}
	if n := len(g.queue); n > 0 {
		t.Fatalf("%d flows wait at a draining server", n)
	}
}

// Symptom: an open flow is reset although its server holds it.
// Sequence: a server starts and sends its first heartbeat; flows are opened; the
// agent is killed before the second heartbeat, and starts again.
// Cause: the second heartbeat of an instance, heard first, counted as a sign that
// the agent had seen all of the instance's flows.
func TestAgentRestartedEarlyIsNotSure(t *testing.T) {
	w := newWorld(t, 1)
	w.server(0).instance = "i-new"
	w.beat(0, 1, false)
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	w.restartAgent(0)
	w.beat(0, 2, false)
	c.request(balancerA)
	if len(w.resets) > 0 || c.served() != 2 {
		t.Fatalf("%d resets, served %d times", len(w.resets), c.served())
	}
}

// Symptom: an open flow is reset although its server holds it.
// Sequence: a balancer stands still; a copy of a flow's first packet opens the
// flow through another one. The first balancer goes on and passes the first
// packet that had waited in its socket to the flow's server, which answers it
// once more. Then the caller's next packet is refused as another flow's.
// Cause: the repeated answer set back what the server was known to have sent.
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

// Symptom: an open flow is reset while its server holds it.
// Sequence: answers of the agent that holds the flow to a balancer get lost.
// Another agent starts while its server is down, and is asked for the flow; it asks
// the server, which does not react. A new instance of that server starts. The agent
// is asked for the flow again.
// Cause: whatever the old instance had been asked about counts as lost with it, and
// a flow that one agent calls lost is looked for nowhere else.
func TestSoughtFlowIsNotLostWithAnInstance(t *testing.T) {
	w := newWorld(t, 3)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	holder := agentAddr(c.holders()[0])
	other := (c.holders()[0] + 1) % 3
	w.cut = func(from, to netip.AddrPort) bool { return from == holder && to == balancerB }
	g := w.restartAgent(other)
	w.server(other).mute = true
	g.StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: w.server(other).instance})
	c.request(balancerB)
	w.pass(200 * time.Millisecond)
	w.server(other).mute = false
	w.server(other).instance = "i-new"
	w.beat(other, 1, false)
	c.request(balancerB)
	w.pass(time.Second)
	if len(w.resets) > 0 {
		t.Errorf("reset with sequence number %d while server %d holds the flow", w.resets[0].ResetSeq, c.holders()[0])
	}
}
