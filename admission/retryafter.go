package admission

import "time"

const (
	// drainingRetryAfter is the interval over which the retries of callers are
	// spread while draining; they go to other agents.
	drainingRetryAfter = 500 * time.Millisecond
	// noBackendRetryAfter is the minimum retry time while the backend server
	// can't be reached.
	noBackendRetryAfter = time.Second
)

// refusal returns the refusal for reason. wait is the expected time until the
// reason no longer applies, 0 if unknown.
func (c *Controller) refusal(now time.Time, reason Reason, wait time.Duration) Refusal {
	switch reason {
	case ReasonDraining:
		return Refusal{Reason: reason, RetryAfter: c.jitter(drainingRetryAfter)}
	case ReasonNoBackend:
		return Refusal{Reason: reason, RetryAfter: noBackendRetryAfter + c.jitter(4*noBackendRetryAfter)}
	}
	return Refusal{Reason: reason, RetryAfter: c.retryAfter(now, wait)}
}

// retryAfter returns the time after which a refused caller is likely to be
// admitted: once wait has passed and the queue has drained. Successive refusals
// get retry times that are one service interval of a slot apart, so that callers
// don't retry at the same moment. When these times exceed Config.MaxRetryAfter,
// callers are spread at random over the interval up to it.
func (c *Controller) retryAfter(now time.Time, wait time.Duration) time.Duration {
	perSlot := c.serviceTime(false) / time.Duration(c.lim.limit(now))
	drained := max(wait, c.slotWait(now, c.queued+1))
	if earliest := now.Add(drained); c.nextRetry.Before(earliest) {
		c.nextRetry = earliest
	}
	c.nextRetry = c.nextRetry.Add(perSlot)
	after := c.nextRetry.Sub(now)
	if after <= c.cfg.MaxRetryAfter {
		return after + c.jitter(perSlot)
	}
	c.nextRetry = now.Add(c.cfg.MaxRetryAfter)
	drained = min(drained, c.cfg.MaxRetryAfter/2)
	return drained + c.jitter(c.cfg.MaxRetryAfter-drained)
}

// jitter returns a random duration in [0, d).
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.cfg.Rand.Int64N(int64(d)))
}

// longFlowWait returns the expected time until the next long flow ends.
func (c *Controller) longFlowWait() time.Duration {
	return meanOr(&c.flowTime, time.Second) / time.Duration(max(1, c.long))
}
