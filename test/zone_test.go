package test

import (
	"testing"

	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// Guards against new callers that wait for unreachable agents after an availability zone was cut
// off, and against a zone that stays out of use. All balancers and agents of one of two zones are
// frozen at the same moment, the fabric continues to send half of all packets to them, and later
// they resume with outdated state.
func TestZoneFrozenAndResumed(t *testing.T) {
	t.Parallel()
	cfg := oneService()
	cfg.Balancers = 4
	cfg.Zones = []string{"zone-a", "zone-b"}
	f := fleet.Start(t, cfg)
	var frozen []*fleet.Process
	for i := 1; i < 4; i += 2 { // balancers and agents are assigned to the zones in turn
		frozen = append(frozen, f.Balancers[i].Process, f.Agents[i].Process)
	}
	for _, p := range frozen {
		p.Freeze()
	}
	for _, b := range []*fleet.Balancer{f.Balancers[0], f.Balancers[2]} {
		f.Eventually(b.Name+" places new flows on its own zone only", func() bool {
			n, ok := fleet.Metric(b.Admin, "hemlock_balancer_agents_ready")
			return ok && n == 2
		})
	}
	awaitServed(t, f, "listing")
	for _, p := range frozen {
		p.Resume()
	}
	f.WaitReady()
	awaitServed(t, f, "listing")
}
