package test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

var overloadMeasure = flag.Bool("overload.measure", false, "print goodput against offered load through real processes; takes a minute")

const (
	overloadWork     = 20 * time.Millisecond
	overloadBackends = 3
	overloadSlots    = overloadBackends * catalogue.DefaultSlots
)

func overloadFleet() fleet.Config {
	return fleet.Config{
		Balancers: 3,
		Seed:      1,
		Services: []fleet.Service{{
			Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: overloadBackends,
			RequestDuration: overloadWork, Limits: catalogue.Limits{Queue: 5, Deadline: 500 * time.Millisecond},
		}},
	}
}

// outcomes counts the outcomes of requests at the callers.
type outcomes struct {
	mu                                                sync.Mutex
	complete, refused, noRetryAfter, lost, unexpected int
	slowest                                           time.Duration
}

// generateLoad runs callers that send one request after another until the time is over.
func generateLoad(f *fleet.Fleet, callers int, duration time.Duration) *outcomes {
	o := &outcomes{}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := f.Caller("listing")
			for k := 0; time.Now().Before(end); k++ {
				ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
				start := time.Now()
				a, err := c.Card(ctx, fmt.Sprint(i, "-", k))
				cancel()
				o.mu.Lock()
				o.slowest = max(o.slowest, time.Since(start))
				switch {
				case err != nil:
					o.lost++
				case a.Status == http.StatusOK:
					o.complete++
				case a.Outcome == "not-run" && a.RetryAfter != "":
					o.refused++
				case a.Status == http.StatusServiceUnavailable && a.RetryAfter == "":
					o.noRetryAfter++
				default:
					o.unexpected++
				}
				o.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return o
}

// Guards against late or missing answers and reduced goodput under overload, which arise if
// requests whose callers have given up are queued before others. Five times as many callers as
// slots send requests without a pause, and each must be answered completely or refused with a
// Retry-After.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, overloadFleet())
	n := generateLoad(f, 5*overloadSlots, 2*time.Second)
	t.Logf("complete %d refused %d slowest %v", n.complete, n.refused, n.slowest)
	if n.noRetryAfter+n.lost+n.unexpected > 0 {
		t.Errorf("%d refusals without Retry-After, %d lost, %d unexpected", n.noRetryAfter, n.lost, n.unexpected)
	}
	if n.complete == 0 || n.refused == 0 {
		t.Errorf("complete %d refused %d: no overload was reached", n.complete, n.refused)
	}
}

// TestMeasureOverload prints goodput against offered load.
func TestMeasureOverload(t *testing.T) {
	if !*overloadMeasure {
		return
	}
	f := fleet.Start(t, overloadFleet())
	capacity := float64(overloadSlots) / overloadWork.Seconds()
	t.Logf("capacity of the backend servers %.0f/s", capacity)
	for _, times := range []float64{0.5, 1, 2, 5, 10} {
		const duration = 5 * time.Second
		n := generateLoad(f, int(times*overloadSlots), duration)
		t.Logf("callers %4.1f x slots: goodput %4.0f/s refused %5.0f/s lost %d unexpected %d slowest %v",
			times, float64(n.complete)/duration.Seconds(), float64(n.refused)/duration.Seconds(), n.lost, n.unexpected, n.slowest)
	}
}
