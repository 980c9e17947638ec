package flow

import (
	"net/netip"
	"testing"
	"time"
)

// restartAgents restarts all agents, one after the other, beside their running servers.
func (w *world) restartAgents() {
	for n := range len(w.agents) {
		w.restartAgent(n)
		w.heartbeat(n, w.server(n).sequence+1, false)
		w.advance(100 * time.Millisecond)
	}
}

// next returns the caller's next packet with data, after one answered request.
func (c *testCaller) next() Segment {
	c.w.t.Helper()
	a, ok := c.answer()
	if !ok {
		c.w.t.Fatal("the flow was not answered")
	}
	return Segment{Seq: c.seq + 51, Ack: a.Seq + 101, HasAck: true, Data: 50}
}

// reopen opens another flow from the same port and sends a request on it.
func (c *testCaller) reopen(via netip.AddrPort) {
	c.seq += 1 << 30
	c.w.toCaller = nil
	c.open(via, 0)
	c.request(via)
}

// Guards against a reset of an open flow: after a restart of its agent, a first packet that was
// read late is offered to that agent, which then denies what it has not seen of the flow.
func TestLateFirstPacketDoesNotHideOpenFlow(t *testing.T) {
	for name, late := range map[string]bool{"with the late packet": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			c := w.caller(1000, listingPort)
			c.open(balancerA, 0)
			c.request(balancerA)
			n := c.holders()[0]
			w.restartAgent(n)
			w.heartbeat(n, w.server(n).sequence+1, false)
			if late {
				first := Segment{Key: c.key, Seq: c.seq, Syn: true}
				w.gate(n).FromBalancer(w.now, balancerB, &Message{Kind: Open, Service: listing}, &first, w.packet(first))
				w.deliver()
			}
			w.advance(6 * time.Second)
			c.send(balancerB, c.next())
			w.advance(time.Second)
			if len(w.resets) > 0 || c.served() != 2 {
				t.Errorf("%d resets, %d of 2 requests answered", len(w.resets), c.served())
			}
		})
	}
}

// Agents answer a lookup in a fixed order, which a flow's port decides on.
const firstPort, ports = 1000, 16

// Guards against a reset of an open flow: another server lost an earlier flow from the same port.
func TestLostFlowDoesNotEndNewerFlowFromSamePort(t *testing.T) {
	for port := range uint16(ports) {
		w := newWorld(t, 3)
		c := w.caller(firstPort+port, listingPort)
		c.open(balancerA, 0)
		c.request(balancerA)
		n := c.holders()[0]
		v := w.server(n)
		v.instance, v.flows, v.rejecting = "i-new", map[Key]*serverFlow{}, true
		w.heartbeat(n, 1, false)
		w.advance(3 * time.Second)
		w.resets = nil // of the lost flow
		c.reopen(balancerA)
		if got := c.holders(); len(got) != 1 || got[0] == n {
			t.Fatalf("the newer flow is held by %v, want by another server than %d", got, n)
		}
		c.send(balancerB, c.next())
		w.advance(3 * time.Second)
		if len(w.resets) > 0 || c.served() != 2 {
			t.Errorf("port %d: %d resets, %d of 2 requests answered", firstPort+port, len(w.resets), c.served())
		}
	}
}

// Guards against an open flow without answers: after a restart of the agents, one of them claims
// it by an earlier flow from the same port, of which it has seen the middle only.
func TestFlowSeenInTheMiddleDoesNotClaimNewerFlowFromSamePort(t *testing.T) {
	for port := range uint16(ports) {
		w := newWorld(t, 3)
		c := w.caller(firstPort+port, listingPort)
		c.open(balancerA, 0)
		c.request(balancerA)
		n := c.holders()[0]
		w.restartAgents()
		c.send(balancerA, c.next())
		w.heartbeat(n, w.server(n).sequence+1, true) // gets no new flows
		w.advance(12 * time.Second)
		c.reopen(balancerA)
		if got := c.holders(); len(got) != 2 {
			t.Fatalf("servers %v hold a flow from the port, want the older one's and the newer one's", got)
		}
		before := len(w.server(n).received)
		for range 3 {
			c.send(balancerB, c.next())
			w.advance(400 * time.Millisecond)
		}
		if got := len(w.server(n).received) - before; len(w.resets) > 0 || c.served() < 2 || got > 0 {
			t.Errorf("port %d: %d resets, %d answers; the older flow's server received %d packets", firstPort+port, len(w.resets), c.served(), got)
		}
	}
}

// Guards against a reset of an open flow: a delayed first packet of an older flow from the same
// port, which the server does not accept, takes the flow's place in the agent's table.
func TestDelayedFirstPacketOfOlderFlowDoesNotReplaceOpenFlow(t *testing.T) {
	for name, reaction := range map[string]func(w *world, v *worldServer){
		"sent back":        func(_ *world, v *worldServer) { v.rejecting = true },
		"no answer":        func(_ *world, v *worldServer) { v.unresponsive = true },
		"answered as open": func(_ *world, v *worldServer) { v.acknowledges = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			c := w.caller(firstPort, listingPort)
			c.open(balancerA, 0)
			c.request(balancerA)
			n := c.holders()[0]
			v := w.server(n)
			reaction(w, v)
			older := Segment{Key: c.key, Seq: c.seq - 1<<30, Syn: true}
			w.gate(n).FromBalancer(w.now, balancerB, &Message{Kind: Open, Service: listing}, &older, w.packet(older))
			w.deliver()
			w.advance(DefaultAnswerTimeout)
			v.rejecting, v.unresponsive = false, false
			w.advance(6 * time.Second)
			c.send(balancerB, c.next())
			w.advance(time.Second)
			if len(w.resets) > 0 || c.served() != 2 {
				t.Errorf("%d resets, %d of 2 requests answered", len(w.resets), c.served())
			}
		})
	}
}

// Guards against a caller that can't use its port again: the agent keeps the flow that the caller
// has left, although the server has accepted the next one.
func TestAcceptedFirstPacketReplacesOpenFlow(t *testing.T) {
	for _, after := range []time.Duration{0, DefaultAnswerTimeout} {
		x := newEvidenceRun(true)
		x.open()
		x.receive(Open, Segment{Seq: caseOpener + caseFar, Syn: true})
		x.now = x.now.Add(after)
		x.g.Tick(x.now)
		x.fromServer(Segment{Seq: add(caseFirst, caseFar), Ack: caseOpener + caseFar + 1, Syn: true, HasAck: true})
		for want, p := range map[LookupResult]positions{
			FlowHeld:    {caseOpener + caseFar + 1, add(caseFirst, caseFar+1), true, true},
			FlowNotHeld: {caseNextSeq, caseNextAck, true, true},
		} {
			if got, _ := x.g.answer(x.now, x.g.flows[caseKey], p); got != want {
				t.Errorf("answered after %v, %+v: %v, want %v", after, p, got, want)
			}
		}
	}
}

// Guards against callers that are not notified: the server ends before it has answered a first
// packet, and the flow that this packet was to replace is forgotten.
func TestFlowToBeReplacedIsLostWithItsServer(t *testing.T) {
	x := newEvidenceRun(true)
	x.open()
	x.receive(Open, Segment{Seq: caseOpener + caseFar, Syn: true})
	x.g.Heartbeat(x.now, Heartbeat{Instance: "b", Sequence: 1, Service: listing, Slots: 5})
	if got, _ := x.g.answer(x.now, x.g.flows[caseKey], positions{caseNextSeq, caseNextAck, true, true}); got != FlowLost {
		t.Errorf("%v, want lost", got)
	}
}

// Guards against callers of lost flows that are not notified in time: the agent was restarted before
// its server ended, and knows their flows from the middle or not at all.
func TestCallersOfLostFlowsAreNotifiedAfterAgentRestart(t *testing.T) {
	const callers = 9
	for name, used := range map[string]bool{"used since": true, "not used since": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			var list []*testCaller
			for port := range uint16(callers) {
				c := w.caller(firstPort+port, listingPort)
				c.open(balancerA, 0)
				c.request(balancerA)
				list = append(list, c)
			}
			w.restartAgents()
			if used {
				for _, c := range list {
					c.send(balancerA, c.next())
				}
			}
			n := list[0].holders()[0]
			lost := 0
			for _, c := range list {
				if c.holders()[0] == n {
					lost++
				}
			}
			v := w.server(n)
			v.instance, v.flows = "i-new", map[Key]*serverFlow{}
			w.heartbeat(n, 1, false)
			for range 4 {
				for _, c := range list {
					c.send(balancerB, c.next())
				}
				w.advance(500 * time.Millisecond)
			}
			notified := map[Key]bool{}
			for _, r := range w.resets {
				notified[r.Message.Key] = true
			}
			if len(notified) != lost {
				t.Errorf("%d callers were notified within 2 s, want %d", len(notified), lost)
			}
		})
	}
}
