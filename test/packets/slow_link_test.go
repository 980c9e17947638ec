package packets

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// slowLinkChangeLimit is the time within which a configuration change of thousands of routes has to
// be in force at every balancer on slow links. It is longer than changeLimit because the transfer
// takes time.
const slowLinkChangeLimit = 5 * time.Second

// limitLinks gives every balancer a link of the given rate, shared by what it receives from the
// store and what it sends to other balancers.
func (d *deployment) limitLinks(bytesPerS int) {
	for _, b := range d.balancers {
		link := platform.NewLink(bytesPerS)
		b.endpoint.SetLink(link)
		d.simNet.SetLink(b.addr, link)
	}
}

// awaitInForce waits until the latest configuration is in force at all balancers, and
// returns the time since begun.
func (d *deployment) awaitInForce(begun time.Time) time.Duration {
	d.t.Helper()
	for _, b := range d.balancers {
		d.await("the change is in force at "+b.process.Name, func() bool { return b.inForce(d.revision) })
	}
	return time.Since(begun)
}

// Guards against a large configuration that never reaches balancers with slow links because its
// transfer takes longer than a fixed timeout.
func TestLargeConfigurationReachesBalancersOnSlowLinks(t *testing.T) {
	const routes, bytesPerS = 5000, 500_000
	d := startOnSimNet(t, 1, 3, "listing", "records")
	d.serve(2, 3, "listing", "records")
	d.limitLinks(bytesPerS)
	for _, idle := range []int{routes, routes + 1, routes / 2} {
		d.unusedRoutes = idle
		begun := time.Now()
		d.configure()
		took := d.awaitInForce(begun)
		t.Logf("%d unused routes are in force after %v", idle, took)
		if took > slowLinkChangeLimit {
			t.Errorf("%d unused routes are in force after %v, want %v at most", idle, took, slowLinkChangeLimit)
		}
	}
	d.serve(2, 3, "listing", "records")
}
