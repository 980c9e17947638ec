package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// maxBalancers is the highest number of balancers that an agent reports to. It bounds
	// the memory for forged senders: an agent receives messages of a few hundred balancers
	// within stateTTL.
	maxBalancers = 1 << 14
	// maxUnaskedReports is the number of balancers named by the store to which an agent
	// reports by itself when it starts. They announce it to the others.
	maxUnaskedReports = 8
	// shortestReportInterval is the shortest interval of periodic reports.
	shortestReportInterval = 250 * time.Millisecond
	// periodicTTL is how long an agent reports periodically to a balancer after a hello
	// message that asks for it: four of them at their longest interval.
	periodicTTL = 15 * time.Second
	// justStartedSequence is the highest sequence number of a first received heartbeat
	// that shows that the server has just started. It is below 2 because an earlier agent
	// process may have forwarded flows between the server's first and second heartbeat.
	justStartedSequence = 1
	// recentlyStartedTime is the time after its start in which a server counts as recently
	// started. If all processes of a fleet restart within that time, flows that the servers
	// hold may be recorded as lost.
	recentlyStartedTime = 3 * time.Second
	// minRecentlyStartedSequence and maxRecentlyStartedSequence bound the highest sequence
	// number of a first received heartbeat that counts as one of a recently started server:
	// while its agent starts too, the server's first heartbeats go unanswered.
	minRecentlyStartedSequence = 2
	maxRecentlyStartedSequence = 4
	// recentlyStartedAge is the age of the agent process above which a first heartbeat no
	// longer shows that the agent and its server have started together.
	recentlyStartedAge = 2 * time.Second
	// confirmTimeout is how long a flow that the server has answered counts as a request
	// in progress: several round trips to the farthest callers. A caller that has given
	// up never confirms its flow; if such flows counted for longer, they would use up the
	// server's capacity.
	confirmTimeout = 30 * time.Millisecond
	// minAnswerTimeCount is the number of answers after which their mean time is used to
	// recognize implausibly fast ones.
	minAnswerTimeCount = 32
	// answerTimeWeight is the weight of one answer in the moving average of answer times.
	answerTimeWeight = 1.0 / 64
	// fastAnswerWeight is the factor on answerTimeWeight for an implausibly fast answer.
	fastAnswerWeight = 0.25
	// fastAnswerDivisor is the divisor of the mean answer time below whose quotient an
	// answer is implausibly fast and counts as a failure.
	fastAnswerDivisor = 6
	// minMeanAnswerTime is the lowest mean answer time at which implausibly fast answers
	// can be recognized.
	minMeanAnswerTime = 4 * time.Millisecond
	// idleAfter is the time without a packet after which a flow does not count as a
	// connection in the reported load. Its caller may have gone without closing it.
	idleAfter = 20 * time.Second
	// coldSlowdown is the factor by which a cold server's requests in progress are raised
	// in the reported load, because it works more slowly.
	coldSlowdown = 1.6
	// defaultMaxConnections is the connection limit assumed for a server whose limit is
	// not known.
	defaultMaxConnections = 2000
)

// Heartbeat is one heartbeat of the backend server.
type Heartbeat struct {
	Instance string // identity of the server; a restarted server may keep it
	// StartTimeMs distinguishes starts of a server under the same identity: the time of
	// day of the start by the server's own clock, in Unix milliseconds. It is compared
	// only with other start times of the same server. 0 if the heartbeat does not give it.
	StartTimeMs int64
	Addr        netip.AddrPort // at which the server receives packets
	Sequence    uint64         // increases with each heartbeat of one start
	Service     ServiceID
	Draining    bool
	Slots       int           // requests that the server processes at once
	ColdFor     time.Duration // how much longer the server is cold (slow after its start)
}

// GateStats holds the counters of a Gate. All fields but the gauges are cumulative.
type GateStats struct {
	Flows, Requests, Balancers int // gauges
	Waiting                    WaitingStats
	Offered, Taken             uint64
	Refusals                   [Reasons]uint64
	NotHeld, Lost              uint64
	LostNotices                uint64 // idle flows lost by the server that balancers were notified of
	OpenedLate                 uint64 // flows opened shortly before their callers gave up the attempt
	RequestsKept               uint64 // requests that waited on open flows
	ImplausiblyFast            uint64 // answers too fast for a processed request
	ResetRequests              uint64 // requests that the server reset instead of answering
	UnjudgedRequests           uint64 // requests not checked for a missing answer, because too many are
	ToServer, ToCaller         uint64 // packets
	Heartbeats, OldHeartbeats  uint64
	Dropped                    uint64           // packets dropped because a bounded table was full or the server was not known yet
	Removed                    [Removals]uint64 // flows removed from the table

	Outcomes [health.Outcomes]uint64 // requests by what the server did to them
	Health   health.Status           // gauge: latest reported to balancers
}

// gateState is the state of a flow at its agent.
type gateState uint8

const (
	gateOffered  gateState = iota // first packet sent to the server, no answer yet
	gateAnswered                  // the server answered, the caller has not confirmed
	gateOpen                      // the server holds the flow and the caller has confirmed it
	gateProbed                    // a packet was sent to the server to find out whether it holds the flow
	gateLost                      // the server held the flow and has lost it
)

// gateFlow is one flow in the agent's table. Its latest request is recorded in three ways that
// end at different times: requestActive, from the flow's first packet to the answer, counts
// towards the server's capacity; answerPending, from the request's data to the answer, measures
// the time of an answer; and request is judged once, also if there is no answer.
type gateFlow struct {
	state    gateState
	via      netip.AddrPort // balancer that forwarded the latest packet
	instance string         // of the server
	evidence
	probe            positions // of the packet about which the server's next packet decides
	probing          bool
	replaces         *replacedFlow // gateOffered: the flow from the same port that the server holds, if there is one
	callerEnd        uint32        // sequence number after the last byte that the caller sent
	hasCallerEnd     bool
	requestActive    bool // counts as a request in progress, from the first packet on
	requestStartedAt time.Time
	answerPending    bool      // a request's data was sent to the server, no answer yet
	requestSentAt    time.Time // when that data was sent
	sentInProgress   int       // requests in progress then, with this one
	createdAt        time.Time
	lastPacketAt     time.Time
	callerClosed     bool
	serverClosed     bool
	request          judgedRequest
	limits           requestLimits
	kept             *keptRequest // nil: packets are sent on
	noticeDue        bool         // gateLost: its balancer is to be notified
	noticePlanned    bool         // gateLost: listed in Gate.lostNotices
}

// pendingFlow is a flow that waits for the server's answer or the caller's confirmation.
type pendingFlow struct {
	key   Key
	since time.Time
}

// Gate is the state machine of an agent.
type Gate struct {
	cfg              GateConfig
	started          time.Time
	newestOrders     uint64    // number of the newest orders that any process has reported
	readAt           time.Time // time of the latest known read of the orders in the store
	orders           receivedOrders
	restored         storeRestore
	server           server
	statusChecks     statusChecks
	flows            map[Key]*gateFlow
	freeFlows        []*gateFlow       // removed flows, kept for reuse
	idleFlows        int               // flows without a packet for idleAfter, as of the latest sweep
	incompleteUntil  time.Time         // until when the server may hold flows that were removed from the table
	requests         int               // in progress
	requestTimes     fifo[time.Time]   // start times of the requests within coldWindow, oldest first
	unanswered       fifo[pendingFlow] // flows whose first packet the server has not answered
	unconfirmedFlows fifo[pendingFlow] // flows that the server has answered and the caller not confirmed
	lostNotices      fifo[lostNotice]  // lost flow notices to be sent, ordered by time
	noticesFrom      time.Time         // when the next notices may be sent
	waiting          waitState
	reservations     fifo[time.Time] // expiry times of the capacity reserved for notified callers
	balancers        map[netip.AddrPort]*subscriber
	unaskedReports   int // balancers to which the agent has reported by itself
	introduction     introduction
	introductions    introducedList // other agents, as balancers have introduced them
	stopping         bool           // the process ends
	previousInstance string
	reportAt         time.Time
	lastTickAt       time.Time
	lastSweepAt      time.Time
	meter            placement.Meter
	health           serverHealth
	answers          answerMean    // reported to balancers
	meanAnswerTime   time.Duration // mean time from a request to the server's answer
	answerTimeCount  int           // answers in that mean, up to minAnswerTimeCount
	queryAnswer      []byte        // buffer for the answer to the current query
	stats            GateStats
	out              []Effect
	trace            GateTracer
}

// NewGate returns a Gate that does not know the state of its server yet.
func NewGate(now time.Time, cfg GateConfig, tr GateTracer) *Gate {
	cfg.setDefaults()
	if tr == nil {
		tr = noGateTracer{}
	}
	g := &Gate{
		cfg:         cfg,
		started:     now,
		server:      server{service: cfg.Service, slots: DefaultSlots},
		flows:       make(map[Key]*gateFlow),
		balancers:   make(map[netip.AddrPort]*subscriber),
		lastTickAt:  now,
		lastSweepAt: now,
		reportAt:    now,
		waiting:     newWaitState(),
		trace:       tr,
	}
	g.updateWork()
	return g
}

// Effects returns the pending effects and clears the list. The slice is valid until the
// next call of any method.
func (g *Gate) Effects() []Effect {
	out := g.out
	g.out = g.out[:0]
	return out
}

// Stats returns the counters.
func (g *Gate) Stats() GateStats {
	s := g.stats
	s.Flows, s.Requests, s.Balancers = len(g.flows), g.requests, len(g.balancers)
	s.Outcomes, s.Health = g.health.monitor.Counts(), g.health.reported
	s.Waiting = g.waitingStats()
	return s
}

// FromBalancer processes a message from a balancer. s is the header of the packet that
// follows the message, nil if none does.
func (g *Gate) FromBalancer(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	g.newestOrders = max(g.newestOrders, m.Revision)
	if at := ReadAt(now, m.ReadAge); at.After(g.readAt) {
		g.readAt = at
	}
	b := g.subscribe(now, from)
	g.receiveOrders(now, m)
	g.requestIntroduction(now)
	if m.Kind == Hello {
		b.reportInterval = max(m.Wait, shortestReportInterval)
		b.reportAt = now.Add(b.reportInterval)
		if b.reportInterval < stateTTL {
			b.reportsUntil = now.Add(periodicTTL)
		}
		b.watches = b.reportInterval >= stateTTL && g.otherWatchers(now, b) < maxWatchers
		g.reply(now, from, Message{Kind: Report}, nil)
		if m.Reason == ReasonState {
			g.sendBalancers(now, from)
		}
		return
	}
	if (m.Kind == Lookup || m.Kind == Query) && m.ListVersion != g.introductions.version {
		g.sendIntroductions(now, from)
	}
	switch m.Kind {
	case Introduce:
		g.onIntroduce(now, from, packet)
		return
	case Introduced:
		g.onIntroduced(now, m, packet)
		return
	case Query:
		g.onQuery(now, from, packet)
		return
	case ReserveCapacity:
		g.onReserveCapacity(now, from, m)
		return
	}
	if s == nil {
		return
	}
	switch m.Kind {
	case Open:
		g.onOpen(now, from, m, s, packet)
	case Pass, Lookup:
		g.onPacket(now, from, m.Kind, s, packet)
	}
}

// subscriber is a balancer that an agent reports to.
type subscriber struct {
	lastReceivedAt time.Time
	reportsUntil   time.Time     // until when it gets reports
	reportInterval time.Duration // as requested by the balancer
	reportAt       time.Time     // when the next periodic report is due
	watches        bool          // has been asked for a hello message every watchInterval
}

// subscribe records the receipt of a message from a balancer, which is then notified of
// changes of the server's state for stateTTL.
func (g *Gate) subscribe(now time.Time, from netip.AddrPort) *subscriber {
	b := g.balancers[from]
	if b == nil {
		b = &subscriber{reportInterval: noPeriodicReports, reportAt: now.Add(noPeriodicReports)}
		if len(g.balancers) >= maxBalancers {
			return b // its messages are answered, but it gets no reports
		}
		g.balancers[from] = b
	}
	b.lastReceivedAt = now
	b.reportsUntil = later(b.reportsUntil, now.Add(stateTTL))
	return b
}

// AddBalancer introduces the agent to a balancer that the store or the settings name, so
// that the balancer learns of it and announces it to others.
func (g *Gate) AddBalancer(now time.Time, balancer netip.AddrPort) {
	if _, known := g.balancers[balancer]; known || g.unaskedReports >= maxUnaskedReports {
		return
	}
	g.unaskedReports++
	g.subscribe(now, balancer)
	g.reply(now, balancer, Message{Kind: Report}, nil)
	g.requestIntroduction(now)
}

// reply sends m with the fields that every message of an agent carries.
func (g *Gate) reply(now time.Time, to netip.AddrPort, m Message, packet []byte) {
	m.Revision = g.newestOrders
	m.ReadAge = AgeOf(now, g.readAt)
	m.Incarnation = g.cfg.Incarnation
	m.State = g.State(now)
	m.Service = g.server.service
	m.Occupancy = g.occupancy(now)
	m.Zone = ZoneID(g.cfg.Zone)
	m.Health = g.health.monitor.Report(now)
	if m.Kind == Report || m.Kind == QueryAnswer {
		switch {
		case g.holdsNoFlows(now):
			m.Reason = ReasonNotHeld
		case g.recentlyStarted(now):
			m.Reason = ReasonStarted
		}
		if !m.Introduce {
			m.Round = g.introduction.completed
		}
	}
	m.ListVersion = g.introductions.version
	if m.State == ServerEnded || m.Reason == ReasonNotHeld && (m.Kind == Report || m.Kind == QueryAnswer) {
		g.requireIntroduction()
	}
	if m.Kind == Report {
		m.AnswerTime = g.answers.reported(now)
	}
	if b := g.balancers[to]; m.Kind == Report && b != nil {
		m.LastReceived = now.Sub(b.lastReceivedAt)
		if b.watches {
			m.Wait = watchInterval
		}
	}
	g.out = append(g.out, Effect{Kind: SendMessage, To: to, Message: m, Packet: packet})
}

// recentlyStarted reports whether the server and this process have recently started. If
// this process has the server's every flow, the server started after it; if an earlier
// process at this address had another server, the server started after that process.
func (g *Gate) recentlyStarted(now time.Time) bool {
	return (g.server.recentlyStarted || g.complete(now) || g.replacesPrevious()) && now.Sub(g.started) < fleetStartWindow
}

// replacesPrevious reports whether the server is another one than an earlier process at this
// address had. That process may not have been able to record its latest server, so heartbeats
// are preferred where they come in time, and one with a high sequence number overrules.
func (g *Gate) replacesPrevious() bool {
	v := &g.server
	if g.cfg.HeartbeatInterval < recentlyStartedAge || v.longRunning {
		return false
	}
	return g.previousInstance != "" && v.instance != "" && v.instance != g.previousInstance
}

// Instance returns the identity of the server, empty while it is not known.
func (g *Gate) Instance() string { return g.server.instance }

// PreviousInstance records the identity of the server that an earlier process at this
// address had, as that process left it in the store; empty if it is not known. With
// heartbeats several seconds apart it shows sooner than they do that the server is new.
func (g *Gate) PreviousInstance(now time.Time, instance string) {
	g.previousInstance = instance
	if g.recentlyStarted(now) {
		g.report(now, true)
	}
}

// holdsNoFlows reports whether the server holds no flow and, in its present state, gets no
// new one.
func (g *Gate) holdsNoFlows(now time.Time) bool {
	if g.State(now) == ServerReady || !g.complete(now) {
		return false
	}
	for _, f := range g.flows {
		if f.state != gateLost {
			return false
		}
	}
	return true
}

// otherWatchers returns the number of balancers, besides b, that send hello messages as the
// agent asked them to. If one stops, the next balancer that sends a hello message is asked.
func (g *Gate) otherWatchers(now time.Time, b *subscriber) int {
	n := 0
	for _, other := range g.balancers {
		if other != b && other.watches && now.Sub(other.lastReceivedAt) < watcherTimeout {
			n++
		}
	}
	return n
}

func (g *Gate) sendToServer(packet []byte) {
	g.stats.ToServer++
	g.out = append(g.out, Effect{Kind: SendServer, Packet: packet})
}

func (g *Gate) sendToCaller(key Key, packet []byte) {
	g.stats.ToCaller++
	g.out = append(g.out, Effect{Kind: SendCaller, Message: Message{Key: key}, Packet: packet})
}

// occupancy returns the load that the agent reports.
func (g *Gate) occupancy(now time.Time) placement.Occupancy {
	slots := g.server.slots
	busy := g.requests
	if now.Before(g.server.coldUntil) {
		busy = int(float64(busy)*coldSlowdown) + 1
	}
	busy = g.coldLoad(now, busy)
	return g.meter.Occupancy(now, placement.Usage{
		SlotsBusy: busy, Slots: slots, Queue: g.waiting.counts[waitingFlow] + g.waiting.counts[waitingRequest],
		Connections: max(len(g.flows)-g.idleFlows, 0), MaxConnections: max(defaultMaxConnections, g.cfg.MaxFlows),
	})
}

// requestCapacity returns the number of requests in progress at which further flows wait.
func (g *Gate) requestCapacity() int {
	return max(1, int(g.cfg.CapacityFactor*float64(g.server.slots)))
}

// onOpen decides whether a flow's first packet is sent to the server.
func (g *Gate) onOpen(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	if !s.first() {
		return
	}
	f := g.flows[s.Key]
	if f != nil && f.opensSameFlow(s) && f.state != gateLost && f.instance == g.server.instance {
		g.onCopy(now, from, f, s, packet)
		return
	}
	g.stats.Offered++
	reason := g.refusalReason(now, m)
	if reason == ReasonBusy && m.Wait > 0 && !m.Trial && g.enqueue(now, from, m, s, packet) {
		return
	}
	if reason != ReasonNone {
		g.refuse(now, from, s.Key, reason)
		return
	}
	if m.Trial && !g.startTrial(now, ID{s.Key, s.Seq}) {
		g.refuse(now, from, s.Key, ReasonBusy)
		return
	}
	g.admit(now, from, s.Key, s.Seq, limitsOf(m), packet)
}

// admit sends a flow's first packet to the server, unless the table is full.
func (g *Gate) admit(now time.Time, via netip.AddrPort, key Key, opener uint32, limits requestLimits, packet []byte) {
	if g.flows[key] == nil && !g.makeSpace(now) {
		g.stats.Dropped++
		g.refuse(now, via, key, ReasonOverflow)
		return
	}
	g.consumeReservation()
	f := g.openAtServer(now, via, key, opener, packet)
	f.limits = limits
	// Counts as a request from now on: one follows as soon as the caller has the answer.
	g.startRequest(now, f)
}

// openAtServer adds a flow and sends its first packet to the server.
func (g *Gate) openAtServer(now time.Time, via netip.AddrPort, key Key, opener uint32, packet []byte) *gateFlow {
	replaced := g.flows[key].toReplace()
	f := g.addFlow(now, key, gateOffered)
	f.via, f.replaces = via, replaced
	f.recordOpener(opener, g.complete(now))
	g.unanswered.push(pendingFlow{key, now})
	g.sendToServer(packet)
	return f
}

// refusalReason returns the reason to refuse or queue an offered flow, or ReasonNone.
func (g *Gate) refusalReason(now time.Time, m *Message) Reason {
	switch g.State(now) {
	case ServerReady:
	case ServerUnresponsive:
		return ReasonUnresponsive
	case ServerEvacuated:
		return ReasonEvacuated
	default:
		return ReasonState
	}
	if m.Service != g.server.service {
		return ReasonService
	}
	if g.requests >= g.requestCapacity() || !g.hasColdCapacity(now, 0) || g.isPreceded(now, m) {
		return ReasonBusy
	}
	return ReasonNone
}

// onCopy processes another copy of the first packet of a flow in the table. Until the
// caller has confirmed the flow, a copy reaches the server only if the server is ready and
// its cold limit allows another request.
func (g *Gate) onCopy(now time.Time, from netip.AddrPort, f *gateFlow, s *Segment, packet []byte) {
	f.via = from
	f.lastPacketAt = now
	if f.state != gateOpen && g.State(now) != ServerReady {
		g.refuse(now, from, s.Key, ReasonState)
		return
	}
	if f.state != gateOpen && !g.hasColdCapacity(now, 0) {
		return // a copy counts towards the cold limit too; the caller sends another one
	}
	g.countRequest(now)
	if f.state == gateOffered {
		g.unanswered.push(pendingFlow{s.Key, now})
	} else {
		g.reply(now, from, Message{Kind: Taken, Key: s.Key}, nil)
	}
	g.sendToServer(packet)
}

func (g *Gate) refuse(now time.Time, to netip.AddrPort, key Key, reason Reason) {
	g.stats.Refusals[reason]++
	g.trace.Refused(now, key, reason, g.State(now), g.requests)
	g.reply(now, to, Message{Kind: Refused, Reason: reason, Key: key}, nil)
}

// addFlow adds a flow to the table, in place of any other one with its key.
func (g *Gate) addFlow(now time.Time, key Key, state gateState) *gateFlow {
	g.removeFlow(key, RemovedReplaced)
	f := take(&g.freeFlows)
	*f = gateFlow{state: state, instance: g.server.instance, createdAt: now, lastPacketAt: now}
	g.flows[key] = f
	return f
}

// startRequest counts a flow's request as in progress, if none is yet.
func (g *Gate) startRequest(now time.Time, f *gateFlow) {
	if f.requestActive {
		return
	}
	f.requestActive = true
	f.requestStartedAt = now
	g.requests++
	g.countRequest(now)
}

// requestTimeout returns how long a flow's request may count as in progress.
func (g *Gate) requestTimeout(f *gateFlow) time.Duration {
	return max(g.cfg.RequestTimeout, f.limits.timeout)
}

func (g *Gate) endRequest(f *gateFlow) {
	if f.requestActive {
		f.requestActive = false
		g.requests--
	}
}
