package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// splitRoutes returns routes that split the flows of listing with the given weights between
// listing and records.
func splitRoutes(revision uint64, own, other int64) *Routes {
	r := Route{Name: "feed", Service: listing, Priority: 2, Target: 200 * time.Millisecond, Timeout: 1200 * time.Millisecond}
	if own+other > 0 {
		r.Split = []Share{{listing, own}, {records, other}}
	}
	return NewRoutes(revision, testIdle, map[netip.AddrPort]Route{serviceAddr(listingPort): r})
}

// newSplitWorld returns a world with agents of listing and records, in which nearly all flows
// belong to listing.
func newSplitWorld(t *testing.T, own, other int) *world {
	t.Helper()
	w := newWorld(t, own)
	for n := range other {
		w.addAgent(own+n, records)
	}
	for _, d := range w.balancers {
		d.SetRoutes(splitRoutes(2, 1<<20, 1))
	}
	w.advance(time.Second)
	return w
}

// fill gives the first n servers as many requests in progress as they may get, for long enough
// that their agents report it.
func (w *world) fill(n int) {
	for i := range n {
		g := w.gate(i)
		for port := range g.requestCapacity() {
			g.startRequest(w.now, g.addFlow(w.now, Key{CallerPort: uint16(60000 + port)}, gateOpen))
		}
		w.refresh(i)
	}
	w.advance(time.Second)
	for i := range n {
		w.refresh(i)
	}
}

// refresh has an agent report its load to all balancers.
func (w *world) refresh(n int) {
	w.gate(n).report(w.now, true)
	w.deliver()
}

// newSplitRun returns a run in which nearly all flows belong to four servers of listing, and
// two servers of records get the rest.
func newSplitRun(t *testing.T, seed uint64, split bool) *loadRun {
	r := newLoadRun(t, 6, seed)
	for n := 4; n < 6; n++ {
		g := NewGate(r.w.now, GateConfig{Zone: "a", Incarnation: uint64(n) + 2000, Service: records}, nil)
		r.w.agents[agentAddr(n)].gate = g
		g.Heartbeat(r.w.now, Heartbeat{Instance: r.w.server(n).instance, Sequence: 5, Service: records, Slots: loadSlots})
		for _, b := range inOrder(r.w.balancers) {
			g.AddBalancer(r.w.now, b)
		}
	}
	for _, d := range r.w.balancers {
		if split {
			d.SetRoutes(splitRoutes(2, 1<<20, 1))
		} else {
			d.SetRoutes(splitRoutes(2, 0, 0))
		}
	}
	r.w.deliver()
	return r
}

// spilled returns the number of flows that the balancers spilled.
func (w *world) spilled() (n uint64) {
	for _, d := range w.balancers {
		n += d.Stats().Spilled
	}
	return n
}

// splitOutcome returns the sums of runs with several seeds.
func splitOutcome(t *testing.T, perSecond int, split bool) (inTime, sent int, spilled uint64) {
	for seed := range uint64(4) {
		r := newSplitRun(t, seed, split)
		r.addNewRequests(perSecond, 2*time.Second)
		r.run(3500 * time.Millisecond)
		inTime, sent, spilled = inTime+r.inTime, sent+r.requestsSent, spilled+r.w.spilled()
	}
	return inTime, sent, spilled
}

// Guards against late answers and refusals at a full service of a split while the servers of
// the other one are idle.
func TestFullServiceSpillsToIdleOneOfItsSplit(t *testing.T) {
	without, _, _ := splitOutcome(t, 450, false)
	with, sent, spilled := splitOutcome(t, 450, true)
	t.Logf("%d of %d in time without a split, %d with one, %d spilled", without, sent, with, spilled)
	if with < sent*9/10 || spilled == 0 {
		t.Errorf("%d of %d answers in time, %d without a split; %d flows spilled", with, sent, without, spilled)
	}
}

// Guards against flows that leave the service that the operator's weights chose for them
// while it has capacity.
func TestNoFlowSpillsUnderUsualLoad(t *testing.T) {
	inTime, sent, spilled := splitOutcome(t, 150, true)
	if spilled > 0 || inTime < sent*95/100 {
		t.Errorf("%d flows spilled, %d of %d answers in time", spilled, inTime, sent)
	}
}

// Guards against a spill past an agent of the flow's own service that reports free slots,
// after three others have refused the flow.
func TestOwnFreeAgentComesBeforeSpill(t *testing.T) {
	w := newSplitWorld(t, 5, 1)
	w.fill(4)
	for n := range 4 {
		// Reported loads are older than the servers' state: the full ones look idle.
		for _, d := range w.balancers {
			d.load.Report(agentAddr(n), 0, w.now)
		}
	}
	w.refresh(4)
	w.refresh(5)
	c := w.caller(2000, listingPort)
	c.open(balancerA, 0)
	if h := c.holders(); len(h) != 1 || h[0] != 4 || w.spilled() != 0 {
		t.Errorf("held by %v, %d spilled, want agent 4 and none", h, w.spilled())
	}
}

// Guards against flows that are offered to other services again and again: the other
// service's agent reports free slots and refuses, so the flow waits at its own service.
func TestSpillIsOfferedOnceAndWithoutWait(t *testing.T) {
	w := newSplitWorld(t, 2, 2)
	w.fill(4)
	offers := 0
	for _, d := range w.balancers {
		for n := 2; n < 4; n++ {
			d.load.Report(agentAddr(n), 0, w.now)
		}
	}
	c := w.caller(2000, listingPort)
	s := Segment{Key: c.key, Seq: c.seq, Syn: true}
	d := w.balancers[balancerA]
	d.FromCaller(w.now, s, w.packet(s))
	for range 20 {
		for _, e := range clone(d.Effects()) {
			if e.Kind == SendMessage && e.Message.Kind == Open && e.Message.Service == records {
				offers++
				if e.Message.Wait != 0 {
					t.Error("a flow was permitted to wait at another service")
				}
			}
			w.carry(balancerA, e)
		}
		for n := range 4 {
			for _, e := range clone(w.gate(n).Effects()) {
				w.carryFromAgent(agentAddr(n), w.agents[agentAddr(n)], e)
			}
		}
	}
	e := d.flows[c.key]
	if offers != 1 || e == nil || !e.open.mayWait || e.agent == agentAddr(2) || e.agent == agentAddr(3) {
		t.Fatalf("%d offers to the other service, entry %+v; want one offer, then a wait at the own service", offers, e)
	}
	w.gate(int(e.agent.Addr().As4()[3])-100).removeFlow(Key{CallerPort: 60000}, RemovedClosed)
	w.advance(40 * time.Millisecond)
	if h := c.holders(); len(h) != 1 || h[0] > 1 || w.spilled() != 0 {
		t.Errorf("held by %v, %d spilled; want an agent of the own service and none", h, w.spilled())
	}
}

// Guards against a flow that is lost with the agent that it was spilled to: the agent does not
// answer, so the flow waits at its own service.
func TestFlowGoesOnWhenSpillAgentDoesNotAnswer(t *testing.T) {
	w := newSplitWorld(t, 2, 1)
	w.fill(2)
	w.refresh(2)
	w.drops = func(_, to netip.AddrPort) bool { return to == agentAddr(2) }
	c := w.caller(2000, listingPort)
	c.open(balancerA, 0)
	w.now = w.now.Add(DefaultOpenTimeout)
	w.tick()
	e := w.balancers[balancerA].flows[c.key]
	if e == nil || e.state != entryOpening || !e.open.mayWait || e.agent == agentAddr(2) {
		t.Errorf("entry %+v; want a wait at the own service", e)
	}
}

// Guards against a spill by a split that the operator has removed, or whose other service has
// been given weight 0 or replaced, while the flow was being offered.
func TestSpillEndsWithItsConfiguration(t *testing.T) {
	for name, routes := range map[string]*Routes{
		"split removed":    splitRoutes(3, 0, 0),
		"weight 0":         splitRoutes(3, 1, 0),
		"own service gone": NewRoutes(3, testIdle, map[netip.AddrPort]Route{serviceAddr(listingPort): {Service: records, Split: []Share{{records, 1}, {IDOf("third"), 1}}}}),
		"route gone":       NewRoutes(3, testIdle, nil),
	} {
		w := newSplitWorld(t, 2, 1)
		w.fill(2)
		w.refresh(2)
		c := w.caller(2000, listingPort)
		s := Segment{Key: c.key, Seq: c.seq, Syn: true}
		w.balancers[balancerA].FromCaller(w.now, s, w.packet(s)) // offered, not delivered yet
		w.balancers[balancerA].SetRoutes(routes)
		w.deliver()
		if h := c.holders(); len(h) != 0 || w.spilled() != 0 {
			t.Errorf("%s: held by %v, %d spilled, want none", name, h, w.spilled())
		}
	}
}

// Guards against a service with weight 0, or a negative one, that gets spilled flows.
func TestNoSpillToServiceOfWeightZero(t *testing.T) {
	for _, weight := range []int64{0, -1, -1 << 63} {
		w := newSplitWorld(t, 2, 1)
		r := splitRoutes(3, 1, 1)
		route := r.byAddr[serviceAddr(listingPort)]
		route.Split[1].Weight = weight
		w.balancers[balancerA].SetRoutes(r)
		w.fill(2)
		w.refresh(2)
		c := w.caller(2000, listingPort)
		c.open(balancerA, 0)
		if h := c.holders(); len(h) != 0 {
			t.Errorf("weight %d: held by %v", weight, h)
		}
	}
}

// Guards against a spill to a region that the route does not name, to a service that is
// unknown, and to an agent that no longer reports its load.
func TestNoSpillWithoutUsableAgent(t *testing.T) {
	for name, prepare := range map[string]func(w *world, r *Route){
		"other region":    func(_ *world, r *Route) { r.Regions = []uint32{ZoneID("elsewhere")} },
		"unknown service": func(_ *world, r *Route) { r.Split[1].Service = IDOf("unknown") },
		"old report":      func(w *world, _ *Route) { w.now = w.now.Add(4 * time.Second) },
		"draining":        func(w *world, _ *Route) { w.heartbeat(2, 9, true) },
	} {
		w := newSplitWorld(t, 2, 1)
		w.fill(2)
		w.refresh(2)
		r := splitRoutes(3, 1<<20, 1)
		route := r.byAddr[serviceAddr(listingPort)]
		prepare(w, &route)
		r.byAddr[serviceAddr(listingPort)] = route
		w.balancers[balancerA].SetRoutes(r)
		c := w.caller(2000, listingPort)
		c.open(balancerA, 0)
		if n := w.server(2).flows[c.key]; n != nil {
			t.Errorf("%s: the flow was spilled", name)
		}
	}
}

// spillFlow opens a flow that is spilled from the first servers, which are full, to another one.
func spillFlow(t *testing.T, w *world, other int) *testCaller {
	t.Helper()
	w.fill(other)
	w.refresh(other)
	c := w.caller(2000, listingPort)
	c.open(balancerA, 0)
	if h := c.holders(); len(h) != 1 || h[0] != other || w.spilled() != 1 {
		t.Fatalf("held by %v, %d spilled", h, w.spilled())
	}
	return c
}

// Guards against a copy of a spilled flow's first packet that opens the flow at a second
// server, or is refused by the holder because the copy names the flow's own service.
func TestCopyOfSpilledFlowReachesItsHolder(t *testing.T) {
	for name, restart := range map[string]bool{"same agent": false, "agent restarted": true} {
		w := newSplitWorld(t, 2, 1)
		c := spillFlow(t, w, 2)
		if restart {
			g := NewGate(w.now, GateConfig{Zone: "a", Incarnation: 99, Service: records}, nil)
			w.agents[agentAddr(2)].gate = g
			w.heartbeat(2, w.server(2).sequence+1, false)
		}
		answers := len(w.toCaller)
		c.open(balancerA, 1)
		if h := c.holders(); len(h) != 1 || h[0] != 2 || len(w.toCaller) != answers+1 {
			t.Errorf("%s: held by %v, %d further answers", name, h, len(w.toCaller)-answers)
		}
		c.request(balancerA)
		if c.served() != 1 {
			t.Errorf("%s: %d answers", name, c.served())
		}
	}
}

// Guards against a copy of a spilled flow's first packet that an agent accepts whose address
// has been given to a service outside the split.
func TestCopyIsNotAcceptedOutsideTheSplit(t *testing.T) {
	w := newSplitWorld(t, 2, 1)
	c := spillFlow(t, w, 2)
	third := IDOf("third")
	w.agents[agentAddr(2)].gate = NewGate(w.now, GateConfig{Zone: "a", Incarnation: 99, Service: third}, nil)
	w.server(2).flows = map[Key]*serverFlow{}
	w.heartbeat(2, 1, false)
	for b := range w.balancers {
		w.gate(2).AddBalancer(w.now, b)
	}
	w.deliver()
	c.open(balancerA, 1)
	if len(w.server(2).flows) != 0 {
		t.Error("a server of a service outside the split received the first packet")
	}
}

// Guards against a spilled flow that is not found by a balancer that does not know it, or
// that is reset because the agents of its own service do not hold it. With more than
// queryAllLimit agents those of the own service are queried first.
func TestSpilledFlowIsFound(t *testing.T) {
	for _, own := range []int{2, 18} {
		w := newSplitWorld(t, own, 1)
		w.balancers[balancerA].AddBalancer(balancerB)
		w.balancers[balancerB].AddBalancer(balancerA)
		c := spillFlow(t, w, own)
		c.request(balancerB)
		w.advance(time.Second)
		if c.served() != 1 || len(w.resets) != 0 {
			t.Errorf("%d agents: %d answers, %d resets", own+1, c.served(), len(w.resets))
		}
		w.balancers[balancerA].SetRoutes(splitRoutes(3, 0, 0)) // the flow stays open without the split
		c.send(balancerA, Segment{Seq: c.seq + 51, Ack: w.server(own).flows[c.key].first + 101, HasAck: true, Data: 50})
		w.advance(time.Second)
		if c.served() != 2 || len(w.resets) != 0 {
			t.Errorf("%d agents, split removed: %d answers, %d resets", own+1, c.served(), len(w.resets))
		}
	}
}

// Guards against a caller that is not notified of the end of its spilled flow: capacity for
// its next one is reserved at the service of the route, not at that of the holder.
func TestCallerOfEndedSpilledFlowIsReset(t *testing.T) {
	w := newSplitWorld(t, 2, 1)
	c := spillFlow(t, w, 2)
	c.request(balancerA)
	v := w.server(2)
	v.instance, v.flows = "i-new", map[Key]*serverFlow{}
	w.heartbeat(2, 1, false)
	for n := range 2 {
		w.gate(n).removeFlow(Key{CallerPort: 60000}, RemovedClosed)
		w.refresh(n)
	}
	c.request(balancerA)
	w.advance(2 * time.Second)
	if len(w.resets) != 1 {
		t.Errorf("%d resets, want one", len(w.resets))
	}
}

// Guards against weights that overflow, or that are negative, and then choose a service
// that has no share or cause a panic.
func TestServiceForExtremeWeights(t *testing.T) {
	w := &world{t: t}
	for _, weights := range [][2]int64{{1 << 31, 1 << 31}, {1 << 62, 1 << 62}, {1<<63 - 1, 1}, {-1 << 63, 1}, {-5, 5}, {0, 1}, {0, 0}, {-1, -1}} {
		r := Route{Service: IDOf("fallback"), Split: []Share{{listing, weights[0]}, {records, weights[1]}}}
		counts := map[ServiceID]int{}
		for port := range uint16(1000) {
			counts[r.ServiceFor(w.caller(port, listingPort).key)]++
		}
		shares := 0
		for i, id := range []ServiceID{listing, records} {
			if weights[i] > 0 {
				shares++
			} else if counts[id] > 0 {
				t.Errorf("%v: %d flows for a service without a share", weights, counts[id])
			}
		}
		if fallback := counts[r.Service]; (fallback > 0) != (shares == 0) {
			t.Errorf("%v: %d flows for the route's own service", weights, fallback)
		}
		if weights[0] == weights[1] && shares == 2 && (counts[listing] < 400 || counts[records] < 400) {
			t.Errorf("%v: uneven: %s", weights, fmt.Sprint(counts))
		}
	}
}
