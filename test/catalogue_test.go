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

// editQueueLimit sets the queue limit of a service's entry and returns the revision of the edit.
func editQueueLimit(t *testing.T, f *fleet.Fleet, service string, queue int) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
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

// awaitInForce waits until a revision is in force at every balancer, and fails the test if a
// balancer's revision decreases meanwhile.
func awaitInForce(t *testing.T, f *fleet.Fleet, revision uint64) {
	t.Helper()
	highest := make([]uint64, len(f.Balancers))
	fleet.Eventually(t, fmt.Sprintf("revision %d in force at every balancer", revision), func() bool {
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

// sixBalancers is a fleet of one availability zone with more balancers than contact slots.
func sixBalancers() fleet.Config {
	c := kanatpar()
	c.Balancers = 6
	return c
}

// Guards against a new limit that is in force at some balancers only. Three of six balancers hold
// a contact slot and read the store; the others have no other source than these.
func TestEditReachesBalancersWithoutSlot(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, sixBalancers())
	for n := range 5 {
		start := time.Now()
		awaitInForce(t, f, editQueueLimit(t, f, "listing", 60+n))
		t.Log("in force after", time.Since(start))
	}
	if calls := f.Store.Calls(); calls.Watches == 0 {
		t.Errorf("no balancer watches the store: %+v", calls)
	}
}

// Guards against restarted balancers that drop every packet while the store is down. All balancers
// but one are replaced then, and a recently started balancer must not depend on the store alone
// for the catalogue.
func TestBalancersStartWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	revision := editQueueLimit(t, f, "listing", 70)
	awaitInForce(t, f, revision)
	f.Store.SetFaults(standin.Faults{Outage: true})
	for i := range 2 {
		f.Balancers[i].Kill()
		f.StartBalancer(i)
	}
	awaitInForce(t, f, revision)
	f.WaitReady()
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
	defer cancel()
	if a, err := f.Caller("listing").Card(ctx, "1"); err != nil || a.Status != 200 {
		t.Errorf("card: %v %v", a, err)
	}
	f.Store.SetFaults(standin.Faults{})
	awaitInForce(t, f, editQueueLimit(t, f, "listing", 71))
}

// Guards against an edit that is in force at no balancer although the store answers. The store
// drops its watches without an error, and a lost watch looks like one of an unchanged catalogue.
func TestLostWatch(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.Store.SetFaults(standin.Faults{StopWatches: true})
	awaitInForce(t, f, editQueueLimit(t, f, "listing", 80))
}

// Guards against a raised limit that reverts to its old value. A balancer that holds a contact
// slot is frozen during edits, loses its lease, resumes as if it still held the slot, and sends
// its old catalogue. Receivers must compare revisions, whatever the sender's role.
func TestFrozenSlotHolderDoesNotRevert(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	frozen := f.Balancers[0]
	frozen.Freeze()
	var revision uint64
	awake := *f
	awake.Balancers = f.Balancers[1:]
	for n := range 4 {
		revision = editQueueLimit(t, f, "listing", 90+n)
		awaitInForce(t, &awake, revision)
	}
	frozen.Resume()
	awaitInForce(t, f, revision)
	awaitInForce(t, f, editQueueLimit(t, f, "records", 99))
}

// Guards against a fleet that drops every packet until the store recovers, after all balancers
// restarted at once while the store was down, as in a power failure of the entry VMs. Agents hold
// the entries of their own services, from which the balancers recover.
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
	awaitServed(t, f, "listing")
	awaitServed(t, f, "records")
	f.Store.SetFaults(standin.Faults{})
	awaitInForce(t, f, editQueueLimit(t, f, "listing", 72))
	awaitServed(t, f, "listing")
}
