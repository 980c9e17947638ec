package packets

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Guards against a partitioned balancer that stays in rotation, so that its callers get no
// response although other balancers could serve them. The balancer is cut off from every other
// process, in both directions or only in what it sends, but routers still reach it.
func TestCutOffBalancerLeavesRotation(t *testing.T) {
	for _, c := range []struct {
		name string
		both bool
	}{{"both ways", true}, {"what it sends", false}} {
		t.Run(c.name, func(t *testing.T) {
			d := startOnSimNet(t, 1, 3, "listing", "listing", "records")
			d.serve(3, 3, "listing", "records")
			lost := d.balancers[0].addr
			d.simNet.SetFault(func(from, to netip.Addr) platform.NetworkFault {
				return platform.NetworkFault{Cut: from == lost || c.both && to == lost}
			})
			stop := d.startRequests("listing", "records")
			d.await("the balancer is out of rotation", func() bool { return d.router.Ready() == 2 })
			d.serve(3, 3, "listing", "records")
			d.simNet.SetFault(func(_, _ netip.Addr) platform.NetworkFault { return platform.NetworkFault{} })
			d.await("the balancer is in rotation again", func() bool { return d.router.Ready() == 3 })
			stop()
			d.serve(3, 3, "listing", "records")
		})
	}
}

// startRequests has callers send requests until stop is called, whether or not the requests are
// answered.
func (d *deployment) startRequests(services ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			c := d.caller(200 + i%20)
			callCtx, end := context.WithTimeout(ctx, 200*time.Millisecond)
			d.call(callCtx, c, services[i%len(services)], false, 100)
			end()
			c.Close()
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against flows that break and requests that run twice because a lost or late response
// is taken for the response to another message. A part of the datagrams between processes is
// lost, duplicated or reordered while flows are in use and balancers restart in turn.
func TestPacketLossDuplicationAndReordering(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platform.NetworkFault
	}{
		{"lost", platform.NetworkFault{Loss: 0.05}},
		{"twice", platform.NetworkFault{Duplicate: 0.3}},
		{"overtaken", platform.NetworkFault{Jitter: 30 * time.Millisecond, Duplicate: 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startOnSimNet(t, 2, 3, "listing", "listing", "records")
			d.simNet.SetFault(func(_, _ netip.Addr) platform.NetworkFault { return c.fault })
			stop := d.startRequests("listing", "records")
			for _, b := range d.balancers {
				b.process.Terminate()
				if err := b.process.Wait(waitLimit); err != nil {
					t.Fatalf("stop: %v", err)
				}
				b.startProcess()
				d.await("the balancer is in rotation again", func() bool { return d.router.Ready() == 3 })
			}
			stop()
			d.serve(3, 5, "listing", "records")
		})
	}
}
