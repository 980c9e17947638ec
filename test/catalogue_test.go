package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// edit raises a limit of the entry and returns the accepted revision.
func edit(t *testing.T, f *fleet.Fleet, service string, queue int) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fleet.Limit)
	defer cancel()
	c, _, _, err := catalogue.Load(ctx, f.Editor.Store)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := c.Entry(service)
	e.Limits.Queue = queue
	a, err := f.Editor.Apply(ctx, catalogue.Edit{Editor: "test", Put: []catalogue.Entry{e}})
	if err != nil {
		t.Fatal(err)
	}
	return a.Revision
}

// inForce waits until every balancer has a revision in force, and fails the
// test if one goes back meanwhile.
func inForce(t *testing.T, f *fleet.Fleet, revision uint64) {
	t.Helper()
	highest := make([]uint64, len(f.Balancers))
	fleet.Eventually(t, fmt.Sprintf("revision %d in force on every balancer", revision), func() bool {
		all := true
		for i, b := range f.Balancers {
			s, err := b.Status()
			if err != nil {
				return false
			}
			if s.Revision < highest[i] {
				t.Errorf("%s went back from revision %d to %d", b.Name, highest[i], s.Revision)
			}
			highest[i] = s.Revision
			all = all && s.Revision >= revision
		}
		return all
	})
}

// sixBalancers is one availability zone with more balancers than contact slots.
func sixBalancers() fleet.Config {
	c := kanatpar()
	c.Balancers = 6
	return c
}

// TestEditReachesBalancersWithoutSlot: symptom: a new limit is in force on some
// balancers only. Sequence: an edit is accepted; three of six balancers hold a
// contact slot and read the store. Cause: the others have no other source.
func TestEditReachesBalancersWithoutSlot(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, sixBalancers())
	for n := range 5 {
		start := time.Now()
		inForce(t, f, edit(t, f, "listing", 60+n))
		t.Log("in force after", time.Since(start))
	}
	if calls := f.Store.Calls(); calls.Watches == 0 {
		t.Errorf("nobody watches the store: %+v", calls)
	}
}

// TestBalancersStartWhileStoreIsDown: symptom: after a restart balancers drop
// every packet. Sequence: the store goes down; all balancers but one are
// replaced. Cause: a balancer that starts knows the catalogue from the store
// alone.
func TestBalancersStartWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	revision := edit(t, f, "listing", 70)
	inForce(t, f, revision)
	f.Store.SetFaults(standin.Faults{Outage: true})
	for i := range 2 {
		f.Balancers[i].Kill()
		f.StartBalancer(i)
	}
	inForce(t, f, revision)
	f.WaitReady()
	ctx, cancel := context.WithTimeout(context.Background(), fleet.Limit)
	defer cancel()
	if a, err := f.Caller("listing").Card(ctx, "1"); err != nil || a.Status != 200 {
		t.Errorf("card: %v %v", a, err)
	}
	f.Store.SetFaults(standin.Faults{})
	inForce(t, f, edit(t, f, "listing", 71))
}

// TestWatchThatStopsSilently: symptom: an edit is in force on no balancer though
// the store answers. Sequence: watches are forgotten by the store; an edit is
// accepted. Cause: a waiting watch says nothing until it is answered, so that
// its loss looks like a quiet catalogue.
func TestWatchThatStopsSilently(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.Store.SetFaults(standin.Faults{StopWatches: true})
	inForce(t, f, edit(t, f, "listing", 80))
}

// TestFrozenSlotHolderDoesNotRevert: symptom: a limit that was raised falls back
// to its old value. Sequence: a balancer that holds a contact slot is frozen;
// edits are accepted; its lease lapses; it wakes and believes that it still
// holds the slot, and spreads what it knew. Cause: a node trusted the sender's
// role instead of the revision.
func TestFrozenSlotHolderDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	frozen := f.Balancers[0]
	frozen.Freeze()
	var revision uint64
	awake := *f
	awake.Balancers = f.Balancers[1:]
	for n := range 4 {
		revision = edit(t, f, "listing", 90+n)
		inForce(t, &awake, revision)
	}
	frozen.Resume()
	inForce(t, f, revision)
	inForce(t, f, edit(t, f, "records", 99))
}

// TestAllBalancersRestartWhileStoreIsDown: symptom: after a power cut of the
// entry VMs every packet is dropped until the store is back. Sequence: the
// store goes down; all balancers are restarted at once. Cause: the catalogue
// was in balancers and the store only. Agents hold their own entries.
func TestAllBalancersRestartWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.Store.SetFaults(standin.Faults{Outage: true})
	for _, b := range f.Balancers {
		b.Kill()
	}
	for i := range f.Balancers {
		f.StartBalancer(i)
	}
	f.WaitReady()
	serves(t, f, "listing")
	serves(t, f, "records")
	f.Store.SetFaults(standin.Faults{})
	inForce(t, f, edit(t, f, "listing", 72))
	serves(t, f, "listing")
}
