// Package rotation decides which members of a set a process contacts next, so that the
// rate of contacts is bounded however large the set is.
//
// A [Rotation] contacts all members in turn, at equal distances within an interval that
// the user adapts to the size of the set. Members that are requested are contacted
// before, as far as the rate allows. Different processes contact the members in
// different orders.
//
// A Rotation reads no clock and is not safe for concurrent use.
package rotation

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Config configures a Rotation.
type Config struct {
	Interval time.Duration // between two contacts of a member in turn
	Rate     float64       // highest number of requested contacts per second
	Burst    int           // requested contacts that may be made at once after a pause
	Random   *rand.Rand    // source of the order; nil: one with a random seed
}

// Rotation is a set of members and the order in which they are contacted.
type Rotation struct {
	cfg       Config
	members   []netip.AddrPort // in the order of their turns
	index     map[netip.AddrPort]int
	next      int       // index of the member whose turn is next
	turnAt    time.Time // when its turn is
	requested []netip.AddrPort
	waiting   map[netip.AddrPort]struct{} // the same as a set
	// tokensAt is the time at which a token bucket of size Burst, filled at Rate, would be
	// full.
	tokensAt time.Time
}

// New returns a Rotation without members.
func New(now time.Time, cfg Config) *Rotation {
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Rotation{cfg: cfg, index: make(map[netip.AddrPort]int), waiting: make(map[netip.AddrPort]struct{}), turnAt: now, tokensAt: now}
}

// Len returns the number of members.
func (r *Rotation) Len() int { return len(r.members) }

// Member returns the i-th member, from 0 to Len() - 1. The numbers change with Add and Remove.
func (r *Rotation) Member(i int) netip.AddrPort { return r.members[i] }

// SetInterval changes the interval between two contacts of a member.
func (r *Rotation) SetInterval(d time.Duration) { r.cfg.Interval = d }

// Add adds a member at a random place in the order.
func (r *Rotation) Add(member netip.AddrPort) {
	if _, known := r.index[member]; known {
		return
	}
	last := len(r.members)
	r.members = append(r.members, member)
	r.index[member] = last
	r.swap(r.cfg.Random.IntN(last+1), last)
}

// Remove removes a member. A contact that was requested for it is still made.
func (r *Rotation) Remove(member netip.AddrPort) {
	i, known := r.index[member]
	if !known {
		return
	}
	last := len(r.members) - 1
	r.swap(i, last)
	r.members = r.members[:last]
	delete(r.index, member)
}

func (r *Rotation) swap(i, j int) {
	r.members[i], r.members[j] = r.members[j], r.members[i]
	r.index[r.members[i]], r.index[r.members[j]] = i, j
}

// Request requests a contact, of a member or of another process, as soon as the rate
// allows.
func (r *Rotation) Request(process netip.AddrPort) {
	if _, waits := r.waiting[process]; waits {
		return
	}
	r.waiting[process] = struct{}{}
	r.requested = append(r.requested, process)
}

// Next returns a process whose contact is due. ok is false if none is.
func (r *Rotation) Next(now time.Time) (process netip.AddrPort, ok bool) {
	if len(r.requested) > 0 && !now.Before(r.requestDue()) {
		process = r.requested[0]
		r.requested = r.requested[1:]
		delete(r.waiting, process)
		r.charge(now)
		return process, true
	}
	if len(r.members) == 0 || now.Before(r.turnAt) {
		return netip.AddrPort{}, false
	}
	r.turnAt = r.following(now)
	r.next %= len(r.members)
	process = r.members[r.next]
	r.next++
	return process, true
}

// maxCatchUp is the time for which missed turns are made up for. After a longer pause of
// the process the contacts would come as a burst.
const maxCatchUp = 500 * time.Millisecond

// following returns the time of the turn after the one that is due at now.
func (r *Rotation) following(now time.Time) time.Time {
	earliest := now.Add(-maxCatchUp)
	if r.turnAt.Before(earliest) {
		r.turnAt = earliest
	}
	return r.turnAt.Add(r.cfg.Interval / time.Duration(len(r.members)))
}

// charge takes the token of one requested contact.
func (r *Rotation) charge(now time.Time) {
	if r.tokensAt.Before(now) {
		r.tokensAt = now
	}
	r.tokensAt = r.tokensAt.Add(r.perToken())
}

func (r *Rotation) perToken() time.Duration {
	return time.Duration(float64(time.Second) / r.cfg.Rate)
}

// requestDue returns when there is a token for a requested contact.
func (r *Rotation) requestDue() time.Time {
	return r.tokensAt.Add(-time.Duration(r.cfg.Burst-1) * r.perToken())
}

// RequestDue returns when the next requested contact is due; ok is false if none was
// requested.
func (r *Rotation) RequestDue() (at time.Time, ok bool) {
	return r.requestDue(), len(r.requested) > 0
}
