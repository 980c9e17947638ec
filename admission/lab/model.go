package lab

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

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
	rng *rand.Rand
	*simtime.Clock
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
		rng: rand.New(rand.NewPCG(seed, 3)), Clock: simtime.New(), worked: simtime.Epoch, p: p,
		running: map[uint64]*caller{}, capacity: 5, service: 0.02,
		patience: 250 * time.Millisecond, slow: func(time.Time) float64 { return 1 },
		good: map[string]int{}, offered: map[string]int{}, goodAt: map[int]int{}, returnedAt: map[int]int{},
	}
}

// arrive lets an owner's callers come at rate a second for the time d.
func (m *model) arrive(owner string, rate float64, d time.Duration) {
	m.arriveFlows(owner, rate, d, 0)
}

// arriveFlows is arrive for long flows that go on for the time flow.
func (m *model) arriveFlows(owner string, rate float64, d, flow time.Duration) {
	end := simtime.Epoch.Add(d)
	var next func()
	next = func() {
		if m.Now().After(end) {
			return
		}
		m.offered[owner]++
		c := &caller{owner: owner, work: m.rng.ExpFloat64() * m.service, deadline: m.Now().Add(m.patience), flow: flow}
		m.callers = append(m.callers, c)
		m.attempt(uint64(len(m.callers)-1), c)
		m.After(time.Duration(m.rng.ExpFloat64()/rate*1e9), next)
	}
	m.After(0, next)
}

func (m *model) attempt(id uint64, c *caller) {
	c.attempts++
	if c.attempts > 1 {
		c.deadline = m.Now().Add(m.patience)
	}
	if n := c.attempts; m.impatient {
		m.After(m.patience, func() {
			if !c.over && !c.running && c.attempts == n {
				m.p.cancel(m.Now(), id)
				c.over = true
			}
		})
	}
	m.apply(m.p.offer(m.Now(), admission.Request{ID: id, Owner: c.owner, Class: c.class(), Deadline: c.deadline}))
}

func (c *caller) class() catalogue.Class {
	if c.flow > 0 {
		return catalogue.ClassStream
	}
	return catalogue.ClassInteractive
}

// apply starts and refuses.
func (m *model) apply(start []uint64, refuse []refusal) {
	for _, id := range start {
		m.work()
		c := m.callers[id]
		c.running, c.left = true, c.work
		m.running[id] = c
		if m.shed != nil && m.shed(len(m.running)) {
			m.end(id, admission.Result{Outcome: admission.Shed, RetryAfter: 200 * time.Millisecond})
		}
	}
	for _, r := range refuse {
		m.refusals++
		c := m.callers[r.id]
		if !m.returns || c.attempts >= 4 {
			c.over = true
			continue
		}
		m.After(r.after, func() {
			m.returnedAt[int(m.Elapsed()/(100*time.Millisecond))]++
			m.attempt(r.id, c)
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
	return v / m.slow(m.Now())
}

// work works on the running requests up to now.
func (m *model) work() {
	d := m.Now().Sub(m.worked).Seconds() * m.speed()
	m.worked = m.Now()
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
	m.After(time.Duration(least/m.speed()*1e9)+1, func() {
		if number == m.finishing {
			m.work()
			m.end(first, admission.Result{Outcome: admission.OK})
		}
	})
}

func (m *model) end(id uint64, r admission.Result) {
	c := m.callers[id]
	delete(m.running, id)
	c.running, c.over = false, true
	if r.Outcome == admission.OK && !m.Now().After(c.deadline) {
		m.good[c.owner]++
		m.goodAt[int(m.Elapsed()/time.Second)]++
	} else {
		m.late++
	}
	if c.flow > 0 && r.Outcome == admission.OK {
		m.opened(id, c, r)
	} else {
		m.apply(m.p.done(m.Now(), id, r))
	}
	m.plan()
}

// opened lets a long flow go on after its header.
func (m *model) opened(id uint64, c *caller, r admission.Result) {
	m.After(c.flow, func() { m.apply(m.p.done(m.Now(), id, r)) })
	if o, ok := m.p.(ours); ok && !m.holdSlots {
		o.c.Opened(m.Now(), id)
		m.apply(o.drain())
	}
}

func (m *model) run(d time.Duration) {
	var tick func()
	tick = func() {
		m.apply(m.p.tick(m.Now()))
		m.After(10*time.Millisecond, tick)
	}
	m.After(0, tick)
	m.Clock.Run(d, nil)
}

func (m *model) total() int {
	n := 0
	for _, g := range m.good {
		n += g
	}
	return n
}

// served is the share of an owner's callers that were answered in time.
func (m *model) served(owner string) float64 {
	return float64(m.good[owner]) / float64(m.offered[owner])
}

// goodIn counts answers in time from second start up to end.
func (m *model) goodIn(start, end int) int {
	n := 0
	for s := start; s < end; s++ {
		n += m.goodAt[s]
	}
	return n
}
