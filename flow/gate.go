package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// subscriptionTTL is how long an agent goes on reporting to a balancer that it
	// has not heard from: four greetings at their longest interval, and above the
	// time in which a killed balancer is back.
	subscriptionTTL = 15 * time.Second
	// maxBalancers bounds the balancers reported to.
	maxBalancers = 256
	// ackSlack is how far beyond what the server was seen to send a caller may
	// acknowledge: the bits that open and close a flow count as bytes.
	ackSlack = 4
	// urgentPriority is the last priority that counts as urgent.
	urgentPriority = 1
	// justStartedSequence is the highest sequence number of the first heartbeat that
	// shows that a server has just started. Between its first and its second
	// one another agent process may have passed flows on.
	justStartedSequence = 1
	// recentlyStartedSequence is the highest sequence number of the first heartbeat that an
	// agent takes from a server that has just started: while its agent starts as
	// well, the server's first two or three go unanswered. A server whose heartbeats
	// were answered passes it within three seconds. If all processes of a fleet start
	// anew in that time, its flows may be taken for gone.
	recentlyStartedSequence = 4
	// recentlyStartedAge is the age of an agent's process from which a first heartbeat does
	// not tell that both have just started.
	recentlyStartedAge = 2 * time.Second
	// confirmTimeout is how long a flow that the server has answered counts as a
	// request to come: several exchanges with the farthest callers. A caller
	// that has given up meanwhile never confirms; counted for longer, its flows
	// would take all the room there is.
	confirmTimeout = 30 * time.Millisecond
	// minAnswerTimeCount is the number of answers from which their mean time says what
	// is normal.
	minAnswerTimeCount = 32
	// answerTimeWeight is the weight of one answer in that mean.
	answerTimeWeight = 1.0 / 64
	// fastAnswerWeight is how much less a hasty answer counts in it.
	fastAnswerWeight = 0.25
	// fastAnswerDivisor is the part of the normal time below which an answer counts as
	// a failure.
	fastAnswerDivisor = 6
	// minMeanAnswerTime is the least normal time that hasty answers can be told from.
	minMeanAnswerTime = 4 * time.Millisecond
	// closedLinger is how long a flow is remembered after both ends closed it:
	// an end whose last packet was lost repeats it.
	closedLinger = 4 * time.Second
	// coldSlowdown is how much slower a server counts while it is cold.
	coldSlowdown = 1.6
	// defaultMaxConnections is assumed of a server whose limit is not known.
	defaultMaxConnections = 2000
)

// Heartbeat is one heartbeat of the backend server.
type Heartbeat struct {
	Instance string // identity of the server; it may keep it when it starts anew
	// StartTimeMs tells one start of the server from another under the same identity: the
	// time of day of the start by the server's own clock, in Unix milliseconds. It
	// is compared with nothing else. 0 if the server does not tell.
	StartTimeMs int64
	Addr        netip.AddrPort // where it takes packets
	Sequence    uint64         // increases with each heartbeat of one start
	Service     ServiceID
	Draining    bool
	Slots       int           // requests that the server works on at once
	ColdFor     time.Duration // how much longer the server is slow after its start
}

// GateStats counts what a Gate did. All but the gauges only grow.
type GateStats struct {
	Flows, Requests, Balancers int // gauges
	Offered, Taken             uint64
	Refusals                   [Reasons]uint64
	NotHeld, Lost              uint64
	ImplausiblyFast            uint64 // answers too quick to be work
	ToServer, ToCaller         uint64 // packets
	Heartbeats, OldHeartbeats  uint64
	Dropped                    uint64 // packets without a place in a bounded table
}

type gateState uint8

const (
	gateOffered  gateState = iota // passed to the server, no answer yet
	gateAnswered                  // the server answered, the caller has not confirmed
	gateOpen                      // packets of the caller met the server's flow
	gateProbed                    // passed to the server to learn whether it holds the flow
	gateLost                      // the server held it and has lost it
)

// gateFlow is one flow at the agent.
type gateFlow struct {
	state            gateState
	via              netip.AddrPort // balancer that brought the last packet
	instance         string         // of the server
	opener           uint32         // sequence number of the caller's first packet
	hasOpener        bool
	serverFirst      uint32 // sequence number of the server's first packet
	serverEnd        uint32 // end of what the server sent
	hasServerFirst   bool
	callerEnd        uint32 // end of what the caller sent
	hasCallerEnd     bool
	requestActive    bool // a request is being worked on
	requestStartedAt time.Time
	answerPending    bool      // a request's data was passed to the server
	requestSentAt    time.Time // when
	createdAt        time.Time
	lastPacketAt     time.Time
	callerClosed     bool
	serverClosed     bool
}

// pendingFlow is a flow whose next packet is due: the server's answer, or the
// caller's confirmation.
type pendingFlow struct {
	key   Key
	since time.Time
}

// Gate is the state machine of an agent.
type Gate struct {
	cfg             GateConfig
	started         time.Time
	newestOrders    uint64    // number of the newest orders that anybody spoke of
	readAt          time.Time // when somebody last read the orders in the store
	orders          receivedOrders
	restored        restored
	server          server
	flows           map[Key]*gateFlow
	freeFlows       []*gateFlow // of flows that were forgotten, to be used again
	requests        int
	requestTimes    fifo[time.Time] // requests of the last second, in the order of time
	unanswered      fifo[pendingFlow]
	unconfirmed     fifo[pendingFlow] // flows that callers have not confirmed
	queue           []queueEntry
	waitingCallers  []queueEntry    // callers of ended flows that wait to be told; without packets
	reservations    fifo[time.Time] // until when room is kept for callers that were told
	balancers       map[netip.AddrPort]*subscriber
	reportAt        time.Time
	lastTickAt      time.Time
	lastSweepAt     time.Time
	meter           placement.Meter
	meanAnswerTime  time.Duration // mean time from a request to the server's answer
	answerTimeCount int           // requests behind it, up to normalAfter
	queryAnswer     []byte        // to a query, of the running call
	stats           GateStats
	out             []Effect
	trace           GateTracer
}

// NewGate returns a Gate that has not heard of its server.
func NewGate(now time.Time, cfg GateConfig, tr GateTracer) *Gate {
	cfg.setDefaults()
	if tr == nil {
		tr = noGateTracer{}
	}
	return &Gate{
		cfg:         cfg,
		started:     now,
		server:      server{service: cfg.Service, slots: DefaultSlots},
		flows:       make(map[Key]*gateFlow),
		balancers:   make(map[netip.AddrPort]*subscriber),
		lastTickAt:  now,
		lastSweepAt: now,
		reportAt:    now,
		trace:       tr,
	}
}

// Effects returns what is to be done and empties the list. The slice is valid
// until the next call of any method.
func (g *Gate) Effects() []Effect {
	out := g.out
	g.out = g.out[:0]
	return out
}

// Stats returns the counters.
func (g *Gate) Stats() GateStats {
	s := g.stats
	s.Flows, s.Requests, s.Balancers = len(g.flows), g.requests, len(g.balancers)
	return s
}

// FromBalancer takes a message of a balancer. s is the header of the packet
// that came with it, or nil.
func (g *Gate) FromBalancer(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) {
	g.newestOrders = max(g.newestOrders, m.Revision)
	if at := ReadAt(now, m.ReadAge); at.After(g.readAt) {
		g.readAt = at
	}
	b := g.subscribe(now, from)
	g.receiveOrders(now, m)
	if m.Kind == Hello {
		b.reportInterval = max(m.Wait, ReportEvery)
		g.reply(now, from, Message{Kind: Report}, nil)
		if m.Reason == ReasonState {
			g.tellBalancers(now, from)
		}
		return
	}
	switch m.Kind {
	case Query:
		g.onQuery(now, from, packet)
		return
	case ReserveCapacity:
		g.onReturn(now, from, m)
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
	reportInterval time.Duration // between two reports, as the balancer wishes
	reportAt       time.Time     // when the next one is due
}

// subscribe notes that a balancer was heard.
func (g *Gate) subscribe(now time.Time, from netip.AddrPort) *subscriber {
	b := g.balancers[from]
	if b == nil {
		b = &subscriber{reportInterval: ReportEvery}
		if len(g.balancers) >= maxBalancers {
			return b // answered, and not reported to
		}
		g.balancers[from] = b
	}
	b.lastReceivedAt = now
	return b
}

// AddBalancer makes a balancer known that others told of.
func (g *Gate) AddBalancer(now time.Time, balancer netip.AddrPort) {
	if _, known := g.balancers[balancer]; known {
		return
	}
	g.subscribe(now, balancer)
	g.reply(now, balancer, Message{Kind: Report}, nil)
}

// reply sends m with what the agent says about itself in every message.
func (g *Gate) reply(now time.Time, to netip.AddrPort, m Message, packet []byte) {
	m.Revision = g.newestOrders
	m.ReadAge = AgeOf(now, g.readAt)
	m.Incarnation = g.cfg.Incarnation
	m.State = g.State(now)
	m.Service = g.server.service
	m.Occupancy = g.occupancy(now)
	if m.Kind == Report {
		switch {
		case g.holdsNoFlows(now):
			m.Reason = ReasonNotHeld
		case g.server.recentlyStarted && now.Sub(g.started) < startSpan:
			m.Reason = ReasonStarted
		}
		m.Zone = ZoneID(g.cfg.Zone)
		m.LastReceived = g.sinceReceived(now, to)
	}
	g.out = append(g.out, Effect{Kind: SendMessage, To: to, Message: m, Packet: packet})
}

// holdsNoFlows reports whether the server holds no flow and gets none as things stand.
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

// sinceReceived returns the time since a balancer was heard.
func (g *Gate) sinceReceived(now time.Time, balancer netip.AddrPort) time.Duration {
	if b := g.balancers[balancer]; b != nil {
		return now.Sub(b.lastReceivedAt)
	}
	return 0
}

func (g *Gate) sendToServer(packet []byte) {
	g.stats.ToServer++
	g.out = append(g.out, Effect{Kind: SendServer, Packet: packet})
}

func (g *Gate) sendToCaller(key Key, packet []byte) {
	g.stats.ToCaller++
	g.out = append(g.out, Effect{Kind: SendCaller, Message: Message{Key: key}, Packet: packet})
}

// occupancy is the load that the agent reports.
func (g *Gate) occupancy(now time.Time) placement.Occupancy {
	slots := g.server.slots
	busy := g.requests
	if now.Before(g.server.coldUntil) {
		busy = int(float64(busy)*coldSlowdown) + 1
	}
	busy = g.coldLoad(now, busy)
	return g.meter.Occupancy(now, placement.Usage{
		SlotsBusy: busy, Slots: slots, Connections: len(g.flows), MaxConnections: max(defaultMaxConnections, g.cfg.MaxFlows),
	})
}

// requestCapacity is the number of requests at work up to which flows reach the server.
func (g *Gate) requestCapacity() int {
	return max(1, int(g.cfg.CapacityFactor*float64(g.server.slots)))
}

// onOpen decides whether a first packet reaches the server.
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
	if reason == ReasonBusy && m.Wait > 0 && g.enqueue(now, from, m, s, packet) {
		return
	}
	if reason != ReasonNone {
		g.refuse(now, from, s.Key, reason)
		return
	}
	if f == nil && len(g.flows) >= g.cfg.MaxFlows {
		g.sweep(now)
		if len(g.flows) >= g.cfg.MaxFlows {
			g.stats.Dropped++
			g.refuse(now, from, s.Key, ReasonOverflow)
			return
		}
	}
	g.admit(now, from, s.Key, s.Seq, packet)
}

// admit passes a flow's first packet to the server.
func (g *Gate) admit(now time.Time, via netip.AddrPort, key Key, opener uint32, packet []byte) {
	g.consumeReservation()
	f := g.addFlow(now, key, gateOffered)
	f.via, f.opener, f.hasOpener = via, opener, true
	// A request follows as soon as the caller has the answer.
	g.startRequest(now, f)
	g.unanswered.push(pendingFlow{key, now})
	g.sendToServer(packet)
}

// refusalReason returns why no new flow may reach the server, or ReasonNone.
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
	if g.requests >= g.requestCapacity() || len(g.queue) > 0 || !g.hasColdCapacity(now, 0) || g.waitingCallerPrecedes(now, m) {
		return ReasonBusy
	}
	return ReasonNone
}

// onCopy takes another copy of the first packet of a flow that was taken. A
// flow that the caller has not confirmed is new to the server still.
func (g *Gate) onCopy(now time.Time, from netip.AddrPort, f *gateFlow, s *Segment, packet []byte) {
	f.via = from
	f.lastPacketAt = now
	if f.state != gateOpen && g.State(now) != ServerReady {
		g.refuse(now, from, s.Key, ReasonState)
		return
	}
	if f.state != gateOpen && !g.hasColdCapacity(now, 0) {
		return // it counts like a first packet; the caller sends another copy
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

// removeFlow removes a flow.
func (g *Gate) removeFlow(key Key) {
	f := g.flows[key]
	if f == nil {
		return
	}
	g.endRequest(f)
	delete(g.flows, key)
	g.freeFlows = append(g.freeFlows, f)
}

// addFlow notes a flow in place of what was known of its key.
func (g *Gate) addFlow(now time.Time, key Key, state gateState) *gateFlow {
	g.removeFlow(key)
	f := take(&g.freeFlows)
	*f = gateFlow{state: state, instance: g.server.instance, createdAt: now, lastPacketAt: now}
	g.flows[key] = f
	return f
}

// startRequest counts a request as being worked on.
func (g *Gate) startRequest(now time.Time, f *gateFlow) {
	if f.requestActive {
		return
	}
	f.requestActive = true
	f.requestStartedAt = now
	g.requests++
	g.countRequest(now)
}

func (g *Gate) endRequest(f *gateFlow) {
	if f.requestActive {
		f.requestActive = false
		g.requests--
	}
}
