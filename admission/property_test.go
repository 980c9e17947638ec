package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the property tests, so that every run gives the
// same result. A -rapid.seed flag on the command line overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

// tracker drives a controller with random calls and checks its decisions against
// the requests that should be waiting, running and open.
type tracker struct {
	t        *rapid.T
	c        *Controller
	now      time.Time
	cfg      Config
	next     uint64
	waiting  map[uint64]Request
	running  map[uint64]Request
	open     map[uint64]Request
	draining bool
}

// effects applies the controller's effects and compares its counts with those of
// the tracker.
func (k *tracker) effects() {
	for _, e := range k.c.Effects(nil) {
		r, ok := k.waiting[e.ID]
		if !ok {
			k.t.Fatalf("effect %+v on a request that is not waiting", e)
		}
		delete(k.waiting, e.ID)
		if e.Kind == Start {
			k.start(r)
		} else if e.Refusal.Reason == 0 || e.Refusal.RetryAfter < 0 {
			k.t.Fatalf("refusal without a reason or retry time: %+v", e)
		}
	}
	l := k.c.Load(k.now)
	if l.Slots != len(k.running) || l.Queued != len(k.waiting) {
		k.t.Fatalf("load %+v, but %d requests are running and %d waiting", l, len(k.running), len(k.waiting))
	}
	if l.Queued > k.cfg.Queue || l.LongFlows > k.cfg.LongFlows {
		k.t.Fatalf("load %+v exceeds the limits", l)
	}
}

func (k *tracker) start(r Request) {
	if !r.Deadline.IsZero() && !k.now.Before(r.Deadline) {
		k.t.Fatalf("request %d started after its deadline", r.ID)
	}
	k.running[r.ID] = r
	if len(k.running) > k.cfg.Slots {
		k.t.Fatalf("%d requests are running on %d slots", len(k.running), k.cfg.Slots)
	}
}

func (k *tracker) offer() {
	k.next++
	r := Request{ID: k.next, Owner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(k.t, "owner")}
	r.Class = rapid.SampledFrom([]catalogue.Class{"", catalogue.ClassStream}).Draw(k.t, "class")
	if d := rapid.IntRange(0, 300).Draw(k.t, "deadline"); d > 0 {
		r.Deadline = k.now.Add(time.Duration(d) * time.Millisecond)
	}
	d := k.c.Offer(k.now, r)
	if k.draining && d.Refusal.Reason != ReasonDraining {
		k.t.Fatalf("%+v while draining", d)
	}
	switch d.Verdict {
	case Admitted:
		k.start(r)
	case Queued:
		k.waiting[r.ID] = r
	}
}

// pickID draws a request ID from the keys of from; IDs are at most upTo. It
// returns false if from is empty.
func pickID(t *rapid.T, from map[uint64]Request, upTo uint64) (uint64, bool) {
	if len(from) == 0 {
		return 0, false
	}
	id := rapid.Uint64Range(1, upTo).Draw(t, "id")
	for ; ; id = id%upTo + 1 {
		if _, ok := from[id]; ok {
			return id, true
		}
	}
}

// done ends a random request of from with a random outcome.
func (k *tracker) done(from map[uint64]Request) {
	id, ok := pickID(k.t, from, k.next)
	if !ok {
		return
	}
	delete(from, id)
	outcome := Outcome(rapid.IntRange(int(OK), int(Canceled)).Draw(k.t, "outcome"))
	for waitingID := range k.waiting {
		k.c.Done(k.now, waitingID, Result{Outcome: outcome}) // ignored, as the request is not running
	}
	k.c.Done(k.now, id, Result{Outcome: outcome})
	k.effects()
}

func (k *tracker) step() {
	switch rapid.IntRange(0, 9).Draw(k.t, "step") {
	case 0, 1, 2, 3:
		k.offer()
	case 4, 5:
		k.done(k.running)
	case 6:
		if id, ok := pickID(k.t, k.running, k.next); ok && isLongClass(k.running[id].Class) {
			k.open[id] = k.running[id]
			delete(k.running, id)
			k.c.Opened(k.now, id)
		}
	case 7:
		if id, ok := pickID(k.t, k.waiting, k.next); ok {
			delete(k.waiting, id)
			k.c.Cancel(k.now, id)
		}
	case 8:
		k.done(k.open)
	case 9:
		k.now = k.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(k.t, "ms")) * time.Millisecond)
		k.c.Tick(k.now)
	}
	k.effects()
}

// Every request is either refused and never started, or started exactly once,
// within the slots and before its deadline. Every waiting request is eventually
// started or refused.
func TestEveryRequestIsStartedOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:     rapid.IntRange(1, 5).Draw(t, "slots"),
			Queue:     rapid.IntRange(1, 8).Draw(t, "queue"),
			LongFlows: rapid.IntRange(1, 9).Draw(t, "long"),
			Warmup:    time.Duration(rapid.IntRange(0, 2).Draw(t, "warmup")) * time.Second,
		}
		k := &tracker{t: t, c: New(t0, cfg), now: t0, cfg: cfg}
		k.waiting = map[uint64]Request{}
		k.running = map[uint64]Request{}
		k.open = map[uint64]Request{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			k.step()
		}
		k.c.Drain()
		k.draining = true
		k.offer()
		for range 10_000 {
			if len(k.waiting)+len(k.running)+len(k.open) == 0 {
				if n := len(k.c.tracked); n > 0 {
					t.Fatalf("%d finished requests are still tracked", n)
				}
				return
			}
			k.now = k.now.Add(100 * time.Millisecond)
			k.done(k.running)
			k.done(k.open)
			k.c.Tick(k.now)
			k.effects()
		}
		t.Fatalf("%d requests are still waiting after draining", len(k.waiting))
	})
}
