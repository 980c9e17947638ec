package membership

import (
	"iter"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Machine is a balancer's view of the fleet. The zero value is not usable,
// see NewMachine.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    *Announcer
	selfKey key
	zone    uint16
	roster  *memberList
	queue   gossipQueue
	views   []zoneView
	watches []watch
	watchOf map[key]int
	dead    []tombstone

	calledAt   time.Time // last call of Tick or Receive
	receivedAt time.Time
	refillAt   time.Time
	compareAt  time.Time
	probeAt    time.Time
	rankGen    uint64
	tokens     float64 // bytes that may be sent now
	reports    float64 // of them for reports and acks
	auditAt    int
	hotAt      [groupCount]time.Time
	bulkFrom   netip.AddrPort

	out     []Envelope
	changes []Change
	stats   Stats
}

// NewMachine returns a Machine that knows only itself, or a *RecordError.
func NewMachine(cfg Config) (*Machine, error) {
	if cfg.Self.Role != RoleBalancer {
		return nil, &RecordError{"Role", cfg.Self.Role.String(), "a Machine reports a balancer: use RoleBalancer"}
	}
	cfg.Timing.setDefaults()
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	cfg.Rate = max(cfg.Rate, MinRate)
	self, err := NewAnnouncer(AnnouncerConfig{
		Self: cfg.Self, Seeds: cfg.Seeds, Interval: cfg.Timing.HeartbeatInterval, Seed: cfg.Seed,
	})
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, self: self, selfKey: self.selfKey, roster: newMemberList(), watchOf: map[key]int{}}
	m.rng = rand.New(rand.NewPCG(cfg.Seed+1, uint64(m.selfKey)))
	m.tokens = float64(cfg.Rate) / 2
	m.zone = m.roster.zoneIndex(cfg.Self.Zone, cfg.Self.Region)
	m.adoptSelf(time.Time{})
	return m, nil
}

// Self returns the record of this balancer.
func (m *Machine) Self() Record { return m.self.self }

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.self.SetSeeds(seeds) }

// SetState announces a new state of this balancer; false once it is leaving.
func (m *Machine) SetState(now time.Time, s State) bool {
	ok := m.self.SetState(now, s)
	m.adoptSelf(now)
	m.collectSelf()
	return ok
}

// EntryVersion returns the highest entry version that an ack carried and its sender.
func (m *Machine) EntryVersion() (uint64, netip.AddrPort) { return m.self.EntryVersion() }

// Tick does what is due. Call it about every 100 ms: this is also the period
// of gossip.
func (m *Machine) Tick(now time.Time) {
	m.noticePause(now)
	m.refill(now)
	m.chooseObservers(now)
	m.self.Tick(now)
	m.adoptSelf(now)
	m.collectSelf()
	m.judgeAll(now)
	m.audit(now)
	m.gossip(now)
	m.compare(now)
	m.probeLost(now)
	m.forgetDead(now)
}

// Receive takes a message from the process at from. The caller must have
// authenticated both: from is the address of the sender's record, not that of
// a relay between.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, msg *Message) {
	m.noticePause(now)
	m.receivedAt = now
	m.stats.ReceivedMessages++
	m.stats.ReceivedBytes += uint64(WireSize(msg))
	if c := m.roster.find(keyOf(from)); c != nil {
		m.reached(now, c)
	}
	switch msg.Kind {
	case KindAnnounce:
		m.onAnnounce(now, from, msg)
	case KindHeartbeat:
		m.onHeartbeat(now, from, msg)
	case KindAck:
		m.onAck(now, from, msg)
	case KindGossip, KindRepair:
		m.onRecords(now, from, msg)
	case KindLivenessQuery:
		m.onDoubt(now, from, msg)
	case KindLivenessReply:
		m.onOpinion(now, from, msg)
	default:
		m.onRepairStep(now, from, msg)
	}
}

// Outbox returns the messages to send and empties the outbox. The slice is
// valid until the next call of any method.
func (m *Machine) Outbox() []Envelope {
	out := m.out
	m.out = m.out[:0]
	return out
}

// maxKeptChanges is the largest memory for changes that is used again.
const maxKeptChanges = 1024

// Changes returns the changes of the roster since the last call, oldest first.
// The slice is valid until the next call of any method.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = m.changes[:0]
	if cap(changes) > maxKeptChanges {
		m.changes = nil // a bulk transfer must not leave its size behind
	}
	return changes
}

// BulkSource returns a balancer from which to load the roster in bulk, because
// too much differs for datagrams. It is reported once per need.
func (m *Machine) BulkSource() (Record, bool) {
	from := m.bulkFrom
	m.bulkFrom = netip.AddrPort{}
	if !from.IsValid() {
		return Record{}, false
	}
	return m.Lookup(from)
}

// Lookup returns the record at addr.
func (m *Machine) Lookup(addr netip.AddrPort) (Record, bool) {
	c := m.roster.find(keyOf(addr))
	if c == nil {
		return Record{}, false
	}
	return m.roster.record(c), true
}

// ZoneReachable reports whether this balancer holds the zone of the process at
// addr for reachable; false for a process that it doesn't know.
func (m *Machine) ZoneReachable(addr netip.AddrPort) bool {
	c := m.roster.find(keyOf(addr))
	return c != nil && !m.roster.zones[c.zone].down
}

// ReadyAgents iterates over the agents of a service that take new work.
func (m *Machine) ReadyAgents(service uint32) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, i := range m.roster.services[service] {
			c := &m.roster.cells[i]
			rec := m.roster.record(c)
			if rec.TakesWork() && !m.roster.zones[c.zone].down && !yield(rec) {
				return
			}
		}
	}
}

// Records iterates over the whole roster, the dead included until forgotten.
func (m *Machine) Records() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for i := range m.roster.cells {
			c := &m.roster.cells[i]
			if c.key != 0 && !yield(m.roster.record(c)) {
				return
			}
		}
	}
}

// Balancers iterates over the live balancers of reachable zones, this one
// included.
func (m *Machine) Balancers() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, k := range m.roster.liveAll() {
			if !yield(m.roster.record(m.roster.find(k))) {
				return
			}
		}
	}
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Records = len(m.roster.index)
	s.Balancers = len(m.roster.liveAll())
	s.Observed = len(m.watches)
	s.Queued = len(m.queue.level)
	return s
}

// WireSize returns the bytes that msg counts as on the wire: about its encoded
// length, with seal, UDP and IP.
func WireSize(msg *Message) int { return msg.size() - sizeHead + sizeTypical + sizeOnWire }

// send puts one message into the outbox.
func (m *Machine) send(to netip.AddrPort, msg *Message) {
	n := WireSize(msg)
	m.charge(msg.Kind, float64(n))
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	m.stats.SentByKind[msg.Kind] += uint64(n)
	m.out = append(m.out, Envelope{to, msg})
}

// charge takes n bytes from the budget. Reports, their acks and the questions
// of observers are sent in any case, and take at most half of it: where many agents report to a balancer,
// its gossip would otherwise wait for ever, seen as changes that reach nobody.
func (m *Machine) charge(kind Kind, n float64) {
	if kind <= KindAck || kind == KindLivenessQuery || kind == KindLivenessReply {
		n = min(n, max(m.reports, 0))
		m.reports -= n
	}
	m.tokens = max(m.tokens-n, -float64(m.cfg.Rate))
}

// refill adds to the byte budget, at most half a second's worth, so that no
// second has more than one and a half times the rate.
func (m *Machine) refill(now time.Time) {
	rate := float64(m.cfg.Rate)
	m.tokens = min(m.tokens+rate*now.Sub(m.refillAt).Seconds(), rate/2)
	m.reports = min(m.reports+rate/2*now.Sub(m.refillAt).Seconds(), rate/4)
	m.refillAt = now
}

// collectSelf moves the messages of this balancer's own Announcer.
func (m *Machine) collectSelf() {
	for _, e := range m.self.Outbox() {
		m.send(e.To, e.Msg)
	}
}

// chooseObservers follows the roster with this balancer's own observers.
func (m *Machine) chooseObservers(now time.Time) {
	if m.rankGen == m.roster.gen && len(m.self.contacts) > 0 {
		return
	}
	m.rankGen = m.roster.gen
	t := m.roster.rank(m.selfKey, RoleBalancer, m.zone)
	if t.n == 0 {
		return
	}
	peers := make([]netip.AddrPort, t.n)
	for i, k := range t.list() {
		peers[i] = k.addrPort()
	}
	m.self.adopt(now, peers)
}
