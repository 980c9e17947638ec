package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
)

// A balancer offers a new flow to an agent that has reported to it. The caller of the
// package carries out the effects.
func Example() {
	now := time.Now()
	service := netip.MustParseAddrPort("198.18.0.1:443")
	agent := netip.MustParseAddrPort("10.0.0.9:8172")

	d := flow.NewDirector(now, flow.DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(flow.NewRoutes(1, 15000, map[netip.AddrPort]flow.Route{service: {Name: "feed", Service: flow.IDOf("listing")}}))
	d.FromAgent(now, agent, &flow.Message{Kind: flow.Report, State: flow.ServerReady, Service: flow.IDOf("listing")}, nil, nil)

	first := flow.Segment{Syn: true, Seq: 7, Key: flow.Key{
		Caller: [4]byte{100, 64, 0, 7}, CallerPort: 40001, Service: [4]byte{198, 18, 0, 1}, ServicePort: 443,
	}}
	d.FromCaller(now, first, []byte("the packet"))
	for _, e := range d.Effects() {
		fmt.Println(e.Message.Kind, "to", e.To, string(e.Packet))
	}
	// Output: open to 10.0.0.9:8172 the packet
}
