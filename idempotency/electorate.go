package idempotency

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberList is what the membership layer knows of the processes that may be homes:
// the agents of a service, and, if they are fewer than three, other processes
// of the system beside them.
type MemberList struct {
	Live     []netip.AddrPort
	Departed []DepartedMember
	// Complete tells that Gone names each process that vanished within the
	// retention. Without it, a requester that has just started waits for the
	// length of the fence.
	Complete bool
}

// DepartedMember is a process that isn't live any more.
type DepartedMember struct {
	Addr netip.AddrPort
	Age  time.Duration // how long ago it vanished or left
	Left bool          // it left by a planned stop, and surely doesn't vote any more
}

// Electorate is the set of processes that one agent counts when it asks for
// votes: the live ones and those that are gone but may have voted, or, if they
// vanished, may still vote beyond a partition.
type Electorate struct {
	cfg       Config
	members   map[netip.AddrPort]*member
	list      []*member
	live      int
	confirmed time.Time
	readyAt   time.Time // from then on no process is missing that voted within Keep
}

type member struct {
	addr  netip.AddrPort
	seed  uint64
	gone  time.Time // zero while live
	left  bool
	fresh bool // seen in the update at work
}

// NewElectorate returns an empty electorate of an agent that starts at now.
func NewElectorate(now time.Time, cfg Config) *Electorate {
	e := &Electorate{
		cfg:     cfg.withDefaults(),
		members: make(map[netip.AddrPort]*member),
	}
	e.readyAt = now.Add(cfg.Fence())
	return e
}

// Update takes in the roster as known at now.
func (e *Electorate) Update(now time.Time, r MemberList) {
	for _, m := range e.list {
		m.fresh = false
	}
	for _, addr := range r.Live {
		m := e.member(addr)
		m.gone, m.left, m.fresh = time.Time{}, false, true
	}
	for _, g := range r.Departed {
		m := e.member(g.Addr)
		if m.fresh {
			continue
		}
		if m.gone.IsZero() {
			m.gone = now.Add(-g.Age)
		}
		m.left = g.Left
	}
	e.live = 0
	for _, m := range e.list {
		if m.fresh {
			e.live++
		} else if m.gone.IsZero() {
			m.gone = now
		}
	}
	if r.Complete {
		e.readyAt = now
	}
	e.drop(now)
}

// Confirm tells that the roster taken in last was current at the time at. The
// caller must know that from an exchange that it began at that time: a message
// that lay in a socket while the process was frozen proves nothing of when it
// is read.
func (e *Electorate) Confirm(at time.Time) {
	if at.After(e.confirmed) {
		e.confirmed = at
	}
}

func (e *Electorate) member(addr netip.AddrPort) *member {
	m := e.members[addr]
	if m == nil {
		m = &member{addr: addr, seed: seed(addr)}
		e.members[addr] = m
		e.list = append(e.list, m)
	}
	return m
}

// drop forgets the processes that can't have voted for long. It forgets none
// while half of the processes or more are gone: the agent may then be on the
// smaller side of a partition, and the other side may still vote.
func (e *Electorate) drop(now time.Time) {
	kept := e.list[:0]
	mayShrink := 2*e.live > len(e.list)
	for _, m := range e.list {
		if mayShrink && e.expired(now, m) {
			delete(e.members, m.addr)
			continue
		}
		kept = append(kept, m)
	}
	clear(e.list[len(kept):])
	e.list = kept
}

func (e *Electorate) expired(now time.Time, m *member) bool {
	if m.gone.IsZero() {
		return false
	}
	keep := e.cfg.Retention
	if m.left {
		keep = e.cfg.Fence()
	}
	return now.Sub(m.gone) > keep
}

// wait is how long the electorate can't be relied on: zero if it can.
func (e *Electorate) wait(now time.Time) time.Duration {
	if now.Sub(e.confirmed) > e.cfg.Freshness || len(e.list) == 0 {
		return e.cfg.Freshness
	}
	return max(0, e.readyAt.Sub(now))
}

// voters returns the voters of key, best first.
func (e *Electorate) voters(key Key) []netip.AddrPort {
	var score [maxVoters]uint64
	var best [maxVoters]*member
	n := 0
	k := binary.BigEndian.Uint64(key[:])
	for _, m := range e.list {
		s := mix(k ^ m.seed)
		i := n
		for ; i > 0 && score[i-1] < s; i-- {
			if i < e.cfg.Voters {
				score[i], best[i] = score[i-1], best[i-1]
			}
		}
		if i < e.cfg.Voters {
			score[i], best[i] = s, m
			n = min(n+1, e.cfg.Voters)
		}
	}
	addrs := make([]netip.AddrPort, n)
	for i := range addrs {
		addrs[i] = best[i].addr
	}
	return addrs
}

// quorum is the number of votes out of n that no two claims can both have.
func quorum(n int) int { return n/2 + 1 }

func seed(addr netip.AddrPort) uint64 {
	b, _ := addr.MarshalBinary()
	return xxhash.Sum64(b)
}

// mix is the finalizer of splitmix64: each bit of x moves half of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
