package flow

import (
	"net/netip"
	"testing"
	"time"
)

// startHeartbeat is a heartbeat of one start of the server i-1.
type startHeartbeat struct {
	startTimeMs int64
	sequence    uint64
	draining    bool
}

// Guards against callers that wait on flows that no server holds, and against new flows at
// a draining server: a server crashes and restarts under its old identity, its sequence
// numbers start again, and a delayed heartbeat of the old start arrives. If the identity
// alone identifies a start, the new heartbeats look old and the delayed one looks new.
func TestServerRestartsUnderSameIdentity(t *testing.T) {
	for _, c := range []struct {
		name     string
		beats    []startHeartbeat
		accepted bool // the last heartbeat is accepted
		state    ServerState
	}{
		{"first of the new start", []startHeartbeat{{100, 40, false}, {200, 1, false}}, true, ServerReady},
		{"the old start was draining", []startHeartbeat{{100, 40, true}, {200, 1, false}}, true, ServerReady},
		{"delayed one of the old start", []startHeartbeat{{100, 40, false}, {200, 1, true}, {100, 41, false}}, false, ServerDraining},
		{"first of an older start, delayed", []startHeartbeat{{200, 40, true}, {100, 1, false}}, false, ServerDraining},
		{"the clock was set back before the new start", []startHeartbeat{{200, 40, true}, {100, 1, false}, {100, 2, false}}, true, ServerReady},
		{"the start time was not known before", []startHeartbeat{{0, 1, false}, {100, 2, true}}, true, ServerDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{Service: listing}, nil)
			accepted := false
			for _, b := range c.beats {
				accepted = g.Heartbeat(now, Heartbeat{Instance: "i-1", StartTimeMs: b.startTimeMs, Sequence: b.sequence, Service: listing, Draining: b.draining})
			}
			if accepted != c.accepted || g.State(now) != c.state {
				t.Errorf("accepted %v, state %v; want %v, %v", accepted, g.State(now), c.accepted, c.state)
			}
		})
	}
}

// Guards against a caller that waits until its deadline on a flow that its server has lost:
// the server restarts under its old identity while the flow is open. This happens if flows
// are recorded as lost only when the identity changes.
func TestFlowsOfTheOldStartAreLost(t *testing.T) {
	w := newWorld(t, 2)
	c := w.caller(1, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	n := c.holders()[0]
	v := w.server(n)
	v.flows = map[Key]*serverFlow{}
	v.sequence = 1
	w.gate(n).Heartbeat(w.now, Heartbeat{Instance: v.instance, StartTimeMs: 1 << 40, Sequence: 9, Service: listing, Slots: 5})
	w.gate(n).Heartbeat(w.now, Heartbeat{Instance: v.instance, StartTimeMs: 1<<40 + 500, Sequence: 1, Service: listing, Slots: 5})
	c.request(balancerA)
	w.advance(200 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Guards against a restarted server that is recorded as ended: the deregistration of its
// old start arrives late, and the identity alone decides which start it is of.
func TestDeregistrationOfOldStartIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "i-1", StartTimeMs: 200, Sequence: 1, Service: listing})
	g.Deregister(now, "i-1", 100)
	if s := g.State(now); s != ServerReady {
		t.Errorf("state %v after the old start's deregistration", s)
	}
	g.Deregister(now, "i-1", 200)
	if s := g.State(now); s != ServerEnded {
		t.Errorf("state %v after the current start's deregistration", s)
	}
}

// Guards against a server whose flows are recorded as lost and that gets flows of another
// service: another program sends heartbeats to the agent, with another address or another
// service, and any heartbeat with a low sequence number is accepted as a restart.
func TestHeartbeatsOfOtherServersAreRejected(t *testing.T) {
	server := netip.MustParseAddrPort("10.0.0.5:8080")
	for _, c := range []struct {
		name string
		beat Heartbeat
	}{
		{"another address", Heartbeat{Instance: "x", Addr: netip.MustParseAddrPort("10.0.0.6:8080"), Sequence: 1, Service: listing}},
		{"another service", Heartbeat{Instance: "x", Addr: server, Sequence: 1, Service: records}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{Service: listing, Server: server}, nil)
			g.Heartbeat(now, Heartbeat{Instance: "i-1", Addr: server, Sequence: 7, Service: listing})
			if g.Heartbeat(now, c.beat) {
				t.Error("the other program's heartbeat was accepted")
			}
			if b := g.Snapshot(now); b.Instance != "i-1" || b.Service != listing {
				t.Errorf("server %s of service %d, want i-1 of listing", b.Instance, b.Service)
			}
		})
	}
	t.Run("before the server's first heartbeat", func(t *testing.T) {
		now := time.Unix(1000, 0)
		g := NewGate(now, GateConfig{Service: listing, Server: server}, nil)
		g.Heartbeat(now, Heartbeat{Instance: "x", Addr: server, Sequence: 3, Service: records})
		if !g.Heartbeat(now, Heartbeat{Instance: "i-1", Addr: server, Sequence: 1, Service: listing}) {
			t.Error("the server's own heartbeat was rejected")
		}
	})
}
