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

// region builds zones with so many balancers and agents each, and settles.
func region(t testing.TB, seed uint64, zones, balancers, agents int) (*lab.Exchange, []*lab.Process, []*lab.Process) {
	x := newExchange(t, seed)
	list, as := lab.Settle(x, zones, balancers, agents)
	return x, list, as
}

// small builds three balancers and four agents in one zone each, all started
// with one seed.
func small(t testing.TB, seed uint64) (*lab.Exchange, []*lab.Process, []*lab.Process) {
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
	if !x.Run(20*time.Second, x.Agree) {
		t.Fatal("a fleet of three balancers and four agents doesn't come to agree in 20 s")
	}
	x.Run(5*time.Second, nil) // until all report to their Observers
	return x, balancers, agents
}

func TestSmallFleetAgrees(t *testing.T) {
	x, balancers, _ := small(t, 1)
	t.Logf("agreed after %v", x.Now.Sub(x.Start))
	if x.Run(30*time.Second, func() bool { return !x.Agree() }) {
		t.Fatal("the roster changed although nothing happened")
	}
	n := 0
	for rec := range balancers[2].Machine.ReadyAgents(1) {
		n++
		if rec.Service != 1 || rec.Role != RoleAgent {
			t.Errorf("Ready(1) yields %+v", rec)
		}
	}
	if n != 1 {
		t.Errorf("Ready(1) yields %d agents, want 1", n)
	}
}

// Symptom: a backend server that leaves still gets new flows.
// Sequence: its agent announces leaving; every balancer must hear of it.
// Cause: the announcement reaches only the agent's observers and is not
// passed on.
func TestLeavingSpreads(t *testing.T) {
	x, balancers, agents := small(t, 2)
	for i := 3; i < 30; i++ {
		balancers = append(balancers, x.Balancer(i, i/10, lab.AddrOf(RoleBalancer, 0)))
	}
	if !x.Run(20*time.Second, x.Agree) {
		t.Fatal("30 balancers don't come to agree in 20 s")
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

// Symptom: new flows go to an agent that was killed.
// Sequence: the agent falls silent without leaving.
// Cause: its silence isn't noticed by a majority of its observers in time.
func TestKilledAgentIsSuspectedThenDead(t *testing.T) {
	x, balancers, agents := small(t, 3)
	agents[1].Stopped = true
	if !x.Run(5*time.Second, func() bool { return verdictEverywhere(balancers, agents[1], VerdictSuspect) }) {
		t.Fatal("a killed agent isn't suspected everywhere after 5 s")
	}
	if !x.Run(15*time.Second, func() bool { return verdictEverywhere(balancers, agents[1], VerdictDead) }) {
		t.Fatal("a killed agent isn't dead everywhere after 20 s")
	}
}

// Symptom: the balancers list a balancer that has died for ever.
// Sequence: two of three are killed at once; each observed the other.
// Cause: the last one waits for a majority that no longer exists.
func TestLastBalancerDecidesAlone(t *testing.T) {
	x, balancers, _ := small(t, 4)
	balancers[0].Stopped, balancers[1].Stopped = true, true
	dead := func() bool {
		return verdictEverywhere(balancers, balancers[0], VerdictDead) && verdictEverywhere(balancers, balancers[1], VerdictDead)
	}
	if !x.Run(40*time.Second, dead) {
		t.Fatal("two dead balancers are still listed after 40 s")
	}
}

// Symptom: a restarted agent is ignored, its old record stays in force.
// Sequence: killed, started again at once at the same address.
// Cause: the new incarnation doesn't outrank the old one.
func TestRestartIsNewer(t *testing.T) {
	x, _, agents := small(t, 5)
	x.Run(time.Second, nil)
	x.Agent(2, 0, lab.AddrOf(RoleBalancer, 1))
	_ = agents
	if !x.Run(5*time.Second, x.Agree) {
		t.Fatal("a restarted agent isn't known everywhere after 5 s")
	}
}

// Symptom: a restarted agent never becomes ready anywhere.
// Sequence: killed; started again after the machine's clock went back.
// Cause: the start time as incarnation is lower than the remembered one.
func TestRestartAfterClockWentBack(t *testing.T) {
	x, _, _ := small(t, 6)
	rec := x.NewRecord(RoleAgent, 3, 0)
	rec.Incarnation = 7
	a, err := NewAnnouncer(AnnouncerConfig{Self: rec, Seeds: lab.Seeds(0)})
	if err != nil {
		t.Fatal(err)
	}
	x.Add(&lab.Process{Announcer: a, Record: rec})
	if !x.Run(5*time.Second, x.Agree) {
		t.Fatal("an agent with an old clock isn't known everywhere after 5 s")
	}
}

// Symptom: after a stop of 30 s balancers have emptied their rosters, and their
// verdicts spread.
// Sequence: all balancers, whose VMs share a machine, are paused and resumed
// together; what waited in their sockets is lost; no agent has failed.
// Cause: they take their own silence for that of the others, and confirm it to
// each other.
func TestPausedBalancersJudgeNobody(t *testing.T) {
	x, balancers, _ := small(t, 7)
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
	if !x.Agree() {
		t.Error("the rosters don't agree 30 s after the pause")
	}
}

// Symptom: a healthy agent is dropped from every roster.
// Sequence: the way from the agent to one of its observers is cut, the way
// back and all other ways work.
// Cause: a single observer's silence counts as the agent's.
func TestOneWayCutKillsNobody(t *testing.T) {
	x, balancers, agents := small(t, 8)
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
		t.Fatalf("an agent that two of three observers hear is suspected after %v", x.Now.Sub(x.Start))
	}
}

// Symptom: an agent sends tens of thousands of announcements a second until
// the process is killed for its memory.
// Sequence: two balancers with different rosters name different observers to
// the same agent; each of the two acks makes it replace its observers and
// announce itself, and each announcement brings another ack.
// Cause: nothing limits how often acks replace the Observers.
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
