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

// refusalCase is a cause of refused requests.
type refusalCase struct {
	name   string
	reason string // value of Hemlock-Reason; if empty, the case ends with the first agent
	limits catalogue.Limits
	work   time.Duration
	header http.Header
	// fault is injected once requests are in progress.
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

func drainOneAgent(f *fleet.Fleet) { f.Agents[0].Terminate() }

var refusalCases = []refusalCase{
	{name: "queue full", reason: "queue_full", limits: catalogue.Limits{Slots: 1, Queue: 1}, work: 200 * time.Millisecond},
	{name: "rate", reason: "limit", limits: catalogue.Limits{Rate: 5}},
	{name: "deadline", reason: "deadline", limits: catalogue.Limits{Slots: 1}, work: 300 * time.Millisecond, header: http.Header{"Request-Timeout-Ms": {"350"}}},
	{name: "drain", work: 20 * time.Millisecond, fault: drainOneAgent},
	{name: "shed", reason: "shed", header: http.Header{"Request-Timeout-Ms": {"500"}}, fault: setShed},
	{name: "no backend server", reason: "no_backend", work: 20 * time.Millisecond, fault: closeBackends},
}

// Guards against a reservation that runs twice because it was refused with the outcome not-run and
// had run, so that the caller sends it again. Requests are refused for each cause under load. Each
// refusal is compared with the backend servers' journals and must have a Retry-After.
func TestNotRunOutcomeIsCorrect(t *testing.T) {
	t.Parallel()
	for _, c := range refusalCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, fleet.Config{Balancers: 2, Seed: 1, Services: []fleet.Service{
				{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 4, Limits: c.limits, RequestDuration: c.work},
			}})
			r := &refusals{t: t, reasons: make(map[string]int)}
			r.sendReservations(f, c)
			r.check(f, c.reason)
		})
	}
}

// refusals collects the answers to reservations.
type refusals struct {
	t       *testing.T
	mu      sync.Mutex
	notRun  []string // keys
	ran     []string // keys
	reasons map[string]int
}

// sendReservations has callers send reservations until the expected reason was given often enough.
func (r *refusals) sendReservations(f *fleet.Fleet, c refusalCase) {
	// Twice as many callers as slots and queue places in the smallest case.
	const callers, enough = 16, 30
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
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
				if err == nil && r.record(key, a) >= enough && a.Outcome != "" {
					if r.count(c.reason) >= enough {
						cancel()
					}
				}
			}
		})
	}
	if c.fault != nil {
		f.Eventually("reservations run", func() bool { return len(runsByKey(f)) > 20 })
		c.fault(f)
	}
	if c.reason == "" {
		if err := f.Agents[0].Wait(fleet.WaitLimit); err != nil {
			r.t.Error(err)
		}
		cancel()
	}
	wg.Wait()
}

// record records an answer and returns the number of refusals so far.
func (r *refusals) record(key string, a *caller.Answer) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.Outcome == "not-run":
		r.notRun = append(r.notRun, key)
		r.reasons[a.Header.Get("Hemlock-Reason")]++
		if seconds, err := strconv.Atoi(a.RetryAfter); err != nil || seconds < 1 {
			r.t.Errorf("%s refused (%s) without Retry-After: %q", key, a.Header.Get("Hemlock-Reason"), a.RetryAfter)
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

// check compares the answers with the backend servers' journals.
func (r *refusals) check(f *fleet.Fleet, reason string) {
	r.t.Helper()
	journal := runsByKey(f)
	for _, key := range r.notRun {
		if journal[key] > 0 {
			r.t.Errorf("%s had the outcome not-run, and ran", key)
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

// Guards against new connections at a backend server above its limit, for example 2,000, because
// the limit is counted but not enforced. Callers continue to connect to an agent that has as many
// connections as its entry allows.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	const limit = 4
	f := fleet.Start(t, fleet.Config{Balancers: 2, Seed: 1, Services: []fleet.Service{{
		Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 1,
		Limits: catalogue.Limits{Connections: limit},
	}}})
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit)
	defer cancel()
	served, refused := 0, 0
	for n := range 3 * limit {
		c := f.Caller("listing") // stays connected to the end of the test
		a, err := c.Card(ctx, fmt.Sprint("card-", n))
		checkAnswerError(t, err)
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
