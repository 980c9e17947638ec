package packets

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// inForceLimit is the time within which a change of the configuration has to be in force
// everywhere.
const inForceLimit = 5 * time.Second

// thinLinks gives every balancer a link that carries so many bytes a second, from the
// store and to other balancers.
func (d *deployment) thinLinks(bytesPerS int) {
	for _, b := range d.balancers {
		link := platform.NewLink(bytesPerS)
		b.endpoint.SetLink(link)
		d.wire.SetLink(b.addr, link)
	}
}

// awaitInForce waits until the latest configuration is in force at all balancers, and
// returns how long that took.
func (d *deployment) awaitInForce(begun time.Time) time.Duration {
	d.t.Helper()
	for _, b := range d.balancers {
		d.await("the change is in force at "+b.process.Name, func() bool { return b.inForce(d.revision) })
	}
	return time.Since(begun)
}

// Guards against a configuration that never reaches balancers whose links are too thin to
// carry it within a fixed time.
func TestLargeConfigurationReachesBalancersOnThinLinks(t *testing.T) {
	const routes, bytesPerS = 5000, 500_000
	d := startWired(t, 1, 3, "listing", "records")
	d.serve(2, 3, "listing", "records")
	d.thinLinks(bytesPerS)
	for _, idle := range []int{routes, routes + 1, routes / 2} {
		d.idle = idle
		begun := time.Now()
		d.configure()
		took := d.awaitInForce(begun)
		t.Logf("%d routes are in force after %v", idle, took)
		if took > inForceLimit {
			t.Errorf("%d routes are in force after %v, want %v at most", idle, took, inForceLimit)
		}
	}
	d.serve(2, 3, "listing", "records")
}
