package test

import (
	"testing"

	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// TestZoneFrozenAndBack: symptom: after an availability zone was cut off, new
// callers wait for agents that nobody reaches, or the zone never comes back.
// Sequence: all balancers and agents of one of two zones stop running at the
// same moment; the fabric goes on handing half of all packets to them; later
// they run on and still believe what they knew before.
func TestZoneFrozenAndBack(t *testing.T) {
	t.Parallel()
	cfg := oneService()
	cfg.Balancers = 4
	cfg.Zones = []string{"zone-a", "zone-b"}
	f := fleet.Start(t, cfg)
	var frozen []*fleet.Process
	for i := 1; i < 4; i += 2 { // balancers and agents take turns among the zones
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
	serves(t, f, "listing")
	for _, p := range frozen {
		p.Resume()
	}
	f.WaitReady()
	serves(t, f, "listing")
}
