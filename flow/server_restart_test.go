package flow

import (
	"net/netip"
	"testing"
	"time"
)

// bornBeat is a heartbeat of one start of the server i-1.
type bornBeat struct {
	born     int64
	sequence uint64
	draining bool
}

// Symptom: callers wait on flows that no server holds, or new flows go to a server
// that has just been told to leave.
// Sequence: a server crashes and starts again under its old identity; its heartbeats
// are counted from the beginning. One of the old start is held up and arrives later.
// Cause: the identity alone was taken for one start of a server, so that the new
// start's low numbers looked old, and the old start's high one new.
func TestServerStartsAgainUnderItsIdentity(t *testing.T) {
	for _, c := range []struct {
		name  string
		beats []bornBeat
		taken bool // the last heartbeat counts
		state ServerState
	}{
		{"first of the new start", []bornBeat{{100, 40, false}, {200, 1, false}}, true, ServerReady},
		{"the new start has drained before", []bornBeat{{100, 40, true}, {200, 1, false}}, true, ServerReady},
		{"late one of the old start", []bornBeat{{100, 40, false}, {200, 1, true}, {100, 41, false}}, false, ServerDraining},
		{"first of an older start, held up", []bornBeat{{200, 40, true}, {100, 1, false}}, false, ServerDraining},
		{"the clock was set back before the new start", []bornBeat{{200, 40, true}, {100, 1, false}, {100, 2, false}}, true, ServerReady},
		{"the status check told no start", []bornBeat{{0, 1, false}, {100, 2, true}}, true, ServerDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{Service: listing}, nil)
			taken := false
			for _, b := range c.beats {
				taken = g.Heartbeat(now, Heartbeat{Instance: "i-1", StartTimeMs: b.born, Sequence: b.sequence, Service: listing, Draining: b.draining})
			}
			if taken != c.taken || g.State(now) != c.state {
				t.Errorf("taken %v, state %v; want %v, %v", taken, g.State(now), c.taken, c.state)
			}
		})
	}
}

// Symptom: a caller waits for its deadline on a flow that its server has forgotten.
// Sequence: the server starts again under its old identity while the flow is open.
// Cause: flows were called lost only when the identity changed.
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
	w.pass(200 * time.Millisecond)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want 1", len(w.resets))
	}
}

// Symptom: a server that starts again is taken for gone.
// Sequence: what its old start said at its end comes late.
// Cause: the identity alone told who leaves.
func TestOldStartsFarewellIsNotTheNewOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "i-1", StartTimeMs: 200, Sequence: 1, Service: listing})
	g.Deregister(now, "i-1", 100)
	if s := g.State(now); s != ServerReady {
		t.Errorf("state %v after the old start's end", s)
	}
	g.Deregister(now, "i-1", 200)
	if s := g.State(now); s != ServerEnded {
		t.Errorf("state %v after its own end", s)
	}
}

// Symptom: all flows of a server are called lost, and it gets flows of another
// service.
// Sequence: some other program sends heartbeats to the agent: of another address, or
// of a service that the server has nothing to do with.
// Cause: whoever sent a heartbeat with a low number was the server.
func TestHeartbeatsOfOtherWriters(t *testing.T) {
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
				t.Error("the heartbeat counts")
			}
			if b := g.Snapshot(now); b.Instance != "i-1" || b.Service != listing {
				t.Errorf("server %s of service %d", b.Instance, b.Service)
			}
		})
	}
	t.Run("before the server is heard", func(t *testing.T) {
		now := time.Unix(1000, 0)
		g := NewGate(now, GateConfig{Service: listing, Server: server}, nil)
		g.Heartbeat(now, Heartbeat{Instance: "x", Addr: server, Sequence: 3, Service: records})
		if !g.Heartbeat(now, Heartbeat{Instance: "i-1", Addr: server, Sequence: 1, Service: listing}) {
			t.Error("the server's own heartbeat does not count")
		}
	})
}
