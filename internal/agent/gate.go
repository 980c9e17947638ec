package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
)

// gateTickInterval is the time between two checks of the waiting requests.
const gateTickInterval = 20 * time.Millisecond

// gate lets goroutines wait for the decisions of an admission.Controller.
type gate struct {
	mu        sync.Mutex
	ctrl      *admission.Controller
	nextID    uint64
	budget    admission.Budget
	waiting   map[uint64]chan admission.Effect
	effects   []admission.Effect
	health    serverHealth
	now       func() time.Time                 // time.Now, except in tests
	onLoad    func(time.Time, admission.Load)  // called with the counts after each change of them
	onAttempt func(now time.Time, failed bool) // called for each attempt that shows how the backend server is doing
	open      int                              // number of requests between enter and the end of their permit
	idle      chan struct{}                    // closed when draining and open is 0
	draining  bool
}

func newGate(cfg admission.Config) *gate {
	return &gate{
		ctrl:    admission.New(time.Now(), cfg),
		waiting: make(map[uint64]chan admission.Effect),
		idle:    make(chan struct{}),
		now:     time.Now,
	}
}

// permit is the right to start one request on the backend server.
type permit struct {
	gate   *gate
	id     uint64
	server serverRequest
	sentAt time.Time // start of the latest attempt
	once   sync.Once
}

// attemptStarted records that an attempt of the request is sent to the backend server.
func (p *permit) attemptStarted() { p.sentAt = p.gate.now() }

// attemptEnded records what an attempt has shown about the backend server. result gets the
// time since it was sent and the mean answer time, 0 if not known.
func (p *permit) attemptEnded(result func(took, mean time.Duration) attemptResult) (r attemptResult) {
	p.gate.do(func(_ *admission.Controller, now time.Time) {
		r = result(now.Sub(p.sentAt), p.gate.health.answerTime)
		p.gate.health.record(now, p.sentAt, p.server.source, p.server.route, r)
		p.gate.health.endTrial(p.id)
		if failed, counts := r.failed(); counts {
			p.gate.countAttemptResult(now, failed)
		}
	})
	return r
}

// truncated records that the backend server has cut off its response.
func (p *permit) truncated() {
	p.gate.do(func(_ *admission.Controller, now time.Time) {
		p.gate.health.truncate(now, p.sentAt, p.server.source, p.server.route)
		p.gate.countAttemptResult(now, true)
	})
}

// countAttemptResult passes a result to onAttempt. g.mu is held.
func (g *gate) countAttemptResult(now time.Time, failed bool) {
	if g.onAttempt != nil {
		g.onAttempt(now, failed)
	}
}

// headerReceived records that the response header has arrived.
func (p *permit) headerReceived() {
	p.gate.do(func(c *admission.Controller, now time.Time) { c.Opened(now, p.id) })
}

// done returns the permit with the request's result. Only the first call has an effect.
func (p *permit) done(r admission.Result) {
	p.once.Do(func() {
		p.gate.do(func(c *admission.Controller, now time.Time) {
			c.Done(now, p.id, r)
			p.gate.health.endTrial(p.id)
		})
		p.gate.requestEnded()
	})
}

// enter waits until r may start. After an error, which is an admission.Refusal or the
// error of ctx, the request has not run and will not run.
func (g *gate) enter(ctx context.Context, r admission.Request, s serverRequest) (*permit, error) {
	g.mu.Lock()
	now := g.now()
	trial, ok := g.health.admit(now, &s)
	if !ok {
		g.mu.Unlock()
		return nil, admission.Refusal{Reason: admission.ReasonOnTrial, RetryAfter: trialRetryAfter}
	}
	g.nextID++
	r.ID = g.nextID
	if trial {
		g.health.trialID = r.ID
	}
	g.open++
	d := g.ctrl.Offer(now, r)
	if d.Verdict == admission.Refused {
		g.health.endTrial(r.ID)
	}
	var wait chan admission.Effect
	if d.Verdict == admission.Queued {
		wait = make(chan admission.Effect, 1)
		g.waiting[r.ID] = wait
	}
	g.deliver()
	g.mu.Unlock()

	switch d.Verdict {
	case admission.Admitted:
		return &permit{gate: g, id: r.ID, server: s}, nil
	case admission.Refused:
		g.requestEnded()
		return nil, d.Refusal
	}
	return g.await(ctx, r.ID, s, wait)
}

// await waits for the decision on a queued request, or withdraws it when ctx ends.
func (g *gate) await(ctx context.Context, id uint64, s serverRequest, wait chan admission.Effect) (*permit, error) {
	select {
	case e := <-wait:
		if e.Kind == admission.Refuse {
			g.do(func(*admission.Controller, time.Time) { g.health.endTrial(id) })
			g.requestEnded()
			return nil, e.Refusal
		}
		return &permit{gate: g, id: id, server: s}, nil
	case <-ctx.Done():
	}
	g.cancel(id)
	return nil, ctx.Err()
}

// cancel withdraws a waiting request. If it has been admitted in the meantime, its slot
// is released; nothing was sent to the backend server.
func (g *gate) cancel(id uint64) {
	g.do(func(c *admission.Controller, now time.Time) {
		delete(g.waiting, id)
		g.health.endTrial(id)
		if !c.Cancel(now, id) {
			c.Done(now, id, admission.Result{Outcome: admission.Canceled})
		}
	})
	g.requestEnded()
}

// requestEnded records the end of an open request.
func (g *gate) requestEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.signalIdle()
}

// signalIdle closes idle when the gate is draining and no request is open. g.mu is held.
func (g *gate) signalIdle() {
	if !g.draining || g.open > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// do runs f on the controller and delivers the resulting decisions to waiting requests.
func (g *gate) do(f func(*admission.Controller, time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.ctrl, g.now())
	g.deliver()
}

// deliver sends the controller's decisions to the waiting requests and calls onLoad. g.mu is
// held.
func (g *gate) deliver() {
	g.effects = g.ctrl.Effects(g.effects[:0])
	for _, e := range g.effects {
		if wait := g.waiting[e.ID]; wait != nil {
			delete(g.waiting, e.ID)
			wait <- e
		}
	}
	if g.onLoad != nil {
		now := g.now()
		g.onLoad(now, g.ctrl.Load(now))
	}
}

// tick makes the controller check the deadlines of waiting requests, and the judgement of the
// backend server its exclusion, until ctx is done.
func (g *gate) tick(ctx context.Context) {
	t := time.NewTicker(gateTickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.do(func(c *admission.Controller, now time.Time) {
				c.Tick(now)
				g.health.tick(now)
			})
		case <-ctx.Done():
			return
		}
	}
}

// countAttempt counts the first attempt of a request in the retry budget.
func (g *gate) countAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Offered()
}

// allowRetry reports whether the retry budget allows another attempt of a request.
func (g *gate) allowRetry(r admission.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return g.budget.Retry(now, r, g.ctrl.Load(now).ServiceTime)
}

// drain refuses new requests and waits until the open ones have ended or ctx is done.
func (g *gate) drain(ctx context.Context) {
	g.do(func(c *admission.Controller, _ time.Time) {
		c.Drain()
		g.draining = true
		g.signalIdle()
	})
	select {
	case <-g.idle:
	case <-ctx.Done():
	}
}
