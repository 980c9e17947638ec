package test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/backend"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/fabric"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// TestWholeAnswersThroughBadFabric: symptom: a caller gets a cut answer or that
// of another. Sequence: the fabric loses, doubles, holds back and delays
// packets all at once while many callers ask for answers that are all
// different, some of them long.
func TestWholeAnswersThroughBadFabric(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.Fabric.SetFaults(fabric.Faults{Loss: 0.03, Duplicate: 0.1, Reorder: 0.1, ReorderDelay: 5 * time.Millisecond, Delay: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.Limit)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			c := f.Caller("listing")
			for n := range 20 {
				id := fmt.Sprint(i, "-", n)
				if a, err := c.Card(ctx, id); err != nil || a.Status != 200 {
					t.Errorf("card %s: %v %v", id, a, err)
				}
			}
		})
		wg.Go(func() {
			if _, err := f.Caller("records").Download(ctx, 1<<20, uint64(i), nil); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if f.Fabric.Counts().Lost == 0 {
		t.Error("the fabric lost nothing; the test proves nothing")
	}
}

// TestFaultyBackendShows: symptom: a cut answer looks whole to the caller, or a
// request that ran is said not to have run. Sequence: the backend server runs a
// request and then fails in every way that HTTP/1.1 lets an agent see.
func TestFaultyBackendShows(t *testing.T) {
	t.Parallel()
	faults := map[string]backend.Fault{
		"no answer": backend.FaultNoAnswer, "garbage": backend.FaultGarbage, "half header": backend.FaultHalfHeader,
		"cut length": backend.FaultCutLength, "cut chunks": backend.FaultCutChunks, "stalled body": backend.FaultStallBody,
	}
	f := fleet.Start(t, kanatpar())
	for name, fault := range faults {
		for _, a := range f.Agents {
			a.Backend.SetFault(fault)
		}
		for i := range 4 {
			c := f.Caller("listing")
			patience := fleet.Limit
			if fault == backend.FaultStallBody {
				patience = 2 * time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			a, err := c.Card(ctx, fmt.Sprint(name, i)[:1])
			mustShow(t, name+", read", a, err)
			a, err = c.Reserve(ctx, fmt.Sprint(name, i), "part")
			mustShow(t, name+", reservation", a, err)
			if err == nil && a.Outcome == "not-run" && ran(f, fmt.Sprint(name, i)) {
				t.Errorf("%s: said not to have run, and ran", name)
			}
			cancel()
			c.Close()
		}
	}
	for _, a := range f.Agents {
		a.Backend.SetFault(backend.FaultNone)
	}
	serves(t, f, "listing")
}

// mustShow fails the test unless the caller saw that something failed.
func mustShow(t *testing.T, name string, a *caller.Answer, err error) {
	t.Helper()
	var e *caller.Error
	switch {
	case errors.As(err, &e) && e.Kind == caller.BrokenFlow:
	case err != nil:
		t.Errorf("%s: %v", name, err)
	case a.Status < 500 || a.Outcome == "":
		t.Errorf("%s: looks whole: status %d, %d bytes", name, a.Status, len(a.Body))
	}
}

// ran reports whether any backend server journaled a key.
func ran(f *fleet.Fleet, key string) bool { return runs(f)[key] > 0 }
