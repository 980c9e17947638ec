package packets

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Symptom: callers of one balancer get nothing for as long as it is cut off,
// although others could serve them.
// Sequence: a balancer is cut off from every other process, in both directions
// or only in what it sends; routers still reach it. The cut heals.
// Cause: it goes on saying that it takes packets.
func TestCutOffBalancerLeavesRotation(t *testing.T) {
	for _, c := range []struct {
		name string
		both bool
	}{{"both ways", true}, {"what it sends", false}} {
		t.Run(c.name, func(t *testing.T) {
			d := startWired(t, 1, 3, "listing", "listing", "records")
			d.serve(3, 3, "listing", "records")
			lost := d.balancers[0].addr
			d.wire.SetFault(func(from, to netip.Addr) platform.NetworkFault {
				return platform.NetworkFault{Cut: from == lost || c.both && to == lost}
			})
			stop := d.calling("listing", "records")
			d.await("the balancer is out of rotation", func() bool { return d.router.Ready() == 2 })
			d.serve(3, 3, "listing", "records")
			d.wire.SetFault(func(_, _ netip.Addr) platform.NetworkFault { return platform.NetworkFault{} })
			d.await("the balancer is back", func() bool { return d.router.Ready() == 3 })
			stop()
			d.serve(3, 3, "listing", "records")
		})
	}
}

// calling has callers make requests until stop is called, whether they are
// answered or not.
func (d *deployment) calling(services ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil; i++ {
			c := d.caller(200 + i%20)
			one, end := context.WithTimeout(ctx, 200*time.Millisecond)
			d.call(one, c, services[i%len(services)], false, 100)
			end()
			c.Close()
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// Symptom: an open flow breaks, or a request is worked on twice.
// Sequence: of the datagrams between processes a part is lost, comes twice, or is
// overtaken, while flows are in use and balancers are rolled.
// Cause: an answer that is lost or late is taken for the answer to something
// else.
func TestBadWire(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platform.NetworkFault
	}{
		{"lost", platform.NetworkFault{Loss: 0.05}},
		{"twice", platform.NetworkFault{Duplicate: 0.3}},
		{"overtaken", platform.NetworkFault{Jitter: 30 * time.Millisecond, Duplicate: 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startWired(t, 2, 3, "listing", "listing", "records")
			d.wire.SetFault(func(_, _ netip.Addr) platform.NetworkFault { return c.fault })
			stop := d.calling("listing", "records")
			for _, b := range d.balancers {
				b.process.Terminate()
				if err := b.process.Wait(limit); err != nil {
					t.Fatalf("stop: %v", err)
				}
				b.startProcess()
				d.await("the balancer is back", func() bool { return d.router.Ready() == 3 })
			}
			stop()
			d.serve(3, 5, "listing", "records")
		})
	}
}
