package balancer

import (
	"net/netip"
	"testing"

	"github.com/hemlockscale/hemlockscale/membership"
)

// Guards against new flows of a service that are sent to an agent of another service, which
// drops them, so that a share of the service's new callers get no connection. An agent's VM
// is replaced, an agent of another service gets its address, and the old record is never
// removed: the old service's table must not keep the address.
func TestAddressTakenOverByAnotherService(t *testing.T) {
	const records, listing = 1, 2
	p := newPlacer("zone-a")
	shared, own := netip.MustParseAddrPort("10.0.0.1:7700"), netip.MustParseAddrPort("10.0.0.2:7700")
	place := func(addr netip.AddrPort, service uint32, takesWork bool) {
		t.Helper()
		r := membership.Record{Addr: addr, Role: membership.RoleAgent, Service: service, Weight: 255, Zone: "zone-a"}
		if err := p.set(&r, takesWork); err != nil {
			t.Fatal(err)
		}
	}
	place(shared, records, true)
	place(own, records, true)
	place(shared, listing, true)
	var c Choice
	for id := range byte(64) {
		if !p.Choose(records, []byte{id, 1, 2, 3, 4, 5, 6, 7}, &c) || c.Primary != own || c.HasAlternate {
			t.Fatalf("new flow of records was placed at %+v", c)
		}
		if !p.Choose(listing, []byte{id, 1, 2, 3, 4, 5, 6, 7}, &c) || c.Primary != shared {
			t.Fatalf("new flow of listing was placed at %+v", c)
		}
	}
	place(shared, records, true)
	place(shared, records, false)
	if p.Choose(listing, []byte{1, 1, 2, 3, 4, 5, 6, 7}, &c) {
		t.Fatalf("new flow of listing, which has no agent left, was placed at %+v", c)
	}
}
