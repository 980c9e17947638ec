package membership_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// newMachineWith returns a machine whose member list contains rec, with empty
// outbox and changes.
func newMachineWith(t *testing.T, rec Record) (*lab.Exchange, *Machine) {
	x := newExchange(t, 10)
	m := x.Balancer(0, 0).Machine
	m.Tick(x.Now)
	m.MergeAll(x.Now, []Record{rec})
	m.Outbox()
	m.Changes()
	return x, m
}

func agentRecord() Record {
	return Record{
		Addr: lab.AddrOf(RoleAgent, 1), Role: RoleAgent, State: StateReady, Weight: 9, Service: 1,
		Incarnation: 500, Version: 3, Zone: lab.ZoneName(0), Region: "region-0",
	}
}

// Guards against a restarted agent that is listed under its predecessor's service or
// zone: a delta of the new process arrives before its full record, and is applied to
// the record of another incarnation.
func TestDeltaOfAnotherIncarnationRequestsTheRecord(t *testing.T) {
	rec := agentRecord()
	x, m := newMachineWith(t, rec)
	d := Delta{Addr: rec.Addr, Incarnation: ShortIncarnation(501), Version: 4, State: StateLeaving}
	m.Receive(x.Now, lab.AddrOf(RoleBalancer, 1), &Message{Kind: KindGossip, Deltas: []Delta{d}})
	if got, _ := m.Lookup(rec.Addr); got != rec {
		t.Errorf("the record became %+v", got)
	}
	out := m.Outbox()
	if len(out) != 1 || out[0].Msg.Kind != KindRecordRequest {
		t.Errorf("the new record isn't requested: %v", out)
	}
}

// Guards against new work for an agent that leaves, after a faulty process sent a
// record of the same incarnation with a higher version and state ready.
func TestLeavingIsFinalWithinAnIncarnation(t *testing.T) {
	rec := agentRecord()
	rec.State = StateLeaving
	x, m := newMachineWith(t, rec)
	ready := rec
	ready.State, ready.Version = StateReady, 9
	gossip := &Message{Kind: KindGossip, Records: []Record{ready}, Deltas: []Delta{{
		Addr: rec.Addr, Incarnation: ShortIncarnation(rec.Incarnation), Version: 9, State: StateReady,
	}}}
	m.Receive(x.Now, lab.AddrOf(RoleBalancer, 1), gossip)
	if got, _ := m.Lookup(rec.Addr); got.State != StateLeaving {
		t.Errorf("leaving became %v", got.State)
	}
	ready.Incarnation++
	m.Receive(x.Now, lab.AddrOf(RoleBalancer, 1), &Message{Kind: KindGossip, Records: []Record{ready}})
	if got, _ := m.Lookup(rec.Addr); got.State != StateReady {
		t.Errorf("a newer incarnation is %v, want ready", got.State)
	}
}

// Guards against dead records that are never removed: one balancer has removed a
// dead record, another still has it, and repair treats that as a difference.
func TestRemovedDeadRecordIsNotRequested(t *testing.T) {
	rec := agentRecord()
	x, m := newMachineWith(t, rec)
	dead := rec
	dead.Verdict = VerdictDead
	m.Receive(x.Now, lab.AddrOf(RoleBalancer, 1), &Message{Kind: KindGossip, Records: []Record{dead}})
	for end := x.Now.Add(25 * time.Hour); x.Now.Before(end); x.Now = x.Now.Add(time.Minute) {
		m.Tick(x.Now)
	}
	if _, ok := m.Lookup(rec.Addr); ok {
		t.Fatal("a dead record isn't removed after 25 h")
	}
	m.Outbox()
	summary := &Message{Kind: KindRecordDigests, Buckets: []uint16{uint16(BucketOf(rec.Addr))}}
	summary.Peers = append(summary.Peers, rec.Addr)
	summary.Hashes = make([]byte, HashLen) // the digest of a dead record
	m.Receive(x.Now, lab.AddrOf(RoleBalancer, 1), summary)
	for _, e := range m.Outbox() {
		t.Errorf("a removed dead record is answered with %+v", e.Msg)
	}
}

// Guards against a zone that a region treats as lost because another region can't
// reach it: regions 0 and 1 lose contact, and region 2 reaches both.
func TestRegionsEvaluateZonesIndependently(t *testing.T) {
	x, list, _ := newFleet(t, 11, 9, 6, 2)
	x.Cut = func(from, to *lab.Process) bool {
		a, b := from.Record.Region, to.Record.Region
		return a == "region-0" && b == "region-1" || a == "region-1" && b == "region-0"
	}
	l := lab.RecordZoneChanges(x)
	x.Run(2*time.Minute, nil)
	cut := 0
	for _, p := range list {
		if p.Record.Region == "region-2" && l.ZoneDown[p] {
			t.Errorf("%v of region 2 treats a zone as lost", p.Record.Addr)
		}
		if l.ZoneDown[p] {
			cut++
		}
	}
	t.Logf("%d of %d balancers treat a zone as lost, %d verdicts on single processes", cut, len(list), l.Verdicts)
	if cut == 0 {
		t.Error("regions 0 and 1 don't detect that they lost contact")
	}
}
