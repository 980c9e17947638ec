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

// idempotencyWindow is long enough for all repeats of a test on a busy machine. Repeats stop at
// its end, since a key may run again after its window.
const idempotencyWindow = 6 * time.Second

// reservationFleet is a fleet of one service whose agents are still a majority of votes when one
// of them has failed.
func reservationFleet() fleet.Config {
	return fleet.Config{
		Balancers:         3,
		Seed:              1,
		IdempotencyWindow: idempotencyWindow,
		Services: []fleet.Service{
			{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, RequestDuration: 300 * time.Millisecond},
		},
	}
}

// runsByKey returns how often each key was run by the backend servers.
func runsByKey(f *fleet.Fleet) map[string]int {
	count := make(map[string]int)
	for _, a := range f.Agents {
		for _, r := range a.Backend.Journal() {
			count[r.Key]++
		}
	}
	return count
}

// checkRunOnce fails the test for each key that ran more than once.
func checkRunOnce(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for key, n := range runsByKey(f) {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// reserve sends a request with a key on a new connection, as a caller does that repeats a request
// whose answer was lost.
func reserve(ctx context.Context, f *fleet.Fleet, key string, timeout time.Duration) *caller.Answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := f.Caller("listing")
	defer c.Close()
	a, err := c.Reserve(ctx, key, "part")
	if err != nil {
		return nil
	}
	return a
}

// Guards against a serial number that is reserved for two operators. A caller cancels its
// reservation while the backend server processes it, and repeats it on new connections, which
// reach other agents without state of the first attempt.
func TestRepeatOnNewConnectionRunsOnce(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, reservationFleet())
	const keys, repeats = 6, 5
	window, cancel := context.WithTimeout(context.Background(), idempotencyWindow)
	defer cancel()
	var wg sync.WaitGroup
	for k := range keys {
		wg.Go(func() {
			key := fmt.Sprint("key-", k)
			reserve(window, f, key, 100*time.Millisecond) // cancelled while the request is in progress
			for range repeats {
				a := reserve(window, f, key, fleet.WaitLimit)
				if a == nil {
					continue // the window is over, or the answer was lost
				}
				if a.Status == http.StatusCreated {
					continue // the first attempt never arrived, and this one ran
				}
				if a.Outcome == "" || a.Outcome == "not-run" {
					t.Errorf("%s: status %d outcome %q after an attempt that may have run", key, a.Status, a.Outcome)
				}
			}
		})
	}
	wg.Wait()
	checkRunOnce(t, f)
	if got := len(runsByKey(f)); got != keys {
		t.Errorf("%d of %d keys ran", got, keys)
	}
}

// Guards against a reservation that runs twice because its agent failed. The agent is killed, or
// frozen and later resumed, while its backend server processes the request, and the caller repeats
// it at another agent. A killed agent's state is lost, and a resumed agent acts on outdated state.
func TestRepeatAfterAgentDiedRunsOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range []struct {
		name   string
		inject func(*fleet.Agent)
		undo   func(*fleet.Agent)
	}{
		{"killed", func(a *fleet.Agent) { a.Kill() }, func(*fleet.Agent) {}},
		{"frozen", func(a *fleet.Agent) { a.Freeze() }, func(a *fleet.Agent) { a.Resume() }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, reservationFleet())
			const keys = 8
			window, cancel := context.WithTimeout(context.Background(), idempotencyWindow)
			defer cancel()
			var wg sync.WaitGroup
			for k := range keys {
				wg.Go(func() { reserve(window, f, fmt.Sprint("key-", k), time.Second) })
			}
			busy := firstBusyAgent(t, f)
			fault.inject(busy)
			wg.Wait()
			for k := range keys {
				wg.Go(func() {
					for range 3 {
						reserve(window, f, fmt.Sprint("key-", k), 3*time.Second)
					}
				})
			}
			wg.Wait()
			fault.undo(busy)
			for k := range keys {
				wg.Go(func() { reserve(window, f, fmt.Sprint("key-", k), 3*time.Second) })
			}
			wg.Wait()
			checkRunOnce(t, f)
		})
	}
}

// firstBusyAgent waits until a backend server has started to process a request, and returns its
// agent.
func firstBusyAgent(t *testing.T, f *fleet.Fleet) (found *fleet.Agent) {
	t.Helper()
	f.Eventually("a backend server processes a request", func() bool {
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
