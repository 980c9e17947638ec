package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// slotStore simulates the operations of the platform's store that Slots uses.
type slotStore struct {
	now    time.Time
	values map[string]slotValue
	leases map[uint64]time.Time
	next   uint64
	calls  map[Op]int
}

type slotValue struct {
	value string
	lease uint64
}

func newSlotStore(now time.Time) *slotStore {
	return &slotStore{now: now, values: map[string]slotValue{}, leases: map[uint64]time.Time{}, calls: map[Op]int{}}
}

func (s *slotStore) alive(lease uint64) bool { return s.leases[lease].After(s.now) }

// holder returns the value at k unless its lease has lapsed.
func (s *slotStore) holder(k string) (string, bool) {
	v, ok := s.values[k]
	return v.value, ok && s.alive(v.lease)
}

func (s *slotStore) do(c Call) Result {
	s.calls[c.Op]++
	r := Result{ID: c.ID, Outcome: OutcomeOK}
	switch c.Op {
	case OpGet:
		v, ok := s.holder(c.Key)
		if r.Value = v; !ok {
			r.Outcome = OutcomeAbsent
		}
	case OpGrant:
		s.next++
		s.leases[s.next] = s.now.Add(c.TTL)
		r.Lease = s.next
	case OpClaim:
		if _, ok := s.holder(c.Key); ok {
			r.Outcome = OutcomeTaken
		} else {
			s.values[c.Key] = slotValue{c.Value, c.Lease}
		}
	case OpRenew:
		if !s.alive(c.Lease) {
			r.Outcome = OutcomeAbsent
		} else {
			s.leases[c.Lease] = s.now.Add(c.TTL)
		}
	}
	return r
}

func (s *slotStore) held(zone string) int {
	n := 0
	for i := range SlotsPerZone {
		if _, ok := s.holder(SlotKey(zone, i)); ok {
			n++
		}
	}
	return n
}

type slotFleet struct {
	store   *slotStore
	list    []*Slots
	stopped map[int]bool // paused or failed
}

func newSlotFleet(n int) *slotFleet {
	f := &slotFleet{store: newSlotStore(time.Unix(1000, 0)), stopped: map[int]bool{}}
	for i := range n {
		f.list = append(f.list, NewSlots(f.store.now, SlotsConfig{
			Zone: "a", Self: lab.AddrOf(RoleBalancer, i), Incarnation: 1, ClaimsSlots: true, Seed: uint64(i),
			Candidate: func() bool { return f.candidate(i) },
		}))
	}
	return f
}

// candidate ranks the running processes, as SlotCandidate does.
func (f *slotFleet) candidate(i int) bool {
	better := 0
	for j := range f.list {
		if !f.stopped[j] && Score(1, j+1) > Score(1, i+1) {
			better++
		}
	}
	return better < SlotsPerZone
}

func (f *slotFleet) run(d time.Duration, result func(Call) Result) {
	for end := f.store.now.Add(d); f.store.now.Before(end); f.store.now = f.store.now.Add(250 * time.Millisecond) {
		for i, s := range f.list {
			if f.stopped[i] {
				continue
			}
			if c, ok := s.Next(f.store.now); ok {
				s.Done(f.store.now, result(c))
			}
		}
	}
}

func TestSlotsFillAndCallsFollowZones(t *testing.T) {
	rates := map[int]int{}
	for _, n := range []int{4, 40, 400} {
		f := newSlotFleet(n)
		f.run(2*time.Minute, f.store.do)
		if got := f.store.held("a"); got != SlotsPerZone {
			t.Errorf("%d of %d slots are held by %d balancers", got, SlotsPerZone, n)
		}
		f.store.calls = map[Op]int{}
		f.run(10*time.Minute, f.store.do)
		for _, k := range f.store.calls {
			rates[n] += k
		}
	}
	t.Logf("calls in 10 minutes by balancers of one zone: %v", rates)
	if rates[400] > rates[4]*3/2 {
		t.Errorf("calls grow with the fleet: %v", rates)
	}
}

// Guards against slots that stay empty after faults: holders fail, pause or lose
// answers, the store has an outage, and claims take effect although their answers
// were lost. A process must not wait for a lost answer forever, nor take a lapsed
// lease as valid.
func TestSlotsRecover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSlotFleet(rapid.IntRange(4, 12).Draw(rt, "balancers"))
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			outcome := rapid.SampledFrom([]Outcome{OutcomeOK, OutcomeRefused, OutcomeUnknown}).Draw(rt, "outcome")
			effect := rapid.Bool().Draw(rt, "effect")
			i := rapid.IntRange(0, len(f.list)-1).Draw(rt, "process")
			f.stopped[i] = !f.stopped[i] && len(f.stopped) < len(f.list)-SlotsPerZone
			seconds := rapid.IntRange(1, 90).Draw(rt, "seconds")
			f.run(time.Duration(seconds)*time.Second, func(c Call) Result {
				if outcome == OutcomeOK || effect {
					r := f.store.do(c)
					if outcome == OutcomeOK {
						return r
					}
				}
				return Result{ID: c.ID, Outcome: outcome}
			})
		}
		clear(f.stopped)
		f.run(5*time.Minute, f.store.do)
		if got := f.store.held("a"); got != SlotsPerZone {
			rt.Fatalf("%d slots are held 5 minutes after the last fault", got)
		}
	})
}

// Guards against a store above its 2,000 reads per second, which then also refuses
// the operators' edits: 105,000 processes start within a minute while all slots are
// empty, and must not read again at once.
func TestSimultaneousStartStaysWithinReadLimit(t *testing.T) {
	const zones, balancers, agents, limit = 18, 11_000, 94_000, 2_000
	start := time.Unix(1000, 0)
	store := newSlotStore(start)
	var list []*Slots
	var begin []time.Duration
	for i := range balancers + agents {
		role := RoleAgent
		if i < balancers {
			role = RoleBalancer
		}
		at := time.Duration(Mix(uint64(i))%60_000) * time.Millisecond
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		list = append(list, NewSlots(start.Add(at), SlotsConfig{
			Zone: lab.ZoneName(i % zones), Self: self, Incarnation: 1, ClaimsSlots: role == RoleBalancer, Seed: uint64(i),
		}))
		begin = append(begin, at)
	}
	reads, peak, writes, second, found := 0, 0, 0, 0, time.Duration(0)
	for step := time.Duration(0); step < 150*time.Second; step += 100 * time.Millisecond {
		store.now = start.Add(step)
		if int(step.Seconds()) != second {
			second = int(step.Seconds())
			if testing.Verbose() && reads > 1850 {
				t.Logf("second %d: %d reads", second-1, reads)
			}
			peak, reads = max(peak, reads), 0
		}
		for i, s := range list {
			if step < begin[i] {
				continue
			}
			c, ok := s.Next(store.now)
			if !ok {
				continue
			}
			if c.Op == OpGet {
				reads++
			} else {
				writes++
			}
			before := len(s.Contacts())
			if reads > limit {
				s.Done(store.now, Result{ID: c.ID, Outcome: OutcomeRefused})
			} else {
				s.Done(store.now, store.do(c))
			}
			if before == 0 && len(s.Contacts()) > 0 {
				found = max(found, step-begin[i])
			}
		}
	}
	without := 0
	for _, s := range list {
		if _, held := s.HeldSlot(store.now); !held && len(s.Contacts()) == 0 {
			without++
		}
	}
	t.Logf("%d processes: at most %d reads/s, %d writes in all, slowest found a contact after %v, %d without", len(list), peak, writes, found, without)
	if peak > limit {
		t.Errorf("%d reads in one second, want at most %d", peak, limit)
	}
	if without > 0 {
		t.Errorf("%d processes found no contact", without)
	}
}

// Guards against a process that waits half a minute for a contact: three balancers
// start together and choose the same slot, and the two that lost the race read the
// next one half a minute later. The process reads two empty slots, with a longer
// wait after each.
func TestSlotsFillSoon(t *testing.T) {
	f := newSlotFleet(3)
	f.run(8*time.Second, f.store.do)
	if got := f.store.held("a"); got != SlotsPerZone {
		t.Errorf("%d of %d slots are held after 8 s", got, SlotsPerZone)
	}
}
