package flow

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against agents that are informed only by their next hello message, seconds later,
// that the store came back from an older copy, and check for their keys that late.
func TestAgentsGetHelloAfterStoreRestore(t *testing.T) {
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
	var receivers []netip.AddrPort
	for _, e := range d.Effects() {
		if e.Message.Kind == Hello && e.Message.Revision == 8 {
			receivers = append(receivers, e.To)
		}
	}
	if !slices.Equal(receivers, []netip.AddrPort{near}) {
		t.Errorf("hello messages to %v, want only the agent of the balancer's own zone", receivers)
	}
}

// Guards against a store restore that only an agent knows of: in an idle fleet, no
// balancer may call the store for a second.
func TestAgentReportsStoreRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	g.AddBalancer(now, netip.MustParseAddrPort("10.0.0.9:1"))
	g.Effects()
	const first = 1 << 44
	g.StoreRestored(now, first)
	now = now.Add(tickInterval)
	g.Tick(now)
	if !slices.ContainsFunc(g.Effects(), func(e Effect) bool { return e.Message.Kind == Report && e.Message.Revision == first }) {
		t.Error("no report carries the number of the first orders after it")
	}
}

// Guards against new flows to an agent that has started in an evacuated zone. Of two
// balancers one knows of the evacuation that the store lost, the other has started
// since, and both send orders of the same number.
func TestStartedAgentKeepsEvacuationLostByStore(t *testing.T) {
	const first, number = 100, 107
	knows := netip.MustParseAddrPort("10.0.0.8:1")
	started := netip.MustParseAddrPort("10.0.0.9:1")
	sendOrder := func(g *Gate, now time.Time, from netip.AddrPort, zone ZoneOrder) {
		g.FromBalancer(now, from, &Message{Kind: Hello, Revision: number, ZoneOrder: zone}, nil, nil)
	}
	for _, knowsFirst := range []bool{true, false} {
		now := time.Unix(1000, 0)
		g := NewGate(now, GateConfig{}, nil)
		g.StoreRestored(now, first)
		g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 1, Slots: 5})
		if knowsFirst {
			sendOrder(g, now, knows, ZoneUnconfirmed)
			sendOrder(g, now, started, ZoneInService)
		} else {
			sendOrder(g, now, started, ZoneInService)
			sendOrder(g, now, knows, ZoneUnconfirmed)
		}
		if got := g.State(now); got != ServerEvacuated {
			t.Errorf("knows first %v: state %v", knowsFirst, got)
		}
		now = now.Add(rewriteWindow)
		g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 2, Slots: 5})
		sendOrder(g, now, knows, ZoneInService)
		sendOrder(g, now, started, ZoneUnconfirmed)
		if got := g.State(now); got != ServerReady {
			t.Errorf("knows first %v: state %v after the rewrite window", knowsFirst, got)
		}
	}
}

// Guards against a zone that stays out of service although the operator does not write
// its evacuation again, and against a recently started balancer that puts an evacuated
// zone into service.
func TestBalancerKeepsEvacuationsDuringRewriteWindow(t *testing.T) {
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
		{"receives it from an agent before the orders", func(d *Director, now time.Time) {
			d.StoreRestored(now, first)
			d.FromAgent(now, netip.MustParseAddrPort("10.0.0.1:1"), &Message{Kind: Report, State: ServerEvacuated, Zone: zone}, nil, nil)
		}},
	} {
		now := time.Unix(1000, 0)
		d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
		c.do(d, now)
		d.SetOrders(now, NewOrders(number, NewRoutes(1, 0, nil), nil))
		if got := d.zoneOrder(zone); got != ZoneUnconfirmed {
			t.Errorf("%s: order %v after the store came back", c.name, got)
		}
		d.Tick(now.Add(rewriteWindow))
		if got := d.zoneOrder(zone); got != ZoneInService {
			t.Errorf("%s: order %v after the rewrite window", c.name, got)
		}
	}
}
