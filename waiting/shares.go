package waiting

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// defaultWeight is the weight of a share whose given weight is 0, negative, NaN or
	// infinite.
	defaultWeight = 1
	// minWeight and maxWeight bound weights, and maxCharge the time charged at once: a virtual
	// time of 24 h at the lowest weight is exact to 15 µs, so requests of milliseconds still
	// count after it.
	minWeight = 1e-6
	maxWeight = 1e6
	maxCharge = 24 * time.Hour

	// maxPriority is the lowest priority that has a weight of its own.
	maxPriority = 7

	// DefaultMaxShares is the number of shares held if none is given.
	DefaultMaxShares = 1024
	// dropDivisor is the divisor of the limit that gives the number of shares dropped at once
	// when the limit is reached. To drop one at a time would need a pass over all shares for
	// each new one, for example while every request comes from another caller.
	dropDivisor = 8
)

// PriorityWeight returns the weight of a priority class: each step of priority halves the
// weight, from priority 0 to 7. A priority above 7 counts as 7. So the lowest class is never
// starved.
func PriorityWeight(priority uint8) float64 {
	return math.Ldexp(1, -int(min(priority, maxPriority)))
}

// validWeight returns the weight used for a given one.
func validWeight(weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return defaultWeight
	}
	return min(max(weight, minWeight), maxWeight)
}

// Shares divides a server's time between shares in proportion to their weights, by
// start-time fair queueing: each share has a virtual time, which is the server time that it
// was charged divided by its weight, and of the shares with waiting entries the one with the
// lowest virtual time is served next. A share that had nothing to serve for a time gets no
// credit for it, and a share that needs less than its part is served before the others.
type Shares[K comparable] struct {
	limit   int
	shares  map[K]*shareState[K]
	current float64 // virtual time of the share whose request started last, seconds
	created uint64  // shares created so far
	dropped uint64
}

// shareState is the state of one share.
type shareState[K comparable] struct {
	key     K
	virtual float64 // virtual time, seconds
	weight  float64
	number  uint64 // order of creation
}

// NewShares returns Shares that hold the state of at most limit shares; 0 or less means
// DefaultMaxShares. When a share more is needed, the eighth with the lowest virtual times is
// dropped, at least one: these lose least when they count as new ones from then on.
func NewShares[K comparable](limit int) *Shares[K] {
	if limit <= 0 {
		limit = DefaultMaxShares
	}
	return &Shares[K]{limit: limit, shares: make(map[K]*shareState[K])}
}

// Activate records that the first entry of a share begins to wait. Its virtual time becomes
// that of the share served last if it is lower, so a share cannot save up time while it has
// nothing to serve.
func (s *Shares[K]) Activate(share K, weight float64) { s.activate(share, weight) }

func (s *Shares[K]) activate(share K, weight float64) *shareState[K] {
	h := s.shares[share]
	if h == nil {
		if len(s.shares) >= s.limit {
			s.dropLowest()
		}
		s.created++
		h = &shareState[K]{key: share, number: s.created}
		s.shares[share] = h
	}
	h.virtual = max(h.virtual, s.current)
	h.weight = validWeight(weight)
	return h
}

// dropLowest drops the part of the shares with the lowest virtual times, of equal ones the
// oldest.
func (s *Shares[K]) dropLowest() {
	lowest := slices.SortedFunc(maps.Values(s.shares), func(a, b *shareState[K]) int {
		if a.virtual != b.virtual {
			return cmp.Compare(a.virtual, b.virtual)
		}
		return cmp.Compare(a.number, b.number)
	})
	for _, h := range lowest[:max(1, len(lowest)/dropDivisor)] {
		delete(s.shares, h.key)
		s.dropped++
	}
}

// Start charges a share the expected time d of a request that starts. A negative d counts as 0.
func (s *Shares[K]) Start(share K, weight float64, d time.Duration) {
	h := s.activate(share, weight)
	s.current = h.virtual
	h.charge(max(d, 0))
}

// Correct adds d, the difference between the time that a request took and the expected time
// charged at its start, to a share's virtual time. It has no effect on a share that is not
// held.
func (s *Shares[K]) Correct(share K, d time.Duration) {
	if h := s.shares[share]; h != nil {
		h.charge(d)
	}
}

func (h *shareState[K]) charge(d time.Duration) {
	h.virtual += min(max(d, -maxCharge), maxCharge).Seconds() / h.weight
}

// Less reports whether share a is served before share b: its virtual time is lower.
func (s *Shares[K]) Less(a, b K) bool { return s.virtual(a) < s.virtual(b) }

// virtual returns the virtual time of a share; one that is not held counts as new.
func (s *Shares[K]) virtual(share K) float64 {
	if h := s.shares[share]; h != nil {
		return h.virtual
	}
	return s.current
}

// Next returns the share of waiting that is served next: the one with the lowest virtual
// time, of equal ones the first. ok is false if waiting is empty.
func (s *Shares[K]) Next(waiting iter.Seq[K]) (next K, ok bool) {
	var lowest float64
	for share := range waiting {
		if v := s.virtual(share); !ok || v < lowest {
			next, lowest, ok = share, v, true
		}
	}
	return next, ok
}

// Forget drops the state of a share that has been idle for a time. If it comes back, it
// counts as new.
func (s *Shares[K]) Forget(share K) { delete(s.shares, share) }

// Len returns the number of shares held.
func (s *Shares[K]) Len() int { return len(s.shares) }

// Dropped returns the number of shares dropped because of the limit.
func (s *Shares[K]) Dropped() uint64 { return s.dropped }
