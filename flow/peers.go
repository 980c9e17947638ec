package flow

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// ReportEvery is the least time between two reports of an agent to a
	// balancer.
	ReportEvery = 250 * time.Millisecond
	// maxReportEvery is the longest: three of them pass before an agent that says
	// nothing counts as silent, and it must not be forgotten before.
	maxReportEvery = 1900 * time.Millisecond
	// reportsPerSecond is what a balancer lets agents report to it: 82 bytes each
	// with their headers, 6 KB/s of the 8 that control may take.
	reportsPerSecond = 75
	// reportsPerHello is the number of reports to one greeting, whose bytes count
	// as well.
	reportsPerHello = 2
	// silentReports is the number of reports that have to be missing before an
	// agent counts as silent.
	silentReports = 3
)

// reportEvery is the time between two reports that the balancer asks agents for,
// so that what it receives does not grow with their number. New flows don't wait
// for it: an agent that does not answer an offer is left out after OpenTimeout, a
// change of its server's state is told at once, and every answer tells its load.
func (d *Director) reportEvery() time.Duration {
	every := time.Duration(len(d.agents)) * time.Second / reportsPerSecond
	return min(max(every, ReportEvery), maxReportEvery)
}

// hashAddr returns a hash of an address.
func hashAddr(a netip.AddrPort) uint64 {
	h := fnv.New64a()
	b := a.Addr().As4()
	h.Write(b[:])
	h.Write([]byte{byte(a.Port()), byte(a.Port() >> 8)})
	return h.Sum64()
}

// ZoneID returns the hash of an availability zone's name that reports carry.
func ZoneID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// AddAgent makes an agent known that others told of. It is asked for its state
// at the next tick. Agents that are known already keep what they said.
func (d *Director) AddAgent(now time.Time, addr netip.AddrPort, id ServiceID, zone string) {
	if d.agents[addr] != nil {
		return
	}
	a := &agent{addr: addr, service: id, introduced: now, helloAt: now}
	if zone != "" {
		a.zone, a.local = ZoneID(zone), zone == d.cfg.Zone
	}
	d.agents[addr] = a
	d.retable(id)
}

// FromAgent takes a message of an agent. s is the header of the packet that
// came with it, or nil.
func (d *Director) FromAgent(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	d.now = now
	d.newestOrders = max(d.newestOrders, m.Revision)
	d.StoreRead(ReadAt(now, m.ReadAge))
	d.noteSender(now, from, m)
	switch m.Kind {
	case Taken:
		d.onTaken(now, from, m)
	case Refused:
		d.onRefused(now, from, m)
	case Balancers:
		d.takeBalancers(packet)
	case CapacityReserved:
		d.onRoom(now, from, m)
	case QueryAnswer:
		d.onQueryAnswer(now, from, packet)
	case Queued:
		d.onQueued(now, from, m)
	case Held:
		d.onHeld(now, from, m)
	case NotHeld:
		d.onNotHeld(now, from, m, s, packet)
	}
}

// noteSender notes what a message says about its sender.
func (d *Director) noteSender(now time.Time, from netip.AddrPort, m *Message) {
	a, known := d.agents[from]
	if !known {
		a = &agent{addr: from, introduced: now, helloAt: now}
		d.agents[from] = a
	}
	before := *a
	delete(d.missing, from)
	a.heard = now
	a.asked = 0
	d.heardAny = true
	a.silent = a.silent && !a.answers(now, m)
	a.empty = m.State == ServerEnded || m.State != ServerReady && (a.empty || m.Kind == Report && m.Reason == ReasonNotHeld)
	a.service, a.state, a.incarnation = m.Service, m.State, m.Incarnation
	if m.Kind == Report {
		a.young = m.Reason == ReasonStarted
		a.zone, a.local = m.Zone, m.Zone == ZoneID(d.cfg.Zone)
	}
	if d.zoneOrder(before.zone) != d.zoneOrder(a.zone) {
		a.helloAt = now // it has not been told yet
	}
	d.learnLacking(now, a)
	d.load.Report(from, m.Occupancy, now)
	if !known || before.service != a.service || before.takesFlows() != a.takesFlows() || before.zone != a.zone || before.gone() != a.gone() {
		d.retable(before.service)
		d.retable(a.service)
	}
	if before.state != a.state || before.service != a.service || before.incarnation != a.incarnation {
		d.trace.Agent(now, from, a.service, a.state, "reported")
	}
	d.fewer = d.fewer || a.gone() && !before.gone()
	if before.heard.IsZero() && !a.gone() {
		d.announce(now, a)
	}
}

// answers reports whether a message shows that the agent can be reached again.
// A report alone shows only the way back: behind a cut of one way an agent goes
// on reporting and gets none of the flows offered to it.
func (a *agent) answers(now time.Time, m *Message) bool {
	return m.Kind != Report || now.Add(-m.LastReceived).After(a.silentAt)
}

// setSilent leaves an agent out of new flows until it is heard again.
func (d *Director) setSilent(now time.Time, addr netip.AddrPort) {
	a := d.agents[addr]
	if a == nil || a.silent {
		return
	}
	a.silent = true
	a.silentAt = now
	d.retable(a.service)
	d.trace.Agent(now, addr, a.service, a.state, "silent")
}

func (d *Director) removeAgent(now time.Time, a *agent, why string) {
	delete(d.agents, a.addr)
	delete(d.queries.boxes, a.addr)
	d.fewer = true
	d.retable(a.service)
	d.trace.Agent(now, a.addr, a.service, a.state, why)
}

// retable builds the tables of a service's agents.
func (d *Director) retable(id ServiceID) {
	var all, ready []placement.Agent
	for _, a := range d.agents {
		if a.service != id || a.gone() {
			continue
		}
		p := placement.Agent{Addr: a.addr, Zone: otherZone, Weight: placement.FullWeight}
		if a.local {
			p.Zone = localZone
		}
		all = append(all, p)
		if d.mayOffer(a) {
			ready = append(ready, p)
		}
	}
	if len(all) == 0 {
		delete(d.services, id)
		return
	}
	v := &service{all: d.table(all), ready: d.table(ready)}
	if v.all != nil && v.ready != nil {
		d.services[id] = v
	}
}

// table returns nil for agents that a table can't hold. There are none: their
// addresses come from sockets of IPv4 and from settings that were checked.
func (d *Director) table(list []placement.Agent) *placement.Table {
	t, err := placement.NewTable(d.place, list)
	if err != nil {
		return nil
	}
	return t
}

// Tick does what is due: offers that were not answered, agents that fell
// silent, greetings, flows that ended.
func (d *Director) Tick(now time.Time) {
	d.now = now
	if now.Sub(d.tickAt) >= pauseAfter {
		d.excuse(now)
	}
	d.tickAt = now
	d.lookForStart(now)
	d.expireLacking(now)
	d.expireOffers(now)
	d.expireReturns(now)
	d.askRoster(now)
	d.askAgain(now)
	d.askWaiting(now)
	d.announceNew(now)
	d.concludeUnsure(now)
	for _, a := range d.agents {
		d.attend(now, a)
	}
	d.concludeBlocked(now)
	if now.Sub(d.sweptAt) >= sweepEvery {
		d.sweep(now)
	}
}

// unansweredAfter is the time after which an agent that has answered none of
// maxAsked questions counts as silent: six times the time between two questions, and
// above the pauses of a process on a busy VM.
const unansweredAfter = 500 * time.Millisecond

// noteQuestion counts a question that the agent has to answer.
func (a *agent) noteQuestion(now time.Time) {
	if a.asked == 0 {
		a.askedAt = now
	}
	a.asked++
}

// unanswering reports whether an agent leaves questions unanswered. Reports come the
// more seldom the more agents there are, so that a balancer's bytes stay bounded; with
// 285 agents three of them are missing after 5.7 s only, in which the callers of all
// flows that an agent which has gone is asked for are told nothing. Where an answer is
// waited for its lack shows sooner, at any size of the fleet and without a message more.
func (a *agent) unanswering(now time.Time) bool {
	return a.asked >= maxAsked && now.Sub(a.askedAt) >= unansweredAfter
}

// excuse forgives the agents their silence while this process stood still.
func (d *Director) excuse(now time.Time) {
	for _, a := range d.agents {
		if !a.heard.IsZero() {
			a.heard = now
		}
		a.asked = 0
		a.helloAt = now
	}
}

// attend greets an agent when that is due, and judges its silence.
func (d *Director) attend(now time.Time, a *agent) {
	if !now.Before(a.helloAt) {
		a.helloAt = now.Add(max(HelloEvery, reportsPerHello*d.reportEvery()))
		hello := Message{Kind: Hello, Wait: d.reportEvery(), Service: a.service}
		if !d.rosterKnown && now.Sub(d.started) < aloneAfter {
			hello.Reason = ReasonState
		}
		d.send(a.addr, hello, nil)
	}
	d.judgeSilence(now, a)
	absent := d.absent(now, a)
	d.fewer = d.fewer || absent && !a.absent
	a.absent = absent
}

// judgeSilence leaves an agent out of new flows, or forgets it, when it has been
// silent for too long.
func (d *Director) judgeSilence(now time.Time, a *agent) {
	if a.heard.IsZero() {
		return
	}
	silence := now.Sub(a.heard)
	if silence >= d.cfg.AgentExpiry {
		d.removeAgent(now, a, "forgotten")
		if !a.empty && !a.gone() {
			d.missing[a.addr] = now
		}
		return
	}
	if silence >= max(d.cfg.AgentTimeout, silentReports*d.reportEvery()) || a.unanswering(now) {
		d.setSilent(now, a.addr)
	}
}

// NextTick returns when Tick has something to do at the latest.
func (d *Director) NextTick(now time.Time) time.Time {
	next := now.Add(ReportEvery)
	if !d.rosterKnown && len(d.balancers) > 0 && now.Sub(d.started) < aloneAfter && d.rosterAt.Before(next) {
		next = d.rosterAt
	}
	if at, ok := d.confirm.due(); ok && at.Before(next) {
		next = at
	}
	if d.asking.len() > 0 && d.asking.first().at.Before(next) {
		next = d.asking.first().at
	}
	if !d.everyoneStarted && now.Sub(d.started) < aloneAfter && now.Add(lookEvery).Before(next) {
		next = now.Add(lookEvery)
	}
	if len(d.news) > 0 && d.newsAt.Before(next) {
		next = d.newsAt
	}
	if d.queries.waiting() && d.queries.nextAt.Before(next) {
		next = d.queries.nextAt
	}
	for _, queue := range [...]*fifo[returnDue]{&d.returns, &d.waitingReturns} {
		if queue.len() > 0 && queue.first().at.Before(next) {
			next = queue.first().at
		}
	}
	for _, queue := range [...]*fifo[due]{&d.queue, &d.queued} {
		if queue.len() > 0 && queue.first().at.Before(next) {
			next = queue.first().at
		}
	}
	return next
}

// sweep forgets flows that are too old or were idle for too long.
func (d *Director) sweep(now time.Time) {
	d.sweptAt = now
	for addr, since := range d.missing {
		if now.Sub(since) >= d.cfg.MaxAge {
			delete(d.missing, addr) // its flows have reached their greatest age
		}
	}
	idle := d.idleLimit()
	for key, e := range d.flows {
		if e.state == entryOpening {
			continue
		}
		if now.Sub(e.used) >= idle || now.Sub(e.opened) >= d.cfg.MaxAge+idle {
			d.stats.Evicted++
			d.forget(key)
		}
	}
}

func (d *Director) idleLimit() time.Duration {
	routes := d.orders.Routes
	if routes == nil || routes.IdleMs <= 0 {
		return d.cfg.MaxAge
	}
	return time.Duration(routes.IdleMs) * time.Millisecond
}

// Ready reports whether new flows can be offered: the routes are known and some
// agent can be reached. A balancer that is cut off from all of them serves
// nobody, and the routers have others.
func (d *Director) Ready() bool { return d.orders.Routes != nil && d.reaches() }

// reaches reports whether some agent can be reached or is about to answer.
func (d *Director) reaches() bool {
	for _, a := range d.agents {
		if !a.heard.IsZero() && !a.silent {
			return true
		}
	}
	if d.heardAny {
		return false
	}
	return len(d.agents) == 0 || d.now.Sub(d.started) < absentAfter
}
