package test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// drainLimit is the time after which a draining backend server gets no new flow.
const drainLimit = 2 * time.Second

// oneService is a fleet of one service with several backend servers.
func oneService() fleet.Config {
	return fleet.Config{Balancers: 3, Seed: 1, Services: []fleet.Service{
		{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, RequestDuration: 20 * time.Millisecond},
	}}
}

// newFlows opens n connections from several goroutines and returns how many of them each backend
// server served. All must be served.
func newFlows(t *testing.T, f *fleet.Fleet, n int) map[string]int {
	t.Helper()
	const goroutines = 8
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit)
	defer cancel()
	served := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Go(func() {
			for i := range n / goroutines {
				c := f.Caller("listing")
				a, err := c.Card(ctx, fmt.Sprint("new-", g, "-", i))
				c.Close()
				if err != nil || a.Status != 200 {
					t.Errorf("new flow: %v %v", a, err)
					continue
				}
				mu.Lock()
				served[a.Server]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return served
}

// awaitReadyAgents waits until no balancer has more than n agents as ready.
func awaitReadyAgents(f *fleet.Fleet, n int) {
	f.T.Helper()
	for _, b := range f.Balancers {
		f.Eventually(b.Name+" places no new flows on the agent", func() bool {
			v, ok := fleet.Metric(b.Admin, "hemlock_balancer_agents_ready")
			return ok && v <= float64(n)
		})
	}
}

// openFeeds opens feeds, so that the agent is likely to hold one and keeps running while it
// drains. It returns once all feeds have received data.
func openFeeds(t *testing.T, f *fleet.Fleet, a *fleet.Agent, duration time.Duration) *flows {
	t.Helper()
	l := &flows{t: t}
	for i := range 12 {
		l.run(f.Caller("listing"), func(ctx context.Context, c *caller.Caller, w *progressTimer) error {
			_, err := c.Feed(ctx, int(duration/feedInterval), feedInterval, uint64(i), func(int) { w.progress() })
			return err
		})
	}
	fleet.Eventually(t, "all feeds have received data", func() bool { return l.started.Load() == 12 })
	if metric(t, a.Admin, "hemlock_agent_connections") == 0 {
		t.Log("the draining agent holds no feed")
	}
	return l
}

// Guards against new flows at a backend server that is being stopped. Its agent gets SIGTERM while
// it holds feeds, its health endpoint continues to report healthy, and new callers connect two
// seconds later. Open feeds must run to their end.
func TestDrainingAgentGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	leaving := f.Agents[0]
	l := openFeeds(t, f, leaving, 6*time.Second)
	leaving.Terminate()
	pause(drainLimit)
	for _, b := range f.Balancers {
		if n := metric(t, b.Admin, "hemlock_balancer_agents_ready"); int(n) != len(f.Agents)-1 {
			t.Errorf("%s places new flows on %v agents", b.Name, n)
		}
	}
	if n := newFlows(t, f, 64)[leaving.Backend.Name()]; n > 0 {
		t.Errorf("%d of 64 new flows reached the draining backend server", n)
	}
	l.wait()
	if err := leaving.Wait(fleet.WaitLimit); err != nil {
		t.Error(err)
	}
}

// Guards against new flows at a draining agent by a balancer that missed the drain. The balancer
// is frozen during the drain, callers' first packets wait in its socket, and after it resumes it
// places them by its outdated member list.
func TestDrainWhileBalancerIsFrozen(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	leaving := f.Agents[0]
	f.Balancers[1].Freeze()
	leaving.Terminate()
	served := make(chan map[string]int)
	go func() { served <- newFlows(t, f, 64) }()
	pause(drainLimit)
	f.Balancers[1].Resume()
	<-served
	awaitReadyAgents(f, len(f.Agents)-1)
	if n := newFlows(t, f, 64)[leaving.Backend.Name()]; n > 0 {
		t.Errorf("%d of 64 new flows reached the draining backend server", n)
	}
	if err := leaving.Wait(fleet.WaitLimit); err != nil {
		t.Error(err)
	}
}

// Guards against new callers that wait for an agent killed by SIGKILL, which could not deregister.
// Callers that reach the killed agent must be served by another one, on the same attempt to
// connect, once the balancers have detected the failure.
func TestKilledAgentGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	f.Agents[0].Kill()
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		newFlows(t, f, 32)
		t.Log("32 callers that connected at once were served after", time.Since(start))
	})
	awaitReadyAgents(f, len(f.Agents)-1)
	t.Log("every balancer has detected the failure after", time.Since(start))
	wg.Wait()
	newFlows(t, f, 64)
}

// Guards against planned stops that cut requests in progress. An agent and then a balancer get
// SIGTERM, and again 100 ms later, while callers send requests on their connections without pause.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit)
	defer cancel()
	var answered, refused, failed atomic.Int64
	stop := make(chan struct{})
	halt := sync.OnceFunc(func() { close(stop) })
	var wg sync.WaitGroup
	defer wg.Wait()
	defer halt() // also when the test fails, since running callers would keep it from ending
	for i := range 8 {
		wg.Go(func() {
			c := f.Caller("listing")
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a, err := c.Card(ctx, fmt.Sprint(i, "-", n))
				switch {
				case err != nil:
					failed.Add(1)
					t.Errorf("caller %d, request %d: %v", i, n, err)
				case a.Status == 200:
					answered.Add(1)
				case a.Outcome == "not-run":
					refused.Add(1)
				default:
					t.Errorf("caller %d, request %d: %v", i, n, a)
				}
			}
		})
	}
	more := func() {
		want := answered.Load() + 200
		fleet.Eventually(t, "requests answered", func() bool { return answered.Load() >= want })
	}
	for _, p := range []*fleet.Process{f.Agents[0].Process, f.Balancers[1].Process} {
		more()
		p.Terminate()
		pause(100 * time.Millisecond)
		p.Terminate()
		if err := p.Wait(fleet.WaitLimit); err != nil {
			t.Errorf("%s: %v", p.Name, err)
		}
		more()
	}
	halt()
	wg.Wait()
	t.Logf("answered %d, refused with outcome not-run %d, failed %d", answered.Load(), refused.Load(), failed.Load())
}
