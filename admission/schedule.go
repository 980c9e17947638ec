package admission

import (
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

const (
	// shareFactor limits one owner's use of connections and long flows, which
	// are held for a long time, to shareFactor times the number that is free. A
	// single owner can use 8/9 of them, and some are always left for another
	// owner.
	shareFactor = 8
	// idleOwnerTTL is how long the state of an owner without requests and
	// connections is kept.
	idleOwnerTTL = time.Minute
	// defaultPause is the pause after a 503 or 429 of the backend server
	// without a Retry-After.
	defaultPause = 100 * time.Millisecond
	// maxPause is the longest pause that a backend server can request. The
	// requested time may be wrong, which only another request can show.
	maxPause = 5 * time.Second
)

// owner returns the state of the named owner, creating it if necessary.
func (c *Controller) owner(name string) *owner {
	o := c.owners[name]
	if o == nil {
		o = &owner{name: name, limits: c.cfg.Owners[name]}
		c.owners[name] = o
	}
	o.idleSince = time.Time{}
	return o
}

func (c *Controller) newTrackedRequest(r Request, o *owner, isLong bool) *trackedRequest {
	f := c.free
	if f == nil {
		f = new(trackedRequest)
	} else {
		c.free = f.next
	}
	*f = trackedRequest{req: r, owner: o, long: isLong}
	return f
}

// untrack removes f, which neither waits nor holds a slot.
func (c *Controller) untrack(now time.Time, f *trackedRequest) {
	delete(c.tracked, f.req.ID)
	o := f.owner
	*f = trackedRequest{next: c.free}
	c.free = f
	o.markIdle(now)
}

// markIdle records now as the beginning of o's idle time if o has no requests
// and no connections.
func (o *owner) markIdle(now time.Time) {
	if o.slots == 0 && o.long == 0 && o.conns == 0 && o.queued() == 0 {
		o.idleSince = now
	}
}

// dropIdle removes owners that have been idle for longer than idleOwnerTTL.
func (c *Controller) dropIdle(now time.Time) {
	for name, o := range c.owners {
		if !o.idleSince.IsZero() && now.Sub(o.idleSince) > idleOwnerTTL {
			delete(c.owners, name)
			c.shares.Forget(o)
		}
	}
}

// mayAddLongFlow reports whether o may have one more long flow: it has fewer
// than its own limit, if it has one, and fewer than shareFactor times the
// number that is still free. Waiting long flows are counted as well, so that a
// queued flow only waits for a slot and never for the end of another long flow,
// which can't be predicted.
func (c *Controller) mayAddLongFlow(o *owner) bool {
	own := o.long + o.waiting[1].n
	if o.limits.LongFlows > 0 && own >= o.limits.LongFlows {
		return false
	}
	left := c.cfg.LongFlows - c.long - c.longWaiting
	return left > 0 && own < shareFactor*left
}

// maxOpening returns the maximum number of slots for opening long flows. It
// leaves one slot to short requests if limit is above 1.
func (c *Controller) maxOpening(limit int) int {
	return max(1, limit-1)
}

// startable reports whether a request of o may start now.
func (c *Controller) startable(now time.Time, o *owner, isLong bool) bool {
	limit := c.lim.limit(now)
	if c.slots >= limit || now.Before(c.pauseUntil) || c.noBackend {
		return false
	}
	if o.limits.Slots > 0 && o.slots >= o.limits.Slots {
		return false
	}
	return !isLong || c.opening < c.maxOpening(limit)
}

// start assigns a slot to f and charges its owner the expected slot time.
func (c *Controller) start(now time.Time, f *trackedRequest) {
	o := f.owner
	f.state = running
	f.started = now
	f.charged = c.serviceTime(f.long)
	c.shares.Start(o, o.limits.Weight, f.charged)
	o.slots++
	c.slots++
	if f.long {
		o.long++
		c.long++
		c.opening++
	}
	c.tracked[f.req.ID] = f
}

// release frees the slot of f and updates the estimates and the limit by the
// outcome and the time for which the slot was held.
func (c *Controller) release(now time.Time, f *trackedRequest, outcome Outcome) {
	o := f.owner
	slotTime := now.Sub(f.started)
	busy := c.slots >= c.lim.limit(now)
	c.shares.Correct(o, slotTime-f.charged)
	o.slots--
	c.slots--
	if f.long {
		c.opening--
	}
	switch outcome {
	case OK:
		c.service[classIndex(f.long)].Observe(slotTime)
		if busy { // below the limit, an answer is no evidence that a higher limit works
			c.lim.increase(now)
		}
		if busy && c.queued > 0 {
			c.lim.climb.recordAnswer(now)
		} else {
			c.lim.climb.discardEpoch()
		}
	case TimedOut:
		c.service[classIndex(f.long)].Observe(slotTime)
		c.lim.decrease(now, f.started)
	case Failed:
		c.lim.decrease(now, f.started)
	}
}

// shed handles a request that the backend server refused. If other requests are
// in progress, their number becomes the limit. If there are none, the backend
// server accepts nothing, and no request is started for the time d that it asked
// for, or for defaultPause.
func (c *Controller) shed(now time.Time, d time.Duration) {
	if d <= 0 {
		d = defaultPause
	}
	c.lim.shed(now, c.slots, d)
	if c.slots > 0 {
		return
	}
	if until := now.Add(min(d, maxPause)); until.After(c.pauseUntil) {
		c.pauseUntil = until
	}
}

// dispatch starts waiting requests while slots are free.
func (c *Controller) dispatch(now time.Time) {
	for c.queued > 0 {
		f := c.pick(now)
		if f == nil {
			return
		}
		if c.missesDeadline(now, f, 0) {
			c.refuseWaiting(now, f, ReasonDeadline)
			continue
		}
		c.unqueue(f)
		c.start(now, f)
		c.effects = append(c.effects, Effect{Kind: Start, ID: f.req.ID})
	}
}

// pick returns the request to start next, or nil: among the owners with a
// request that may start, that of the owner whose share is served next.
func (c *Controller) pick(now time.Time) *trackedRequest {
	o, ok := c.shares.Next(func(yield func(*owner) bool) {
		for _, o := range c.queues {
			if c.candidate(now, o) != nil && !yield(o) {
				return
			}
		}
	})
	if !ok {
		return nil
	}
	return c.candidate(now, o)
}

// candidate returns the first waiting request of o that may start now, or nil.
// Short requests come before long flows.
func (c *Controller) candidate(now time.Time, o *owner) *trackedRequest {
	for k := range o.waiting {
		f := o.waiting[k].head
		if f != nil && c.startable(now, o, f.long) {
			return f
		}
	}
	return nil
}

// serviceTime returns the expected time for which a slot is held.
func (c *Controller) serviceTime(isLong bool) time.Duration {
	return meanOr(&c.service[classIndex(isLong)], c.cfg.ServiceTime)
}

// meanOr returns the mean of e, or def before the first observation.
func meanOr(e *waiting.Estimate, def time.Duration) time.Duration {
	if e.Count() == 0 {
		return def
	}
	return e.Mean()
}
