package membership_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// newExchange returns an exchange whose faults fail the test.
func newExchange(t testing.TB, seed uint64) *lab.Exchange {
	x := lab.NewExchange(seed)
	x.Fail = func(err *lab.FaultError) { t.Fatal(err) }
	return x
}

// newFleet builds zones with this many balancers and agents each, and waits until
// they have converged.
func newFleet(t testing.TB, seed uint64, zones, balancers, agents int) (*lab.Exchange, []*lab.Process, []*lab.Process) {
	x := newExchange(t, seed)
	list, as := lab.ConvergedFleet(x, zones, balancers, agents)
	return x, list, as
}

// newSmallFleet builds three balancers and four agents in one zone, all with the
// same seed address.
func newSmallFleet(t testing.TB, seed uint64) (*lab.Exchange, []*lab.Process, []*lab.Process) {
	x := newExchange(t, seed)
	x.Encode = true
	seedAddr := lab.AddrOf(RoleBalancer, 0)
	var balancers, agents []*lab.Process
	for i := range 3 {
		balancers = append(balancers, x.Balancer(i, 0, seedAddr))
	}
	for i := range 4 {
		agents = append(agents, x.Agent(i, 0, seedAddr))
	}
	if !x.Run(20*time.Second, x.Converged) {
		t.Fatal("a fleet of three balancers and four agents doesn't converge within 20 s")
	}
	x.Run(5*time.Second, nil) // until all report to their observers
	return x, balancers, agents
}

func TestSmallFleetAgrees(t *testing.T) {
	x, balancers, _ := newSmallFleet(t, 1)
	t.Logf("converged after %v", x.Now.Sub(x.Start))
	if x.Run(30*time.Second, func() bool { return !x.Converged() }) {
		t.Fatal("the member list changed although nothing happened")
	}
	n := 0
	for rec := range balancers[2].Machine.ReadyAgents(1) {
		n++
		if rec.Service != 1 || rec.Role != RoleAgent {
			t.Errorf("ReadyAgents(1) yields %+v", rec)
		}
	}
	if n != 1 {
		t.Errorf("ReadyAgents(1) yields %d agents, want 1", n)
	}
}

// Guards against new flows to a backend server that leaves, because only its agent's
// observers receive the announcement and it isn't passed on.
func TestLeavingSpreads(t *testing.T) {
	x, balancers, agents := newSmallFleet(t, 2)
	for i := 3; i < 30; i++ {
		balancers = append(balancers, x.Balancer(i, i/10, lab.AddrOf(RoleBalancer, 0)))
	}
	if !x.Run(20*time.Second, x.Converged) {
		t.Fatal("30 balancers don't converge within 20 s")
	}
	agents[0].Announcer.SetState(x.Now, StateLeaving)
	x.Flush(agents[0])
	all := func() bool { return stateEverywhere(balancers, agents[0], StateLeaving) }
	if !x.Run(2*time.Second, all) {
		t.Fatal("leaving isn't known everywhere after 2 s")
	}
	if agents[0].Announcer.SetState(x.Now, StateReady) {
		t.Error("a leaving agent became ready again")
	}
}

func stateEverywhere(list []*lab.Process, p *lab.Process, s State) bool {
	for _, b := range list {
		if b.Stopped || b.Paused {
			continue
		}
		if got, _ := b.Machine.Lookup(p.Record.Addr); got.State != s {
			return false
		}
	}
	return true
}

func verdictEverywhere(list []*lab.Process, p *lab.Process, v Verdict) bool {
	for _, b := range list {
		if b.Stopped || b.Paused || b == p {
			continue
		}
		if got, _ := b.Machine.Lookup(p.Record.Addr); got.Verdict < v {
			return false
		}
	}
	return true
}

// Guards against new flows to an agent that was killed without leaving, because a
// majority of its observers doesn't detect the missing reports in time.
func TestKilledAgentIsSuspectedThenDead(t *testing.T) {
	x, balancers, agents := newSmallFleet(t, 3)
	agents[1].Stopped = true
	if !x.Run(5*time.Second, func() bool { return verdictEverywhere(balancers, agents[1], VerdictSuspect) }) {
		t.Fatal("a killed agent isn't suspected everywhere after 5 s")
	}
	if !x.Run(15*time.Second, func() bool { return verdictEverywhere(balancers, agents[1], VerdictDead) }) {
		t.Fatal("a killed agent isn't dead everywhere after 20 s")
	}
}

// Guards against failed balancers that stay in the member list: two of three are
// killed at once, and the last one waits for a majority that no longer exists.
func TestLastBalancerDecidesAlone(t *testing.T) {
	x, balancers, _ := newSmallFleet(t, 4)
	balancers[0].Stopped, balancers[1].Stopped = true, true
	dead := func() bool {
		return verdictEverywhere(balancers, balancers[0], VerdictDead) && verdictEverywhere(balancers, balancers[1], VerdictDead)
	}
	if !x.Run(40*time.Second, dead) {
		t.Fatal("two dead balancers are still listed after 40 s")
	}
}

// Guards against a restart at the same address that is ignored, because the new
// incarnation doesn't outrank the old one.
func TestRestartIsNewer(t *testing.T) {
	x, _, agents := newSmallFleet(t, 5)
	x.Run(time.Second, nil)
	x.Agent(2, 0, lab.AddrOf(RoleBalancer, 1))
	_ = agents
	if !x.Run(5*time.Second, x.Converged) {
		t.Fatal("a restarted agent isn't known everywhere after 5 s")
	}
}

// Guards against a restarted agent that never becomes ready: the clock went back
// before the restart, so its start time is below the incarnation that is known.
func TestRestartAfterClockWentBack(t *testing.T) {
	x, _, _ := newSmallFleet(t, 6)
	rec := x.NewRecord(RoleAgent, 3, 0)
	rec.Incarnation = 7
	a, err := NewAnnouncer(AnnouncerConfig{Self: rec, Seeds: lab.Seeds(0)})
	if err != nil {
		t.Fatal(err)
	}
	x.Add(&lab.Process{Announcer: a, Record: rec})
	if !x.Run(5*time.Second, x.Converged) {
		t.Fatal("an agent whose clock went back isn't known everywhere after 5 s")
	}
}

// Guards against verdicts on healthy processes after all balancers, whose VMs share
// a host, were paused for 30 s together and lost the messages in their sockets. They
// must not count their own pause as missing reports and confirm it to each other.
func TestPausedBalancersSuspectNoProcess(t *testing.T) {
	x, balancers, _ := newSmallFleet(t, 7)
	paused := balancers
	for _, b := range paused {
		b.Paused = true
	}
	x.Run(30*time.Second, nil)
	for _, b := range paused {
		b.Inbox = nil
		x.Resume(b)
	}
	x.Run(30*time.Second, nil)
	for _, b := range paused {
		if n := b.Machine.Stats().Suspected; n != 0 {
			t.Errorf("a paused balancer suspected %d others", n)
		}
	}
	if !x.Converged() {
		t.Error("the member lists differ 30 s after the pause")
	}
}

// Guards against a healthy agent that is suspected because the path from it to one
// of its observers is cut, while the return path and all other paths work.
func TestOneWayCutCausesNoSuspicion(t *testing.T) {
	x, balancers, agents := newSmallFleet(t, 8)
	x.Cut = func(from, to *lab.Process) bool { return from == agents[0] && to == balancers[1] }
	bad := func() bool {
		for _, b := range balancers {
			if got, _ := b.Machine.Lookup(agents[0].Record.Addr); got.Verdict != VerdictAlive {
				return true
			}
		}
		return false
	}
	if x.Run(60*time.Second, bad) {
		t.Fatalf("an agent that reports to two of three observers is suspected after %v", x.Now.Sub(x.Start))
	}
}

// Guards against an agent that sends tens of thousands of announcements per second,
// until it is killed for its memory. Two balancers with different member lists name
// different observers, each ack replaces the observers and causes an announcement,
// and each announcement causes another ack.
func TestDifferingAcksMakeNoStorm(t *testing.T) {
	x := newExchange(t, 9)
	a := x.Agent(0, 0).Announcer
	sent := 0
	for i := range 1000 {
		named := lab.Seeds(i%2, 2+i%3, 5+i%4)
		ack := &Message{Kind: KindAck, Incarnation: a.Self().Incarnation, Version: 1, Peers: named}
		a.Receive(x.Now.Add(time.Duration(i)*time.Millisecond), named[0], ack)
		sent += len(a.Outbox())
	}
	if sent > 2*Observers {
		t.Errorf("%d announcements within 1 s, want at most %d", sent, 2*Observers)
	}
}
