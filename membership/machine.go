package membership

import (
	"iter"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Timing holds the periods of a Machine. A zero field means its default.
type Timing struct {
	Heartbeat     time.Duration // of this balancer to its observers, default DefaultInterval
	SuspectAfter  time.Duration // silence after which an observer asks the others, default 2.5 s
	DeadAfter     time.Duration // from suspect to dead without a refutation, default 8 s
	AloneAfter    time.Duration // doubt after which one observer decides alone, default 10 s
	FoldAfter     time.Duration // doubt after which an observer outside the zone takes the zone for lost, default 2 s
	PauseAfter    time.Duration // gap between calls that counts as a pause of our own, default 1 s
	IsolatedAfter time.Duration // without any message nobody is judged, default 1.5 s
	Compare       time.Duration // between comparisons of digests, default 1 s
	ProbeLost     time.Duration // between messages to balancers out of contact, default 15 s
	ForgetAfter   time.Duration // dead records are kept so long, default 24 h
}

func (t *Timing) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Heartbeat, DefaultInterval)
	set(&t.SuspectAfter, 2500*time.Millisecond)
	set(&t.DeadAfter, 8*time.Second)
	set(&t.AloneAfter, 10*time.Second)
	set(&t.FoldAfter, 2*time.Second)
	set(&t.PauseAfter, time.Second)
	set(&t.IsolatedAfter, 1500*time.Millisecond)
	set(&t.Compare, time.Second)
	set(&t.ProbeLost, 15*time.Second)
	set(&t.ForgetAfter, 24*time.Hour)
}

// DefaultRate bounds what a Machine sends, in bytes a second on the wire.
const DefaultRate = 5 << 10

// Config describes a balancer's Machine.
type Config struct {
	Self   Record           // Role must be RoleBalancer
	Seeds  []netip.AddrPort // balancers to turn to at the start
	Seed   uint64           // seeds the choice of peers
	Rate   int              // bytes a second sent, default DefaultRate; reports and acks always pass
	Timing Timing
	Entry  func() uint64 // value that acks carry to their subjects, may be nil
}

// ChangeKind says what a Change reports.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeRecord ChangeKind = 1 // Record is new or replaces the one at its address
	ChangeForget ChangeKind = 2 // Record was removed from the roster
	ChangeZone   ChangeKind = 3 // all of Zone became Reachable or not from here
)

// Change is one change of the roster.
type Change struct {
	Kind         ChangeKind
	Record       Record
	Zone, Region string
	Reachable    bool
}

// Stats counts what a Machine did since its start. Bytes are on the wire,
// headers and seal included.
type Stats struct {
	Records, Balancers              int // in the roster now; live balancers
	Watched                         int // processes that report here
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
	SentByKind                      [KindRepair + 1]uint64 // bytes
	Suspected, Declared             uint64                 // verdicts given here: suspect, dead
	Refuted                         uint64                 // suspicions of this balancer that it refuted
	Pauses                          uint64                 // pauses of this process that it noticed
	Held                            uint64                 // messages not sent because of Rate
	Queued                          int                    // records waiting for gossip
}

// Machine is a balancer's view of the fleet. The zero value is not usable,
// see NewMachine.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    *Announcer
	selfKey key
	zone    uint16
	roster  *roster
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

// tombstone is a dead record to forget later.
type tombstone struct {
	key         key
	incarnation uint64
	at          time.Time
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
	self, err := NewAnnouncer(AnnouncerConfig{
		Self: cfg.Self, Seeds: cfg.Seeds, Interval: cfg.Timing.Heartbeat, Seed: cfg.Seed,
	})
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, self: self, selfKey: self.selfKey, roster: newRoster(), watchOf: map[key]int{}}
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

// Entry returns the highest entry version that an ack carried and its sender.
func (m *Machine) Entry() (uint64, netip.AddrPort) { return m.self.Entry() }

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
	m.stats.ReceivedBytes += uint64(wireSize(msg))
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
	case KindDoubt:
		m.onDoubt(now, from, msg)
	case KindOpinion:
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

// Changes returns the changes of the roster since the last call, oldest first.
// The slice is valid until the next call of any method.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = m.changes[:0]
	return changes
}

// NeedsBulk returns a balancer from which to load the roster in bulk, because
// too much differs for datagrams. It is reported once per need.
func (m *Machine) NeedsBulk() (Record, bool) {
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

// Ready iterates over the agents of a service that take new work.
func (m *Machine) Ready(service uint32) iter.Seq[Record] {
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

// All iterates over the whole roster, the dead included until forgotten.
func (m *Machine) All() iter.Seq[Record] {
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
	s.Watched = len(m.watches)
	s.Queued = len(m.queue.level)
	return s
}

func wireSize(msg *Message) int { return msg.size() - sizeHead + sizeTypical + sizeOnWire }

// send puts one message into the outbox.
func (m *Machine) send(to netip.AddrPort, msg *Message) {
	n := wireSize(msg)
	m.charge(msg.Kind, float64(n))
	m.stats.SentMessages++
	m.stats.SentBytes += uint64(n)
	m.stats.SentByKind[msg.Kind] += uint64(n)
	m.out = append(m.out, Envelope{to, msg})
}

// charge takes n bytes from the budget. Reports and their acks are sent in any
// case, and take at most half of it: where many agents report to a balancer,
// its gossip would otherwise wait for ever, seen as changes that reach nobody.
func (m *Machine) charge(kind Kind, n float64) {
	if kind <= KindAck {
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

// adoptSelf enters this balancer's own record into its roster.
func (m *Machine) adoptSelf(now time.Time) {
	c := m.roster.find(m.selfKey)
	rec := m.self.self
	if c != nil {
		if old := m.roster.record(c); !rec.Newer(&old) {
			return
		}
	}
	m.apply(now, &rec, 0)
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

// merge takes in a record and reports whether it was news.
func (m *Machine) merge(now time.Time, rec *Record, sent int) bool {
	if keyOf(rec.Addr) == m.selfKey {
		m.refute(now, rec)
		return false
	}
	if c := m.roster.find(keyOf(rec.Addr)); c != nil {
		old := m.roster.record(c)
		if !rec.Newer(&old) {
			return false
		}
		if rec.Incarnation == old.Incarnation && old.State == StateLeaving && rec.State != StateLeaving {
			return false
		}
	}
	m.apply(now, rec, sent)
	return true
}

// apply stores a record, reports the change and queues it for gossip as one
// that was sent so many times already.
func (m *Machine) apply(now time.Time, rec *Record, sent int) {
	c := m.roster.put(rec)
	m.hotAt[bucketOf(c.key)/groupSize] = now
	m.changes = append(m.changes, Change{Kind: ChangeRecord, Record: *rec})
	if rec.Verdict == VerdictDead {
		m.dead = append(m.dead, tombstone{c.key, rec.Incarnation, now})
	}
	m.queue.add(c.key, !rec.TakesWork(), sent)
}

// refute answers a verdict about this balancer with a higher version.
func (m *Machine) refute(now time.Time, rec *Record) {
	own := &m.self.self
	if rec.Incarnation > own.Incarnation {
		m.self.outlive(now, rec.Incarnation)
	} else if rec.Incarnation == own.Incarnation && rec.Version >= own.Version && rec.Verdict != VerdictAlive {
		own.Version = rec.Version
		m.self.bump(now)
	} else {
		return
	}
	m.stats.Refuted++
	m.adoptSelf(now)
	m.collectSelf()
}

// forgetDead removes dead records after Timing.ForgetAfter. They are kept for
// so long because a balancer that was cut off for hours would otherwise bring
// them back as alive.
func (m *Machine) forgetDead(now time.Time) {
	for len(m.dead) > 0 && now.Sub(m.dead[0].at) >= m.cfg.Timing.ForgetAfter {
		t := m.dead[0]
		m.dead = m.dead[1:]
		c := m.roster.find(t.key)
		if c == nil || c.verdict != VerdictDead || c.incarnation != t.incarnation {
			continue
		}
		m.changes = append(m.changes, Change{Kind: ChangeForget, Record: m.roster.record(c)})
		m.roster.forget(t.key)
	}
}
