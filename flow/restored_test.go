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
	d.Introduce(now, near, 1, "a")
	d.Introduce(now, far, 1, "b")
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
	g.Introduce(now, netip.MustParseAddrPort("10.0.0.9:1"))
	g.Effects()
	const first = 1 << 44
	g.StoreRestored(now, first)
	now = now.Add(ReportEvery)
	g.Tick(now)
	if !slices.ContainsFunc(g.Effects(), func(e Effect) bool { return e.Message.Kind == Report && e.Message.Revision == first }) {
		t.Error("no report tells of it")
	}
}
