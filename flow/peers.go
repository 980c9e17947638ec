package flow

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// MinReportInterval is the shortest interval between two reports of an agent to a
	// balancer.
	MinReportInterval = 250 * time.Millisecond
	// maxReportInterval is the longest interval. Three of them pass before an agent that
	// sends nothing counts as unresponsive, and it must not expire before.
	maxReportInterval = 1900 * time.Millisecond
	// reportsPerSecond is the rate of reports that a balancer receives from all agents:
	// 82 bytes each with their headers, 6 KB/s of the 8 KB/s that control traffic may
	// take.
	reportsPerSecond = 75
	// reportsPerHello is the number of reports per hello message, whose bytes count as
	// well.
	reportsPerHello = 2
	// missedReports is the number of missed reports after which an agent counts as
	// unresponsive.
	missedReports = 3
)

// reportInterval is the report interval that the balancer requests from agents, so that
// the bytes it receives do not grow with their number. New flows don't depend on it: an
// agent that does not answer an offer is excluded after OpenTimeout, a change of a
// server's state is reported at once, and every answer carries the agent's load.
func (d *Director) reportInterval() time.Duration {
	every := time.Duration(len(d.agents)) * time.Second / reportsPerSecond
	return min(max(every, MinReportInterval), maxReportInterval)
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

// AddAgent adds an agent that the store or another process named. Its state is
// requested at the next tick. What a known agent has reported is kept.
func (d *Director) AddAgent(now time.Time, addr netip.AddrPort, id ServiceID, zone string) {
	if d.agents[addr] != nil {
		return
	}
	a := &agent{addr: addr, service: id, addedAt: now, nextHelloAt: now}
	if zone != "" {
		a.zone, a.local = ZoneID(zone), zone == d.cfg.Zone
	}
	d.addToTable(now, a)
	d.rebuildTables(id)
}

// addToTable adds an agent to the table of agents.
func (d *Director) addToTable(now time.Time, a *agent) {
	d.agents[a.addr] = a
	if 2*len(d.agents) > d.loadCapacity {
		d.growLoad(now)
	}
}

// growLoad doubles the space for loads. A table that is too small for
// the fleet keeps the loads of the latest senders only, and all other agents look equally
// loaded.
func (d *Director) growLoad(now time.Time) {
	d.loadCapacity *= 2
	grown := placement.NewLoad(d.loadCapacity, placement.LoadOptions{})
	for addr := range d.agents {
		if occupancy, age, ok := d.load.Get(addr, now); ok {
			grown.Report(addr, occupancy, now.Add(-age))
		}
	}
	d.load = grown
}

// FromAgent handles a message from an agent. s is the header of the packet that came
// with it, or nil.
func (d *Director) FromAgent(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	d.now = now
	d.newestOrders = max(d.newestOrders, m.Revision)
	d.StoreRead(ReadAt(now, m.ReadAge))
	d.recordSender(now, from, m)
	switch m.Kind {
	case Taken:
		d.onTaken(now, from, m)
	case Refused:
		d.onRefused(now, from, m)
	case Balancers:
		d.addBalancers(packet)
	case CapacityReserved:
		d.onCapacityReserved(now, from, m)
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

// recordSender records what a message says about its sender.
func (d *Director) recordSender(now time.Time, from netip.AddrPort, m *Message) {
	a, known := d.agents[from]
	if !known {
		a = &agent{addr: from, addedAt: now, nextHelloAt: now}
		d.addToTable(now, a)
	}
	before := *a
	delete(d.failedAgents, from)
	a.lastReceivedAt = now
	a.unansweredQueries = 0
	d.agentReached = true
	a.unresponsive = a.unresponsive && !a.answers(now, m)
	a.holdsNoFlows = m.State == ServerEnded || m.State != ServerReady && (a.holdsNoFlows || m.Kind == Report && m.Reason == ReasonNotHeld)
	a.service, a.state, a.incarnation = m.Service, m.State, m.Incarnation
	if m.Kind == Report {
		a.recentlyStarted = m.Reason == ReasonStarted
		a.zone, a.local = m.Zone, m.Zone == ZoneID(d.cfg.Zone)
	}
	if d.zoneOrder(before.zone) != d.zoneOrder(a.zone) {
		a.nextHelloAt = now // the agent has not received its zone's order yet
	}
	d.recordUnconfirmedZone(now, a)
	d.load.Report(from, m.Occupancy, now)
	if !known || before.service != a.service || before.takesFlows() != a.takesFlows() || before.zone != a.zone || before.ended() != a.ended() {
		d.rebuildTables(before.service)
		d.rebuildTables(a.service)
	}
	if before.state != a.state || before.service != a.service || before.incarnation != a.incarnation {
		d.trace.Agent(now, from, a.service, a.state, "reported")
	}
	d.recheckBlocked = d.recheckBlocked || a.ended() && !before.ended()
	if before.lastReceivedAt.IsZero() && !a.ended() {
		d.queueAnnouncement(now, a)
	}
}

// answers reports whether a message shows that the agent can be reached again. A report
// alone shows only that messages arrive from it: behind a one-way network failure an
// agent goes on reporting and receives none of the flows offered to it. So the agent
// must have received a message after it became unresponsive.
func (a *agent) answers(now time.Time, m *Message) bool {
	return m.Kind != Report || now.Add(-m.LastReceived).After(a.unresponsiveSince)
}

// setUnresponsive excludes an agent from new flows until it answers again.
func (d *Director) setUnresponsive(now time.Time, addr netip.AddrPort) {
	a := d.agents[addr]
	if a == nil || a.unresponsive {
		return
	}
	a.unresponsive = true
	a.unresponsiveSince = now
	d.rebuildTables(a.service)
	d.trace.Agent(now, addr, a.service, a.state, "silent")
}

func (d *Director) removeAgent(now time.Time, a *agent, why string) {
	delete(d.agents, a.addr)
	delete(d.queries.outboxes, a.addr)
	d.recheckBlocked = true
	d.rebuildTables(a.service)
	d.trace.Agent(now, a.addr, a.service, a.state, why)
}

// rebuildTables rebuilds the placement tables of a service.
func (d *Director) rebuildTables(id ServiceID) {
	var all, ready []placement.Agent
	for _, a := range d.agents {
		if a.service != id || a.ended() {
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
	v := &service{all: d.newTable(all), ready: d.newTable(ready)}
	if v.all != nil && v.ready != nil {
		d.services[id] = v
	}
}

// newTable returns nil for agents that a table can't hold. There are none: their
// addresses come from IPv4 sockets and from validated settings.
func (d *Director) newTable(list []placement.Agent) *placement.Table {
	t, err := placement.NewTable(d.place, list)
	if err != nil {
		return nil
	}
	return t
}

// Tick handles everything that is due: unanswered offers, agent timeouts, hello
// messages, flows that ended.
func (d *Director) Tick(now time.Time) {
	d.now = now
	if now.Sub(d.lastTickAt) >= pauseThreshold {
		d.restartAgentTimeouts(now)
	}
	d.lastTickAt = now
	d.detectFleetStart(now)
	d.expireUnconfirmedZones(now)
	d.expireOffers(now)
	d.expireReserves(now)
	d.requestMemberList(now)
	d.retryLookups(now)
	d.sendQueries(now)
	d.sendAnnouncements(now)
	d.resumeUndecided(now)
	for _, a := range d.agents {
		d.checkAgent(now, a)
	}
	d.resumeBlocked(now)
	if now.Sub(d.lastSweepAt) >= sweepInterval {
		d.sweep(now)
	}
}

// unansweredTimeout is the time after which an agent that has answered none of
// maxQueryAttempts queries counts as unresponsive. It is six times the time between two
// queries, and above the pauses of a process on a busy VM.
const unansweredTimeout = 500 * time.Millisecond

// recordQuery counts a query that the agent has to answer.
func (a *agent) recordQuery(now time.Time) {
	if a.unansweredQueries == 0 {
		a.firstUnansweredAt = now
	}
	a.unansweredQueries++
}

// ignoresQueries reports whether an agent leaves queries unanswered. Reports are less
// frequent the more agents there are, so that a balancer's bytes stay bounded: with 285
// agents three of them are missing only after 5.7 s, and until then the callers of all
// flows that a failed agent is queried for get no answer. Missing answers show the
// failure sooner, at any fleet size and without extra messages.
func (a *agent) ignoresQueries(now time.Time) bool {
	return a.unansweredQueries >= maxQueryAttempts && now.Sub(a.firstUnansweredAt) >= unansweredTimeout
}

// restartAgentTimeouts restarts the timeouts of all agents after this process was
// paused.
func (d *Director) restartAgentTimeouts(now time.Time) {
	for _, a := range d.agents {
		if !a.lastReceivedAt.IsZero() {
			a.lastReceivedAt = now
		}
		a.unansweredQueries = 0
		a.nextHelloAt = now
	}
}

// checkAgent sends an agent a hello message if that is due, and checks its timeouts.
func (d *Director) checkAgent(now time.Time, a *agent) {
	if !now.Before(a.nextHelloAt) {
		a.nextHelloAt = now.Add(max(MinHelloInterval, reportsPerHello*d.reportInterval()))
		hello := Message{Kind: Hello, Wait: d.reportInterval(), Service: a.service}
		if !d.memberListKnown && now.Sub(d.started) < maxDiscoveryTime {
			hello.Reason = ReasonState
		}
		d.send(a.addr, hello, nil)
	}
	d.checkAgentTimeout(now, a)
	optional := d.answerOptional(now, a)
	d.recheckBlocked = d.recheckBlocked || optional && !a.answerOptional
	a.answerOptional = optional
}

// checkAgentTimeout excludes an agent from new flows, or removes it, when it has sent
// no message for too long.
func (d *Director) checkAgentTimeout(now time.Time, a *agent) {
	if a.lastReceivedAt.IsZero() {
		return
	}
	sinceMessage := now.Sub(a.lastReceivedAt)
	if sinceMessage >= d.cfg.AgentExpiry {
		d.removeAgent(now, a, "forgotten")
		if !a.holdsNoFlows && !a.ended() {
			d.failedAgents[a.addr] = now
		}
		return
	}
	if sinceMessage >= max(d.cfg.AgentTimeout, missedReports*d.reportInterval()) || a.ignoresQueries(now) {
		d.setUnresponsive(now, a.addr)
	}
}

// NextTick returns the latest time at which Tick has something to do.
func (d *Director) NextTick(now time.Time) time.Time {
	next := now.Add(MinReportInterval)
	if !d.memberListKnown && len(d.balancers) > 0 && now.Sub(d.started) < maxDiscoveryTime && d.nextMemberListRequest.Before(next) {
		next = d.nextMemberListRequest
	}
	if at, ok := d.memberCheck.due(); ok && at.Before(next) {
		next = at
	}
	if d.lookupRetries.len() > 0 && d.lookupRetries.first().at.Before(next) {
		next = d.lookupRetries.first().at
	}
	if !d.fleetRecentlyStarted && now.Sub(d.started) < maxDiscoveryTime && now.Add(fleetStartCheckInterval).Before(next) {
		next = now.Add(fleetStartCheckInterval)
	}
	if len(d.announcements) > 0 && d.announceAt.Before(next) {
		next = d.announceAt
	}
	if d.queries.waiting() && d.queries.nextAt.Before(next) {
		next = d.queries.nextAt
	}
	for _, queue := range [...]*fifo[resetTimeout]{&d.reserveTimeouts, &d.queuedResets} {
		if queue.len() > 0 && queue.first().at.Before(next) {
			next = queue.first().at
		}
	}
	for _, queue := range [...]*fifo[offerTimeout]{&d.offerTimeouts, &d.queueTimeouts} {
		if queue.len() > 0 && queue.first().at.Before(next) {
			next = queue.first().at
		}
	}
	return next
}

// sweep removes flows that are too old or were idle for too long.
func (d *Director) sweep(now time.Time) {
	d.lastSweepAt = now
	for addr, since := range d.failedAgents {
		if now.Sub(since) >= d.cfg.MaxAge {
			delete(d.failedAgents, addr) // its flows have reached their greatest age
		}
	}
	idle := d.idleLimit()
	for key, e := range d.flows {
		if e.state == entryOpening {
			continue
		}
		if now.Sub(e.lastPacketAt) >= idle || now.Sub(e.createdAt) >= d.cfg.MaxAge+idle {
			d.stats.Evicted++
			d.removeEntry(key)
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

// Ready reports whether new flows can be offered: the routes are known and some agent
// can be reached. A balancer that is cut off from all agents can't serve any caller,
// and the routers have other balancers.
func (d *Director) Ready() bool { return d.orders.Routes != nil && d.reachesAnyAgent() }

// reachesAnyAgent reports whether some agent can be reached, or may still answer for
// the first time. A balancer that knows no agent and has never received a message from
// one counts as reaching one, without a time limit.
func (d *Director) reachesAnyAgent() bool {
	for _, a := range d.agents {
		if !a.lastReceivedAt.IsZero() && !a.unresponsive {
			return true
		}
	}
	if d.agentReached {
		return false
	}
	return len(d.agents) == 0 || d.now.Sub(d.started) < firstContactTimeout
}
