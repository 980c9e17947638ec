package lab

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// caller is a caller with one request, from the first attempt to the answer.
type caller struct {
	owner     string
	work      float64 // service time in seconds
	deadline  time.Time
	attempts  int
	running   bool
	finished  bool
	remaining float64       // remaining work in seconds
	flowTime  time.Duration // duration of a long flow after its header; 0 for a short request
}

// model is one run.
type model struct {
	rng *rand.Rand
	*simtime.Clock
	p           policy
	running     map[uint64]*caller
	callers     []*caller
	workedUntil time.Time // time up to which caller.remaining is updated
	finishEvent int       // number of the valid finish event; earlier ones are ignored

	capacity  float64                 // concurrent requests processed at full speed
	speedLoss float64                 // loss of speed per request above capacity
	slowdown  func(time.Time) float64 // divisor of the speed
	service   float64                 // mean service time in seconds
	patience  time.Duration           // time from an attempt to its deadline
	impatient bool                    // callers leave the queue at their deadline
	retries   bool                    // refused callers retry at the given time
	inTime    map[string]int          // answers in time, by owner
	offered   map[string]int          // callers, by owner
	inTimeAt  map[int]int             // answers in time, by second
	refusals  int                     // number of refusals
	retriedAt map[int]int             // retries, by 100 ms
	late      int                     // requests that ended without an answer in time
	holdSlots bool                    // long flows hold their slot to their end
	shed      func(running int) bool  // reports whether the backend server answers 503
}

func newModel(seed uint64, p policy) *model {
	return &model{
		rng: rand.New(rand.NewPCG(seed, 3)), Clock: simtime.New(), workedUntil: simtime.Epoch, p: p,
		running: map[uint64]*caller{}, capacity: 5, service: 0.02,
		patience: 250 * time.Millisecond, slowdown: func(time.Time) float64 { return 1 },
		inTime: map[string]int{}, offered: map[string]int{}, inTimeAt: map[int]int{}, retriedAt: map[int]int{},
	}
}

// arrive schedules callers of an owner, at rate per second, for the time d.
func (m *model) arrive(owner string, rate float64, d time.Duration) {
	m.arriveFlows(owner, rate, d, 0)
}

// arriveFlows is like arrive for long flows that last for the time flow.
func (m *model) arriveFlows(owner string, rate float64, d, flow time.Duration) {
	end := simtime.Epoch.Add(d)
	var next func()
	next = func() {
		if m.Now().After(end) {
			return
		}
		m.offered[owner]++
		c := &caller{owner: owner, work: m.rng.ExpFloat64() * m.service, deadline: m.Now().Add(m.patience), flowTime: flow}
		m.callers = append(m.callers, c)
		m.attempt(uint64(len(m.callers)-1), c)
		m.After(time.Duration(m.rng.ExpFloat64()/rate*1e9), next)
	}
	m.After(0, next)
}

// attempt offers the caller's request to the policy.
func (m *model) attempt(id uint64, c *caller) {
	c.attempts++
	if c.attempts > 1 {
		c.deadline = m.Now().Add(m.patience)
	}
	if n := c.attempts; m.impatient {
		m.After(m.patience, func() {
			if !c.finished && !c.running && c.attempts == n {
				m.p.cancel(m.Now(), id)
				c.finished = true
			}
		})
	}
	m.apply(m.p.offer(m.Now(), admission.Request{ID: id, Owner: c.owner, Class: c.class(), Deadline: c.deadline}))
}

func (c *caller) class() catalogue.Class {
	if c.flowTime > 0 {
		return catalogue.ClassStream
	}
	return catalogue.ClassInteractive
}

// apply applies the policy's decisions: it starts and refuses requests.
func (m *model) apply(start []uint64, refuse []refusal) {
	for _, id := range start {
		m.advanceWork()
		c := m.callers[id]
		c.running, c.remaining = true, c.work
		m.running[id] = c
		if m.shed != nil && m.shed(len(m.running)) {
			m.finish(id, admission.Result{Outcome: admission.Shed, RetryAfter: 200 * time.Millisecond})
		}
	}
	for _, r := range refuse {
		m.refusals++
		c := m.callers[r.id]
		if !m.retries || c.attempts >= 4 {
			c.finished = true
			continue
		}
		m.After(r.after, func() {
			m.retriedAt[int(m.Elapsed()/(100*time.Millisecond))]++
			m.attempt(r.id, c)
		})
	}
	if len(start) > 0 {
		m.scheduleFinish()
	}
}

// speed returns the speed at which each running request is processed, 1 at most.
func (m *model) speed() float64 {
	n := float64(len(m.running))
	v := 1.0
	if n > m.capacity {
		v = m.capacity / n / (1 + m.speedLoss*(n-m.capacity))
	}
	return v / m.slowdown(m.Now())
}

// advanceWork updates the remaining work of the running requests to now.
func (m *model) advanceWork() {
	d := m.Now().Sub(m.workedUntil).Seconds() * m.speed()
	m.workedUntil = m.Now()
	for _, c := range m.running {
		c.remaining -= d
	}
}

// scheduleFinish schedules the end of the running request that finishes next.
func (m *model) scheduleFinish() {
	m.finishEvent++
	number := m.finishEvent
	var first uint64
	least := -1.0
	for id, c := range m.running {
		if least < 0 || c.remaining < least || c.remaining == least && id < first {
			first, least = id, max(c.remaining, 0)
		}
	}
	if least < 0 {
		return
	}
	m.After(time.Duration(least/m.speed()*1e9)+1, func() {
		if number == m.finishEvent {
			m.advanceWork()
			m.finish(first, admission.Result{Outcome: admission.OK})
		}
	})
}

// finish ends a running request with a result.
func (m *model) finish(id uint64, r admission.Result) {
	c := m.callers[id]
	delete(m.running, id)
	c.running, c.finished = false, true
	if r.Outcome == admission.OK && !m.Now().After(c.deadline) {
		m.inTime[c.owner]++
		m.inTimeAt[int(m.Elapsed()/time.Second)]++
	} else {
		m.late++
	}
	if c.flowTime > 0 && r.Outcome == admission.OK {
		m.headerArrived(id, c, r)
	} else {
		m.apply(m.p.done(m.Now(), id, r))
	}
	m.scheduleFinish()
}

// headerArrived continues a long flow after its header.
func (m *model) headerArrived(id uint64, c *caller, r admission.Result) {
	m.After(c.flowTime, func() { m.apply(m.p.done(m.Now(), id, r)) })
	if o, ok := m.p.(controllerPolicy); ok && !m.holdSlots {
		o.c.Opened(m.Now(), id)
		m.apply(o.effects())
	}
}

// run runs the model for the simulated time d.
func (m *model) run(d time.Duration) {
	var tick func()
	tick = func() {
		m.apply(m.p.tick(m.Now()))
		m.After(10*time.Millisecond, tick)
	}
	m.After(0, tick)
	m.Clock.Run(d, nil)
}

// totalInTime returns the number of answers in time.
func (m *model) totalInTime() int {
	n := 0
	for _, g := range m.inTime {
		n += g
	}
	return n
}

// servedShare returns the share of an owner's callers that were answered in time.
func (m *model) servedShare(owner string) float64 {
	return float64(m.inTime[owner]) / float64(m.offered[owner])
}

// countInTime returns the number of answers in time in the seconds [start, end).
func (m *model) countInTime(start, end int) int {
	n := 0
	for s := start; s < end; s++ {
		n += m.inTimeAt[s]
	}
	return n
}
