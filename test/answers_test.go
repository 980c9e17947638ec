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

// Guards against truncated answers and answers to another caller. The fabric loses, duplicates,
// reorders and delays packets at the same time, while many callers request answers that all
// differ, some of them long.
func TestAnswersAreCompleteOnLossyFabric(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.Fabric.SetFaults(fabric.Faults{Loss: 0.03, Duplicate: 0.1, Reorder: 0.1, ReorderDelay: 5 * time.Millisecond, Delay: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.WaitLimit)
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
		t.Error("the fabric lost no packet, so no fault was tested")
	}
}

// Guards against truncated answers that look complete to the caller, and against the outcome
// not-run for a request that ran. The backend server runs a request and then fails in each way
// that an agent can observe over HTTP/1.1.
func TestBackendFailureIsVisibleToCaller(t *testing.T) {
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
			timeout := fleet.WaitLimit
			if fault == backend.FaultStallBody {
				timeout = 2 * time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			a, err := c.Card(ctx, fmt.Sprint(name, i)[:1])
			checkFailureVisible(t, name+", read", a, err)
			a, err = c.Reserve(ctx, fmt.Sprint(name, i), "part")
			checkFailureVisible(t, name+", reservation", a, err)
			if err == nil && a.Outcome == "not-run" && ranAnywhere(f, fmt.Sprint(name, i)) {
				t.Errorf("%s: outcome not-run for a request that ran", name)
			}
			cancel()
			c.Close()
		}
	}
	for _, a := range f.Agents {
		a.Backend.SetFault(backend.FaultNone)
	}
	awaitServed(t, f, "listing")
}

// checkFailureVisible fails the test unless the caller could see that the request failed.
func checkFailureVisible(t *testing.T, name string, a *caller.Answer, err error) {
	t.Helper()
	var e *caller.Error
	switch {
	case errors.As(err, &e) && e.Kind == caller.BrokenFlow:
	case err != nil:
		t.Errorf("%s: %v", name, err)
	case a.Status < 500 || a.Outcome == "":
		t.Errorf("%s: failure is not visible: status %d, %d bytes", name, a.Status, len(a.Body))
	}
}

// ranAnywhere reports whether the journal of any backend server has a key.
func ranAnywhere(f *fleet.Fleet, key string) bool { return runsByKey(f)[key] > 0 }
