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

// Periods of Slots.
const (
	DefaultLease       = 30 * time.Second // of a slot
	renewDivisor       = 3                // renewals per lease
	knownSlotInterval  = 30 * time.Second // between a candidate's reads once it has read every slot as held
	unreadSlotInterval = time.Second      // between a candidate's reads until then
	firstBackoff       = 8 * time.Second  // backoff after the first unsuccessful call
	maxBackoff         = time.Minute      // upper bound of the doubled backoff, before randomization
	callTimeout        = 5 * time.Second  // after which a call without result counts as OutcomeUnknown
	jitterDivisor      = 4                // waits vary by a quarter in either direction
)

// SlotsConfig configures the Slots of one process.
type SlotsConfig struct {
	Zone        string
	Self        netip.AddrPort
	Incarnation uint64
	ClaimsSlots bool          // balancers claim slots, agents only read them
	Lease       time.Duration // default DefaultLease
	Seed        uint64
	// Candidate reports whether this balancer should look for empty slots now,
	// see Machine.SlotCandidate. Nil means never.
	Candidate func() bool
}

type slotPhase uint8

const (
	phaseRead  slotPhase = iota // read a slot
	phaseGrant                  // the slot is empty: get a lease
	phaseClaim                  // write the slot under the lease
	phaseHeld                   // renew the lease
	phaseIdle                   // no calls: an agent that has a contact
)

// Slots decides which call to the platform's store comes next, so that each
// availability zone lists a few addresses that a starting process can contact.
//
// Only the holders of slots and as many candidates make calls regularly, so the
// call rate grows with the number of zones, not of processes. All other
// processes read once at their start.
//
// A lease may lapse while its holder is paused and still assumes that it holds
// the slot. That is harmless: a slot only lists an address. If two processes
// assume that they hold one slot, a starting process needs at most one more read.
type Slots struct {
	cfg        SlotsConfig
	rng        *rand.Rand
	phase      slotPhase
	slot       int
	failures   int // consecutive unsuccessful reads and refused calls
	leaseID    uint64
	leaseEnd   time.Time
	holdsSlot  bool // this process has claimed slot, and the lease is not known to have lapsed
	nextCallAt time.Time
	sentAt     time.Time
	pendingID  uint64
	lastID     uint64
	pendingOp  Op
	contacts   [SlotsPerZone]netip.AddrPort
	calls      uint64
}

// NewSlots returns the state machine of one process that starts at now.
func NewSlots(now time.Time, cfg SlotsConfig) *Slots {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	k := keyOf(cfg.Self)
	s := &Slots{cfg: cfg, nextCallAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(k)))}
	s.slot = int(mix(uint64(k)) % SlotsPerZone)
	return s
}

// SlotKey is the key of one contact slot in the platform's store.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("contact/%s/%d", zone, slot) }

// Contacts returns the addresses read from the slots, except this process's own.
func (s *Slots) Contacts() []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range s.contacts {
		if a.IsValid() && a != s.cfg.Self {
			list = append(list, a)
		}
	}
	return list
}

// Calls returns the number of calls made so far.
func (s *Slots) Calls() uint64 { return s.calls }

// HeldSlot returns the slot that this process holds as far as it knows; ok is
// false if it holds none.
func (s *Slots) HeldSlot(now time.Time) (slot int, ok bool) {
	return s.slot, s.holdsSlot && now.Before(s.leaseEnd)
}

// RequestContacts has the slots read again, after all known balancers have become
// unresponsive.
func (s *Slots) RequestContacts(now time.Time) {
	if s.phase != phaseIdle {
		return
	}
	s.phase = phaseRead
	s.slot = (s.slot + 1) % SlotsPerZone
	s.nextCallAt = now.Add(s.backoff())
}

// Next returns the call to make now, if any. No further call is due before the
// result of the last one was passed to Done or the call has timed out.
func (s *Slots) Next(now time.Time) (Call, bool) {
	if s.pendingID != 0 {
		if now.Sub(s.sentAt) < callTimeout {
			return Call{}, false
		}
		s.Done(now, Result{ID: s.pendingID, Outcome: OutcomeUnknown})
	}
	if now.Before(s.nextCallAt) || s.phase == phaseIdle {
		return Call{}, false
	}
	if s.phase == phaseRead && s.cfg.ClaimsSlots && len(s.Contacts()) > 0 && !s.nextSlot() {
		s.nextCallAt = now.Add(s.jitter(knownSlotInterval))
		return Call{}, false
	}
	s.lastID++
	s.calls++
	s.pendingID, s.sentAt = s.lastID, now
	return s.call(), true
}

func (s *Slots) call() Call {
	c := Call{ID: s.pendingID, Key: SlotKey(s.cfg.Zone, s.slot), Lease: s.leaseID, TTL: s.cfg.Lease}
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
	s.pendingOp = c.Op
	return c
}

// value contains the process's incarnation, so that a restarted balancer doesn't
// take the slot of its predecessor, whose lease is no longer renewed, for its own.
func (s *Slots) value() string { return fmt.Sprintf("%v/%d", s.cfg.Self, s.cfg.Incarnation) }

// nextSlot moves to the next slot if this balancer is a candidate.
func (s *Slots) nextSlot() bool {
	if s.cfg.Candidate == nil || !s.cfg.Candidate() {
		return false
	}
	s.slot = (s.slot + 1) % SlotsPerZone
	return true
}

// Done processes the result of the pending call; any other result is ignored.
func (s *Slots) Done(now time.Time, r Result) {
	if r.ID != s.pendingID || r.ID == 0 {
		return
	}
	s.pendingID = 0
	switch s.pendingOp {
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
			s.phase, s.nextCallAt = phaseGrant, now
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
		s.setHeld(now)
		return
	}
	addr, err := netip.ParseAddrPort(strings.SplitN(value, "/", 2)[0])
	if err != nil {
		s.slot = (s.slot + 1) % SlotsPerZone
		s.retry(now)
		return
	}
	s.contacts[s.slot] = addr
	s.failures = 0
	s.nextCallAt = now.Add(s.jitter(s.nextReadInterval()))
	if !s.cfg.ClaimsSlots {
		s.phase = phaseIdle
	}
}

// nextReadInterval is how long a candidate waits before it reads another slot. It
// is short while a slot has not been read as held: balancers that start together
// sometimes choose the same slot, and until the other slots are claimed, a process
// that knows no balancer may read only empty slots and back off after each.
func (s *Slots) nextReadInterval() time.Duration {
	for _, a := range s.contacts {
		if !a.IsValid() {
			return unreadSlotInterval
		}
	}
	return knownSlotInterval
}

func (s *Slots) onGrant(now time.Time, r Result) {
	if r.Outcome != OutcomeOK {
		// If the lease was granted but the answer lost, it expires unused.
		s.phase = phaseRead
		s.retry(now)
		return
	}
	s.leaseID, s.leaseEnd = r.Lease, s.sentAt.Add(s.cfg.Lease)
	s.phase, s.nextCallAt = phaseClaim, now
}

// onClaim reads the slot again unless the claim is known to have succeeded: after
// a lost answer the slot shows whether the write took effect, and after a lost
// race it names the winner.
func (s *Slots) onClaim(now time.Time, r Result) {
	if r.Outcome == OutcomeOK {
		s.setHeld(now)
		return
	}
	s.phase, s.nextCallAt = phaseRead, now
	if r.Outcome == OutcomeTaken {
		s.clearContacts()
		return
	}
	s.retry(now)
}

// clearContacts makes the next read start with the current slot, which this
// process has just failed to claim or lost.
func (s *Slots) clearContacts() { s.contacts = [SlotsPerZone]netip.AddrPort{} }

func (s *Slots) setHeld(now time.Time) {
	s.holdsSlot, s.phase, s.failures = true, phaseHeld, 0
	s.nextCallAt = now.Add(s.jitter(s.cfg.Lease / renewDivisor))
}

func (s *Slots) onRenew(now time.Time, r Result) {
	switch r.Outcome {
	case OutcomeOK:
		s.leaseEnd = s.sentAt.Add(s.cfg.Lease)
		s.setHeld(now)
	case OutcomeAbsent:
		s.holdsSlot, s.phase = false, phaseRead
		s.clearContacts()
		s.nextCallAt = now.Add(s.jitter(firstBackoff))
	default:
		s.retry(now)
	}
}

func (s *Slots) retry(now time.Time) { s.nextCallAt = now.Add(s.backoff()) }

// backoff doubles the wait after each consecutive failure and randomizes it, so
// that processes that start together don't retry together.
func (s *Slots) backoff() time.Duration {
	limit := min(firstBackoff<<min(s.failures, 16), maxBackoff)
	s.failures++
	return limit/2 + time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *Slots) jitter(d time.Duration) time.Duration {
	q := int64(d) / jitterDivisor
	return d - time.Duration(q) + time.Duration(s.rng.Int64N(2*q))
}

// SlotCandidate reports whether this balancer should look for empty contact slots
// of its zone. The SlotsPerZone balancers with the highest rendezvous scores do:
// while a slot is empty, at least one of them holds none and finds it.
func (m *Machine) SlotCandidate() bool {
	t := ranking{subject: key(m.members.zones[m.zone].hash)}
	t.add(m.members.live[m.zone], SlotsPerZone)
	return contains(t.list(), m.selfKey)
}
