package lab

import (
	"math/rand/v2"
	"time"
)

const (
	sampleInterval       = 100 * time.Millisecond
	windowTicks          = 100 // samples per window
	retransmitAfter      = time.Second
	twoInitialsShare     = 0.5 // share of handshakes with a second Initial
	rampSteps            = 4
	failureServiceFactor = 0.02 // time until a failing server answers / service time
)

// model is one run of a case under one policy.
type model struct {
	c       Case
	policy  policy
	now     time.Duration
	events  eventQueue
	flows   []flow
	free    []int32
	drawn   uint64 // number of flows drawn
	rates   flowRates
	rng     *rand.Rand // for draws that are not made by a flow
	arrival *rand.Rand // for the times between flows, which are the same for all policies
	servers []server
	members []bool     // agents in the member lists, by index
	history [][]uint16 // outstanding requests by sample and agent, for the load endpoints
	stats   stats
	ticks   int // samples taken
}

// Run runs c under the named policy. It returns a *PolicyError if the policy is
// unknown.
func Run(c Case, name string, o Options) (Result, error) {
	c = c.withDefaults()
	p, err := newPolicy(name, o)
	if err != nil {
		return Result{}, err
	}
	m := newModel(c, p)
	p.begin(m)
	m.schedule()
	for m.events[0].at <= c.Duration {
		e := m.events.pop()
		m.now = e.at
		m.handle(e)
	}
	return m.result(name), nil
}

func newModel(c Case, p policy) *model {
	m := &model{
		c: c, policy: p, rates: ratesFor(&c),
		rng:     rand.New(rand.NewPCG(c.Seed, 1)),
		arrival: rand.New(rand.NewPCG(c.Seed, 2)),
		servers: make([]server, c.Agents),
		members: make([]bool, c.Agents),
		stats:   newStats(),
	}
	for i := range m.servers {
		s := &m.servers[i]
		s.zone, s.alive, s.serviceFactor = i%c.Zones, true, 1
		if i < c.Slow {
			s.serviceFactor = c.SlowFactor
		}
		if i < c.Failing {
			s.serviceFactor, s.fails = failureServiceFactor, true
		}
		if i >= c.Agents-c.Cold {
			s.alive, s.cold, s.joined = false, true, c.ColdAt
		}
		m.members[i] = s.alive
	}
	return m
}

func (m *model) schedule() {
	c := &m.c
	m.drawFlow()
	m.events.push(event{at: sampleInterval, kind: sample})
	if m.policy.wantsReports() {
		for i := range m.servers {
			m.scheduleReport(i)
		}
	}
	if c.ZoneFails {
		m.events.push(event{at: c.ZoneFailsAt, kind: zoneFailure})
		m.events.push(event{at: c.ZoneFailsAt + c.DetectionTime, kind: membersUpdate})
	}
	if c.Cold > 0 {
		m.events.push(event{at: c.ColdAt, kind: coldStart})
		for i := range rampSteps {
			at := c.ColdAt + c.ColdFor*time.Duration(i+1)/rampSteps
			m.events.push(event{at: at, kind: ramp})
		}
	}
}

func (m *model) handle(e event) {
	switch e.kind {
	case arrive:
		f := &m.flows[e.id]
		if f.server == unplaced {
			f.server = retransmitted
			m.drawFlow()
		}
		m.place(e.id)
	case request:
		m.request(e.id)
	case finish:
		m.finish(e.id)
	case report:
		if m.servers[e.id].alive {
			m.policy.report(m, m.rng.IntN(m.c.Balancers), int(e.id))
		}
		m.scheduleReport(int(e.id))
	case sample:
		m.sample()
		m.events.push(event{at: m.now + sampleInterval, kind: sample})
	case zoneFailure:
		m.failZone()
	case membersUpdate, ramp:
		m.updateMembers()
	case coldStart:
		m.startCold()
	}
}

const (
	unplaced      = -1 // flow whose first Initial has not arrived
	retransmitted = -2 // flow whose first Initial has arrived and may have been lost
)

// drawFlow draws the next flow and schedules its arrival.
func (m *model) drawFlow() {
	f := newFlow(&m.c, m.drawn, m.rates)
	m.drawn++
	gap := m.arrival.ExpFloat64() / m.rates.total()
	f.arrived = m.now + time.Duration(gap*float64(time.Second))
	f.server = unplaced
	var id int32
	if n := len(m.free); n > 0 {
		id = m.free[n-1]
		m.free = m.free[:n-1]
		m.flows[id] = f
	} else {
		id = int32(len(m.flows))
		m.flows = append(m.flows, f)
	}
	m.events.push(event{at: f.arrived, kind: arrive, id: id})
}

func (m *model) scheduleReport(agent int) {
	mean := float64(m.c.ReportEvery) / float64(m.c.Balancers)
	at := m.now + time.Duration(m.rng.ExpFloat64()*mean)
	m.events.push(event{at: at, kind: report, id: int32(agent)})
}

// balancer draws the balancer that receives a packet of f.
func (m *model) balancer(f *flow) int {
	n := m.c.Balancers
	if f.unit() >= m.c.ZoneAffinity || n < m.c.Zones {
		return int(f.next() % uint64(n))
	}
	inZone := (n - int(f.zone) + m.c.Zones - 1) / m.c.Zones
	return int(f.zone) + m.c.Zones*int(f.next()%uint64(inZone))
}

// place places the flow on the arrival of an Initial packet.
func (m *model) place(id int32) {
	f := &m.flows[id]
	b, second := m.balancer(f), m.balancer(f)
	two := f.unit() < twoInitialsShare
	first, chosen := m.policy.place(m, b, f.id)
	m.stats.recordPlacement(m, f, b, first, chosen, two && m.policy.first(m, second, f.id) != first)
	if chosen < 0 || !m.servers[chosen].alive {
		m.events.push(event{at: m.now + retransmitAfter, kind: arrive, id: id})
		return
	}
	f.server = int32(chosen)
	m.servers[chosen].conns++
	m.request(id)
	m.policy.report(m, b, chosen) // the first answer returns through the same balancer
}

// request starts, queues or refuses the flow's next request.
func (m *model) request(id int32) {
	f := &m.flows[id]
	s := &m.servers[f.server]
	if !s.alive {
		m.breakFlow(id)
		return
	}
	f.requests--
	s.accumulate(m.now)
	switch {
	case s.busy < m.c.Slots:
		s.busy++
		m.work(id, 0)
	case len(s.queue) < m.c.Queue:
		s.queue = append(s.queue, waiting{flow: id, since: m.now})
	default:
		m.stats.recordRefusal(m)
		m.proceed(id)
	}
}

// work starts the flow's request on a slot that is already reserved for it.
func (m *model) work(id int32, wait time.Duration) {
	f := &m.flows[id]
	factor := m.servers[f.server].factor(&m.c, m.now)
	m.stats.recordStart(m, wait, factor, m.servers[f.server].fails)
	length := time.Duration(float64(f.service(m.c.Tail)) * factor)
	m.events.push(event{at: m.now + length, kind: finish, id: id})
}

// finish ends the flow's request and starts the next one from the queue.
func (m *model) finish(id int32) {
	s := &m.servers[m.flows[id].server]
	if !s.alive {
		m.breakFlow(id)
		return
	}
	s.accumulate(m.now)
	s.busy--
	m.policy.requestDone(m, int(m.flows[id].server))
	if len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		m.work(w.flow, m.now-w.since)
	}
	m.proceed(id)
}

// proceed schedules the flow's next request or ends the flow.
func (m *model) proceed(id int32) {
	f := &m.flows[id]
	if f.requests <= 0 {
		m.servers[f.server].conns--
		m.free = append(m.free, id)
		return
	}
	m.events.push(event{at: m.now + f.think(), kind: request, id: id})
}

// breakFlow ends a flow whose backend server has failed.
func (m *model) breakFlow(id int32) {
	m.stats.broken++
	m.free = append(m.free, id)
}
