package membership

import (
	"iter"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Machine holds a balancer's member list and runs gossip, repair and failure
// detection. The zero value is not usable, see NewMachine.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	self          *Announcer
	selfKey       key
	zone          uint16
	members       *memberList
	queue         gossipQueue
	zoneStates    []zoneState
	observations  []observation
	observationOf map[key]int
	tombstones    []tombstone

	lastCallAt     time.Time // last call of Tick or Receive
	receivedAt     time.Time
	refilledAt     time.Time
	comparedAt     time.Time
	probedAt       time.Time
	rankGen        uint64
	tokens         float64 // bytes that may be sent now
	reportTokens   float64 // part of tokens for reports, acks and liveness queries
	auditIndex     int
	groupChangedAt [groupCount]time.Time
	bulkSource     netip.AddrPort

	out     []Envelope
	changes []Change
	stats   Stats
}

// NewMachine returns a Machine whose member list contains only itself. It
// returns a *RecordError if cfg.Self is invalid.
func NewMachine(cfg Config) (*Machine, error) {
	if cfg.Self.Role != RoleBalancer {
		return nil, &RecordError{"Role", cfg.Self.Role.String(), "use RoleBalancer: a Machine represents a balancer"}
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
	m := &Machine{cfg: cfg, self: self, selfKey: self.selfKey, members: newMemberList(), observationOf: map[key]int{}}
	m.rng = rand.New(rand.NewPCG(cfg.Seed+1, uint64(m.selfKey)))
	m.tokens = float64(cfg.Rate) / 2
	m.zone = m.members.zoneIndex(cfg.Self.Zone, cfg.Self.Region)
	m.storeSelf(time.Time{})
	return m, nil
}

// Self returns the record of this balancer.
func (m *Machine) Self() Record { return m.self.self }

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) { m.self.SetSeeds(seeds) }

// SetState announces a new state of this balancer. It returns false once the
// balancer is leaving, see Announcer.SetState.
func (m *Machine) SetState(now time.Time, s State) bool {
	ok := m.self.SetState(now, s)
	m.storeSelf(now)
	m.sendSelfMessages()
	return ok
}

// EntryVersion returns the highest entry version that an ack carried and the
// address of the ack's sender.
func (m *Machine) EntryVersion() (uint64, netip.AddrPort) { return m.self.EntryVersion() }

// Tick evaluates the observed processes and sends what is due. Call it about
// every 100 ms: this is also the period of gossip.
func (m *Machine) Tick(now time.Time) {
	m.detectPause(now)
	m.refill(now)
	m.updateObservers(now)
	m.self.Tick(now)
	m.storeSelf(now)
	m.sendSelfMessages()
	m.evaluateAll(now)
	m.audit(now)
	m.gossip(now)
	m.compare(now)
	m.probeOutOfContact(now)
	m.removeDead(now)
}

// Receive processes a message from the process at from. The caller must have
// authenticated both: from is the address in the sender's record, not that of an
// intermediate relay.
func (m *Machine) Receive(now time.Time, from netip.AddrPort, msg *Message) {
	m.detectPause(now)
	m.receivedAt = now
	m.stats.ReceivedMessages++
	m.stats.ReceivedBytes += uint64(WireSize(msg))
	if c := m.members.find(keyOf(from)); c != nil {
		m.recordContact(now, c)
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
		m.onLivenessQuery(now, from, msg)
	case KindLivenessReply:
		m.onLivenessReply(now, from, msg)
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

// maxKeptChanges is the largest capacity of the changes slice that is reused.
const maxKeptChanges = 1024

// Changes returns the changes of the member list since the last call, oldest
// first. The slice is valid until the next call of any method.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = m.changes[:0]
	if cap(changes) > maxKeptChanges {
		m.changes = nil // release the memory that a bulk transfer needed
	}
	return changes
}

// BulkSource returns a balancer from which to load the member list in bulk,
// because too many records differ for datagrams. It returns each source only once.
func (m *Machine) BulkSource() (Record, bool) {
	from := m.bulkSource
	m.bulkSource = netip.AddrPort{}
	if !from.IsValid() {
		return Record{}, false
	}
	return m.Lookup(from)
}

// Lookup returns the record at addr.
func (m *Machine) Lookup(addr netip.AddrPort) (Record, bool) {
	c := m.members.find(keyOf(addr))
	if c == nil {
		return Record{}, false
	}
	return m.members.record(c), true
}

// ZoneReachable reports whether the zone of the process at addr is reachable from
// this balancer's region; false for an unknown process.
func (m *Machine) ZoneReachable(addr netip.AddrPort) bool {
	c := m.members.find(keyOf(addr))
	return c != nil && !m.members.zones[c.zone].down
}

// ReadyAgents iterates over the agents of a service that take new work and whose
// zone is reachable.
func (m *Machine) ReadyAgents(service uint32) iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, i := range m.members.services[service] {
			c := &m.members.cells[i]
			rec := m.members.record(c)
			if rec.TakesWork() && !m.members.zones[c.zone].down && !yield(rec) {
				return
			}
		}
	}
}

// Records iterates over the whole member list, including dead records until
// they are removed.
func (m *Machine) Records() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for i := range m.members.cells {
			c := &m.members.cells[i]
			if c.key != 0 && !yield(m.members.record(c)) {
				return
			}
		}
	}
}

// Balancers iterates over the live balancers of reachable zones, this one
// included.
func (m *Machine) Balancers() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for _, k := range m.members.liveAll() {
			if !yield(m.members.record(m.members.find(k))) {
				return
			}
		}
	}
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Records = len(m.members.index)
	s.Balancers = len(m.members.liveAll())
	s.Observed = len(m.observations)
	s.Queued = len(m.queue.position)
	return s
}

// WireSize returns the approximate bytes of msg on the wire: the encoded length
// with seal, UDP and IP headers.
func WireSize(msg *Message) int { return msg.size() - sizeHead + sizeTypical + sizeOnWire }

// send appends one message to the outbox and charges it to the byte budget.
func (m *Machine) send(to netip.AddrPort, msg *Message) {
	n := WireSize(msg)
	m.charge(msg.Kind, float64(n))
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	m.stats.SentByKind[msg.Kind] += uint64(n)
	m.out = append(m.out, Envelope{to, msg})
}

// charge takes n bytes from the budget. Reports, their acks and liveness queries
// are always sent, but use at most half of the budget: otherwise a balancer to
// which many agents report would never send gossip, and changes would not spread.
func (m *Machine) charge(kind Kind, n float64) {
	if kind <= KindAck || kind == KindLivenessQuery || kind == KindLivenessReply {
		n = min(n, max(m.reportTokens, 0))
		m.reportTokens -= n
	}
	m.tokens = max(m.tokens-n, -float64(m.cfg.Rate))
}

// refill adds to the byte budget, up to the bytes of half a second, so that no
// second exceeds one and a half times the rate.
func (m *Machine) refill(now time.Time) {
	rate := float64(m.cfg.Rate)
	m.tokens = min(m.tokens+rate*now.Sub(m.refilledAt).Seconds(), rate/2)
	m.reportTokens = min(m.reportTokens+rate/2*now.Sub(m.refilledAt).Seconds(), rate/4)
	m.refilledAt = now
}

// sendSelfMessages sends the messages of this balancer's own Announcer.
func (m *Machine) sendSelfMessages() {
	for _, e := range m.self.Outbox() {
		m.send(e.To, e.Msg)
	}
}

// updateObservers chooses this balancer's own observers anew after a change of
// the live balancers.
func (m *Machine) updateObservers(now time.Time) {
	if m.rankGen == m.members.gen && len(m.self.contacts) > 0 {
		return
	}
	m.rankGen = m.members.gen
	t := m.members.rank(m.selfKey, RoleBalancer, m.zone)
	if t.n == 0 {
		return
	}
	peers := make([]netip.AddrPort, t.n)
	for i, k := range t.list() {
		peers[i] = k.addrPort()
	}
	m.self.adopt(now, peers)
}
