package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// AnnouncerConfig configures the Announcer of a process.
type AnnouncerConfig struct {
	Self     Record           // Addr, Role, Service, Incarnation, Zone, Region, Weight, ports; State defaults to starting
	Seeds    []netip.AddrPort // balancers contacted while no other is known: from settings and contact slots
	Interval time.Duration    // between heartbeats, default DefaultHeartbeatInterval
	Seed     uint64           // seeds the random choice among Seeds and the jitter
}

// Periods and limits of an Announcer.
const (
	DefaultHeartbeatInterval = time.Second
	// An observer that sent no ack for this many intervals is replaced. Every
	// second heartbeat is acknowledged.
	maxUnansweredIntervals = 8
	// An unacknowledged announcement is sent again after announceRetry, since the
	// state in it must be in force within 2 s.
	announceRetry = 250 * time.Millisecond
	maxKnown      = 16 // balancers kept as replacements of unresponsive observers
	seedTries     = 2  // seeds contacted at once while the process has no observers
)

// Announcer reports one process to its observers. The zero value is not
// usable, see NewAnnouncer.
type Announcer struct {
	cfg          AnnouncerConfig
	rng          *rand.Rand
	self         Record
	selfKey      key
	contacts     []contact // the observers
	known        []key     // other balancers, most recent last
	nextSeedAt   time.Time // when seeds are contacted next
	entryVersion uint64
	entryFrom    netip.AddrPort
	ackAt        time.Time
	lastCallAt   time.Time
	adoptedAt    time.Time // when an ack last replaced the observers
	out          []Envelope
}

// NewAnnouncer returns an Announcer in state cfg.Self.State, or a *RecordError if
// cfg.Self is invalid.
func NewAnnouncer(cfg AnnouncerConfig) (*Announcer, error) {
	if cfg.Self.State == 0 {
		cfg.Self.State = StateStarting
	}
	cfg.Self.Verdict = VerdictAlive
	if cfg.Self.Version == 0 {
		cfg.Self.Version = 1
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultHeartbeatInterval
	}
	if err := cfg.Self.Check(); err != nil {
		return nil, err
	}
	a := &Announcer{cfg: cfg, self: cfg.Self, selfKey: keyOf(cfg.Self.Addr)}
	a.rng = rand.New(rand.NewPCG(cfg.Seed, uint64(a.selfKey)))
	return a, nil
}

// Self returns the current record.
func (a *Announcer) Self() Record { return a.self }

// EntryVersion returns the highest entry version that an ack carried and the
// balancer that sent it.
func (a *Announcer) EntryVersion() (uint64, netip.AddrPort) { return a.entryVersion, a.entryFrom }

// LastAck returns when an ack last arrived from a balancer; zero if none has.
func (a *Announcer) LastAck() time.Time { return a.ackAt }

// Observers returns the balancers that the process reports to.
func (a *Announcer) Observers() []netip.AddrPort {
	list := make([]netip.AddrPort, len(a.contacts))
	for i := range a.contacts {
		list[i] = a.contacts[i].key.addrPort()
	}
	return list
}

// SetSeeds replaces the seeds, for instance after reading the contact slots.
func (a *Announcer) SetSeeds(seeds []netip.AddrPort) { a.cfg.Seeds = seeds }

// SetState announces a new state at once. It returns false and changes nothing
// once the process is leaving, because balancers rely on leaving being final.
func (a *Announcer) SetState(now time.Time, s State) bool {
	if a.self.State == StateLeaving && s != StateLeaving {
		return false
	}
	if a.self.State != s {
		a.self.State = s
		a.announceNewVersion(now)
	}
	return true
}

// SetWeight announces a new weight at once.
func (a *Announcer) SetWeight(now time.Time, w uint8) {
	if a.self.Weight != w {
		a.self.Weight = w
		a.announceNewVersion(now)
	}
}

func (a *Announcer) announceNewVersion(now time.Time) {
	a.self.Version++
	for i := range a.contacts {
		a.announce(now, &a.contacts[i])
	}
}

// raiseIncarnation raises the incarnation above one that balancers have stored.
// This is needed if the clock went back between two starts: otherwise the old
// record would outrank the running process forever.
func (a *Announcer) raiseIncarnation(now time.Time, incarnation uint64) {
	a.self.Incarnation = incarnation + 1
	for i := range a.contacts {
		a.contacts[i].acked = false
	}
	a.announceNewVersion(now)
}

// Outbox returns the messages to send and empties the outbox. The slice is
// valid until the next call of any method.
func (a *Announcer) Outbox() []Envelope {
	out := a.out
	a.out = a.out[:0]
	return out
}

// NextTick returns when Tick has work to do next.
func (a *Announcer) NextTick(now time.Time) time.Time {
	next := now.Add(announceRetry)
	if len(a.contacts) > 0 && a.allCurrent() {
		next = now.Add(a.cfg.Interval)
		for i := range a.contacts {
			if t := a.contacts[i].sentAt.Add(a.cfg.Interval); t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// allCurrent reports whether all contacts have acknowledged this process's latest version.
func (a *Announcer) allCurrent() bool {
	for i := range a.contacts {
		if !a.current(&a.contacts[i]) {
			return false
		}
	}
	return true
}

// current reports whether c has acknowledged this process's latest version.
func (a *Announcer) current(c *contact) bool { return c.acked && c.version >= a.self.Version }

// Tick detects a pause of the process, replaces unresponsive contacts, and sends due
// announcements and heartbeats. Call it at least every 250 ms.
func (a *Announcer) Tick(now time.Time) {
	a.detectPause(now)
	a.replaceUnresponsive(now)
	for i := range a.contacts {
		c := &a.contacts[i]
		since := now.Sub(c.sentAt)
		if !a.current(c) && since >= announceRetry {
			a.announce(now, c)
		} else if since >= a.cfg.Interval {
			a.send(now, c, &Message{
				Kind: KindHeartbeat, Incarnation: a.self.Incarnation,
				Version: a.self.Version, Hash: a.observerHash(),
			})
		}
	}
	if len(a.contacts) == 0 {
		a.announceToSeeds(now)
	}
}

func (a *Announcer) announceToSeeds(now time.Time) {
	if now.Before(a.nextSeedAt) || len(a.cfg.Seeds) == 0 {
		return
	}
	a.nextSeedAt = now.Add(a.cfg.Interval/2 + time.Duration(a.rng.Int64N(int64(a.cfg.Interval))))
	first := a.rng.IntN(len(a.cfg.Seeds))
	for i := 0; i < min(seedTries, len(a.cfg.Seeds)); i++ {
		seed := a.cfg.Seeds[(first+i)%len(a.cfg.Seeds)]
		if seed != a.self.Addr {
			a.out = append(a.out, Envelope{seed, a.announcement()})
		}
	}
}

func (a *Announcer) announcement() *Message {
	return &Message{Kind: KindAnnounce, Records: []Record{a.self}, Hash: a.observerHash()}
}

func (a *Announcer) announce(now time.Time, c *contact) { a.send(now, c, a.announcement()) }

func (a *Announcer) send(now time.Time, c *contact, m *Message) {
	c.sentAt = now
	a.out = append(a.out, Envelope{c.key.addrPort(), m})
}

func (a *Announcer) observerHash() uint64 {
	var keys [observers + 1]key
	n := 0
	for i := range a.contacts {
		if n < len(keys) {
			keys[n] = a.contacts[i].key
			n++
		}
	}
	return hashKeys(keys[:n])
}

// Receive processes an ack from a balancer; other kinds are ignored.
func (a *Announcer) Receive(now time.Time, from netip.AddrPort, m *Message) {
	if m.Kind != KindAck {
		return
	}
	if m.Incarnation > a.self.Incarnation {
		a.raiseIncarnation(now, m.Incarnation)
		return
	}
	if m.Incarnation < a.self.Incarnation && m.Flags&FlagSendRecord == 0 {
		return // for an earlier incarnation at this address
	}
	a.ackAt = now
	if m.EntryVersion > a.entryVersion {
		a.entryVersion, a.entryFrom = m.EntryVersion, from
	}
	if len(m.Peers) > 0 && a.mayAdopt(now) {
		a.adopt(now, m.Peers)
	}
	if m.Flags&FlagSuspected != 0 && m.Version >= a.self.Version {
		a.self.Version = m.Version
		a.announceNewVersion(now)
	}
	a.recordAck(now, keyOf(from), m)
}

// recordAck records an ack from the balancer k. If the ack asks for this process's
// record, it announces the record again.
func (a *Announcer) recordAck(now time.Time, k key, m *Message) {
	if m.Flags&FlagSendRecord != 0 && !inContacts(a.contacts, k) {
		a.out = append(a.out, Envelope{k.addrPort(), a.announcement()})
		return
	}
	for i := range a.contacts {
		c := &a.contacts[i]
		if c.key != k {
			continue
		}
		c.ackAt = now
		if m.Flags&FlagSendRecord != 0 {
			c.acked = false
			a.announce(now, c)
			return
		}
		c.acked = true
		c.version = max(c.version, m.Version)
		return
	}
}
