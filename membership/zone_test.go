package membership_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// Guards against thousands of verdicts in the control traffic after the loss of an
// availability zone, and new work for its agents for minutes: each process would be
// evaluated on its own, by observers that are lost as well.
func TestZoneLossIsOneZoneStatus(t *testing.T) {
	r := lab.ZoneLoss(1, 6, 8, 20)
	if r.Known != r.Outside {
		t.Fatalf("%d of %d balancers know after 60 s that the zone is lost", r.Known, r.Outside)
	}
	t.Logf("known to all after %v, %.0f B more per balancer than at rest, %d verdicts on single processes", r.Took, r.Extra, r.Verdicts)
	if r.Verdicts > r.Outside*8/2 {
		t.Errorf("%d verdicts on single processes", r.Verdicts)
	}
	for _, a := range r.StillReady {
		t.Errorf("%v of the lost zone still gets work", a)
	}
}

// Guards against control traffic at its limit for minutes, or processes that stay
// marked dead, after a region was cut off for an hour while processes changed on
// both sides. If each side declared the other's processes dead one by one, all
// would have to be refuted.
func TestRegionRejoinsWithoutExcessTraffic(t *testing.T) {
	r := lab.RegionApart(2, 6, 4, 10, 2*time.Minute)
	if !r.Converged {
		t.Fatalf("member lists differ 2 minutes after the cut healed:%.2000s", r.Differences)
	}
	t.Logf("%+v", r)
	if r.ZoneDown != r.Balancers {
		t.Errorf("%d of %d balancers treated the other side as unreachable", r.ZoneDown, r.Balancers)
	}
	if limit := 1.5 * DefaultRate; r.Peak > limit {
		t.Errorf("%.0f B sent by a balancer in the busiest second, want at most %.0f", r.Peak, limit)
	}
}

// Guards against a failed agent that stays ready in every member list, because all
// balancers that observe it failed at the same moment.
func TestAgentFailsWithItsObservers(t *testing.T) {
	x, list, as := newFleet(t, 3, 1, 12, 4)
	as[0].Stopped = true
	start := x.Now
	for _, a := range as[0].Announcer.Observers() {
		x.ProcessAt(a).Stopped = true
	}
	if !x.Run(90*time.Second, func() bool { return verdictEverywhere(list, as[0], VerdictDead) }) {
		t.Fatal("the agent isn't dead everywhere after 90 s")
	}
	t.Logf("dead everywhere after %v", x.Now.Sub(start))
}

// Guards against agents without work, or a zone that goes down and up repeatedly,
// after all balancers of a zone have stopped and its agents go on. The failure of
// the balancers must not count as that of the zone, nor the agents' announcements as
// a sign that the balancers work.
func TestZoneWithoutBalancersKeepsItsAgents(t *testing.T) {
	x, list, as := newFleet(t, 7, 4, 6, 10)
	for _, p := range as {
		p.Announcer.SetSeeds(lab.Seeds(0, 6, 12))
	}
	for _, p := range list[:6] {
		p.Stopped = true
	}
	start := x.Now
	if !x.Run(3*time.Minute, x.Converged) {
		t.Fatalf("not converged after 3 minutes:%.2000s", x.Differences())
	}
	t.Logf("converged %v after the stop", x.Now.Sub(start))
	flaps := 0
	x.OnChange = func(_ *lab.Process, c *Change) {
		if c.Kind == ChangeZone {
			flaps++
		}
	}
	x.Run(2*time.Minute, nil)
	if flaps > 0 || !x.Converged() {
		t.Errorf("zones changed %d times after the balancers were declared dead", flaps)
	}
}

// Guards against work for the agents of a lost rack: 2 balancers and 38 agents of
// one zone stop at once, and the byte rate delays the verdicts on them.
func TestRackLossIsKnownSoon(t *testing.T) {
	r := lab.RackLoss(13, 2, 16)
	if r.Known != r.Pairs {
		t.Fatalf("%d of %d verdicts on a lost rack are known after 30 s", r.Known, r.Pairs)
	}
	t.Logf("%+v", r)
}
