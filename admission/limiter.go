package admission

import (
	"math"
	"time"
)

// overloadDecrease is the factor by which the limit is lowered when the backend
// server fails or doesn't answer in time.
const overloadDecrease = 0.5

// maxHold is the longest time without an increase after a 503.
const maxHold = 10 * time.Second

// limiter adapts the number of requests in progress to the capacity of the
// backend server: additive increase on answers, multiplicative decrease on
// failures and timeouts.
type limiter struct {
	max          int           // Config.Slots
	warmup       time.Duration // length of the cold-start ramp
	rampStart    time.Time     // beginning of the cold-start ramp
	current      float64       // 1 ≤ current ≤ max
	lastDecrease time.Time     // time of the last decrease

	climb climber

	holdUntil time.Time     // no increase before this time
	lastHold  time.Duration // length of the last hold
}

// limit returns the number of requests that may be in progress at now.
func (l *limiter) limit(now time.Time) int {
	n := min(int(l.current), l.climb.limit())
	if l.warmup > 0 {
		ramp := 1 + int(float64(l.max)*now.Sub(l.rampStart).Seconds()/l.warmup.Seconds())
		n = min(n, ramp)
	}
	return max(1, min(n, l.max))
}

// increase raises the limit after an answer, by one per round of answers at the
// full limit.
func (l *limiter) increase(now time.Time) {
	if now.Before(l.holdUntil) {
		return
	}
	l.current = math.Min(float64(l.max), l.current+1/l.current)
}

// shed lowers the limit to others, the number of requests in progress when the
// backend server refused one more. The limit is not raised again for at least d;
// this hold doubles each time, up to maxHold, so that a constant limit of the
// backend server is rarely exceeded.
func (l *limiter) shed(now time.Time, others int, d time.Duration) {
	l.current = math.Max(1, math.Min(l.current, float64(others)))
	if now.Before(l.holdUntil) {
		return
	}
	if now.Sub(l.holdUntil) > maxHold {
		l.lastHold = 0
	}
	l.lastHold = min(max(d, 2*l.lastHold), maxHold)
	l.holdUntil = now.Add(l.lastHold)
}

// decrease lowers the limit after the failure of a request that began at
// started. Requests that were in progress at the same time indicate a single
// overload, so the failure of a request that began before the last decrease has
// no effect.
func (l *limiter) decrease(now, started time.Time) {
	if started.Before(l.lastDecrease) {
		return
	}
	l.lastDecrease = now
	l.current = math.Max(1, l.current*overloadDecrease)
}
