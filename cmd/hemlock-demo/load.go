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
	flowsPerService    = 6 // concurrent feeds or downloads
	callsPerConnection = 8 // requests before the caller opens a new connection
	thinkTime          = 20 * time.Millisecond
	feedInterval       = 20 * time.Millisecond
	downloadBytes      = 8 << 20
	reserveInterval    = 4 // every fourth call is a reservation
)

// tally counts the outcomes of one service's calls and long flows.
type tally struct {
	calls, complete, refused int // refused: not run, with a retry time, or an error status
	// unknown: not known whether run; broken: connection or response broken off; wrong: wrong response.
	unknown, broken, wrong int
	flows, completeFlows   int
	byServer               map[string]int
	acknowledged           map[string]bool // keys of reservations with a success response
	latency                *hdrhistogram.Histogram
	errorTexts             []string
}

// load runs callers against a deployment and counts the outcomes.
type load struct {
	dep      *deployment.Deployment
	services []deployment.Service
	wg       sync.WaitGroup

	mu      sync.Mutex
	tallies map[string]*tally
}

func newLoad(dep *deployment.Deployment, services []deployment.Service) *load {
	l := &load{dep: dep, services: services, tallies: make(map[string]*tally)}
	for _, s := range services {
		l.tallies[s.Name] = &tally{
			byServer:     make(map[string]int),
			acknowledged: make(map[string]bool),
			latency:      hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
	}
	return l
}

// start starts the callers; they begin no new requests or flows after the duration run.
func (l *load) start(ctx context.Context, run time.Duration) {
	end := time.Now().Add(run)
	for _, s := range l.services {
		for i := range callersPerService {
			l.wg.Go(func() { l.makeCalls(ctx, s, i, end) })
		}
		for i := range flowsPerService {
			l.wg.Go(func() { l.openFlows(ctx, s, i, end) })
		}
	}
}

func (l *load) runInBackground(f func()) { l.wg.Go(f) }

func (l *load) wait() { l.wg.Wait() }

// update calls f with the tally of a service, under the lock.
func (l *load) update(service string, f func(*tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tallies[service])
}

// makeCalls makes short requests, callsPerConnection on each connection.
func (l *load) makeCalls(ctx context.Context, s deployment.Service, n int, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		c, err := l.dep.Caller(s.Name)
		if err != nil {
			l.recordError(s.Name, err)
			return
		}
		for i := 0; i < callsPerConnection && time.Now().Before(end); i++ {
			l.makeCall(ctx, c, s, fmt.Sprintf("%d-%d-%d", n, round, i), i%reserveInterval == 0)
			time.Sleep(thinkTime)
		}
		c.Close()
	}
}

// makeCall makes one short request and counts its outcome. If reserve is true, the request
// is a reservation with id as its idempotency key.
func (l *load) makeCall(ctx context.Context, c *caller.Caller, s deployment.Service, id string, reserve bool) {
	start := time.Now()
	var a *caller.Answer
	var err error
	if reserve {
		a, err = c.Reserve(ctx, id, "item")
	} else {
		a, err = c.Card(ctx, id)
	}
	if err != nil {
		l.recordError(s.Name, err)
		return
	}
	l.update(s.Name, func(t *tally) {
		t.calls++
		t.latency.RecordValue(time.Since(start).Microseconds())
		switch {
		case a.Outcome == "not-run" && a.RetryAfter != "":
			t.refused++
		case a.Outcome != "":
			t.unknown++
		case a.Status == http.StatusOK || a.Status == http.StatusCreated:
			t.complete++
			t.byServer[a.Server]++
			if reserve {
				t.acknowledged[id] = true
			}
		default:
			t.refused++
		}
	})
}

// openFlows opens long flows, one after another.
func (l *load) openFlows(ctx context.Context, s deployment.Service, n int, end time.Time) {
	for round := 0; time.Now().Before(end); round++ {
		c, err := l.dep.Caller(s.Name)
		if err != nil {
			l.recordError(s.Name, err)
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
		l.update(s.Name, func(t *tally) { t.flows++ })
		if err != nil {
			l.recordError(s.Name, err)
			continue
		}
		l.update(s.Name, func(t *tally) { t.completeFlows++ })
	}
}

const maxErrorTexts = 5

// recordError counts an error of a caller as a broken flow or as a wrong response.
func (l *load) recordError(service string, err error) {
	var e *caller.Error
	broken := !errors.As(err, &e) || e.Kind == caller.BrokenFlow
	l.update(service, func(t *tally) {
		if broken {
			t.broken++
		} else {
			t.wrong++
		}
		if len(t.errorTexts) < maxErrorTexts {
			t.errorTexts = append(t.errorTexts, err.Error())
		}
	})
}

// reservationRuns returns how often the backend servers ran each reservation of a
// service, by key.
func (l *load) reservationRuns(service string) map[string]int {
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
