package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockscale/hemlockscale/placement"
)

// setIdleLimit puts a configuration with another idle time-out in force; 0 is none.
func (w *world) setIdleLimit(revision uint64, limit time.Duration) {
	for _, d := range w.balancers {
		r := testRoutes(revision)
		r.IdleMs = int(limit.Milliseconds())
		d.SetRoutes(r)
	}
}

// Guards against a reset of an open flow after a pause that the operator's idle time-out
// allows: the agent has removed the idle flow from its table and answers that its server does
// not hold it.
func TestIdleFlowIsNotReset(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name  string
		limit time.Duration // of the configuration at first, 0: none
		pause time.Duration // before the event and after it
		event func(w *world, holder int)
		after time.Duration
	}{
		{"time-out above the pause", 30 * s, 12 * s, nil, 12 * s},
		{"no time-out", 0, 12 * s, nil, 40 * s},
		{"nearly the maximum age", DefaultMaxAge, DefaultMaxAge - 2*s, nil, 0},
		{"time-out raised meanwhile", 15 * s, 14 * s, func(w *world, _ int) { w.setIdleLimit(3, 50*s) }, 31 * s},
		{"time-out lowered meanwhile", 50 * s, 14 * s, func(w *world, _ int) { w.setIdleLimit(3, 30*s) }, 14 * s},
		{"agent restarted meanwhile", 50 * s, 14 * s, func(w *world, n int) {
			w.restartAgent(n).StatusCheck(w.now, StatusCheckResult{Answered: true, Instance: w.server(n).instance})
		}, 24 * s},
		{"balancers restarted meanwhile", 50 * s, 14 * s, func(w *world, _ int) {
			for b := range w.balancers {
				d := w.addBalancer(b)
				for n := range w.agents {
					d.AddAgent(w.now, n, listing, "a")
				}
			}
			w.setIdleLimit(3, 50*s)
		}, 31 * s},
	} {
		for name, via := range map[string]netip.AddrPort{"same balancer": balancerA, "other balancer": balancerB} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				w := newWorld(t, 2)
				w.setIdleLimit(2, c.limit)
				f := w.caller(1000, listingPort)
				f.open(balancerA, 0)
				f.request(balancerA)
				w.advance(c.pause)
				if c.event != nil {
					c.event(w, f.holders()[0])
				}
				w.advance(c.after)
				f.request(via)
				w.advance(s)
				if len(w.resets) > 0 || f.served() != 2 {
					t.Errorf("%d resets, %d requests of 2 served; server %v holds the flow", len(w.resets), f.served(), f.holders())
				}
			})
		}
	}
}

// Guards against a reset of an open flow whose entry was evicted from a full table, and against
// new flows that are refused because idle ones fill it.
func TestEvictedFlowIsNotReset(t *testing.T) {
	const maxFlows = 40
	w := newWorld(t, 1)
	w.gate(0).cfg.MaxFlows = maxFlows
	var callers []*testCaller
	for i := range 2 * maxFlows {
		f := w.caller(uint16(1000+i), listingPort)
		f.open(balancerA, 0)
		f.request(balancerA)
		w.advance(20 * time.Millisecond)
		callers = append(callers, f)
	}
	if g := w.gate(0); g.Stats().Refusals[ReasonOverflow] > 0 || len(g.flows) > maxFlows {
		t.Fatalf("%d offers refused, %d flows in a table of %d", g.Stats().Refusals[ReasonOverflow], len(g.flows), maxFlows)
	}
	w.advance(time.Second)
	for i, f := range callers {
		f.request([]netip.AddrPort{balancerA, balancerB}[i%2])
		w.advance(200 * time.Millisecond)
		if f.served() != 2 {
			t.Fatalf("flow %d: %d requests of 2 served", i, f.served())
		}
	}
	if len(w.resets) > 0 {
		t.Errorf("%d resets of flows that the server holds", len(w.resets))
	}
}

// Guards against a reset of a flow that the server goes on to use although its agent has no
// space to record it.
func TestFlowWithoutSpaceIsNotDenied(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing, MaxFlows: 1}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
	g.startRequest(now, g.addFlow(now, Key{CallerPort: 1}, gateOpen))
	s := Segment{Key: Key{CallerPort: 2}, Seq: 7, Ack: 9, HasAck: true, Data: 10}
	g.FromServer(now, s, []byte{1})
	if r := g.lookup(now, &Segment{Key: s.Key, Seq: 9, Ack: 17, HasAck: true}); r == FlowNotHeld {
		t.Error("the flow counts as not held right after a packet of the server")
	}
}

// Guards against a reset of an open flow after the maximum age of flows was raised: its entry
// was removed at the lower one.
func TestFlowOlderThanFormerMaximumAgeIsNotDenied(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing, MaxAge: 10 * time.Second}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
	key := Key{CallerPort: 1}
	g.addFlow(now, key, gateOpen)
	now = now.Add(12 * time.Second)
	g.Tick(now)
	g.SetLimits(now, time.Minute, 0, 0)
	now = now.Add(time.Second)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 14, Service: listing, Slots: 5})
	if r := g.lookup(now, &Segment{Key: key, HasAck: true}); r == FlowNotHeld {
		t.Error("the flow counts as not held")
	}
	now = now.Add(time.Minute)
	if r := g.lookup(now, &Segment{Key: key, HasAck: true}); r != FlowNotHeld {
		t.Errorf("%v after the new maximum age, want not held", r)
	}
}

// Guards against a server that looks loaded or full, and gets no new flows, because its agent's
// table has many idle flows whose callers may be gone.
func TestIdleFlowsAreNoLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
	idle := g.occupancy(now)
	for i := range DefaultGateFlows {
		g.addFlow(now, Key{CallerPort: uint16(i)}, gateOpen)
	}
	if got := g.occupancy(now); got != placement.Full {
		t.Fatalf("occupancy %d with every connection in use, want %d", got, placement.Full)
	}
	now = now.Add(idleAfter)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 2, Service: listing, Slots: 5})
	g.Tick(now)
	if got := g.occupancy(now); got != idle || len(g.flows) != DefaultGateFlows {
		t.Errorf("occupancy %d with %d idle flows, want %d as without flows", got, len(g.flows), idle)
	}
	s := Segment{Key: Key{CallerPort: 9, ServicePort: 1}, Seq: 5, Syn: true}
	g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing}, &s, []byte{1})
	if g.flows[s.Key] == nil || g.Stats().Refusals[ReasonOverflow] > 0 {
		t.Error("a new flow was refused because idle flows fill the table")
	}
}

// Guards against a table that fills with flows that never opened or that have ended, which stay
// as long as idle ones.
func TestUnopenedAndClosedFlowsLeaveTableSoon(t *testing.T) {
	for name, prepare := range map[string]func(g *Gate, f *gateFlow){
		"offered": func(_ *Gate, f *gateFlow) { f.state = gateOffered },
		"probed":  func(_ *Gate, f *gateFlow) { f.state = gateProbed },
		"closed":  func(_ *Gate, f *gateFlow) { f.callerClosed, f.serverClosed = true, true },
	} {
		now := time.Unix(1000, 0)
		g := NewGate(now, GateConfig{Service: listing}, nil)
		g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
		prepare(g, g.addFlow(now, Key{CallerPort: 1}, gateOpen))
		now = now.Add(endedLinger)
		g.Tick(now)
		if len(g.flows) > 0 || !g.complete(now) {
			t.Errorf("%s: %d flows in the table after %v, complete %v", name, len(g.flows), endedLinger, g.complete(now))
		}
	}
}

// Guards against callers of idle flows that are not notified that their server has ended
// because the flows reach their maximum age while the notices are spread.
func TestNoticesOfOldFlowsAreSent(t *testing.T) {
	const flows = 60
	w := newLostWorld(t, flows)
	w.setIdleLimit(2, 2*DefaultMaxAge)
	w.advance(DefaultMaxAge - 1500*time.Millisecond)
	w.start("i-new")
	w.watchResets(2 * time.Second)
	if len(w.resets) != flows {
		t.Errorf("%d of %d callers were notified within 2 s", len(w.resets), flows)
	}
}

// Guards against table entries of an ended server that keep its agent from reporting that no
// flow is held there, so that lookups wait for it.
func TestAbsentServerHoldsNoFlows(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
	for i, state := range []gateState{gateOffered, gateAnswered, gateOpen, gateProbed, gateLost} {
		g.addFlow(now, Key{CallerPort: uint16(i)}, state)
	}
	for range absentChecksNeeded {
		g.StatusCheck(now, StatusCheckResult{Absent: true})
	}
	if !g.holdsNoFlows(now) {
		t.Error("the agent reports that its server may hold flows")
	}
}

// heldFlow is a flow that the server of a removalRun holds.
type heldFlow struct {
	opener, first uint32
	openedAt      time.Time
	open          bool // the server has received the caller's confirmation
	callerFin     bool
	serverFin     bool
}

// removalRun is an agent with a small table and its server, which tells which flows it holds.
type removalRun struct {
	now      time.Time
	g        *Gate
	cfg      GateConfig
	held     map[Key]*heldFlow
	instance int
	beat     uint64
	port     uint16
}

func newRemovalRun() *removalRun {
	r := &removalRun{now: time.Unix(1000, 0), cfg: GateConfig{Service: listing, MaxFlows: 6}, held: map[Key]*heldFlow{}}
	r.g = NewGate(r.now, r.cfg, nil)
	r.heartbeat()
	return r
}

func (r *removalRun) heartbeat() {
	r.beat++
	r.g.Heartbeat(r.now, Heartbeat{Instance: fmt.Sprint("i-", r.instance), Sequence: r.beat, Service: listing, Slots: 50})
	r.collect()
}

// collect passes the agent's packets to the server and returns the server's reactions.
func (r *removalRun) collect() {
	for list := clone(r.g.Effects()); len(list) > 0; list = clone(r.g.Effects()) {
		for _, e := range list {
			if e.Kind == SendServer {
				r.receive(e.Packet)
			}
		}
	}
}

// Packets of a removalRun are the caller's port and one of these kinds.
const (
	packetFirst = iota
	packetConfirm
	packetRequest
	packetFin
)

func (r *removalRun) key(port uint16) Key { return Key{CallerPort: port, ServicePort: listingPort} }

func (r *removalRun) segment(port uint16, kind byte) Segment {
	s := Segment{Key: r.key(port), Seq: uint32(port)*1000 + 1, HasAck: true}
	if f := r.held[s.Key]; f != nil {
		s.Ack = f.first + 1
	}
	switch kind {
	case packetFirst:
		s.Seq, s.HasAck, s.Syn, s.Ack = uint32(port)*1000, false, true, 0
	case packetRequest:
		s.Data = 10
	case packetFin:
		s.Fin = true
	}
	return s
}

// send passes a caller's packet to the agent.
func (r *removalRun) send(kind MessageKind, port uint16, packet byte) {
	s := r.segment(port, packet)
	r.g.FromBalancer(r.now, balancerA, &Message{Kind: kind, Service: listing}, &s, []byte{byte(port >> 8), byte(port), packet})
	r.collect()
}

func (r *removalRun) fromServer(s Segment) {
	r.g.FromServer(r.now, s, []byte{0})
	r.collect()
}

// receive has the server process a packet.
func (r *removalRun) receive(packet []byte) {
	port, kind := uint16(packet[0])<<8|uint16(packet[1]), packet[2]
	s := r.segment(port, kind)
	f := r.held[s.Key]
	switch {
	case kind == packetFirst:
		if f == nil {
			f = &heldFlow{opener: s.Seq, first: uint32(port) * 5000, openedAt: r.now}
			r.held[s.Key] = f
		}
		r.fromServer(Segment{Key: s.Key, Seq: f.first, Ack: s.Seq + 1, Syn: true, HasAck: true})
		return
	case f == nil:
		s.Bounced = true
		r.fromServer(s)
		return
	}
	f.open = true
	switch kind {
	case packetRequest:
		r.fromServer(Segment{Key: s.Key, Seq: s.Ack, Ack: s.Seq + 10, HasAck: true, Data: 20})
	case packetFin:
		f.callerFin = true
	}
	r.endClosed(s.Key, f)
}

func (r *removalRun) endClosed(key Key, f *heldFlow) {
	if f.callerFin && f.serverFin {
		delete(r.held, key)
	}
}

// pause advances the time, with heartbeats each second.
func (r *removalRun) pause(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(time.Second, end.Sub(r.now)))
		r.heartbeat()
		r.g.Tick(r.now)
		r.collect()
	}
}

// Guards against an agent that answers that its server does not hold a flow which it holds,
// younger than the maximum age: after pauses, restarts, closes by one end, a full table, and
// changes of the maximum age, in any order.
func TestHeldFlowIsNeverDenied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRemovalRun()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			action := rapid.SampledFrom([]string{"open", "open", "open", "unconfirmed", "request", "request", "pause", "long pause", "caller closes", "server closes", "server forgets", "restart agent", "restart server", "maximum age"}).Draw(t, "action")
			port := uint16(1)
			if r.port > 0 {
				port = uint16(rapid.IntRange(1, int(r.port)).Draw(t, "port"))
			}
			f := r.held[r.key(port)]
			switch action {
			case "open", "unconfirmed":
				r.port++
				r.send(Open, r.port, packetFirst)
				if action == "open" && r.held[r.key(r.port)] != nil {
					r.send(Pass, r.port, packetConfirm)
				}
			case "request":
				r.send([]MessageKind{Pass, Lookup}[rapid.IntRange(0, 1).Draw(t, "kind")], port, packetRequest)
			case "pause":
				r.pause(time.Duration(rapid.IntRange(1, 30).Draw(t, "time")) * 100 * time.Millisecond)
			case "long pause":
				r.pause(time.Duration(rapid.IntRange(3, 65).Draw(t, "seconds")) * time.Second)
			case "caller closes":
				r.send(Pass, port, packetFin)
			case "server closes":
				if f != nil && f.open && !f.serverFin {
					f.serverFin = true
					r.fromServer(Segment{Key: r.key(port), Seq: f.first + 1, Ack: f.opener + 1, HasAck: true, Fin: true})
					r.endClosed(r.key(port), f)
				}
			case "server forgets":
				delete(r.held, r.key(port))
			case "restart agent":
				r.cfg.MaxAge = r.g.cfg.MaxAge
				r.g = NewGate(r.now, r.cfg, nil)
				r.g.StatusCheck(r.now, StatusCheckResult{Answered: true, Instance: fmt.Sprint("i-", r.instance)})
				r.beat++
				r.heartbeat()
			case "restart server":
				r.instance++
				r.beat, r.held = 0, map[Key]*heldFlow{}
				r.heartbeat()
			case "maximum age":
				r.g.SetLimits(r.now, time.Duration(rapid.IntRange(10, 90).Draw(t, "age"))*time.Second, 0, 0)
			}
			for key, f := range r.held {
				if !f.open || r.now.Sub(f.openedAt) >= r.g.cfg.MaxAge {
					continue
				}
				s := Segment{Key: key, Seq: f.opener + 1, Ack: f.first + 1, HasAck: true}
				if result := r.g.lookup(r.now, &s); result == FlowNotHeld || result == FlowLost {
					t.Fatalf("after %q: result %d for port %d, which the server holds", action, result, key.CallerPort)
				}
			}
			if len(r.g.flows) > r.cfg.MaxFlows {
				t.Fatalf("after %q: %d flows in a table of %d", action, len(r.g.flows), r.cfg.MaxFlows)
			}
		}
	})
}
