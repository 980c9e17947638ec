package placement

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Load holds what a balancer believes about the occupancy of agents. It is a
// table of fixed size in sets of eight words, one cache line each: when a ninth
// agent falls on a set, it takes the place of the report that is oldest, whose
// agent counts as unknown until its next report. Of two reports that race for
// an empty word one is lost. All methods are lock-free and allocate nothing.
//
// One word holds a 32-bit tag of the address, the time of the report in units
// of loadTick (24 bits) and the occupancy (8 bits).
type Load struct {
	words   []atomic.Uint64
	mask    uint64
	maxAge  uint64 // ticks
	perTick int64  // 2^32 / (maxAge + 1), to age a belief without a division
	unknown Occupancy
}

// LoadOptions tunes a Load. A zero field means the default beside it.
type LoadOptions struct {
	// MaxAge is the age from which a report counts as unknown; default
	// DefaultMaxAge.
	MaxAge time.Duration
	// Unknown is assumed of an agent that nothing recent is known about;
	// default DefaultUnknown.
	Unknown Occupancy
}

// Defaults of LoadOptions. DefaultUnknown loses to an idle agent and wins over
// a busy one.
const (
	DefaultMaxAge            = 3 * time.Second
	DefaultUnknown Occupancy = 40
)

const (
	loadTick     = 10 * time.Millisecond
	loadTimeBits = 24
	loadTimeMask = 1<<loadTimeBits - 1
	loadTagMask  = 0xffffffff << (64 - 32)
	loadPerAgent = 2 // words per agent, so that hardly any set is full
	loadWays     = 8 // words per set
)

// NewLoad returns a table for about agents agents, 16 to 32 bytes each.
func NewLoad(agents int, o LoadOptions) *Load {
	if o.MaxAge == 0 {
		o.MaxAge = DefaultMaxAge
	}
	if o.Unknown == 0 {
		o.Unknown = DefaultUnknown
	}
	size := 64
	for size < agents*loadPerAgent {
		size *= 2
	}
	maxAge := uint64(o.MaxAge / loadTick)
	return &Load{
		words:   make([]atomic.Uint64, size),
		mask:    uint64(size - 1),
		maxAge:  maxAge,
		perTick: int64(1 << 32 / (maxAge + 1)),
		unknown: o.Unknown,
	}
}

// Report notes the occupancy that a datagram from agent carried.
func (l *Load) Report(agent netip.AddrPort, o Occupancy, now time.Time) {
	p, ok := pack(agent)
	if !ok {
		return
	}
	l.report(mix(p), ticks(now)<<8|uint64(o))
}

// report stores the time and occupancy in value under the address hash h.
func (l *Load) report(h, value uint64) {
	word := h&loadTagMask | value
	var oldest *atomic.Uint64
	oldestAge := uint64(0)
	for way := range uint64(loadWays) {
		place := l.word(h, way)
		w := place.Load()
		if w == 0 {
			place.CompareAndSwap(0, word)
			return
		}
		if (w^h)&loadTagMask == 0 {
			place.Store(word)
			return
		}
		if age := (value>>8 - w>>8) & loadTimeMask; oldest == nil || age > oldestAge {
			oldest, oldestAge = place, age
		}
	}
	oldest.Store(word)
}

// word returns the way-th word to look at for the address hash h. Words are
// never emptied, so a search ends at an empty one.
func (l *Load) word(h, way uint64) *atomic.Uint64 {
	first := h & l.mask
	return &l.words[first&^(loadWays-1)|(first+way)%loadWays]
}

// Get returns the last reported occupancy and its age. ok is false when nothing
// is known.
func (l *Load) Get(agent netip.AddrPort, now time.Time) (o Occupancy, age time.Duration, ok bool) {
	p, ok := pack(agent)
	if !ok {
		return 0, 0, false
	}
	o, passed, ok := l.get(p, ticks(now))
	return o, time.Duration(passed) * loadTick, ok
}

// worthUnit is the worth of a report that has just come in.
const worthUnit = 1 << 32

// believed returns the occupancy to act on and the worth of the report behind
// it, worthUnit to 0. A report loses its worth in a straight line, and the
// occupancy moves to unknown with it. Full stays: a draining agent that became
// merely busy in a balancer's eyes would be named again.
func (l *Load) believed(packed, now uint64) (o Occupancy, worth int64) {
	o, age, ok := l.get(packed, now)
	if !ok || age > l.maxAge {
		return l.unknown, 0
	}
	worth = worthUnit - int64(age)*l.perTick
	if o == Full {
		return Full, worth
	}
	drift := (int64(o) - int64(l.unknown)) * worth / worthUnit
	return Occupancy(int64(l.unknown) + drift), worth
}

func (l *Load) get(packed, now uint64) (o Occupancy, age uint64, ok bool) {
	h := mix(packed)
	for way := range uint64(loadWays) {
		w := l.word(h, way).Load()
		if w == 0 {
			break
		}
		if (w^h)&loadTagMask == 0 {
			return Occupancy(w), (now - w>>8) & loadTimeMask, true
		}
	}
	return 0, 0, false
}

func ticks(now time.Time) uint64 {
	return uint64(now.UnixMilli()/loadTick.Milliseconds()) & loadTimeMask
}
