package propagation_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/propagation"
)

// A process that starts reads the store. Another process receives its digest and fetches the
// value from it.
func Example() {
	now := time.Unix(1000, 0)
	first := propagation.New(rand.New(rand.NewPCG(1, 1)))
	second := propagation.New(rand.New(rand.NewPCG(1, 2)))

	call := first.StoreCall(now)
	first.CallStarted(now, call)
	first.Applied(now, 7) // the revision that the store answered
	first.CallDone(now, call, now, propagation.Answered)

	if digest, ok := first.NextDigest(now); ok {
		second.Receive(now, netip.MustParseAddrPort("10.1.0.7:7720"), digest)
	}
	from, ok := second.Fetch(now)
	fmt.Println(call == propagation.Read, from, ok)
	// Output: true 10.1.0.7:7720 true
}
