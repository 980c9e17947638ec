package membership_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// One balancer and one agent. The example carries the messages between them.
func Example() {
	now := time.Unix(1_000_000, 0)
	balancer := netip.MustParseAddrPort("10.0.0.1:7000")
	agent := netip.MustParseAddrPort("10.0.1.1:7000")
	m, err := membership.NewMachine(membership.Config{Self: membership.Record{
		Addr: balancer, Role: membership.RoleBalancer, State: membership.StateReady,
		Incarnation: 1, Zone: "etimesgut-a", Region: "ankara",
	}})
	if err != nil {
		panic(err)
	}
	a, err := membership.NewAnnouncer(membership.AnnouncerConfig{
		Self: membership.Record{
			Addr: agent, Role: membership.RoleAgent, State: membership.StateReady, Weight: 100,
			Service: 3, Incarnation: 1, Zone: "etimesgut-a", Region: "ankara",
		},
		Seeds: []netip.AddrPort{balancer},
	})
	if err != nil {
		panic(err)
	}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		a.Tick(now)
		for _, e := range a.Outbox() {
			m.Receive(now, agent, e.Msg)
		}
		m.Tick(now)
		for _, e := range m.Outbox() {
			a.Receive(now, balancer, e.Msg)
		}
	}
	for rec := range m.ReadyAgents(3) {
		fmt.Println(rec.Addr, rec.State)
	}
	// Output: 10.0.1.1:7000 ready
}
