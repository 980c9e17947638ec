package admission

import (
	"math"
	"time"
)

const (
	slowFactor   = 2.0              // latency above slowFactor times the baseline counts as overload
	slowDecrease = 0.9              // factor of the limit on overload
	shedDecrease = 0.5              // factor of the limit when the backend server sheds or fails
	latencyGain  = 0.2              // weight of a new sample in the recent latency
	baseWindow   = 10 * time.Second // the baseline is the least latency of one to two windows
)

// limiter adapts the number of requests at work to what the backend server
// carries: additive increase, multiplicative decrease on latency and on
// explicit overload.
type limiter struct {
	max    int           // never above the entry's slots
	warmup time.Duration // length of the cold-start ramp
	since  time.Time     // when the ramp began
	cur    float64       // 1 ≤ cur ≤ max

	recent    time.Duration    // moving average of latency
	base      [2]time.Duration // least latency of the window before and of this one
	windowEnd time.Time
	cutAt     time.Time // time of the last decrease
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

// baseline is the least latency seen lately. It follows a backend server that
// got slower for good within two windows, so the limit recovers.
func (l *limiter) baseline() time.Duration {
	if l.base[0] == 0 {
		return l.base[1]
	}
	return min(l.base[0], l.base[1])
}

// observe takes the latency of an answered request into account. busy tells
// that the limit was in use: an unused limit must not grow.
func (l *limiter) observe(now time.Time, latency time.Duration, busy bool) {
	latency = max(latency, 1)
	if now.After(l.windowEnd) {
		l.base[0], l.base[1] = l.base[1], latency
		l.windowEnd = now.Add(baseWindow)
	}
	l.base[1] = min(l.base[1], latency)
	if l.recent == 0 {
		l.recent = latency
	}
	l.recent += time.Duration(latencyGain * float64(latency-l.recent))
	if float64(l.recent) > slowFactor*float64(l.baseline()) {
		l.decrease(now, slowDecrease)
		return
	}
	if busy {
		l.cur = math.Min(float64(l.max), l.cur+1/l.cur)
	}
}

// decrease lowers the limit, at most once per recent latency: answers to
// requests that were at work together tell of one overload, not of many.
func (l *limiter) decrease(now time.Time, factor float64) {
	if now.Sub(l.cutAt) < l.recent {
		return
	}
	l.cutAt = now
	l.cur = math.Max(1, l.cur*factor)
}
