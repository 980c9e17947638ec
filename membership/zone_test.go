package membership_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// Symptom: after an availability zone was lost, control traffic is full of
// thousands of verdicts, and agents of the lost zone get new work for minutes.
// Sequence: all balancers and agents of one zone stop at once.
// Cause: each record is judged by itself, by observers that are lost as well.
func TestZoneLossIsOneFact(t *testing.T) {
	r := lab.ZoneLoss(1, 6, 8, 20)
	if r.Known != r.Outside {
		t.Fatalf("%d of %d balancers know after 60 s that the zone is lost", r.Known, r.Outside)
	}
	t.Logf("known to all after %v, %.0f B more a balancer than idle, %d verdicts on single records", r.Took, r.Extra, r.Verdicts)
	if r.Verdicts > r.Outside*8/2 {
		t.Errorf("%d verdicts on single records", r.Verdicts)
	}
	for _, a := range r.StillReady {
		t.Errorf("%v of the lost zone still gets work", a)
	}
}

// Symptom: after regions found each other again, control traffic is at its
// limit for minutes, or one side's processes stay dead for the other.
// Sequence: one region is cut off for an hour; processes change on both sides;
// the cut heals.
// Cause: each side declares the other's records dead one by one, and all of
// them have to be refuted.
func TestRegionRejoinsWithoutStorm(t *testing.T) {
	r := lab.RegionApart(2, 6, 4, 10, 2*time.Minute)
	if !r.Agreed {
		t.Fatalf("rosters differ 2 minutes after the cut healed:%.2000s", r.Differences)
	}
	t.Logf("%+v", r)
	if r.Down != r.Balancers {
		t.Errorf("%d of %d balancers found the other side unreachable", r.Down, r.Balancers)
	}
	if limit := 1.5 * DefaultRate; r.Peak > limit {
		t.Errorf("%.0f B sent by a balancer in the busiest second, want at most %.0f", r.Peak, limit)
	}
}

// Symptom: an agent that died is ready in every roster for ever.
// Sequence: it dies in the same moment as all balancers that observe it.
// Cause: nobody else expects its heartbeats.
func TestAgentDiesWithItsObservers(t *testing.T) {
	x, list, as := region(t, 3, 1, 12, 4)
	as[0].Stopped = true
	start := x.Now
	for _, a := range as[0].Announcer.Observers() {
		x.At(a).Stopped = true
	}
	if !x.Run(90*time.Second, func() bool { return verdictEverywhere(list, as[0], VerdictDead) }) {
		t.Fatal("the agent isn't dead everywhere after 90 s")
	}
	t.Logf("dead everywhere after %v", x.Now.Sub(start))
}

// Symptom: agents of a zone whose balancers are gone get no work, or the zone
// goes down and up again without end.
// Sequence: all balancers of one zone stop at once; its agents go on.
// Cause: the silence of the balancers is taken for that of the zone, the
// agents' announcements for that of its balancers.
func TestZoneWithoutBalancersKeepsItsAgents(t *testing.T) {
	x, list, as := region(t, 7, 4, 6, 10)
	for _, p := range as {
		p.Announcer.SetSeeds(lab.Seeds(0, 6, 12))
	}
	for _, p := range list[:6] {
		p.Stopped = true
	}
	start := x.Now
	if !x.Run(3*time.Minute, x.Agree) {
		t.Fatalf("no agreement after 3 minutes:%.2000s", x.Differences())
	}
	t.Logf("agreed %v after the stop", x.Now.Sub(start))
	flaps := 0
	x.OnChange = func(_ *lab.Process, c *Change) {
		if c.Kind == ChangeZone {
			flaps++
		}
	}
	x.Run(2*time.Minute, nil)
	if flaps > 0 || !x.Agree() {
		t.Errorf("zones changed %d times after the balancers were given up", flaps)
	}
}

// Symptom: the agents of a lost rack get new work for long.
// Sequence: 2 balancers and 38 agents of one zone stop at once.
// Cause: their verdicts wait behind each other for the byte rate.
func TestRackLossIsKnownSoon(t *testing.T) {
	r := lab.RackLoss(13, 2, 16)
	if r.Known != r.Pairs {
		t.Fatalf("%d of %d verdicts on a lost rack are known after 30 s", r.Known, r.Pairs)
	}
	t.Logf("%+v", r)
}
