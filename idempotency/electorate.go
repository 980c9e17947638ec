package idempotency

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VoterList holds the processes that may be voters, as known to the membership
// layer: the agents of a service and, if there are fewer than three, other
// processes of the system as well.
type VoterList struct {
	Live     []netip.AddrPort
	Departed []DepartedVoter
	// Complete means that Departed includes every process that failed within the
	// retention. Without it, a recently started requester waits for the length
	// of the fence.
	Complete bool
}

// DepartedVoter is a process of the voter list that has failed or left.
type DepartedVoter struct {
	Addr netip.AddrPort
	Age  time.Duration // time since it failed or left
	Left bool          // it left by a planned stop, and is known not to vote any more
}

// Electorate is the set of processes that one agent counts when it asks for votes:
// the live ones, and departed ones that may have voted. Departed processes that
// didn't leave by a planned stop may still vote on the other side of a partition.
type Electorate struct {
	cfg         Config
	members     map[netip.AddrPort]*member
	list        []*member
	live        int
	confirmedAt time.Time
	readyAt     time.Time // from then on every process that voted within VoteRetention is known
}

type member struct {
	addr       netip.AddrPort
	seed       uint64
	departedAt time.Time // zero while live
	left       bool
	listed     bool // live in the current update
}

// NewElectorate returns the empty electorate of an agent that starts at now.
func NewElectorate(now time.Time, cfg Config) *Electorate {
	e := &Electorate{
		cfg:     cfg.withDefaults(),
		members: make(map[netip.AddrPort]*member),
	}
	e.readyAt = now.Add(cfg.Fence())
	return e
}

// Update applies the voter list as known at now.
func (e *Electorate) Update(now time.Time, list VoterList) {
	for _, m := range e.list {
		m.listed = false
	}
	for _, addr := range list.Live {
		m := e.member(addr)
		m.departedAt, m.left, m.listed = time.Time{}, false, true
	}
	for _, g := range list.Departed {
		m := e.member(g.Addr)
		if m.listed {
			continue
		}
		if m.departedAt.IsZero() {
			m.departedAt = now.Add(-g.Age)
		}
		m.left = g.Left
	}
	e.live = 0
	for _, m := range e.list {
		if m.listed {
			e.live++
		} else if m.departedAt.IsZero() {
			m.departedAt = now
		}
	}
	if list.Complete {
		e.readyAt = now
	}
	e.dropExpired(now)
}

// Confirm records that the last voter list was current at the time at. The caller
// must know this from an exchange that it began at that time: if the process was
// paused, a message may have waited in its socket, so the time at which it is read
// proves nothing.
func (e *Electorate) Confirm(at time.Time) {
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
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

// dropExpired removes processes that departed so long ago that their votes are
// taken to have expired: longer than Config.Retention ago, or than Config.Fence
// if they left by a planned stop. It removes none while half of the processes or
// more have departed: the agent may then be on the smaller side of a partition,
// and the other side may still vote.
func (e *Electorate) dropExpired(now time.Time) {
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
	if m.departedAt.IsZero() {
		return false
	}
	keep := e.cfg.Retention
	if m.left {
		keep = e.cfg.Fence()
	}
	return now.Sub(m.departedAt) > keep
}

// waitTime returns how long the electorate can't be used yet, zero if it can.
func (e *Electorate) waitTime(now time.Time) time.Duration {
	if now.Sub(e.confirmedAt) > e.cfg.Freshness || len(e.list) == 0 {
		return e.cfg.Freshness
	}
	return max(0, e.readyAt.Sub(now))
}

// voters returns the voters of key, highest score first.
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

// quorum is the number of votes out of n that no two claims can both get.
func quorum(n int) int { return n/2 + 1 }

func seed(addr netip.AddrPort) uint64 {
	b, _ := addr.MarshalBinary()
	return xxhash.Sum64(b)
}

// mix is the finalizer of splitmix64: each bit of x affects half of the bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
