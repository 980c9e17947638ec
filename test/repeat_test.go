package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// repeatWindow is long enough for all repeats of a test on a busy machine. The
// repeats end with it: a key may run again after its window.
const repeatWindow = 6 * time.Second

// reservations is one service whose agents are more than a majority of votes
// when one of them is gone.
func reservations() fleet.Config {
	return fleet.Config{
		Balancers:    3,
		Seed:         1,
		RepeatWindow: repeatWindow,
		Services: []fleet.Service{
			{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, RequestDuration: 300 * time.Millisecond},
		},
	}
}

// runs returns how often each key was run by any backend server.
func runs(f *fleet.Fleet) map[string]int {
	count := make(map[string]int)
	for _, a := range f.Agents {
		for _, r := range a.Backend.Journal() {
			count[r.Key]++
		}
	}
	return count
}

// expectOnce fails the test for each key that ran more than once.
func expectOnce(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for key, n := range runs(f) {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// reserve sends a request under a key on a new connection, as a caller does
// that repeats one whose answer it lost.
func reserve(ctx context.Context, f *fleet.Fleet, key string, patience time.Duration) *caller.Answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c := f.Caller("listing")
	defer c.Close()
	a, err := c.Reserve(ctx, key, "part")
	if err != nil {
		return nil
	}
	return a
}

// TestRepeatOnNewConnectionRunsOnce: symptom: one serial number is reserved for
// two operators. Sequence: a caller gives up on its reservation while the
// backend server works on it, and repeats it on new connections, which reach
// other agents. Cause: the second agent knew nothing of the first attempt.
func TestRepeatOnNewConnectionRunsOnce(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, reservations())
	const keys, repeats = 6, 5
	window, cancel := context.WithTimeout(context.Background(), repeatWindow)
	defer cancel()
	var wg sync.WaitGroup
	for k := range keys {
		wg.Go(func() {
			key := fmt.Sprint("key-", k)
			reserve(window, f, key, 100*time.Millisecond) // gives up early
			for range repeats {
				a := reserve(window, f, key, fleet.Limit)
				if a == nil {
					continue // the window is over, or the answer was lost
				}
				if a.Status == http.StatusCreated {
					continue // the first attempt never arrived, this one ran
				}
				if a.Outcome == "" || a.Outcome == "not-run" {
					t.Errorf("%s: status %d outcome %q after an attempt that may have run", key, a.Status, a.Outcome)
				}
			}
		})
	}
	wg.Wait()
	expectOnce(t, f)
	if got := len(runs(f)); got != keys {
		t.Errorf("%d of %d keys ran", got, keys)
	}
}

// TestRepeatAfterAgentDiedRunsOnce: symptom: as above. Sequence: the agent is
// killed, or frozen and later resumed, while its backend server works on the
// request; the caller repeats it at another agent; the frozen agent wakes and
// goes on. Cause: what the first agent knew died with it, and a woken agent
// acts on what it believed before its pause.
func TestRepeatAfterAgentDiedRunsOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range []struct {
		name   string
		strike func(*fleet.Agent)
		mend   func(*fleet.Agent)
	}{
		{"killed", func(a *fleet.Agent) { a.Kill() }, func(*fleet.Agent) {}},
		{"frozen", func(a *fleet.Agent) { a.Freeze() }, func(a *fleet.Agent) { a.Resume() }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, reservations())
			const keys = 8
			window, cancel := context.WithTimeout(context.Background(), repeatWindow)
			defer cancel()
			var wg sync.WaitGroup
			for k := range keys {
				wg.Go(func() { reserve(window, f, fmt.Sprint("key-", k), time.Second) })
			}
			busy := busiest(t, f)
			fault.strike(busy)
			wg.Wait()
			for k := range keys {
				wg.Go(func() {
					for range 3 {
						reserve(window, f, fmt.Sprint("key-", k), 3*time.Second)
					}
				})
			}
			wg.Wait()
			fault.mend(busy)
			for k := range keys {
				wg.Go(func() { reserve(window, f, fmt.Sprint("key-", k), 3*time.Second) })
			}
			wg.Wait()
			expectOnce(t, f)
		})
	}
}

// busiest waits until some backend server has begun work and returns its agent.
func busiest(t *testing.T, f *fleet.Fleet) (found *fleet.Agent) {
	t.Helper()
	f.Eventually("a backend server has begun work", func() bool {
		for _, a := range f.Agents {
			if len(a.Backend.Journal()) > 0 {
				found = a
				return true
			}
		}
		return false
	})
	return found
}
