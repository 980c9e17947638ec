package placement_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

// A balancer chooses two agents for a new flow; the primary forwards the flow,
// because it is busier than the alternate.
func Example() {
	agents := []placement.Agent{
		{Addr: netip.MustParseAddrPort("10.0.0.1:4000"), Zone: "a", Weight: placement.FullWeight},
		{Addr: netip.MustParseAddrPort("10.0.0.2:4000"), Zone: "b", Weight: placement.FullWeight},
	}
	table, err := placement.NewTable(placement.Config{Zone: "a"}, agents)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(1_700_000_000, 0)
	load := placement.NewLoad(len(agents), placement.LoadOptions{})
	for _, a := range agents {
		load.Report(a.Addr, 0, now)
	}

	cid := []byte("caller's first ID")
	choice, _ := table.Choose(cid, load, now)

	busy := placement.Usage{SlotsBusy: 5, Slots: 5, Queue: 3, Connections: 9, MaxConnections: 2000}
	decider := placement.NewDecider(1, placement.DeciderOptions{})
	decision := decider.Decide(now, cid, busy.Occupancy(), choice.Alternate, choice.HasAlternate)
	fmt.Println(decision.Forward, decision.To == choice.Alternate.Addr)
	// Output: true true
}
