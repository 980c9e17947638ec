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

// leaveLimit is by when a backend server that leaves gets no new flow.
const leaveLimit = 2 * time.Second

// oneService is one service with several backend servers.
func oneService() fleet.Config {
	return fleet.Config{Balancers: 3, Seed: 1, Services: []fleet.Service{
		{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, RequestDuration: 20 * time.Millisecond},
	}}
}

// newFlows opens connections one after the other, in several goroutines, and
// returns how many were served by each backend server. All must be served.
func newFlows(t *testing.T, f *fleet.Fleet, n int) map[string]int {
	t.Helper()
	const goroutines = 8
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.Limit)
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

// unplaced waits until no balancer counts more than n agents as ready.
func unplaced(f *fleet.Fleet, n int) {
	f.T.Helper()
	for _, b := range f.Balancers {
		f.Eventually(b.Name+" places no new flow on the agent that left", func() bool {
			v, ok := fleet.Metric(b.Admin, "hemlock_balancer_agents_ready")
			return ok && v <= float64(n)
		})
	}
}

// keepBusy opens feeds until the agent holds one, so that it stays while it
// drains, and returns a function that waits for their end.
func keepBusy(t *testing.T, f *fleet.Fleet, a *fleet.Agent, last time.Duration) *flows {
	t.Helper()
	l := &flows{t: t}
	for i := range 12 {
		l.run(f.Caller("listing"), func(ctx context.Context, c *caller.Caller, w *stallWatch) error {
			_, err := c.Feed(ctx, int(last/feedInterval), feedInterval, uint64(i), func(int) { w.progress() })
			return err
		})
	}
	fleet.Eventually(t, "feeds open", func() bool { return l.begun.Load() == 12 })
	if metric(t, a.Admin, "hemlock_agent_connections") == 0 {
		t.Log("the agent that leaves holds no feed")
	}
	return l
}

// TestLeavingAgentGetsNoNewFlow: symptom: a backend server that is being taken
// down gets new work. Sequence: SIGTERM to its agent while it holds feeds; its
// health endpoint goes on saying that all is well; two seconds later new
// callers come. Its open feeds run to their end.
func TestLeavingAgentGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	leaving := f.Agents[0]
	l := keepBusy(t, f, leaving, 6*time.Second)
	leaving.Terminate()
	pause(leaveLimit)
	for _, b := range f.Balancers {
		if n := metric(t, b.Admin, "hemlock_balancer_agents_ready"); int(n) != len(f.Agents)-1 {
			t.Errorf("%s places new flows on %v agents", b.Name, n)
		}
	}
	if n := newFlows(t, f, 64)[leaving.Backend.Name()]; n > 0 {
		t.Errorf("%d of 64 new flows reached the backend server that leaves", n)
	}
	l.wait()
	if err := leaving.Wait(fleet.Limit); err != nil {
		t.Error(err)
	}
}

// TestLeavingHeardUnevenly: symptom: as above, by one balancer only. Sequence: a
// balancer is frozen while an agent says that it leaves; callers' first packets
// wait in its socket; it runs on and places them by its old roster.
func TestLeavingHeardUnevenly(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	leaving := f.Agents[0]
	f.Balancers[1].Freeze()
	leaving.Terminate()
	served := make(chan map[string]int)
	go func() { served <- newFlows(t, f, 64) }()
	pause(leaveLimit)
	f.Balancers[1].Resume()
	<-served
	unplaced(f, len(f.Agents)-1)
	if n := newFlows(t, f, 64)[leaving.Backend.Name()]; n > 0 {
		t.Errorf("%d of 64 new flows reached the backend server that leaves", n)
	}
	if err := leaving.Wait(fleet.Limit); err != nil {
		t.Error(err)
	}
}

// TestKilledAgentGetsNoNewFlow: symptom: new callers wait for a dead agent.
// Sequence: SIGKILL, nobody says goodbye; callers come at once and go on
// coming. Those that meet the dead agent are served by another once the
// balancers have noticed, on the same attempt to connect.
func TestKilledAgentGetsNoNewFlow(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	f.Agents[0].Kill()
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		newFlows(t, f, 32)
		t.Log("32 callers that came at once were served after", time.Since(start))
	})
	unplaced(f, len(f.Agents)-1)
	t.Log("every balancer knows after", time.Since(start))
	wg.Wait()
	newFlows(t, f, 64)
}

// TestPlannedStopCutsNoRequest: symptom: a planned stop cuts requests in
// flight. Sequence: SIGTERM, and again 100 ms later, to an agent and then to a
// balancer, while callers send requests on connections of theirs without pause.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, oneService())
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.Limit)
	defer cancel()
	var answered, refused, failed atomic.Int64
	stop := make(chan struct{})
	halt := sync.OnceFunc(func() { close(stop) })
	var wg sync.WaitGroup
	defer wg.Wait()
	defer halt() // also when the test fails: callers that go on would hold it up
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
		if err := p.Wait(fleet.Limit); err != nil {
			t.Errorf("%s: %v", p.Name, err)
		}
		more()
	}
	halt()
	wg.Wait()
	t.Logf("answered %d, refused as not run %d, failed %d", answered.Load(), refused.Load(), failed.Load())
}
