package admission

import "time"

const (
	// drainingReturn spreads callers that repeat elsewhere.
	drainingReturn = 500 * time.Millisecond
	// noBackendReturn is when a backend server may be back.
	noBackendReturn = time.Second
)

// refusal returns the refusal for reason. wait is the time after which the
// cause may be gone, if it is known.
func (c *Controller) refusal(now time.Time, reason Reason, wait time.Duration) Refusal {
	switch reason {
	case ReasonDraining:
		return Refusal{Reason: reason, RetryAfter: c.jitter(drainingReturn)}
	case ReasonNoBackend:
		return Refusal{Reason: reason, RetryAfter: noBackendReturn + c.jitter(4*noBackendReturn)}
	}
	return Refusal{Reason: reason, RetryAfter: c.comeBack(now, wait)}
}

// comeBack returns when a refused caller finds room. Each refusal takes the
// next place behind the ones before it, as far apart as the backend server
// answers, so that callers who return don't arrive together. Beyond the
// longest come-back time the places are used up and callers are spread over
// the whole of it at random.
func (c *Controller) comeBack(now time.Time, wait time.Duration) time.Duration {
	perSlot := c.serviceTime(false) / time.Duration(c.lim.limit(now))
	drained := max(wait, c.drainTime(now, c.queued+1))
	if earliest := now.Add(drained); c.nextReturn.Before(earliest) {
		c.nextReturn = earliest
	}
	c.nextReturn = c.nextReturn.Add(perSlot)
	after := c.nextReturn.Sub(now)
	if after <= c.cfg.MaxRetryAfter {
		return after + c.jitter(perSlot)
	}
	c.nextReturn = now.Add(c.cfg.MaxRetryAfter)
	drained = min(drained, c.cfg.MaxRetryAfter/2)
	return drained + c.jitter(c.cfg.MaxRetryAfter-drained)
}

// jitter returns a random duration below d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.cfg.Rand.Int64N(int64(d)))
}

// longWait is the expected time until a long flow ends.
func (c *Controller) longWait() time.Duration {
	return c.flowTime.or(time.Second) / time.Duration(max(1, c.long))
}
