package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// The model: callers with deadlines, one policy, one backend server that works
// on all started requests at once and slows down beyond its capacity.

// policy decides what starts. Each method returns what became of requests.
type policy interface {
	offer(now time.Time, r Request) (start []uint64, refuse map[uint64]time.Duration)
	done(now time.Time, id uint64, r Result) (start []uint64, refuse map[uint64]time.Duration)
	cancel(now time.Time, id uint64)
	tick(now time.Time) (start []uint64, refuse map[uint64]time.Duration)
}

// ours is the Controller.
type ours struct{ c *Controller }

func (p ours) drain() (start []uint64, refuse map[uint64]time.Duration) {
	for _, e := range p.c.Effects(nil) {
		if e.Kind == Start {
			start = append(start, e.ID)
			continue
		}
		if refuse == nil {
			refuse = map[uint64]time.Duration{}
		}
		refuse[e.ID] = e.Refusal.RetryAfter
	}
	return start, refuse
}

func (p ours) offer(now time.Time, r Request) ([]uint64, map[uint64]time.Duration) {
	d := p.c.Offer(now, r)
	start, refuse := p.drain()
	switch d.Verdict {
	case Admitted:
		start = append(start, r.ID)
	case Refused:
		if refuse == nil {
			refuse = map[uint64]time.Duration{}
		}
		refuse[r.ID] = d.Refusal.RetryAfter
	}
	return start, refuse
}

func (p ours) done(now time.Time, id uint64, r Result) ([]uint64, map[uint64]time.Duration) {
	p.c.Done(now, id, r)
	return p.drain()
}

func (p ours) cancel(now time.Time, id uint64) { p.c.Cancel(now, id) }

func (p ours) tick(now time.Time) ([]uint64, map[uint64]time.Duration) {
	p.c.Tick(now)
	return p.drain()
}

// fifo starts up to slots requests in order and lets up to bound wait; 0 is no
// bound. A refused caller is told to come back in a second.
type fifo struct {
	slots, bound, running int
	queue                 []uint64
	gone                  map[uint64]bool
}

func (p *fifo) fill() (start []uint64) {
	for p.running < p.slots && len(p.queue) > 0 {
		id := p.queue[0]
		p.queue = p.queue[1:]
		if p.gone[id] {
			delete(p.gone, id)
			continue
		}
		p.running++
		start = append(start, id)
	}
	return start
}

func (p *fifo) offer(_ time.Time, r Request) ([]uint64, map[uint64]time.Duration) {
	if p.bound > 0 && len(p.queue) >= p.bound {
		return nil, map[uint64]time.Duration{r.ID: time.Second}
	}
	p.queue = append(p.queue, r.ID)
	return p.fill(), nil
}

func (p *fifo) done(time.Time, uint64, Result) ([]uint64, map[uint64]time.Duration) {
	p.running--
	return p.fill(), nil
}

func (p *fifo) cancel(_ time.Time, id uint64) { p.gone[id] = true }

func (p *fifo) tick(time.Time) ([]uint64, map[uint64]time.Duration) { return nil, nil }

// event is something that happens in the model.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// caller is one request from its first attempt to its answer.
type caller struct {
	owner    string
	work     float64 // seconds of a slot
	deadline time.Time
	attempts int
	running  bool
	over     bool
	left     float64       // work left
	flow     time.Duration // a long flow: how long it goes on after its header
}

// model is one run.
type model struct {
	rng       *rand.Rand
	now       time.Time
	events    events
	p         policy
	running   map[uint64]*caller
	callers   []*caller
	worked    time.Time // until then the running requests have been worked on
	finishing int       // number of the finish event that is valid

	capacity   float64                 // requests worked on at full speed
	thrash     float64                 // loss of speed for each request above it
	slow       func(time.Time) float64 // divides the speed
	service    float64                 // mean work, seconds
	patience   time.Duration           // from the first attempt to the deadline
	impatient  bool                    // the caller goes away at its deadline
	returns    bool                    // a refused caller comes back when it was told to
	good       map[string]int          // answers in time, by owner
	offered    map[string]int          // callers, by owner
	goodAt     map[int]int             // answers in time, by second
	refusals   int                     // all refusals
	returnedAt map[int]int             // returning callers, by 100 ms
	late       int                     // answers that came too late
	holdSlots  bool                    // long flows hold their slot to their end
	shed       func(running int) bool  // whether the backend server answers 503
}

func newModel(seed uint64, p policy) *model {
	return &model{
		rng: rand.New(rand.NewPCG(seed, 3)), now: t0, worked: t0, p: p,
		running: map[uint64]*caller{}, capacity: 5, service: 0.02,
		patience: 250 * time.Millisecond, slow: func(time.Time) float64 { return 1 },
		good: map[string]int{}, offered: map[string]int{}, goodAt: map[int]int{}, returnedAt: map[int]int{},
	}
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(d), do})
}

// arrive lets an owner's callers come at rate a second for the time d.
func (m *model) arrive(owner string, rate float64, d time.Duration) {
	m.arriveFlows(owner, rate, d, 0)
}

// arriveFlows is arrive for long flows that go on for the time flow.
func (m *model) arriveFlows(owner string, rate float64, d, flow time.Duration) {
	end := t0.Add(d)
	var next func()
	next = func() {
		if m.now.After(end) {
			return
		}
		m.offered[owner]++
		c := &caller{owner: owner, work: m.rng.ExpFloat64() * m.service, deadline: m.now.Add(m.patience), flow: flow}
		m.callers = append(m.callers, c)
		m.attempt(uint64(len(m.callers)-1), c)
		m.after(time.Duration(m.rng.ExpFloat64()/rate*1e9), next)
	}
	m.after(0, next)
}

func (m *model) attempt(id uint64, c *caller) {
	c.attempts++
	if c.attempts > 1 {
		c.deadline = m.now.Add(m.patience)
	}
	if n := c.attempts; m.impatient {
		m.after(m.patience, func() {
			if !c.over && !c.running && c.attempts == n {
				m.p.cancel(m.now, id)
				c.over = true
			}
		})
	}
	m.apply(m.p.offer(m.now, Request{ID: id, Owner: c.owner, Class: c.class(), Deadline: c.deadline}))
}

func (c *caller) class() catalogue.Class {
	if c.flow > 0 {
		return catalogue.ClassStream
	}
	return catalogue.ClassInteractive
}

// apply starts and refuses.
func (m *model) apply(start []uint64, refuse map[uint64]time.Duration) {
	for _, id := range start {
		m.work()
		c := m.callers[id]
		c.running, c.left = true, c.work
		m.running[id] = c
		if m.shed != nil && m.shed(len(m.running)) {
			m.end(id, Result{Outcome: Shed, RetryAfter: 200 * time.Millisecond})
		}
	}
	for id, after := range refuse {
		m.refusals++
		c := m.callers[id]
		if !m.returns || c.attempts >= 4 {
			c.over = true
			continue
		}
		m.after(after, func() {
			m.returnedAt[int(m.now.Sub(t0)/(100*time.Millisecond))]++
			m.attempt(id, c)
		})
	}
	if len(start) > 0 {
		m.plan()
	}
}

// speed is how fast each running request is worked on.
func (m *model) speed() float64 {
	n := float64(len(m.running))
	v := 1.0
	if n > m.capacity {
		v = m.capacity / n / (1 + m.thrash*(n-m.capacity))
	}
	return v / m.slow(m.now)
}

// work works on the running requests up to now.
func (m *model) work() {
	d := m.now.Sub(m.worked).Seconds() * m.speed()
	m.worked = m.now
	for _, c := range m.running {
		c.left -= d
	}
}

// plan sets the event at which the next running request ends.
func (m *model) plan() {
	m.finishing++
	number := m.finishing
	var first uint64
	least := -1.0
	for id, c := range m.running {
		if least < 0 || c.left < least || c.left == least && id < first {
			first, least = id, max(c.left, 0)
		}
	}
	if least < 0 {
		return
	}
	m.after(time.Duration(least/m.speed()*1e9)+1, func() {
		if number == m.finishing {
			m.work()
			m.end(first, Result{Outcome: OK})
		}
	})
}

func (m *model) end(id uint64, r Result) {
	c := m.callers[id]
	delete(m.running, id)
	c.running, c.over = false, true
	if r.Outcome == OK && !m.now.After(c.deadline) {
		m.good[c.owner]++
		m.goodAt[int(m.now.Sub(t0)/time.Second)]++
	} else {
		m.late++
	}
	if c.flow > 0 && r.Outcome == OK {
		m.opened(id, c, r)
	} else {
		m.apply(m.p.done(m.now, id, r))
	}
	m.plan()
}

// opened lets a long flow go on after its header.
func (m *model) opened(id uint64, c *caller, r Result) {
	m.after(c.flow, func() { m.apply(m.p.done(m.now, id, r)) })
	if o, ok := m.p.(ours); ok && !m.holdSlots {
		o.c.Opened(m.now, id)
		m.apply(o.drain())
	}
}

func (m *model) run(d time.Duration) {
	var tick func()
	tick = func() {
		m.apply(m.p.tick(m.now))
		m.after(10*time.Millisecond, tick)
	}
	m.after(0, tick)
	for end := t0.Add(d); len(m.events) > 0; {
		e := heap.Pop(&m.events).(event)
		if e.at.After(end) {
			return
		}
		m.now = e.at
		e.do()
	}
}

func (m *model) total() int {
	n := 0
	for _, g := range m.good {
		n += g
	}
	return n
}
