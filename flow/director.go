package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/flow/rotation"
	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// maxBusyRefusals is the number of agents that may refuse a flow as busy. They are
	// the least loaded ones, so a fourth would refuse it too.
	maxBusyRefusals = 3
	// maxOffers bounds the agents that one flow is offered to.
	maxOffers = 8
	// lastRetransmission is the copy count in the last copy of a first packet that a
	// caller sends.
	lastRetransmission = 2
	// lookupFanout is the number of agents that are queried first for an unknown flow.
	// A flow is placed among the first seven ready agents in its rendezvous order, and
	// a few that were not ready may stand between them.
	lookupFanout = 12
	// queryAllLimit is the fleet size up to which all agents are queried at once.
	queryAllLimit = 16
	// firstContactTimeout is the time after which an agent that never sent a message and
	// leaves this balancer's messages unanswered counts as failed. It is above the time that
	// a process takes to start. reachesAnyAgent measures it from this balancer's own start.
	firstContactTimeout = time.Second
	// queryRetryInterval is the time after which agents that have not answered are
	// queried again, and maxQueryAttempts the number of times.
	queryRetryInterval = 80 * time.Millisecond
	maxQueryAttempts   = 3
	// maxBufferedPackets is the number of packets buffered per flow during a lookup.
	maxBufferedPackets = 8
	// pauseThreshold is the time between two ticks that shows that this process was
	// paused, so that messages missing in that time say nothing about their senders.
	pauseThreshold = 400 * time.Millisecond
	// minRetransmissionTime is the shortest time after which a caller repeats a packet.
	minRetransmissionTime = 150 * time.Millisecond
	// queueTimeout is above the longest time that an agent lets a flow wait.
	queueTimeout = attemptTimeout + 2*DefaultOpenTimeout
	// minLoadCapacity is the lowest number of agents that the table of loads has space
	// for. It is kept at twice the number of agents, so that nearly none lacks space.
	minLoadCapacity = 64
	// sweepInterval is the time between two scans for flows that have ended.
	sweepInterval = time.Second
	// maxFirstPacketSize bounds the first packets that are kept for another offer, in
	// bytes.
	maxFirstPacketSize = 64
)

// DirectorStats counts what a Director did. All but the gauges only grow.
type DirectorStats struct {
	Flows, Opening, PendingResets, Agents, Ready int // gauges
	LeftOut                                      int // gauge: agents counted in Ready that are left out because their servers are failing or on trial
	Offered, Taken                               uint64
	Spilled                                      uint64          // flows taken by an agent of another service of their split than the one that it chose
	Refusals                                     [Reasons]uint64 // by agents, or because an agent did not answer
	Resets                                       [Reasons]uint64 // sent to callers
	Dropped                                      [Reasons]uint64 // packets
	Lookups, Found                               uint64          // flows
	Evicted                                      uint64          // flows removed because they were idle or too old
}

// agent is one agent as a balancer knows it.
type agent struct {
	addr              netip.AddrPort
	service           ServiceID
	state             ServerState
	incarnation       uint64
	processSince      time.Time  // first message from that process
	earlierProcess    uint64     // incarnation of the process that it sent messages from before; 0: none known
	introduction      introduced // the latest one known
	zone              uint32     // ZoneID of its availability zone; 0: unknown
	local             bool       // in the balancer's own zone
	confirmedByPeer   bool       // named by a balancer that had received messages from it
	peerReceivedAt    time.Time  // when other balancers last received a message from it, as they reported
	lastReceivedAt    time.Time  // last message from it; zero: none yet
	contactedAt       time.Time  // when it last received a message from this balancer, as its messages show
	unresponsive      bool       // gets no new flows until it answers again
	holdsNoFlows      bool       // at flowsKnownAt its server held no flow and got none
	flowsKnownAt      time.Time  // when the agent, or another balancer for it, reported that
	flowsFromPeer     bool       // another balancer reported that
	recentlyStarted   bool       // it and its server had recently started when they first made contact
	unresponsiveSince time.Time  // when it became unresponsive
	failureAnnounced  bool       // it counts as unresponsive because another balancer announced that
	failedAfter       time.Time  // when that balancer last received a message from it
	announcedFailed   bool       // this balancer has announced that it stopped answering
	watched           bool       // has asked for hello messages every watchInterval
	answerOptional    bool       // lookups need not wait for its answer, as of the last check
	unanswered        int        // messages that it has to answer, sent since its last message
	firstUnansweredAt time.Time  // when the first of them was sent
	nextHelloAt       time.Time  // when a suspect is sent its next hello
	endedAt           time.Time  // when it was first known that its server has ended
	staleQueued       bool       // listed in Director.staleStates
	round             uint16     // number of its latest introduction, as of its last report
	introduced        bool       // learned of from another agent
	replaced          bool       // an earlier process at its address may have taken flows since that process was introduced
	introducing       uint16     // number of the introduction in progress here; 0: none
	listVersion       uint16     // version of its list of introduced agents that this balancer knows; 0: none
	health            health.Report
	standing          health.Member // in the panel of its service
	onTrialSince      time.Time     // when it was first reported as on trial; zero: not current
	reportCheckQueued bool          // listed in Director.reportChecks
	answerTime        time.Duration // mean time to an answer, as of its last report; 0: not known
	timeCountedAt     time.Time     // when a report last counted for the usual time of the service
}

// mayOffer reports whether the agent may be offered a new flow.
func (d *Director) mayOffer(a *agent) bool { return d.takesFlows(a) && d.inService(a) }

// takesFlows reports whether the agent is responsive and its server may accept new flows:
// it was reported as ready, or its state is not known any more. The operator's orders for
// its zone are checked in mayOffer.
func (d *Director) takesFlows(a *agent) bool {
	return !a.unresponsive && !a.ended() && (a.state == ServerReady || !a.stateIsCurrent(d.now))
}

// ended reports whether the agent's server has ended. Such an agent stays in the table for
// endedTTL. If it were removed at once, the store and other balancers' member lists would
// add it again, and lookups would wait for its answer.
func (a *agent) ended() bool { return a.state == ServerEnded }

// service holds the agents of one service and their placement tables.
type service struct {
	agents map[netip.AddrPort]*agent
	all    *placement.Table // every known agent, for lookups
	ready  *placement.Table // those that may be offered new flows and are not left out
	stale  bool             // the tables are rebuilt before their next use

	usualTime placement.Median // nanoseconds to an answer, over the agents' reports

	panel   health.Panel
	onTrial map[netip.AddrPort]*agent // agents on trial that could take flows
	trials  *placement.Table          // of them; nil: not built yet
}

type entryState uint8

const (
	entryOpening      entryState = iota // being offered
	entryPlaced                         // at entry.agent
	entryLookup                         // being looked up
	entryResetPending                   // has ended; its caller is notified when there is capacity for its next flow
)

// entry is one flow in a balancer's table.
type entry struct {
	state        entryState
	agent        netip.AddrPort // the agent that the flow is offered to, or that holds it
	opener       uint32         // sequence number of the first packet, if this balancer saw it
	createdAt    time.Time
	lastPacketAt time.Time
	open         *opening // set in entryOpening
	lookup       *lookup  // set in entryLookup

	reset *pendingReset // set in entryResetPending
}

// opening is a flow that is being offered to agents.
type opening struct {
	key       Key
	opener    uint32 // sequence number of the first packet
	route     Route
	service   ServiceID // of the route, for this flow
	tried     [maxOffers]netip.AddrPort
	tries     int
	busy      int  // number of agents that refused because of load
	mayWait   bool // offered with permission to wait for capacity
	trial     bool // the offer in progress is a trial; see chooseTrial
	spill     spillOffer
	copies    uint32
	serial    uint64 // of the wait for an agent's answer
	startedAt time.Time
	syn       [maxFirstPacketSize]byte
	synLen    int
}

func (o *opening) wasTried(a netip.AddrPort) bool {
	for _, t := range o.tried[:o.tries] {
		if t == a {
			return true
		}
	}
	return false
}

// lookup is the lookup of a flow that the balancer does not know.
type lookup struct {
	serial  uint64
	targets []lookupTarget // ordered by address
	// answeredPrefix is a number of targets at the start of the list that have all
	// answered. Without it every answer would be followed by a pass over all targets,
	// whose number is that of the fleet.
	answeredPrefix int
	allQueried     bool // every agent of the fleet was queried
	startedAt      time.Time
	lastAttemptAt  time.Time // when the packet that is sent with the queries arrived
	segment        Segment
	packet         []byte
	undecided      bool     // listed in Director.undecidedLookups
	blocked        bool     // listed in Director.blockedLookups
	retries        int      // number of times that the wait for the agents' answers has ended
	lastRetry      int      // up to which agents are queried again
	retriesEnded   bool     // all agents have had time to answer
	buffered       [][]byte // packets that arrived during the lookup
}

// lookupTarget is an agent that was queried for a flow.
type lookupTarget struct {
	agent        netip.AddrPort
	answered     bool
	queryPending bool // not sent yet
	uncertain    bool // the agent does not know whether its server holds the flow
	firstRetry   int  // lookup.retries when it was first queried
}

// target returns the entry of an agent, nil if it was not queried.
func (l *lookup) target(agent netip.AddrPort) *lookupTarget {
	i, found := l.search(agent)
	if !found {
		return nil
	}
	return &l.targets[i]
}

func (l *lookup) search(agent netip.AddrPort) (i int, found bool) {
	return slices.BinarySearchFunc(l.targets, agent, func(t lookupTarget, a netip.AddrPort) int { return t.agent.Compare(a) })
}

// addTargets adds the agents that were not queried yet.
func (l *lookup) addTargets(agents []netip.AddrPort) {
	sorted := l.targets
	for _, addr := range agents {
		if _, found := l.search(addr); !found {
			sorted = append(sorted, lookupTarget{agent: addr, firstRetry: l.retries})
		}
	}
	l.targets = sorted
	l.answeredPrefix = 0
	slices.SortFunc(l.targets, func(a, b lookupTarget) int { return a.agent.Compare(b.agent) })
}

// lookupRetry is the time at which agents that have not answered are queried again.
type lookupRetry struct {
	lookupRef
	at time.Time
}

// Director is the state machine of a balancer.
type Director struct {
	cfg              DirectorConfig
	place            placement.Config
	regions          map[uint32]uint32 // of availability zones, both by ZoneID
	orders           *Orders
	unconfirmedZones unconfirmedZones
	newestOrders     uint64    // number of the newest orders that any process has reported
	readAt           time.Time // when any process last read the orders from the store
	agents           map[netip.AddrPort]*agent
	services         map[ServiceID]*service

	agentReached             bool                         // some agent has sent a message to this process
	introducedAgentReached   bool                         // one whose server takes flows has
	failedAgents             map[netip.AddrPort]time.Time // agents that failed without deregistering, and when
	peers                    peers                        // other balancers
	memberListKnown          bool                         // one of them has sent the agents that it knows
	memberListFrom           netip.AddrPort               // the first that did
	peerRecentlyStarted      bool                         // one of them has reported that it has recently started
	storeListed              bool                         // the store has listed the agents that it knows
	reportersRecentlyStarted bool                         // all agents that have sent a message have recently started
	fleetRecentlyStarted     bool                         // all servers of the fleet have recently started
	balancerRequests         int                          // agents that were asked for other balancers
	nextMemberListRequest    time.Time                    // when their member lists are requested next
	memberCheck              memberListCheck              // whether other balancers know further agents
	learned                  announcements                // of agents that this balancer has learned of
	ended                    announcements                // of agents whose servers have ended
	failed                   announcements                // of agents that have stopped answering
	watched                  map[netip.AddrPort]*agent    // agents that have asked for hello messages every watchInterval
	endedAgents              fifo[endedAgent]             // agents whose servers have ended, ordered by time
	neverReached             fifo[neverReached]           // agents that have expired without a message, ordered by time
	contacts                 *rotation.Rotation           // agents to send a hello message to
	suspects                 map[netip.AddrPort]*agent    // agents that are unresponsive or leave messages unanswered
	awaited                  fifo[awaitedAnswer]          // agents that have to answer, ordered by time
	staleStates              fifo[staleState]             // agents that are not ready, ordered by the time until which that is assumed
	reportChecks             fifo[reportCheck]            // agents whose servers are failing or on trial, ordered by time

	load             *placement.Load
	loadCapacity     int // number of agents that load has space for
	flows            map[Key]*entry
	free             freeLists
	queries          queries            // queries of lookups
	serial           uint64             // of the latest wait or lookup
	offerTimeouts    fifo[offerTimeout] // flows being offered, ordered by time
	queueTimeouts    fifo[offerTimeout] // flows that wait for capacity at an agent, ordered by time
	reserveTimeouts  fifo[resetTimeout] // callers whose agent was asked to reserve capacity, ordered by time
	queuedResets     fifo[resetTimeout] // callers that wait for capacity at an agent, ordered by time
	lookupRetries    fifo[lookupRetry]  // lookups whose agents are queried again, ordered by time
	targetScratch    []netip.AddrPort   // scratch: agents to query next
	undecidedLookups []*lookup          // lookups that found no holder before all agents were known
	blockedLookups   []lookupRef        // lookups that wait for some agent's answer
	recheckBlocked   bool               // some agent's answer is no longer required: blocked lookups are checked again
	started          time.Time
	now              time.Time // time of the running call
	lastTickAt       time.Time
	lastSweepAt      time.Time
	stats            DirectorStats
	out              []Effect
	trace            Tracer
}

// NewDirector returns a Director without routes and agents.
func NewDirector(now time.Time, cfg DirectorConfig, tr Tracer) *Director {
	cfg.setDefaults()
	if tr == nil {
		tr = noTracer{}
	}
	return &Director{
		cfg:          cfg,
		place:        placement.Config{Zone: localZone, RemotePenalty: placement.DefaultRemotePenalty},
		regions:      regionsByID(cfg.Regions),
		orders:       &Orders{},
		agents:       make(map[netip.AddrPort]*agent),
		services:     make(map[ServiceID]*service),
		failedAgents: make(map[netip.AddrPort]time.Time),
		peers:        peers{known: make(map[netip.AddrPort]*peer), random: cfg.Random},
		learned:      newAnnouncements(Announce),
		ended:        newAnnouncements(AnnounceEnded),
		failed:       newAnnouncements(AnnounceFailed),
		watched:      make(map[netip.AddrPort]*agent),
		contacts:     rotation.New(now, rotation.Config{Interval: MinHelloInterval, Rate: maxHelloRate, Burst: maxImmediateHellos, Random: cfg.Random}),
		suspects:     make(map[netip.AddrPort]*agent),
		load:         placement.NewLoad(minLoadCapacity, placement.LoadOptions{}),
		loadCapacity: minLoadCapacity,
		flows:        make(map[Key]*entry),
		queries:      newQueries(cfg.Link),
		started:      now,
		now:          now,
		lastTickAt:   now,
		lastSweepAt:  now,
		trace:        tr,
	}
}

func regionsByID(names map[string]string) map[uint32]uint32 {
	ids := make(map[uint32]uint32, len(names))
	for zone, region := range names {
		ids[ZoneID(zone)] = ZoneID(region)
	}
	return ids
}

// SetRegions changes the region of each availability zone.
func (d *Director) SetRegions(names map[string]string) { d.regions = regionsByID(names) }

// mayServe reports whether an agent's server may get requests of a route.
func (d *Director) mayServe(a *agent, r *Route) bool { return r.allows(d.regions[a.zone]) }

// excludedFor returns which agents a flow of the route must not be offered to: those
// that excluded reports, and those in regions that the route does not name.
func (d *Director) excludedFor(r *Route, excluded func(netip.AddrPort) bool) func(netip.AddrPort) bool {
	if len(r.Regions) == 0 {
		return excluded
	}
	return func(addr netip.AddrPort) bool {
		a := d.agents[addr]
		return excluded(addr) || a == nil || !d.mayServe(a, r)
	}
}

// localZone and otherZone stand for availability zones in placement tables, which only
// compare them with the balancer's own zone.
const (
	localZone = "local"
	otherZone = "other"
)

// StoreRead records that the store was read at the given time and held nothing newer
// than what was passed to SetOrders.
func (d *Director) StoreRead(readAt time.Time) {
	if readAt.After(d.readAt) {
		d.readAt = readAt
	}
}

// ReadAt returns when any process last read the operator's orders from the store, as
// far as this one knows. One read serves all processes: each sends the others the age
// of its latest read and the number of the newest orders.
func (d *Director) ReadAt() time.Time { return d.readAt }

// Routes returns the configuration in force, or nil.
func (d *Director) Routes() *Routes { return d.orders.Routes }

// Behind reports whether no routes are in force here, or newer orders than those in
// force are known to exist.
func (d *Director) Behind() bool { return d.orders.Routes == nil || d.newestOrders > d.orders.Number }

// NewestOrders returns the number of the newest orders that any process has reported.
func (d *Director) NewestOrders() uint64 { return d.newestOrders }

// Effects returns the pending effects and empties the list. The slice is valid until
// the next call of any method.
func (d *Director) Effects() []Effect {
	out := d.out
	d.out = d.out[:0]
	return out
}

// Stats returns the counters.
func (d *Director) Stats() DirectorStats {
	s := d.stats
	s.Flows, s.Opening, s.Agents = len(d.flows), d.offerTimeouts.len()+d.queueTimeouts.len(), len(d.agents)
	s.PendingResets = d.reserveTimeouts.len() + d.queuedResets.len()
	for _, a := range d.agents {
		if d.mayOffer(a) {
			s.Ready++
			if d.leftOut(a) {
				s.LeftOut++
			}
		}
	}
	return s
}

// FromCaller handles a packet from a caller.
func (d *Director) FromCaller(now time.Time, s Segment, packet []byte) {
	d.now = now
	e := d.flows[s.Key]
	if s.first() {
		d.onFirstPacket(now, e, &s, packet)
		return
	}
	if e == nil {
		d.onUnknownFlow(now, &s, packet)
		return
	}
	e.lastPacketAt = now
	switch e.state {
	case entryLookup:
		d.continueLookup(now, e, &s, packet)
		return
	case entryResetPending:
		d.countDropped(ReasonResetPending)
		return
	}
	if e.state == entryOpening {
		// The caller has received the server's answer, so the agent's message was lost
		// or is late. If another agent's server answered first, this agent will answer
		// the packet with NotHeld.
		d.recordTaken(now, e, e.agent)
	}
	if d.agents[e.agent] == nil {
		// The server has ended, and its agent was removed.
		d.startLookup(now, e, &s, packet, false)
		return
	}
	d.forward(e.agent, packet)
}

func (d *Director) forward(to netip.AddrPort, packet []byte) {
	d.send(to, Message{Kind: Pass}, packet)
}

func (d *Director) send(to netip.AddrPort, m Message, packet []byte) {
	m.Revision = d.orders.Number
	if m.Kind.CarriesOrders() {
		if a := d.agents[to]; a != nil {
			m.ZoneOrder = d.zoneOrder(a.zone)
			m.ColdRate = d.orders.coldRate(m.Service)
		}
	}
	m.ReadAge = AgeOf(d.now, d.readAt)
	d.out = append(d.out, Effect{Kind: SendMessage, To: to, Message: m, Packet: packet})
}

func (d *Director) countDropped(reason Reason) { d.stats.Dropped[reason]++ }

// reset sends a reset of the flow to the caller. To end an open flow, seq must be close
// to what the caller last acknowledged.
func (d *Director) reset(now time.Time, key Key, seq uint32, reason Reason) {
	d.stats.Resets[reason]++
	d.out = append(d.out, Effect{Kind: SendReset, Message: Message{Key: key}, ResetSeq: seq})
	d.trace.Reset(now, key, reason)
}

// setHolder records that agent holds the flow.
func (d *Director) setHolder(e *entry, agent netip.AddrPort) {
	d.free.release(e)
	e.agent = agent
	e.state = entryPlaced
}

// removeEntry removes a flow from the table.
func (d *Director) removeEntry(key Key) {
	if e := d.flows[key]; e != nil {
		d.free.releaseAll(e)
		delete(d.flows, key)
	}
}

// nextSerial returns a number that distinguishes one use of an opening or a lookup from
// the next.
func (d *Director) nextSerial() uint64 {
	d.serial++
	return d.serial
}

// addEntry adds a flow to the table, and returns nil if the table is full.
func (d *Director) addEntry(now time.Time, key Key) *entry {
	if len(d.flows) >= d.cfg.MaxFlows {
		d.sweep(now)
	}
	if len(d.flows) >= d.cfg.MaxFlows {
		return nil
	}
	e := d.free.entry()
	e.createdAt, e.lastPacketAt = now, now
	d.flows[key] = e
	return e
}
