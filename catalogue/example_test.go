package catalogue_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Two replicas exchange messages and converge after an edit.
func ExampleReplica() {
	file, err := catalogue.Parse([]byte(`
entries:
  - service: listing
    owner: kanatpar
    addresses: [10.0.0.1]
    class: stream
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(0, 0)
	edit := catalogue.Edit{Editor: "ayse", Put: file.Entries}
	changes, err := catalogue.New().Plan(edit, catalogue.NewEditID(0), now)
	if err != nil {
		fmt.Println(err)
		return
	}

	a, b := netip.MustParseAddrPort("10.1.0.1:7000"), netip.MustParseAddrPort("10.1.0.2:7000")
	one := catalogue.NewReplica(catalogue.ReplicaConfig{Peers: func(int) []netip.AddrPort { return []netip.AddrPort{b} }})
	two := catalogue.NewReplica(catalogue.ReplicaConfig{Peers: func(int) []netip.AddrPort { return []netip.AddrPort{a} }})

	if err := one.ReceiveLoad(now, catalogue.Bulk{Changes: changes}); err != nil {
		fmt.Println(err)
		return
	}
	for _, p := range one.Outgoing() {
		two.Receive(now, a, p.Message)
	}
	fmt.Println(two.Digest().Revision, two.Table().Number([4]byte{10, 0, 0, 1}))
	// Output: 1 1
}
