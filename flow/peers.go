package flow

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

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

// AddAgent adds an agent that the store or another process named. What a known agent has
// reported is kept.
func (d *Director) AddAgent(now time.Time, addr netip.AddrPort, id ServiceID, zone string) {
	if d.agents[addr] != nil {
		return
	}
	a := &agent{addr: addr, service: id}
	if zone != "" {
		a.zone, a.local = ZoneID(zone), zone == d.cfg.Zone
	}
	d.addToTable(now, a)
	d.requestFirstHello(addr)
}

// addToTable adds an agent to the table of agents and to its service.
func (d *Director) addToTable(now time.Time, a *agent) {
	d.agents[a.addr] = a
	d.contacts.Add(a.addr)
	d.addToService(a)
	if 2*len(d.agents) > d.loadCapacity {
		d.growLoad(now)
	}
}

// growLoad doubles the space for loads. A table that is too small for the fleet keeps the
// loads of the latest senders only, and all other agents look equally loaded.
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
		d.onQueryAnswer(now, from, m, packet)
	case Introductions:
		d.onIntroductions(now, from, m, packet)
	case Report:
		if m.Introduce {
			d.introduce(now, d.agents[from], m.Round)
		}
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
		a = &agent{addr: from, service: m.Service}
		d.addToTable(now, a)
	}
	before := *a
	tookFlows := d.takesFlows(a)
	delete(d.failedAgents, from)
	a.lastReceivedAt = now
	a.contactedAt = later(a.contactedAt, now.Add(-m.LastReceived))
	a.unanswered = 0
	d.agentReached = true
	d.introducedAgentReached = d.introducedAgentReached || m.State == ServerReady
	d.recordAnswer(now, a, m)
	if before.lastReceivedAt.IsZero() || m.Incarnation != before.incarnation {
		a.processSince, a.earlierProcess, a.incarnation = now, before.incarnation, m.Incarnation
		a.round, a.introducing, a.listVersion = 0, 0, 0
	}
	a.recordFlows(now, m)
	a.recordProcess(m)
	if a.ended() && !a.holdsNoFlows {
		a.state = ServerUnknown // that of the process that was introduced since
	}
	if m.Zone != 0 {
		a.zone, a.local = m.Zone, m.Zone == ZoneID(d.cfg.Zone)
	}
	d.moveToService(a, m.Service)
	if d.zoneOrder(before.zone) != d.zoneOrder(a.zone) {
		d.contacts.Request(from) // the agent has not received its zone's order yet
	}
	d.recordUnconfirmedZone(now, a)
	d.recordTime(now, a, m)
	d.load.Report(from, m.Occupancy.Scaled(d.timeRatio(a)), now)
	d.recordHealth(now, a, m.Health)
	if tookFlows != d.takesFlows(a) || before.zone != a.zone || before.ended() != a.ended() {
		d.tablesChanged(a.service)
	}
	if before.state != a.state || before.service != a.service || before.incarnation != a.incarnation {
		d.trace.Agent(now, from, a.service, a.state, "reported")
	}
	switch {
	case a.ended() && !before.ended():
		d.recordEnded(now, a)
	case a.ended():
	case a.state != ServerReady:
		d.expectStale(a)
		fallthrough
	default:
		if !known || before.ended() {
			d.learned.add(now, a.member())
		}
	}
}

// recordAnswer records that an unresponsive agent answers again, and how often it asks for
// hello messages.
func (d *Director) recordAnswer(now time.Time, a *agent, m *Message) {
	if a.unresponsive && a.answers(now, m) {
		if a.announcedFailed || a.failureAnnounced {
			d.learned.add(now, a.member())
		}
		a.unresponsive, a.failureAnnounced, a.announcedFailed = false, false, false
	}
	if m.Kind == Report {
		d.setWatched(now, a, m.Wait > 0)
	}
}

// recordProcess records the state of the agent's server, and the latest introduction of the
// process that reports it.
func (a *agent) recordProcess(m *Message) {
	if (m.Kind == Report || m.Kind == QueryAnswer) && !m.Introduce {
		a.round = m.Round
	}
	a.state = m.State
}

// recordFlows records what a message says about the flows of the agent's server. What an earlier
// process said does not hold for one that was introduced since, however late it is read.
func (a *agent) recordFlows(now time.Time, m *Message) {
	describes := m.Kind == Report || m.Kind == QueryAnswer
	if describes {
		a.recentlyStarted = m.Reason == ReasonStarted
	}
	switch {
	case a.outdated():
		a.holdsNoFlows = false
	case m.State == ServerEnded || m.State != ServerReady && describes && m.Reason == ReasonNotHeld:
		a.holdsNoFlows = true
	case m.State == ServerReady || now.Sub(a.flowsKnownAt) > stateTTL:
		a.holdsNoFlows = false
	}
	if a.holdsNoFlows {
		a.flowsKnownAt, a.flowsFromPeer = now, false
	}
}

// heldNoFlows reports whether the agent's server held no flows when the agent stopped
// answering. A report older than stateTTL does not show that: its server may have taken
// flows of other balancers since.
func (a *agent) heldNoFlows(now time.Time) bool {
	if a.unanswered > 0 {
		now = a.firstUnansweredAt
	}
	if a.unresponsive && a.unresponsiveSince.Before(now) {
		now = a.unresponsiveSince
	}
	return a.holdsNoFlows && now.Sub(a.flowsKnownAt) <= stateTTL
}

// stateIsCurrent reports whether the agent would have reported a change of its state: it
// reports changes to the balancers from which it received a message within stateTTL.
func (a *agent) stateIsCurrent(now time.Time) bool { return now.Sub(a.contactedAt) < stateTTL }

// staleState is an agent that is not ready, as far as its state is current.
type staleState struct {
	agent netip.AddrPort
	at    time.Time // until when it is, unless another message arrives
}

// expectStale has the agent offered flows again once its state is not current any more.
// The agent then accepts them or reports its state with the refusal.
func (d *Director) expectStale(a *agent) {
	if !a.staleQueued {
		a.staleQueued = true
		d.staleStates.push(staleState{a.addr, a.contactedAt.Add(stateTTL)})
	}
}

// expireStates updates the placement tables for agents whose state is not current any
// more.
func (d *Director) expireStates(now time.Time) {
	for d.staleStates.len() > 0 && !d.staleStates.first().at.After(now) {
		a := d.agents[d.staleStates.pop().agent]
		if a == nil {
			continue
		}
		a.staleQueued = false
		if a.state != ServerReady && !a.ended() && a.stateIsCurrent(now) {
			d.expectStale(a)
			continue
		}
		d.tablesChanged(a.service)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
	d.suspect(now, a)
	d.tablesChanged(a.service)
	d.trace.Agent(now, addr, a.service, a.state, "silent")
}

func (d *Director) removeAgent(now time.Time, a *agent, why string) {
	delete(d.agents, a.addr)
	delete(d.suspects, a.addr)
	delete(d.watched, a.addr)
	delete(d.queries.outboxes, a.addr)
	d.contacts.Remove(a.addr)
	d.removeFromService(a)
	d.recheckBlocked = true
	d.trace.Agent(now, a.addr, a.service, a.state, why)
}

func (d *Director) addToService(a *agent) {
	v := d.services[a.service]
	if v == nil {
		v = &service{agents: make(map[netip.AddrPort]*agent)}
		d.services[a.service] = v
	}
	v.agents[a.addr] = a
	v.stale = true
}

func (d *Director) removeFromService(a *agent) {
	v := d.services[a.service]
	delete(v.agents, a.addr)
	d.removeFromPanel(v, a)
	v.stale = true
	if len(v.agents) == 0 {
		delete(d.services, a.service)
	}
}

func (d *Director) moveToService(a *agent, id ServiceID) {
	if a.service == id {
		return
	}
	d.removeFromService(a)
	a.service = id
	a.answerTime = 0
	d.addToService(a)
}

// agentsOf returns the agents of a service.
func (d *Director) agentsOf(id ServiceID) map[netip.AddrPort]*agent {
	if v := d.services[id]; v != nil {
		return v.agents
	}
	return nil
}

// tablesChanged has the placement tables of a service rebuilt before their next use.
// When many agents start at once, they are rebuilt once for each flow instead of once
// for each agent.
func (d *Director) tablesChanged(id ServiceID) {
	if v := d.services[id]; v != nil {
		v.stale = true
	}
}

// allTablesChanged does the same for all services.
func (d *Director) allTablesChanged() {
	for _, v := range d.services {
		v.stale = true
	}
}

// tables returns a service with its placement tables, nil if it has no agents.
func (d *Director) tables(id ServiceID) *service {
	v := d.services[id]
	if v != nil && v.stale {
		d.rebuildTables(id, v)
	}
	return v
}

func (d *Director) rebuildTables(id ServiceID, v *service) {
	d.judgeAll(d.now, id, v)
	var all, ready []placement.Agent
	for _, a := range v.agents {
		if a.ended() {
			continue
		}
		p := placement.Agent{Addr: a.addr, Zone: otherZone, Weight: placement.FullWeight}
		if a.local {
			p.Zone = localZone
		}
		all = append(all, p)
		if d.mayOffer(a) && !v.panel.LeftOut(a.standing) {
			ready = append(ready, p)
		}
	}
	v.all, v.ready, v.stale = d.newTable(all), d.newTable(ready), false
}

// newTable returns an empty table for agents that a table can't hold. There are none:
// their addresses come from IPv4 sockets and from validated settings.
func (d *Director) newTable(list []placement.Agent) *placement.Table {
	t, err := placement.NewTable(d.place, list)
	if err != nil {
		return &placement.Table{}
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
	d.expireStates(now)
	d.checkHealth(now)
	d.sendHellos(now)
	d.helloWatched(now)
	d.checkAwaited(now)
	d.checkSuspects(now)
	d.resumeBlocked(now)
	if now.Sub(d.lastSweepAt) >= sweepInterval {
		d.sweep(now)
	}
}

// NextTick returns the latest time at which Tick has something to do.
func (d *Director) NextTick(now time.Time) time.Time {
	next := now.Add(tickInterval)
	if !d.memberListKnown && d.peers.len() > 0 && now.Sub(d.started) < maxDiscoveryTime && d.nextMemberListRequest.Before(next) {
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
	for _, list := range d.announcements() {
		if at, ok := list.due(); ok && at.Before(next) {
			next = at
		}
	}
	if at, ok := d.nextRequestedHello(now); ok && at.Before(next) {
		next = at
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
	d.removeEndedAgents(now)
	d.removeNeverReached(now)
	d.peers.expire(now)
	for addr := range d.failedAgents {
		d.contacts.Request(addr) // its flows can't be looked up until it answers
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
