package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/deployment"
)

const (
	callersPerService  = 12
	flowsPerService    = 6 // feeds, or downloads one after another
	callsPerConnection = 8 // then the caller connects anew
	thinkTime          = 20 * time.Millisecond
	feedInterval       = 20 * time.Millisecond
	downloadBytes      = 8 << 20
	reserveEvery       = 4 // one call in so many is a reservation
)

// tally is what became of one service's calls.
type tally struct {
	calls, whole, refused  int // refused: not run, told when to come back
	unknown, broken, wrong int
	flows, wholeFlows      int
	byServer               map[string]int
	accepted               map[string]bool // keys of reservations that were answered
	latency                *hdrhistogram.Histogram
	problems               []string
}

// load runs callers against a deployment and counts what they see.
type load struct {
	dep      *deployment.Deployment
	services []deployment.Service
	wg       sync.WaitGroup

	mu    sync.Mutex
	tally map[string]*tally
}

func newLoad(dep *deployment.Deployment, services []deployment.Service) *load {
	l := &load{dep: dep, services: services, tally: make(map[string]*tally)}
	for _, s := range services {
		l.tally[s.Name] = &tally{
			byServer: make(map[string]int),
			accepted: make(map[string]bool),
			latency:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
	}
	return l
}

// begin starts the callers; they stop beginning new work after the time run.
func (l *load) begin(ctx context.Context, run time.Duration) {
	end := time.Now().Add(run)
	for _, s := range l.services {
		for i := range callersPerService {
			l.wg.Go(func() { l.calls(ctx, s, i, end) })
		}
		for i := range flowsPerService {
			l.wg.Go(func() { l.flows(ctx, s, i, end) })
		}
	}
}

func (l *load) background(f func()) { l.wg.Go(f) }

func (l *load) wait() { l.wg.Wait() }

// count changes the tally of a service.
func (l *load) count(service string, f func(*tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tally[service])
}

// calls makes short requests, each connection for a few of them.
func (l *load) calls(ctx context.Context, s deployment.Service, n int, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		c, err := l.dep.Caller(s.Name)
		if err != nil {
			l.fail(s.Name, err)
			return
		}
		for i := 0; i < callsPerConnection && time.Now().Before(end); i++ {
			l.call(ctx, c, s, fmt.Sprintf("%d-%d-%d", n, round, i), i%reserveEvery == 0)
			time.Sleep(thinkTime)
		}
		c.Close()
	}
}

func (l *load) call(ctx context.Context, c *caller.Caller, s deployment.Service, id string, reserve bool) {
	start := time.Now()
	var a *caller.Answer
	var err error
	if reserve {
		a, err = c.Reserve(ctx, id, "item")
	} else {
		a, err = c.Card(ctx, id)
	}
	if err != nil {
		l.fail(s.Name, err)
		return
	}
	l.count(s.Name, func(t *tally) {
		t.calls++
		t.latency.RecordValue(time.Since(start).Microseconds())
		switch {
		case a.Outcome == "not-run" && a.RetryAfter != "":
			t.refused++
		case a.Outcome != "":
			t.unknown++
		case a.Status == http.StatusOK || a.Status == http.StatusCreated:
			t.whole++
			t.byServer[a.Server]++
			if reserve {
				t.accepted[id] = true
			}
		default:
			t.refused++
		}
	})
}

// flows keeps one long flow open after another.
func (l *load) flows(ctx context.Context, s deployment.Service, n int, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		c, err := l.dep.Caller(s.Name)
		if err != nil {
			l.fail(s.Name, err)
			return
		}
		seed := uint64(n*1000 + round)
		if s.Class == catalogue.ClassDownload {
			_, err = c.Download(ctx, downloadBytes, seed, nil)
		} else {
			events := int(time.Until(end) / feedInterval)
			_, err = c.Feed(ctx, max(events, 1), feedInterval, seed, nil)
		}
		c.Close()
		l.count(s.Name, func(t *tally) { t.flows++ })
		if err != nil {
			l.fail(s.Name, err)
			continue
		}
		l.count(s.Name, func(t *tally) { t.wholeFlows++ })
	}
}

const problemsKept = 5

func (l *load) fail(service string, err error) {
	var e *caller.Error
	broken := !errors.As(err, &e) || e.Kind == caller.BrokenFlow
	l.count(service, func(t *tally) {
		if broken {
			t.broken++
		} else {
			t.wrong++
		}
		if len(t.problems) < problemsKept {
			t.problems = append(t.problems, err.Error())
		}
	})
}

// journaled returns how often each reservation of a service ran.
func (l *load) journaled(service string) map[string]int {
	runs := make(map[string]int)
	for _, a := range l.dep.Agents {
		if a.Service != service {
			continue
		}
		for _, r := range a.Backend.Journal() {
			runs[r.Key]++
		}
	}
	return runs
}
