package admission

import (
	"math"
	"time"
)

// overloadDecrease is the factor of the limit when the backend server sheds,
// fails or doesn't answer in time.
const overloadDecrease = 0.5

// limiter adapts the number of requests at work to what the backend server
// carries: additive increase on answers, multiplicative decrease on explicit
// signs of overload.
type limiter struct {
	max    int           // never above the entry's slots
	warmup time.Duration // length of the cold-start ramp
	since  time.Time     // when the ramp began
	cur    float64       // 1 ≤ cur ≤ max
	cutAt  time.Time     // time of the last decrease
}

// limit is the number of requests that may be at work at now.
func (l *limiter) limit(now time.Time) int {
	n := int(l.cur)
	if l.warmup > 0 {
		ramp := 1 + int(float64(l.max)*now.Sub(l.since).Seconds()/l.warmup.Seconds())
		n = min(n, ramp)
	}
	return max(1, min(n, l.max))
}

// increase takes an answer into account: the limit grows by one with each
// round of answers at the full limit.
func (l *limiter) increase() {
	l.cur = math.Min(float64(l.max), l.cur+1/l.cur)
}

// decrease lowers the limit for an answer to a request that started at
// started. Requests that were at work together tell of one overload, not of
// many: an answer to one from before the last decrease lowers nothing.
func (l *limiter) decrease(now, started time.Time) {
	if started.Before(l.cutAt) {
		return
	}
	l.cutAt = now
	l.cur = math.Max(1, l.cur*overloadDecrease)
}
