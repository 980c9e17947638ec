package membership

import (
	"testing"
	"time"
)

// region builds zones with so many balancers and agents each, and settles.
func region(t testing.TB, seed uint64, zones, balancers, agents int) (*exchange, []*proc, []*proc) {
	x := newExchange(t, seed)
	x.delay = geography
	list := x.fleet(zones*balancers, zones)
	var as []*proc
	for i := range zones * agents {
		z := i % zones
		as = append(as, x.agent(i, z, addrOf(RoleBalancer, z*balancers), addrOf(RoleBalancer, z*balancers+1)))
	}
	x.acquaint()
	x.run(15*time.Second, nil)
	if !x.run(15*time.Second, x.agree) {
		t.Fatalf("no agreement at the start:%s", x.differences())
	}
	return x, list, as
}

// lost counts what the balancers outside a zone noted while it was lost.
type lost struct {
	down     map[*proc]bool
	verdicts int // about single processes
}

func watchLoss(x *exchange) *lost {
	l := &lost{down: map[*proc]bool{}}
	x.onChange = func(p *proc, c *Change) {
		switch {
		case c.Kind == ChangeZone && !c.Reachable:
			l.down[p] = true
		case c.Kind == ChangeZone:
			delete(l.down, p)
		case c.Kind == ChangeRecord && c.Record.Verdict != VerdictAlive:
			l.verdicts++
		}
	}
	return l
}

// Symptom: after an availability zone was lost, control traffic is full of
// thousands of verdicts, and agents of the lost zone get new work for minutes.
// Sequence: all balancers and agents of one zone stop at once.
// Cause: each record is judged by itself, by observers that are lost as well.
func TestZoneLossIsOneFact(t *testing.T) {
	zones, balancers, agents := 6, 8, 20
	if *measure {
		zones, balancers, agents = 18, 32, 120
	}
	x, list, as := region(t, 1, zones, balancers, agents)
	l := watchLoss(x)
	outside := list[balancers:]
	idle := x.load(outside, 10*time.Second)
	for _, p := range list[:balancers] {
		p.stopped = true
	}
	for i := 0; i < len(as); i += zones {
		as[i].stopped = true
	}
	start, before := x.now, x.sent(outside)
	if !x.run(60*time.Second, func() bool { return len(l.down) == len(outside) }) {
		t.Fatalf("%d of %d balancers know after 60 s that the zone is lost", len(l.down), len(outside))
	}
	took := x.now.Sub(start)
	after := x.sent(outside)
	extra := (after.bytes-before.bytes)/float64(len(outside)) - idle.bytes*took.Seconds()
	t.Logf("%d balancers, %d agents, a zone of %d and %d lost: known to all after %v, %.0f B more a balancer than idle, %.2f verdicts on single records a balancer",
		len(list), len(as), balancers, agents, took, extra, float64(l.verdicts)/float64(len(outside)))
	if l.verdicts > len(outside)*balancers/2 {
		t.Errorf("%d verdicts on single records", l.verdicts)
	}
	for rec := range list[len(list)-1].machine.Ready(1) {
		if rec.Zone == zoneName(0) {
			t.Errorf("%v of the lost zone still gets work", rec.Addr)
		}
	}
}

// Symptom: after regions found each other again, control traffic is at its
// limit for minutes, or one side's processes stay dead for the other.
// Sequence: one region is cut off for an hour; processes change on both sides;
// the cut heals.
// Cause: each side declares the other's records dead one by one, and all of
// them have to be refuted.
func TestRegionRejoinsWithoutStorm(t *testing.T) {
	zones, balancers, agents, apart := 6, 4, 10, 2*time.Minute
	if *measure {
		zones, balancers, agents, apart = 18, 16, 40, time.Hour
	}
	x, list, as := region(t, 2, zones, balancers, agents)
	idle := x.load(list, 10*time.Second)
	l := watchLoss(x)
	x.cut = func(from, to *proc) bool { return (from.rec.Region == "region-0") != (to.rec.Region == "region-0") }
	changes := 0
	for end := x.now.Add(apart); x.now.Before(end); changes++ {
		a := as[x.rng.IntN(len(as))].announcer
		a.SetWeight(x.now, a.Self().Weight+1)
		x.run(2500*time.Millisecond, nil)
	}
	down := len(l.down)
	verdicts := l.verdicts
	x.cut = nil
	start, before := x.now, x.sent(list)
	peak, last := 0.0, before
	ok := false
	for x.now.Sub(start) < 2*time.Minute && !ok {
		ok = x.run(time.Second, nil) || x.agree()
		sent := x.sent(list)
		peak = max(peak, (sent.bytes-last.bytes)/float64(len(list)))
		last = sent
	}
	took := x.now.Sub(start)
	if !ok {
		t.Fatalf("rosters differ 2 minutes after the cut healed:%.2000s", x.differences())
	}
	extra := (last.bytes-before.bytes)/float64(len(list)) - idle.bytes*took.Seconds()
	t.Logf("%d balancers, %d agents, a third of the zones or fewer apart for %v, %d changes: %d balancers saw zones down, %d verdicts on single records; agreed %v after healing, %.0f B more a balancer than idle (%.0f B/s), busiest second %.0f B",
		len(list), len(as), apart, changes, down, verdicts, took, extra, idle.bytes, peak)
	if down != len(list) {
		t.Errorf("%d of %d balancers found the other side unreachable", down, len(list))
	}
	if limit := 1.5 * DefaultRate; peak > limit {
		t.Errorf("%.0f B sent by a balancer in the busiest second, want at most %.0f", peak, limit)
	}
}

// Symptom: an agent that died is ready in every roster for ever.
// Sequence: it dies in the same moment as all balancers that observe it.
// Cause: nobody else expects its heartbeats.
func TestAgentDiesWithItsObservers(t *testing.T) {
	x, list, as := region(t, 3, 1, 12, 4)
	as[0].stopped = true
	start := x.now
	for _, a := range as[0].announcer.Observers() {
		x.by[a].stopped = true
	}
	if !x.run(90*time.Second, func() bool { return verdictEverywhere(list, as[0], VerdictDead) }) {
		t.Fatal("the agent isn't dead everywhere after 90 s")
	}
	t.Logf("dead everywhere after %v", x.now.Sub(start))
}

// Symptom: agents of a zone whose balancers are gone get no work, or the zone
// goes down and up again without end.
// Sequence: all balancers of one zone stop at once; its agents go on.
// Cause: the silence of the balancers is taken for that of the zone, the
// agents' announcements for that of its balancers.
func TestZoneWithoutBalancersKeepsItsAgents(t *testing.T) {
	x, list, as := region(t, 7, 4, 6, 10)
	for _, p := range as {
		p.announcer.SetSeeds(x.seeds(0, 6, 12))
	}
	for _, p := range list[:6] {
		p.stopped = true
	}
	start := x.now
	if !x.run(3*time.Minute, x.agree) {
		t.Fatalf("no agreement after 3 minutes:%.2000s", x.differences())
	}
	t.Logf("agreed %v after the stop", x.now.Sub(start))
	flaps := 0
	x.onChange = func(_ *proc, c *Change) {
		if c.Kind == ChangeZone {
			flaps++
		}
	}
	x.run(2*time.Minute, nil)
	if flaps > 0 || !x.agree() {
		t.Errorf("zones changed %d times after the balancers were given up", flaps)
	}
}

// Symptom: the agents of a lost rack get new work for long.
// Sequence: 2 balancers and 38 agents of one zone stop at once.
// Cause: their verdicts wait behind each other for the byte rate.
func TestRackLossIsKnownSoon(t *testing.T) {
	zones, balancers := 2, 16
	if *measure {
		zones, balancers = 6, 64
	}
	x, list, as := region(t, 13, zones, balancers, 60)
	var rack []*proc
	rack = append(rack, list[:2]...)
	for i := 0; len(rack) < 40; i += zones {
		rack = append(rack, as[i])
	}
	for _, p := range rack {
		p.stopped = true
	}
	start, before := x.now, x.sent(list)
	pairs := (len(list) - 2) * len(rack)
	seen := map[[2]*proc]bool{}
	var most time.Duration
	x.onChange = func(b *proc, c *Change) {
		p := x.by[c.Record.Addr]
		if p != nil && p.stopped && c.Record.Verdict != VerdictAlive && !b.stopped {
			seen[[2]*proc{b, p}] = true
		}
		if most == 0 && len(seen)*1000 >= pairs*999 {
			most = x.now.Sub(start)
		}
	}
	if !x.run(30*time.Second, func() bool { return len(seen) == pairs }) {
		t.Fatalf("%d of %d verdicts on a lost rack are known after 30 s", len(seen), pairs)
	}
	took := x.now.Sub(start)
	t.Logf("%d balancers, %d agents: %d processes of a rack suspected by 99.9%% after %v, everywhere after %v, %.0f B/s a balancer meanwhile",
		len(list), len(as), len(rack), most, took, (x.sent(list).bytes-before.bytes)/float64(len(list))/took.Seconds())
}
