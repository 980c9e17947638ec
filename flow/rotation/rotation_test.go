package rotation

import (
	"net/netip"
	"testing"
	"time"
)

func member(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7700)
}

func newRotation(now time.Time, members int) *Rotation {
	r := New(now, Config{Interval: 10 * time.Second, Rate: 50, Burst: 20})
	for n := range members {
		r.Add(member(n))
	}
	return r
}

// contacts returns how often each process is contacted in a time, in steps of 10 ms.
func contacts(r *Rotation, from time.Time, d time.Duration) map[netip.AddrPort]int {
	counts := map[netip.AddrPort]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		for p, ok := r.Next(now); ok; p, ok = r.Next(now) {
			counts[p]++
		}
	}
	return counts
}

func TestEveryMemberIsContactedOncePerInterval(t *testing.T) {
	for _, members := range []int{1, 7, 500, 5000} {
		now := time.Unix(1000, 0)
		r := newRotation(now, members)
		counts := contacts(r, now, 10*time.Second+10*time.Millisecond)
		if len(counts) != members {
			t.Errorf("%d of %d members contacted", len(counts), members)
		}
		for p, n := range counts {
			if n > 2 {
				t.Errorf("%d members: %v contacted %d times", members, p, n)
			}
		}
	}
}

// Guards against a burst to all members at once, which fills a small VM's link.
func TestRequestedContactsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(now, Config{Interval: time.Hour, Rate: 50, Burst: 20})
	for n := range 500 {
		r.Request(member(n))
		r.Request(member(n))
	}
	if n := len(contacts(r, now, 10*time.Millisecond)); n != 20 {
		t.Errorf("%d contacts at once, want 20", n)
	}
	if n := len(contacts(r, now.Add(10*time.Millisecond), time.Second)); n < 49 || n > 51 {
		t.Errorf("%d contacts in the next second, want 50", n)
	}
	all := contacts(r, now.Add(time.Second), time.Minute)
	for p, n := range all {
		if n != 1 {
			t.Errorf("%v contacted %d times for one request", p, n)
		}
	}
}

// Guards against members that are never contacted after others were removed.
func TestMembersAreContactedAfterRemovals(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRotation(now, 100)
	contacts(r, now, 3*time.Second)
	now = now.Add(3 * time.Second)
	for n := range 60 {
		r.Remove(member(n))
	}
	if r.Len() != 40 {
		t.Fatalf("%d members, want 40", r.Len())
	}
	counts := contacts(r, now, 20*time.Second)
	for n := range 100 {
		if got := counts[member(n)]; n < 60 && got > 0 || n >= 60 && got == 0 {
			t.Errorf("member %d contacted %d times", n, got)
		}
	}
}

// Guards against a burst after a pause of the process.
func TestMissedTurnsAreNotMadeUpFor(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRotation(now, 100)
	counts := contacts(r, now.Add(time.Hour), 10*time.Millisecond)
	total := 0
	for _, n := range counts {
		total += n
	}
	if total > 6 {
		t.Errorf("%d contacts after a pause, want those of half a second", total)
	}
}

// Guards against all processes contacting the same member at the same time.
func TestProcessesContactMembersInDifferentOrders(t *testing.T) {
	now := time.Unix(1000, 0)
	firsts := map[netip.AddrPort]int{}
	for range 50 {
		p, _ := newRotation(now, 200).Next(now)
		firsts[p]++
	}
	for p, n := range firsts {
		if n > 10 {
			t.Errorf("%d of 50 processes contact %v first", n, p)
		}
	}
}
