package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/idempotency"
)

// A service with a single agent, which is the only voter on its keys.
func Example() {
	var cfg idempotency.Config
	now := time.Unix(0, 0)
	self := netip.MustParseAddrPort("127.0.0.1:7000")
	list := idempotency.VoterList{Live: []netip.AddrPort{self}, Complete: true}

	voter := idempotency.NewVoter(self, cfg)
	electorate := idempotency.NewElectorate(now, cfg)
	requester := idempotency.NewRequester(self, 1, electorate, cfg, rand.New(rand.NewPCG(1, 2)))
	voter.Update(now, list)
	electorate.Update(now, list)

	now = now.Add(cfg.Fence()) // the voter has recently started and is fenced until now
	voter.Confirm(now)
	electorate.Confirm(now)
	handle := func() {
		for _, e := range requester.Effects(nil) {
			switch e.Kind {
			case idempotency.SendClaim: // over the network, if e.To isn't self
				requester.Receive(now, self, voter.Claim(now, e.Claim))
			case idempotency.SendReport:
				voter.Report(now, e.Report)
			default:
				fmt.Println(e.ID, e.Kind, e.Status)
			}
		}
	}
	key := idempotency.KeyOf(7, "kanatpar", "reserve-4711")
	requester.Begin(now, 1, key)
	handle() // receives the votes
	handle()
	fmt.Println("start", requester.Start(now, 1))
	requester.Finish(now, 1, idempotency.Done, 201)
	handle()

	requester.Begin(now.Add(time.Second), 2, key) // the caller repeats the request
	handle()
	handle()
	// Output:
	// 1 run 0
	// start true
	// 2 duplicate 201
}
