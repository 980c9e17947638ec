package flow

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against agents that hear with their next greeting only, seconds later, that the
// store came back from an older copy, and look for their keys as late.
func TestAgentsAreGreetedOnceTheStoreCameBack(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	near, far := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	d.AddAgent(now, near, 1, "a")
	d.AddAgent(now, far, 1, "b")
	d.Tick(now)
	d.Effects()
	now = now.Add(10 * time.Millisecond)
	d.StoreRestored(now, 7)
	d.SetOrders(now, NewOrders(8, NewRoutes(1, 0, nil), nil))
	d.Tick(now)
	var greeted []netip.AddrPort
	for _, e := range d.Effects() {
		if e.Message.Kind == Hello && e.Message.Revision == 8 {
			greeted = append(greeted, e.To)
		}
	}
	if !slices.Equal(greeted, []netip.AddrPort{near}) {
		t.Errorf("greeted %v, want the agent of the own zone", greeted)
	}
}

// Guards against a return of the store that an agent alone has heard of: in an idle fleet no
// balancer may call the store for a second.
func TestAgentTellsThatTheStoreCameBack(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	g.AddBalancer(now, netip.MustParseAddrPort("10.0.0.9:1"))
	g.Effects()
	const first = 1 << 44
	g.StoreRestored(now, first)
	now = now.Add(ReportEvery)
	g.Tick(now)
	if !slices.ContainsFunc(g.Effects(), func(e Effect) bool { return e.Message.Kind == Report && e.Message.Revision == first }) {
		t.Error("no report tells of it")
	}
}

// Guards against new flows to an agent that has started in an evacuated zone: of two balancers
// one knows of the evacuation that the store lost, one has started since, and both speak
// under one number.
func TestStartedAgentKeepsToTheEvacuationThatTheStoreLost(t *testing.T) {
	const first, number = 100, 107
	knows := netip.MustParseAddrPort("10.0.0.8:1")
	started := netip.MustParseAddrPort("10.0.0.9:1")
	tell := func(g *Gate, now time.Time, from netip.AddrPort, zone ZoneOrder) {
		g.FromBalancer(now, from, &Message{Kind: Hello, Revision: number, ZoneOrder: zone}, nil, nil)
	}
	for _, knowsFirst := range []bool{true, false} {
		now := time.Unix(1000, 0)
		g := NewGate(now, GateConfig{}, nil)
		g.StoreRestored(now, first)
		g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 1, Slots: 5})
		if knowsFirst {
			tell(g, now, knows, ZoneUnconfirmed)
			tell(g, now, started, ZoneInService)
		} else {
			tell(g, now, started, ZoneInService)
			tell(g, now, knows, ZoneUnconfirmed)
		}
		if got := g.State(now); got != ServerEvacuated {
			t.Errorf("knows first %v: state %v", knowsFirst, got)
		}
		now = now.Add(rewriteTime)
		g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 2, Slots: 5})
		tell(g, now, knows, ZoneInService)
		tell(g, now, started, ZoneUnconfirmed)
		if got := g.State(now); got != ServerReady {
			t.Errorf("knows first %v: state %v once the operator has had its time", knowsFirst, got)
		}
	}
}

// Guards against a zone that stays out of service although the operator does not write its
// evacuation again, and against one that a balancer which has started puts into service.
func TestBalancerKeepsEvacuationsUntilTheOperatorHasHadItsTime(t *testing.T) {
	const first, number = 100, 107
	zone := ZoneID("b")
	for _, c := range []struct {
		name string
		do   func(d *Director, now time.Time)
	}{
		{"knew the evacuation", func(d *Director, now time.Time) {
			d.SetOrders(now, NewOrders(50, NewRoutes(1, 0, nil), []string{"b"}))
			d.StoreRestored(now, first)
		}},
		{"learns it from an agent before the orders", func(d *Director, now time.Time) {
			d.StoreRestored(now, first)
			d.FromAgent(now, netip.MustParseAddrPort("10.0.0.1:1"), &Message{Kind: Report, State: ServerEvacuated, Zone: zone}, nil, nil)
		}},
	} {
		now := time.Unix(1000, 0)
		d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
		c.do(d, now)
		d.SetOrders(now, NewOrders(number, NewRoutes(1, 0, nil), nil))
		if got := d.zoneOrder(zone); got != ZoneUnconfirmed {
			t.Errorf("%s: order %v after the store's return", c.name, got)
		}
		d.Tick(now.Add(rewriteTime))
		if got := d.zoneOrder(zone); got != ZoneInService {
			t.Errorf("%s: order %v once the operator has had its time", c.name, got)
		}
	}
}
