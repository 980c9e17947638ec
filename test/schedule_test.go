package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/fabric"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

var (
	faultsSeed    = flag.Uint64("faults.seed", 1, "seed of the schedule of faults")
	faultsMinutes = flag.Float64("faults.minutes", 0.2, "duration of the schedule of faults in minutes")
)

// fault is a fault and how it ends.
type fault struct {
	name  string
	begin func(*schedule)
	end   func(*schedule)
}

// schedule draws faults from a seed, at most two at the same time. The balancer that a fault
// applies to is drawn from the same source, so a seed replays the same faults in the same order.
type schedule struct {
	t            *testing.T
	f            *fleet.Fleet
	rng          *rand.Rand
	target       int // index of the balancer that the fault applies to
	fabricFaults fabric.Faults
}

func (s *schedule) balancer() *fleet.Balancer { return s.f.Balancers[s.target] }

func (s *schedule) changeFabricFaults(change func(*fabric.Faults)) {
	change(&s.fabricFaults)
	s.f.Fabric.SetFaults(s.fabricFaults)
}

func (s *schedule) restart() {
	s.f.StartBalancer(s.target)
	s.f.Eventually("balancer ready again", func() bool {
		v, ok := fleet.Metric(s.balancer().Admin, "hemlock_balancer_agents_ready")
		return ok && int(v) == len(s.f.Agents)
	})
}

// balancerFaults apply to one balancer each.
var balancerFaults = []fault{
	{"kill", func(s *schedule) { s.balancer().Kill() }, (*schedule).restart},
	{"stop", func(s *schedule) { s.balancer().Terminate() }, func(s *schedule) {
		if err := s.balancer().Wait(fleet.WaitLimit); err != nil {
			s.t.Errorf("%s: %v", s.balancer().Name, err)
		}
		s.restart()
	}},
	{"freeze", func(s *schedule) { s.balancer().Freeze() }, func(s *schedule) { s.balancer().Resume() }},
	{"cut to", func(s *schedule) {
		s.changeFabricFaults(func(w *fabric.Faults) { w.CutTo = append(w.CutTo, s.balancer().Port) })
	}, func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.CutTo = nil }) }},
	{"cut from", func(s *schedule) {
		s.changeFabricFaults(func(w *fabric.Faults) { w.CutFrom = append(w.CutFrom, s.balancer().Port) })
	}, func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.CutFrom = nil }) }},
}

// packetFaults apply to all packets.
var packetFaults = []fault{
	{"loss", func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.Loss = 0.03 }) }, func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.Loss = 0 }) }},
	{"duplicates and reordering", func(s *schedule) {
		s.changeFabricFaults(func(w *fabric.Faults) { w.Duplicate, w.Reorder, w.ReorderDelay = 0.1, 0.1, 5*time.Millisecond })
	}, func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.Duplicate, w.Reorder = 0, 0 }) }},
	{"delay", func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.Delay = 3 * time.Millisecond }) }, func(s *schedule) { s.changeFabricFaults(func(w *fabric.Faults) { w.Delay = 0 }) }},
}

// round injects a balancer fault and a packet fault at the same time, and ends both. In every
// third round the balancer fault is injected twice in a row.
func (s *schedule) round(n int) {
	s.target = s.rng.IntN(len(s.f.Balancers))
	b, w := balancerFaults[s.rng.IntN(len(balancerFaults))], packetFaults[s.rng.IntN(len(packetFaults))]
	duration := time.Duration(300+s.rng.IntN(1200)) * time.Millisecond
	times := 1
	if n%3 == 2 {
		times = 2
	}
	s.t.Logf("round %d: %s of balancer %d, %d times, with %s, %v", n, b.name, s.target, times, w.name, duration)
	w.begin(s)
	for range times {
		b.begin(s)
		pause(duration)
		b.end(s)
	}
	w.end(s)
}

// TestScheduleOfFaults injects two faults at the same time, and the same one twice, drawn from a
// seed, while feeds, downloads and reservations go on. Every flow must be complete, no answer may
// be wrong, no request may run twice, and none may run that was refused with the outcome not-run.
//
//	go test ./test -run TestScheduleOfFaults -faults.seed 7 -faults.minutes 10 -timeout 30m
func TestScheduleOfFaults(t *testing.T) {
	t.Parallel()
	cfg := kanatpar()
	cfg.Balancers = 4
	f := fleet.Start(t, cfg)
	s := &schedule{t: t, f: f, rng: rand.New(rand.NewPCG(*faultsSeed, 0))}
	t.Logf("seed %d, %v minutes", *faultsSeed, *faultsMinutes)
	end := time.Now().Add(time.Duration(*faultsMinutes * float64(time.Minute)))
	w := newWork(t, f)
	defer w.stopAndWait() // also when the test fails, since running callers would keep it from ending
	for n := 0; time.Now().Before(end); n++ {
		s.round(n)
	}
	w.finish()
}

// work is a set of flows and requests that go on until stopAndWait.
type work struct {
	t                      *testing.T
	f                      *fleet.Fleet
	wg                     sync.WaitGroup
	stop                   chan struct{}
	once                   sync.Once
	flows, answers, failed atomic.Int64
	mu                     sync.Mutex
	notRun                 []string
	outcomes               map[string]int // of reservations that were not answered by the backend server
}

func newWork(t *testing.T, f *fleet.Fleet) *work {
	w := &work{t: t, f: f, stop: make(chan struct{}), outcomes: make(map[string]int)}
	for i := range 4 {
		w.repeat("listing", func(ctx context.Context, c *caller.Caller, n int) {
			_, err := c.Feed(ctx, 100, feedInterval, uint64(n), nil)
			w.recordFlow(err)
		})
		w.repeat("records", func(ctx context.Context, c *caller.Caller, n int) {
			_, err := c.DownloadAt(ctx, downloadRate, downloadRate, uint64(n), nil)
			w.recordFlow(err)
		})
		w.repeat("listing", func(ctx context.Context, c *caller.Caller, n int) {
			w.reserve(ctx, c, fmt.Sprintf("reservation-%d-%d", i, n))
		})
	}
	return w
}

// repeat runs do in a loop with one caller, which has one connection.
func (w *work) repeat(service string, do func(context.Context, *caller.Caller, int)) {
	w.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit+time.Duration(*faultsMinutes*float64(time.Minute)))
		defer cancel()
		c := w.f.Caller(service)
		for n := 0; ; n++ {
			select {
			case <-w.stop:
				return
			default:
				do(ctx, c, n)
			}
		}
	})
}

func (w *work) recordFlow(err error) {
	w.flows.Add(1)
	if err != nil {
		w.t.Errorf("flow: %v", err)
	}
}

// reserve sends one reservation. A visible failure is allowed: the agents of both services stay
// up, but a deadline may pass under loss.
func (w *work) reserve(ctx context.Context, c *caller.Caller, key string) {
	a, err := c.Reserve(ctx, key, "part")
	checkAnswerError(w.t, err)
	if err != nil {
		w.failed.Add(1)
		return
	}
	w.answers.Add(1)
	if a.Outcome == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[a.Outcome+", "+a.Header.Get("Hemlock-Reason")]++
	if a.Outcome == "not-run" {
		w.notRun = append(w.notRun, key)
	}
}

// stopAndWait stops all flows and requests and waits for their end.
func (w *work) stopAndWait() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

// finish stops all flows and requests and checks the answers.
func (w *work) finish() {
	w.t.Helper()
	w.stopAndWait()
	checkRunOnce(w.t, w.f)
	journal := runsByKey(w.f)
	for _, key := range w.notRun {
		if journal[key] > 0 {
			w.t.Errorf("%s had the outcome not-run, and ran", key)
		}
	}
	w.t.Logf("flows %d, reservations answered %d, of them by outcome, not by the backend server, %v, failed visibly %d", w.flows.Load(), w.answers.Load(), w.outcomes, w.failed.Load())
	if w.flows.Load() == 0 || w.answers.Load() == 0 {
		w.t.Error("no flow was opened or no reservation was answered, so nothing was tested")
	}
}
