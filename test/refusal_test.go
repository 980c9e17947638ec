package test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// refusalCase is one way in which a request is refused.
type refusalCase struct {
	name   string
	reason string // empty if the end of the first agent is what is waited for
	limits catalogue.Limits
	work   time.Duration
	header http.Header
	// fault is done once the callers are at work.
	fault func(f *fleet.Fleet)
}

func setShed(f *fleet.Fleet) {
	for _, a := range f.Agents {
		a.Backend.SetShed(true)
	}
}

func closeBackends(f *fleet.Fleet) {
	for _, a := range f.Agents {
		a.Backend.Close()
	}
}

func drainOne(f *fleet.Fleet) { f.Agents[0].Terminate() }

var refusalCases = []refusalCase{
	{name: "queue full", reason: "queue_full", limits: catalogue.Limits{Slots: 1, Queue: 1}, work: 200 * time.Millisecond},
	{name: "rate", reason: "limit", limits: catalogue.Limits{Rate: 5}},
	{name: "deadline", reason: "deadline", limits: catalogue.Limits{Slots: 1}, work: 300 * time.Millisecond, header: http.Header{"Request-Timeout-Ms": {"350"}}},
	{name: "drain", work: 20 * time.Millisecond, fault: drainOne},
	{name: "shed", reason: "shed", header: http.Header{"Request-Timeout-Ms": {"500"}}, fault: setShed},
	{name: "no backend server", reason: "no_backend", work: 20 * time.Millisecond, fault: closeBackends},
}

// TestNotRunWasNotRun: symptom: a refusal says that a reservation was not run,
// the caller sends it again, and it runs twice. Sequence: each way in which a
// request is refused, under load, while others run. Each refusal is held
// against the backend servers' own journals, and says when to come back.
func TestNotRunWasNotRun(t *testing.T) {
	t.Parallel()
	for _, c := range refusalCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, fleet.Config{Balancers: 2, Seed: 1, Services: []fleet.Service{
				{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, Limits: c.limits, RequestDuration: c.work},
			}})
			r := &refusals{t: t, reasons: make(map[string]int)}
			r.offer(f, c)
			r.check(f, c.reason)
		})
	}
}

// refusals collects what callers were told.
type refusals struct {
	t       *testing.T
	mu      sync.Mutex
	notRun  []string // keys
	ran     []string // keys
	reasons map[string]int
}

// offer has callers send reservations until the wanted reason was given often.
func (r *refusals) offer(f *fleet.Fleet, c refusalCase) {
	// Twice as many callers as the smallest case has slots and places to wait.
	const callers, enough = 16, 30
	ctx, cancel := context.WithTimeout(context.Background(), fleet.Limit)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			user := f.CallerWith(caller.Config{Service: "listing", IdleTimeout: 3 * time.Second})
			for n := 0; ctx.Err() == nil; n++ {
				key := fmt.Sprintf("%s-%d-%d", c.name, i, n)
				header := http.Header{"Idempotency-Key": {key}}
				for k, v := range c.header {
					header[k] = v
				}
				a, err := user.Do(ctx, http.MethodPost, "/reserve", header, []byte("part"))
				if err == nil && r.take(key, a) >= enough && a.Outcome != "" {
					if r.count(c.reason) >= enough {
						cancel()
					}
				}
			}
		})
	}
	if c.fault != nil {
		f.Eventually("reservations run", func() bool { return len(runs(f)) > 20 })
		c.fault(f)
	}
	if c.reason == "" {
		if err := f.Agents[0].Wait(fleet.Limit); err != nil {
			r.t.Error(err)
		}
		cancel()
	}
	wg.Wait()
}

// take records an answer and returns how many refusals there were so far.
func (r *refusals) take(key string, a *caller.Answer) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.Outcome == "not-run":
		r.notRun = append(r.notRun, key)
		r.reasons[a.Header.Get("Hemlock-Reason")]++
		if seconds, err := strconv.Atoi(a.RetryAfter); err != nil || seconds < 1 {
			r.t.Errorf("%s refused (%s) without when to come back: %q", key, a.Header.Get("Hemlock-Reason"), a.RetryAfter)
		}
	case a.Status == http.StatusCreated:
		r.ran = append(r.ran, key)
	}
	return len(r.notRun)
}

func (r *refusals) count(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reasons[reason]
}

// check holds what callers were told against the journals.
func (r *refusals) check(f *fleet.Fleet, reason string) {
	r.t.Helper()
	journal := runs(f)
	for _, key := range r.notRun {
		if journal[key] > 0 {
			r.t.Errorf("%s was said not to have run, and ran", key)
		}
	}
	for _, key := range r.ran {
		if journal[key] != 1 {
			r.t.Errorf("%s was answered, and ran %d times", key, journal[key])
		}
	}
	r.t.Logf("refused %d by reason %v, ran %d", len(r.notRun), r.reasons, len(r.ran))
	if reason != "" && r.reasons[reason] == 0 {
		r.t.Errorf("no refusal for %s", reason)
	}
}

// TestConnectionLimit: symptom: a backend server with 2,000 connections gets
// more. Sequence: callers go on connecting to an agent that has as many as its
// entry allows. Cause: the limit was counted and not enforced.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	const limit = 4
	f := fleet.Start(t, fleet.Config{Balancers: 2, Seed: 1, Services: []fleet.Service{{
		Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 1,
		Limits: catalogue.Limits{Connections: limit},
	}}})
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.Limit)
	defer cancel()
	served, refused := 0, 0
	for n := range 3 * limit {
		c := f.Caller("listing") // stays connected to the end of the test
		a, err := c.Card(ctx, fmt.Sprint("card-", n))
		mustNotBeWrong(t, err)
		switch {
		case err != nil:
			refused++
		case a.Status == http.StatusOK:
			served++
		}
	}
	if served == 0 || served > limit || served+refused != 3*limit {
		t.Errorf("served %d, refused %d with a limit of %d connections", served, refused, limit)
	}
}
