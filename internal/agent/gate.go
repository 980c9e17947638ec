package agent

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
)

// gateTickInterval is how often waiting requests are looked at again.
const gateTickInterval = 20 * time.Millisecond

// gate lets goroutines wait for the decisions of an admission.Controller.
type gate struct {
	mu        sync.Mutex
	ctrl      *admission.Controller
	nextID    uint64
	budget    admission.Budget
	waiting   map[uint64]chan admission.Effect
	effects   []admission.Effect
	onLoad    func(time.Time, admission.Load)    // told the counts after each change of them
	onOutcome func(time.Time, admission.Outcome) // told how each request ended
	open      int                                // requests between enter and the end of their permit
	idle      chan struct{}                      // closed once draining and open is 0
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

// headerReceived tells that the answer's header came.
func (p *permit) headerReceived() {
	p.gate.do(func(c *admission.Controller, now time.Time) { c.Opened(now, p.id) })
}

// done gives the permit back. Only the first call counts.
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

// enter waits until r may start. A *admission.Refusal means that it was not
// and will not be run; so does an error of ctx.
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

// cancel takes back a waiting request. It may have been started in the
// meantime: then its slot is given back, and nothing was sent.
func (g *gate) cancel(id uint64) {
	g.do(func(c *admission.Controller, now time.Time) {
		delete(g.waiting, id)
		if !c.Cancel(now, id) {
			c.Done(now, id, admission.Result{Outcome: admission.Canceled})
		}
	})
	g.requestEnded()
}

// requestEnded counts the end of an open request.
func (g *gate) requestEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.signalIdle()
}

// signalIdle tells the drain when the last open request has ended. g.mu is held.
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

// do runs f on the controller and delivers the decisions that follow.
func (g *gate) do(f func(*admission.Controller, time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.ctrl, time.Now())
	g.deliver()
}

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

// tick is the duty that lets waiting requests meet their deadlines.
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

// countAttempt counts a request's first attempt.
func (g *gate) countAttempt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Offered()
}

// allowRetry reports whether a request may be attempted once more.
func (g *gate) allowRetry(r admission.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.budget.Retry(now, r, g.ctrl.Load(now).ServiceTime)
}

// drain refuses new requests and waits until the open ones have ended.
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
