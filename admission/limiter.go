package admission

import (
	"math"
	"time"
)

// overloadDecrease is the factor of the limit when the backend server fails
// or doesn't answer in time.
const overloadDecrease = 0.5

// maxHold bounds the time without an increase after a 503.
const maxHold = 10 * time.Second

// limiter adapts the number of requests at work to what the backend server
// carries: additive increase on answers, multiplicative decrease on explicit
// signs of overload.
type limiter struct {
	max    int           // never above the entry's slots
	warmup time.Duration // length of the cold-start ramp
	since  time.Time     // when the ramp began
	cur    float64       // 1 ≤ cur ≤ max
	cutAt  time.Time     // time of the last decrease

	climb climber

	holdUntil time.Time     // no increase before
	hold      time.Duration // length of the last hold
}

// limit is the number of requests that may be at work at now.
func (l *limiter) limit(now time.Time) int {
	n := min(int(l.cur), l.climb.limit())
	if l.warmup > 0 {
		ramp := 1 + int(float64(l.max)*now.Sub(l.since).Seconds()/l.warmup.Seconds())
		n = min(n, ramp)
	}
	return max(1, min(n, l.max))
}

// increase takes an answer into account: the limit grows by one with each
// round of answers at the full limit.
func (l *limiter) increase(now time.Time) {
	if now.Before(l.holdUntil) {
		return
	}
	l.cur = math.Min(float64(l.max), l.cur+1/l.cur)
}

// shed takes into account that the backend server refused one request more
// than the others that are at work: so many it carries. The limit isn't raised
// for a while, which doubles each time, so that a steady bound of the backend
// server is seldom tried again.
func (l *limiter) shed(now time.Time, others int, d time.Duration) {
	l.cur = math.Max(1, math.Min(l.cur, float64(others)))
	if now.Before(l.holdUntil) {
		return
	}
	if now.Sub(l.holdUntil) > maxHold {
		l.hold = 0
	}
	l.hold = min(max(d, 2*l.hold), maxHold)
	l.holdUntil = now.Add(l.hold)
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
