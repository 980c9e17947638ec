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
	roster := idempotency.MemberList{Live: []netip.AddrPort{self}, Complete: true}

	home := idempotency.NewVoter(self, cfg)
	elect := idempotency.NewElectorate(now, cfg)
	req := idempotency.NewRequester(self, 1, elect, cfg, rand.New(rand.NewPCG(1, 2)))
	home.Update(now, roster)
	elect.Update(now, roster)

	now = now.Add(cfg.Fence()) // the voter has recently started and is fenced until now
	home.Confirm(now)
	elect.Confirm(now)
	handle := func() {
		for _, e := range req.Effects(nil) {
			switch e.Kind {
			case idempotency.SendClaim: // over the network, if e.To isn't self
				req.Receive(now, self, home.Claim(now, e.Claim))
			case idempotency.SendReport:
				home.Report(now, e.Report)
			default:
				fmt.Println(e.ID, e.Kind, e.Status)
			}
		}
	}
	key := idempotency.KeyOf(7, "kanatpar", "reserve-4711")
	req.Begin(now, 1, key)
	handle() // receives the votes
	handle()
	fmt.Println("start", req.Start(now, 1))
	req.Finish(now, 1, idempotency.Done, 201)
	handle()

	req.Begin(now.Add(time.Second), 2, key) // the caller repeats the request
	handle()
	handle()
	// Output:
	// 1 run 0
	// start true
	// 2 duplicate 201
}
