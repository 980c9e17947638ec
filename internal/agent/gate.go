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
	onLoad    func(time.Time, admission.Load)    // called with the counts after each change of them
	onOutcome func(time.Time, admission.Outcome) // called with the outcome of each request
	open      int                                // number of requests between enter and the end of their permit
	idle      chan struct{}                      // closed when draining and open is 0
	draining  bool
}

func newGate(cfg admission.Config) *gate {
	return &gate{
		ctrl:    admission.New(time.Now(), cfg),
		waiting: make(map[uint64]chan admission.Effect),
		idle:    make(chan struct{}),
	}
}

// permit is the right to start one request on the backend server.
type permit struct {
	gate *gate
	id   uint64
	once sync.Once
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
			if p.gate.onOutcome != nil {
				p.gate.onOutcome(now, r.Outcome)
			}
		})
		p.gate.requestEnded()
	})
}

// enter waits until r may start. After an error, which is an admission.Refusal or the
// error of ctx, the request has not run and will not run.
func (g *gate) enter(ctx context.Context, r admission.Request) (*permit, error) {
	g.mu.Lock()
	g.nextID++
	r.ID = g.nextID
	g.open++
	d := g.ctrl.Offer(time.Now(), r)
	var wait chan admission.Effect
	if d.Verdict == admission.Queued {
		wait = make(chan admission.Effect, 1)
		g.waiting[r.ID] = wait
	}
	g.deliver()
	g.mu.Unlock()

	switch d.Verdict {
	case admission.Admitted:
		return &permit{gate: g, id: r.ID}, nil
	case admission.Refused:
		g.requestEnded()
		return nil, d.Refusal
	}
	return g.await(ctx, r.ID, wait)
}

// await waits for the decision on a queued request, or withdraws it when ctx ends.
func (g *gate) await(ctx context.Context, id uint64, wait chan admission.Effect) (*permit, error) {
	select {
	case e := <-wait:
		if e.Kind == admission.Refuse {
			g.requestEnded()
			return nil, e.Refusal
		}
		return &permit{gate: g, id: id}, nil
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
	f(g.ctrl, time.Now())
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
		now := time.Now()
		g.onLoad(now, g.ctrl.Load(now))
	}
}

// tick makes the controller check the deadlines of waiting requests until ctx is done.
func (g *gate) tick(ctx context.Context) {
	t := time.NewTicker(gateTickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.do(func(c *admission.Controller, now time.Time) { c.Tick(now) })
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
	now := time.Now()
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
