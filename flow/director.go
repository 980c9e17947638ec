package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// HelloEvery is the time between two messages that make a balancer known
	// to an agent.
	HelloEvery = time.Second
	// maxBusy is the number of agents that may refuse a flow as busy: they are
	// the least loaded ones, so a fourth would refuse it too.
	maxBusy = 3
	// maxTried bounds the agents that one flow is offered to.
	maxTried = 8
	// lastCopy is the count in the last copy of a first packet that a caller
	// sends.
	lastCopy = 2
	// askFirst is the number of agents that an unknown flow is looked for at
	// first: a flow is placed among the first seven that were ready in its
	// rendezvous order, so a few that were not may stand between them.
	askFirst = 12
	// askAllUpTo is the number of agents in the fleet up to which all of them
	// are asked at once.
	askAllUpTo = 16
	// absentAfter is the time after which an agent that was introduced and never
	// heard counts as gone: above the time that a process takes to start.
	absentAfter = time.Second
	// askEvery is the time after which agents that have not answered are asked
	// again, and maxAsked how often.
	askEvery = 80 * time.Millisecond
	maxAsked = 3
	// maxKept is the number of packets kept of a flow that is being looked for.
	maxKept = 8
	// pauseAfter is the time between two ticks that means that the process
	// stood still: the silence of others in that time says nothing.
	pauseAfter = 400 * time.Millisecond
	// retransmission is the least time after which a caller repeats a packet.
	retransmission = 150 * time.Millisecond
	// queueTimeout is above the longest time that an agent lets a flow wait.
	queueTimeout = attemptEnd + 2*DefaultOpenTimeout
	// sweepEvery is the time between two looks for flows that have ended.
	sweepEvery = time.Second
	// synSize bounds the first packets that are kept for another offer, bytes.
	synSize = 64
)

// DirectorStats counts what a Director did. All but the gauges only grow.
type DirectorStats struct {
	Flows, Opening, Returning, Agents, Ready int // gauges
	Offered, Taken                           uint64
	Refusals                                 [Reasons]uint64 // by agents, or for want of their answer
	Resets                                   [Reasons]uint64 // sent to callers
	Dropped                                  [Reasons]uint64 // packets
	Lookups, Found                           uint64          // flows
	Evicted                                  uint64          // flows forgotten for want of use
}

// agent is what a balancer knows about one agent.
type agent struct {
	addr        netip.AddrPort
	service     ServiceID
	state       ServerState
	incarnation uint64
	zone        uint32 // ZoneID of its availability zone; 0: not known
	local       bool   // in the balancer's own zone
	introduced  time.Time
	vouched     bool      // introduced by a balancer that had heard it
	toldAt      time.Time // when other balancers have heard it, as far as they told
	heard       time.Time // zero: introduced, never heard
	silent      bool      // left out of new flows until it answers again
	empty       bool      // its server held no flow and got none when it was heard last
	young       bool      // it and its server had just started when they first met
	silentAt    time.Time // when it was left out
	absent      bool      // need not answer searches, as of the last look
	asked       int       // questions of searches since it was heard last
	askedAt     time.Time // the first of them
	helloAt     time.Time // when it is greeted next
}

// takesFlows reports whether the agent says that it takes new flows.
func (a *agent) takesFlows() bool { return a.state == ServerReady && !a.silent }

// mayOffer reports whether the agent may be offered a new flow.
func (d *Director) mayOffer(a *agent) bool { return a.takesFlows() && d.inService(a) }

// gone reports whether the agent's server has ended. Such an agent stays known as
// long as it is heard: removed, it was added again with each of its reports, and
// named by other balancers it held up searches for the 6 s in which an agent that
// others hear must be waited for.
func (a *agent) gone() bool { return a.state == ServerEnded }

// service is the agents of one service.
type service struct {
	all   *placement.Table // every agent known, for looking flows up
	ready *placement.Table // those that take new flows
}

type entryState uint8

const (
	entryOpening   entryState = iota // being offered
	entryPlaced                      // at entry.agent
	entrySought                      // being looked for
	entryReturning                   // has ended; its caller is told when there is room for it
)

// entry is one flow that a balancer remembers.
type entry struct {
	state  entryState
	agent  netip.AddrPort // the agent offered to, or that holds the flow
	opener uint32         // sequence number of the first packet, if it came by here
	opened time.Time
	used   time.Time
	open   *opening // while entryOpening
	seek   *seek    // while entrySought

	returning *returning // while entryReturning
}

// opening is a flow that is being offered to agents.
type opening struct {
	key     Key
	opener  uint32 // sequence number of the first packet
	route   Route
	service ServiceID // of the route, for this flow
	tried   [maxTried]netip.AddrPort
	tries   int
	busy    int  // agents that refused because of load
	mayWait bool // offered to wait for room
	copies  uint32
	serial  uint64 // of the wait for an agent's answer
	since   time.Time
	syn     [synSize]byte
	synLen  int
}

func (o *opening) wasTried(a netip.AddrPort) bool {
	for _, t := range o.tried[:o.tries] {
		if t == a {
			return true
		}
	}
	return false
}

// seek is a flow that is being looked for.
type seek struct {
	serial  uint64
	asked   []question
	all     bool // every agent of the fleet was asked
	begun   time.Time
	since   time.Time // of the packet that it is looked for with
	segment Segment
	packet  []byte
	unsure  bool     // stands in Director.unsure
	blocked bool     // stands in Director.blocked
	again   int      // times that agents were asked again
	kept    [][]byte // packets that came meanwhile
}

// question is an agent that was asked for a flow.
type question struct {
	agent    netip.AddrPort
	answered bool
	waits    bool // to be sent
	unsure   bool // it could not tell
}

// question returns the question to an agent, nil if it was not asked.
func (k *seek) question(agent netip.AddrPort) *question {
	for i := range k.asked {
		if k.asked[i].agent == agent {
			return &k.asked[i]
		}
	}
	return nil
}

// asking is when the agents that have not answered are asked again.
type asking struct {
	seekRef
	at time.Time
}

// Director is the state machine of a balancer.
type Director struct {
	cfg          DirectorConfig
	place        placement.Config
	regions      map[uint32]uint32 // of availability zones, both by ZoneID
	orders       *Orders
	lacking      lackingZones
	newestOrders uint64    // number of the newest orders that anybody spoke of
	readAt       time.Time // when somebody last read the orders in the store
	agents       map[netip.AddrPort]*agent
	services     map[ServiceID]*service

	heardAny        bool                         // some agent was heard in this process
	missing         map[netip.AddrPort]time.Time // agents that fell silent without a word, and when
	balancers       map[netip.AddrPort]time.Time // others, and when they were heard; zero: never
	rosterKnown     bool                         // one of them told its agents
	othersNew       bool                         // one of them said that it has just started
	listed          bool                         // the store has named the agents that it knows
	othersStarted   bool                         // all agents that were heard have just started
	everyoneStarted bool                         // all agents have
	rosterAt        time.Time                    // when they are asked next
	confirm         confirmation                 // that the agents known are all
	news            []byte                       // agents that others are told of, as in a roster
	newsAt          time.Time                    // when they are told

	load           *placement.Load
	flows          map[Key]*entry
	spare          freeLists
	queries        queries          // questions of searches
	serial         uint64           // of the latest wait or seek
	queue          fifo[due]        // flows offered, in the order of time
	queued         fifo[due]        // flows that wait for room at an agent, in the order of time
	returns        fifo[returnDue]  // callers whose agent is asked for room, in the order of time
	waitingReturns fifo[returnDue]  // callers that wait for room at an agent, in the order of their times
	asking         fifo[asking]     // flows whose agents are asked again, in the order of time
	targets        []netip.AddrPort // scratch: agents that are asked next
	unsure         []*seek          // flows that nobody holds, as far as is known yet
	blocked        []seekRef        // searches that some agent has not answered
	fewer          bool             // there are fewer agents to answer than there were
	started        time.Time
	now            time.Time // of the call being worked on
	tickAt         time.Time // last tick
	sweptAt        time.Time
	stats          DirectorStats
	out            []Effect
	trace          Tracer
}

// NewDirector returns a Director without routes and agents.
func NewDirector(now time.Time, cfg DirectorConfig, tr Tracer) *Director {
	cfg.setDefaults()
	if tr == nil {
		tr = noTracer{}
	}
	return &Director{
		cfg:       cfg,
		place:     placement.Config{Zone: localZone, RemotePenalty: placement.DefaultRemotePenalty},
		regions:   regionsByID(cfg.Regions),
		orders:    &Orders{},
		agents:    make(map[netip.AddrPort]*agent),
		services:  make(map[ServiceID]*service),
		missing:   make(map[netip.AddrPort]time.Time),
		balancers: make(map[netip.AddrPort]time.Time),
		load:      placement.NewLoad(0, placement.LoadOptions{}),
		flows:     make(map[Key]*entry),
		queries:   newQueries(cfg.Link),
		started:   now,
		tickAt:    now,
		sweptAt:   now,
		trace:     tr,
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

// barredFor returns which agents a flow of the route must not be offered to, besides
// those that skip names.
func (d *Director) barredFor(r *Route, skip func(netip.AddrPort) bool) func(netip.AddrPort) bool {
	if len(r.Regions) == 0 {
		return skip
	}
	return func(addr netip.AddrPort) bool {
		a := d.agents[addr]
		return skip(addr) || a == nil || !d.mayServe(a, r)
	}
}

// localZone and otherZone stand for availability zones in placement tables,
// which only compare them with the balancer's own.
const (
	localZone = "local"
	otherZone = "other"
)

// StoreRead notes that the store was read at the given time and holds nothing
// newer than what was handed to SetOrders.
func (d *Director) StoreRead(readAt time.Time) {
	if readAt.After(d.readAt) {
		d.readAt = readAt
	}
}

// ReadAt returns when some process last read the operator's orders in the store, as
// far as this one has heard. One such read serves all: each tells the others
// how old it is, and of newer orders that it found.
func (d *Director) ReadAt() time.Time { return d.readAt }

// Routes returns the configuration in force, or nil.
func (d *Director) Routes() *Routes { return d.orders.Routes }

// Behind reports whether another process spoke of newer orders than those in force
// here.
func (d *Director) Behind() bool { return d.orders.Routes == nil || d.newestOrders > d.orders.Number }

// NewestOrders returns the number of the newest orders that anybody spoke of.
func (d *Director) NewestOrders() uint64 { return d.newestOrders }

// Effects returns what is to be done and empties the list. The slice is valid
// until the next call of any method.
func (d *Director) Effects() []Effect {
	out := d.out
	d.out = d.out[:0]
	return out
}

// Stats returns the counters.
func (d *Director) Stats() DirectorStats {
	s := d.stats
	s.Flows, s.Opening, s.Agents = len(d.flows), d.queue.len()+d.queued.len(), len(d.agents)
	s.Returning = d.returns.len() + d.waitingReturns.len()
	for _, a := range d.agents {
		if d.mayOffer(a) {
			s.Ready++
		}
	}
	return s
}

// FromCaller takes a packet of a caller.
func (d *Director) FromCaller(now time.Time, s Segment, packet []byte) {
	d.now = now
	e := d.flows[s.Key]
	if s.first() {
		d.first(now, e, &s, packet)
		return
	}
	if e == nil {
		d.unknown(now, &s, packet)
		return
	}
	e.used = now
	switch e.state {
	case entrySought:
		d.seekAgain(now, e, &s, packet)
		return
	case entryReturning:
		d.drop(ReasonResetPending)
		return
	}
	if e.state == entryOpening {
		// The caller has the server's answer, so the agent's message was lost
		// or is late. If another agent's server was quicker, this one says so.
		d.taken(now, e, e.agent)
	}
	if d.agents[e.agent] == nil {
		// Its server has ended, and the agent with it.
		d.seek(now, e, &s, packet, false)
		return
	}
	d.pass(e.agent, packet)
}

func (d *Director) pass(to netip.AddrPort, packet []byte) {
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

func (d *Director) drop(reason Reason) { d.stats.Dropped[reason]++ }

// reset ends the flow at the caller. seq must lie near what the caller last
// acknowledged to end an open flow.
func (d *Director) reset(now time.Time, key Key, seq uint32, reason Reason) {
	d.stats.Resets[reason]++
	d.out = append(d.out, Effect{Kind: SendReset, Message: Message{Key: key}, ResetSeq: seq})
	d.trace.Reset(now, key, reason)
}

// placed notes that agent holds the flow.
func (d *Director) placed(e *entry, agent netip.AddrPort) {
	d.spare.release(e)
	e.agent = agent
	e.state = entryPlaced
}

// forget removes a flow.
func (d *Director) forget(key Key) {
	if e := d.flows[key]; e != nil {
		d.spare.releaseAll(e)
		delete(d.flows, key)
	}
}

// nextSerial tells one use of an opening or a seek from the next.
func (d *Director) nextSerial() uint64 {
	d.serial++
	return d.serial
}

// remember returns a new entry, or nil if there is no room.
func (d *Director) remember(now time.Time, key Key) *entry {
	if len(d.flows) >= d.cfg.MaxFlows {
		d.sweep(now)
	}
	if len(d.flows) >= d.cfg.MaxFlows {
		return nil
	}
	e := d.spare.entry()
	e.opened, e.used = now, now
	d.flows[key] = e
	return e
}
