package placement

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Load holds the occupancies that agents last reported to a balancer. It is a
// set-associative table of fixed size with eight words per set, one cache line.
// When a ninth agent maps to a set, its report replaces the oldest one, whose
// agent counts as unknown until its next report. If two reports race for a free
// word, one of them is lost. All methods are safe for concurrent use, lock-free
// and allocate nothing.
//
// A word holds a 32-bit tag of the address, the time of the report in units
// of loadTick (24 bits) and the occupancy (8 bits).
type Load struct {
	words             []atomic.Uint64
	mask              uint64
	maxAge            uint64 // ticks
	confidencePerTick int64  // 2^32 / (maxAge + 1), lost per tick; avoids a division per lookup
	unknown           Occupancy
}

// LoadOptions configures a Load. A zero field means its default.
type LoadOptions struct {
	// MaxAge is the age above which a report is ignored; default
	// DefaultMaxAge.
	MaxAge time.Duration
	// Unknown is the occupancy assumed for an agent without a recent report;
	// default DefaultUnknown.
	Unknown Occupancy
}

// Defaults of LoadOptions. DefaultUnknown is higher than the occupancy of an
// idle agent and lower than that of a busy one.
const (
	DefaultMaxAge            = 3 * time.Second
	DefaultUnknown Occupancy = 40
)

const (
	loadTick          = 10 * time.Millisecond
	loadTimeBits      = 24
	loadTimeMask      = 1<<loadTimeBits - 1
	loadTagMask       = 0xffffffff << (64 - 32)
	loadWordsPerAgent = 2 // keeps nearly all sets from filling up
	loadWays          = 8 // words per set
)

// NewLoad returns a Load for about the given number of agents. It takes 16 to
// 32 bytes per agent.
func NewLoad(agents int, o LoadOptions) *Load {
	if o.MaxAge == 0 {
		o.MaxAge = DefaultMaxAge
	}
	if o.Unknown == 0 {
		o.Unknown = DefaultUnknown
	}
	size := 64
	for size < agents*loadWordsPerAgent {
		size *= 2
	}
	maxAge := uint64(o.MaxAge / loadTick)
	return &Load{
		words:             make([]atomic.Uint64, size),
		mask:              uint64(size - 1),
		maxAge:            maxAge,
		confidencePerTick: int64(1 << 32 / (maxAge + 1)),
		unknown:           o.Unknown,
	}
}

// Report records the occupancy o that agent reported at now. An address that is
// not IPv4 is ignored.
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
		slot := l.slot(h, way)
		w := slot.Load()
		if w == 0 {
			slot.CompareAndSwap(0, word)
			return
		}
		if (w^h)&loadTagMask == 0 {
			slot.Store(word)
			return
		}
		if age := (value>>8 - w>>8) & loadTimeMask; oldest == nil || age > oldestAge {
			oldest, oldestAge = slot, age
		}
	}
	oldest.Store(word)
}

// slot returns the way-th word of the set of the address hash h. Words are
// never cleared, so a lookup can stop at the first empty one.
func (l *Load) slot(h, way uint64) *atomic.Uint64 {
	first := h & l.mask
	return &l.words[first&^(loadWays-1)|(first+way)%loadWays]
}

// Get returns the occupancy that agent last reported and the age of the report.
// ok is false if the table holds no report of the agent.
func (l *Load) Get(agent netip.AddrPort, now time.Time) (o Occupancy, age time.Duration, ok bool) {
	p, ok := pack(agent)
	if !ok {
		return 0, 0, false
	}
	o, passed, ok := l.get(p, ticks(now))
	return o, time.Duration(passed) * loadTick, ok
}

// fullConfidence is the confidence in a report of age 0.
const fullConfidence = 1 << 32

// estimate returns the estimated occupancy of an agent and the confidence in
// it, from fullConfidence down to 0. The confidence falls linearly with the age
// of the report, and the occupancy moves towards the unknown value with it. Full
// does not age until the report expires: otherwise a draining agent would look
// merely busy and be chosen again.
func (l *Load) estimate(packed, now uint64) (o Occupancy, confidence int64) {
	o, age, ok := l.get(packed, now)
	if !ok || age > l.maxAge {
		return l.unknown, 0
	}
	confidence = fullConfidence - int64(age)*l.confidencePerTick
	if o == Full {
		return Full, confidence
	}
	drift := (int64(o) - int64(l.unknown)) * confidence / fullConfidence
	return Occupancy(int64(l.unknown) + drift), confidence
}

func (l *Load) get(packed, now uint64) (o Occupancy, age uint64, ok bool) {
	h := mix(packed)
	for way := range uint64(loadWays) {
		w := l.slot(h, way).Load()
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
