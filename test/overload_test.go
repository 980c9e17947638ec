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

func overloaded() fleet.Config {
	return fleet.Config{
		Balancers: 3,
		Seed:      1,
		Services: []fleet.Service{{
			Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: overloadBackends,
			RequestDuration: overloadWork, Limits: catalogue.Limits{Queue: 5, Deadline: 500 * time.Millisecond},
		}},
	}
}

// counts is what callers saw.
type counts struct {
	mu                                sync.Mutex
	whole, refused, silent, lost, odd int
	slowest                           time.Duration
}

// offer runs callers that ask one request after another until the time is over.
func offer(f *fleet.Fleet, callers int, last time.Duration) *counts {
	n := &counts{}
	end := time.Now().Add(last)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := f.Caller("listing")
			for k := 0; time.Now().Before(end); k++ {
				ctx, cancel := context.WithTimeout(context.Background(), fleet.Limit)
				start := time.Now()
				a, err := c.Card(ctx, fmt.Sprint(i, "-", k))
				cancel()
				n.mu.Lock()
				n.slowest = max(n.slowest, time.Since(start))
				switch {
				case err != nil:
					n.lost++
				case a.Status == http.StatusOK:
					n.whole++
				case a.Outcome == "not-run" && a.RetryAfter != "":
					n.refused++
				case a.Status == http.StatusServiceUnavailable && a.RetryAfter == "":
					n.silent++
				default:
					n.odd++
				}
				n.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return n
}

// TestOverloadIsRefusedAtOnce: symptom: under overload answers come late or not
// at all, and less work is done than at the peak. Sequence: five times as many
// callers as slots ask without a pause. Cause: work that nobody waits for any
// more is queued before work that somebody does. Each request must be answered
// whole or refused with a time to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, overloaded())
	n := offer(f, 5*overloadSlots, 2*time.Second)
	t.Logf("whole %d refused %d slowest %v", n.whole, n.refused, n.slowest)
	if n.silent+n.lost+n.odd > 0 {
		t.Errorf("%d refusals without a time to come back, %d lost, %d odd", n.silent, n.lost, n.odd)
	}
	if n.whole == 0 || n.refused == 0 {
		t.Errorf("whole %d refused %d: no overload was reached", n.whole, n.refused)
	}
}

// TestMeasureOverload prints goodput against offered load.
func TestMeasureOverload(t *testing.T) {
	if !*overloadMeasure {
		return
	}
	f := fleet.Start(t, overloaded())
	capacity := float64(overloadSlots) / overloadWork.Seconds()
	t.Logf("capacity of the backend servers %.0f/s", capacity)
	for _, times := range []float64{0.5, 1, 2, 5, 10} {
		const last = 5 * time.Second
		n := offer(f, int(times*overloadSlots), last)
		t.Logf("callers %4.1f x slots: goodput %4.0f/s refused %5.0f/s lost %d odd %d slowest %v",
			times, float64(n.whole)/last.Seconds(), float64(n.refused)/last.Seconds(), n.lost, n.odd, n.slowest)
	}
}
