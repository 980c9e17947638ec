package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"
)

// SlotsPerZone is the number of contact slots of an availability zone.
const SlotsPerZone = 3

// Defaults of Slots.
const (
	DefaultLease  = 30 * time.Second // of a slot
	renewDivisor  = 3                // renewals in the time of one lease
	checkEvery    = 30 * time.Second // between looks of a candidate at a slot that another holds
	fillEvery     = time.Second      // the same for a slot that the candidate has not read yet
	firstBackoff  = 8 * time.Second  // after a read that found nothing
	longestWait   = time.Minute      // of the backoff
	callTimeout   = 5 * time.Second  // after which a call without result counts as unknown
	jitterDivisor = 4                // waits vary by a quarter either way
)

// SlotsConfig describes one process.
type SlotsConfig struct {
	Zone        string
	Self        netip.AddrPort
	Incarnation uint64
	ClaimsSlots bool          // balancers hold slots, agents only read them
	Lease       time.Duration // default DefaultLease
	Seed        uint64
	// Candidate tells whether this balancer should look for empty slots now,
	// see Machine.SlotCandidate. Nil means never.
	Candidate func() bool
}

type slotPhase uint8

const (
	phaseRead  slotPhase = iota // look at a slot
	phaseGrant                  // the slot is empty: get a lease
	phaseClaim                  // write the slot under the lease
	phaseHeld                   // renew
	phaseRest                   // an agent that has a contact
)

// Slots decides which call to the platform's store comes next, so that each
// availability zone has a few addresses to which a starting process can turn.
//
// Only the holders of slots and as many candidates make calls regularly,
// so the rate follows the number of zones. All others read once at their
// start.
//
// A lease may lapse while its holder is paused and still believes it holds it.
// That is harmless: holding decides nothing, it only means that one's address
// is listed. Two believers cost a starting process at worst one more read.
type Slots struct {
	cfg      SlotsConfig
	rng      *rand.Rand
	phase    slotPhase
	slot     int
	tries    int // reads and refusals without success in a row
	lease    uint64
	leaseEnd time.Time
	claimed  bool // by us, and not known to have lapsed
	at       time.Time
	sentAt   time.Time
	pending  uint64
	lastID   uint64
	sent     Op
	contacts [SlotsPerZone]netip.AddrPort
	calls    uint64
}

// NewSlots returns the state machine of one process that starts at now.
func NewSlots(now time.Time, cfg SlotsConfig) *Slots {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	k := keyOf(cfg.Self)
	s := &Slots{cfg: cfg, at: now, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(k)))}
	s.slot = int(mix(uint64(k)) % SlotsPerZone)
	return s
}

// SlotKey is the key of one contact slot in the platform's store.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("contact/%s/%d", zone, slot) }

// Contacts returns the addresses that were read, without this process.
func (s *Slots) Contacts() []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range s.contacts {
		if a.IsValid() && a != s.cfg.Self {
			list = append(list, a)
		}
	}
	return list
}

// Calls returns the number of calls so far.
func (s *Slots) Calls() uint64 { return s.calls }

// HeldSlot returns the slot that this process believes to hold.
func (s *Slots) HeldSlot(now time.Time) (slot int, ok bool) {
	return s.slot, s.claimed && now.Before(s.leaseEnd)
}

// RequestContacts asks for contacts again, after all known balancers fell silent.
func (s *Slots) RequestContacts(now time.Time) {
	if s.phase != phaseRest {
		return
	}
	s.phase = phaseRead
	s.slot = (s.slot + 1) % SlotsPerZone
	s.at = now.Add(s.backoff())
}

// Next returns the call to make now, if any. No further call is due before its
// result was given to Done or it has timed out.
func (s *Slots) Next(now time.Time) (Call, bool) {
	if s.pending != 0 {
		if now.Sub(s.sentAt) < callTimeout {
			return Call{}, false
		}
		s.Done(now, Result{ID: s.pending, Outcome: OutcomeUnknown})
	}
	if now.Before(s.at) || s.phase == phaseRest {
		return Call{}, false
	}
	if s.phase == phaseRead && s.cfg.ClaimsSlots && len(s.Contacts()) > 0 && !s.chooseSlot() {
		s.at = now.Add(s.jitter(checkEvery))
		return Call{}, false
	}
	s.lastID++
	s.calls++
	s.pending, s.sentAt = s.lastID, now
	return s.call(), true
}

func (s *Slots) call() Call {
	c := Call{ID: s.pending, Key: SlotKey(s.cfg.Zone, s.slot), Lease: s.lease, TTL: s.cfg.Lease}
	switch s.phase {
	case phaseRead:
		c.Op = OpGet
	case phaseGrant:
		c.Op = OpGrant
	case phaseClaim:
		c.Op = OpClaim
		c.Value = s.value()
	case phaseHeld:
		c.Op = OpRenew
	}
	s.sent = c.Op
	return c
}

// value names the process and its incarnation, so that a restarted balancer
// doesn't take the slot of its predecessor, whose lease nobody renews, for its
// own.
func (s *Slots) value() string { return fmt.Sprintf("%v/%d", s.cfg.Self, s.cfg.Incarnation) }

// chooseSlot moves to the next slot if this balancer is a candidate.
func (s *Slots) chooseSlot() bool {
	if s.cfg.Candidate == nil || !s.cfg.Candidate() {
		return false
	}
	s.slot = (s.slot + 1) % SlotsPerZone
	return true
}

// Done takes the result of the pending call; any other result is ignored.
func (s *Slots) Done(now time.Time, r Result) {
	if r.ID != s.pending || r.ID == 0 {
		return
	}
	s.pending = 0
	switch s.sent {
	case OpGet:
		s.onGet(now, r)
	case OpGrant:
		s.onGrant(now, r)
	case OpClaim:
		s.onClaim(now, r)
	case OpRenew:
		s.onRenew(now, r)
	}
}

func (s *Slots) onGet(now time.Time, r Result) {
	switch r.Outcome {
	case OutcomeOK:
		s.onValue(now, r.Value)
	case OutcomeAbsent:
		s.contacts[s.slot] = netip.AddrPort{}
		if s.cfg.ClaimsSlots {
			s.phase, s.at = phaseGrant, now
			return
		}
		s.slot = (s.slot + 1) % SlotsPerZone
		s.retry(now)
	default:
		s.retry(now)
	}
}

func (s *Slots) onValue(now time.Time, value string) {
	if value == s.value() {
		s.hold(now)
		return
	}
	addr, err := netip.ParseAddrPort(strings.SplitN(value, "/", 2)[0])
	if err != nil {
		s.slot = (s.slot + 1) % SlotsPerZone
		s.retry(now)
		return
	}
	s.contacts[s.slot] = addr
	s.tries = 0
	s.at = now.Add(s.jitter(s.nextLook()))
	if !s.cfg.ClaimsSlots {
		s.phase = phaseRest
	}
}

// nextLook is how long a candidate waits before it looks at another slot. One
// that it has never read is looked at soon: balancers that start together turn
// to the same slot now and then, and until the others are taken a process that
// knows no balancer may find empty slots only, and waits longer with each.
func (s *Slots) nextLook() time.Duration {
	for _, a := range s.contacts {
		if !a.IsValid() {
			return fillEvery
		}
	}
	return checkEvery
}

func (s *Slots) onGrant(now time.Time, r Result) {
	if r.Outcome != OutcomeOK {
		// A lease that was granted without our knowledge runs out unused.
		s.phase = phaseRead
		s.retry(now)
		return
	}
	s.lease, s.leaseEnd = r.Lease, s.sentAt.Add(s.cfg.Lease)
	s.phase, s.at = phaseClaim, now
}

// onClaim reads the slot again unless the claim surely succeeded: after a lost
// answer the slot itself tells whether the write took effect, and after a
// lost race it names the winner.
func (s *Slots) onClaim(now time.Time, r Result) {
	if r.Outcome == OutcomeOK {
		s.hold(now)
		return
	}
	s.phase, s.at = phaseRead, now
	if r.Outcome == OutcomeTaken {
		s.forgetContacts()
		return
	}
	s.retry(now)
}

// forgetContacts lets the next read look at the slot that was just lost.
func (s *Slots) forgetContacts() { s.contacts = [SlotsPerZone]netip.AddrPort{} }

func (s *Slots) hold(now time.Time) {
	s.claimed, s.phase, s.tries = true, phaseHeld, 0
	s.at = now.Add(s.jitter(s.cfg.Lease / renewDivisor))
}

func (s *Slots) onRenew(now time.Time, r Result) {
	switch r.Outcome {
	case OutcomeOK:
		s.leaseEnd = s.sentAt.Add(s.cfg.Lease)
		s.hold(now)
	case OutcomeAbsent:
		s.claimed, s.phase = false, phaseRead
		s.forgetContacts()
		s.at = now.Add(s.jitter(firstBackoff))
	default:
		s.retry(now)
	}
}

func (s *Slots) retry(now time.Time) { s.at = now.Add(s.backoff()) }

// backoff doubles the wait with each try in a row and spreads it fully, so
// that a fleet that starts at once doesn't come back at once.
func (s *Slots) backoff() time.Duration {
	limit := min(firstBackoff<<min(s.tries, 16), longestWait)
	s.tries++
	return limit/2 + time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *Slots) jitter(d time.Duration) time.Duration {
	q := int64(d) / jitterDivisor
	return d - time.Duration(q) + time.Duration(s.rng.Int64N(2*q))
}

// SlotCandidate tells whether this balancer should look for empty contact
// slots of its zone: SlotsPerZone balancers do, the first by rendezvous. While
// a slot is empty at least one of them holds none, and finds it.
func (m *Machine) SlotCandidate() bool {
	t := top{subject: key(m.roster.zones[m.zone].hash)}
	t.add(m.roster.live[m.zone], SlotsPerZone)
	return contains(t.list(), m.selfKey)
}
