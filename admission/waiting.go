package admission

import (
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

// enqueue queues f, or refuses it if it can't meet its deadline or the queue is
// full.
func (c *Controller) enqueue(now time.Time, f *trackedRequest) Decision {
	o := f.owner
	ahead := c.countAhead(o, o.queued())
	if c.missesDeadline(now, f, ahead+1) {
		return c.refuseNew(now, f, c.deadlineReason(now))
	}
	if c.queued >= max(0, c.cfg.Queue) && !c.evictFor(now, o) {
		return c.refuseNew(now, f, ReasonQueueFull)
	}
	if o.queued() == 0 {
		c.shares.Activate(o, o.limits.Weight)
		c.queues = append(c.queues, o)
	}
	o.waiting[classIndex(f.long)].push(f)
	c.queued++
	c.longWaiting += classIndex(f.long)
	c.tracked[f.req.ID] = f
	n := len(c.effects)
	c.dispatch(now)
	return c.offerDecision(f, n)
}

// offerDecision returns the result of Offer for f after it was queued. If one of
// the effects from index n on starts f, that effect is removed and f is
// admitted.
func (c *Controller) offerDecision(f *trackedRequest, n int) Decision {
	for i := n; i < len(c.effects); i++ {
		if e := c.effects[i]; e.ID == f.req.ID && e.Kind == Start {
			c.effects = slices.Delete(c.effects, i, i+1)
			return Decision{Verdict: Admitted}
		}
	}
	return Decision{Verdict: Queued}
}

// deadlineReason returns the reason for which a request can't meet its deadline:
// ReasonShed during a pause that the backend server requested, otherwise
// ReasonDeadline.
func (c *Controller) deadlineReason(now time.Time) Reason {
	if now.Before(c.pauseUntil) {
		return ReasonShed
	}
	return ReasonDeadline
}

// refuseNew refuses f, which is not queued, and removes it.
func (c *Controller) refuseNew(now time.Time, f *trackedRequest, reason Reason) Decision {
	r := c.refusal(now, reason, 0)
	c.untrack(now, f)
	return Decision{Verdict: Refused, Refusal: r}
}

// evictFor frees a place for a request of o in a full queue by refusing the newest
// request of the owner that waiting.Eviction chooses. It reports whether a request
// was refused.
func (c *Controller) evictFor(now time.Time, o *owner) bool {
	e := waiting.NewEviction(o, o.queued(), o.limits.Weight)
	for _, q := range c.queues {
		e.Add(q, q.queued(), q.limits.Weight)
	}
	from, ok := e.From()
	if ok {
		c.refuseWaiting(now, from.newest(), ReasonQueueFull)
	}
	return ok
}

// newest returns the last waiting request of o, from the longer of its two
// queues.
func (o *owner) newest() *trackedRequest {
	if o.waiting[1].n > o.waiting[0].n {
		return o.waiting[1].tail
	}
	return o.waiting[0].tail
}

// unqueue removes f from its owner's queue.
func (c *Controller) unqueue(f *trackedRequest) {
	o := f.owner
	o.waiting[classIndex(f.long)].remove(f)
	c.queued--
	c.longWaiting -= classIndex(f.long)
	if o.queued() > 0 {
		return
	}
	i := slices.Index(c.queues, o)
	c.queues = slices.Delete(c.queues, i, i+1)
}

// refuseWaiting refuses a waiting request by an effect.
func (c *Controller) refuseWaiting(now time.Time, f *trackedRequest, reason Reason) {
	id := f.req.ID
	c.unqueue(f)
	c.untrack(now, f)
	c.effects = append(c.effects, Effect{Kind: Refuse, ID: id, Refusal: c.refusal(now, reason, 0)})
}

// countAhead returns the number of waiting requests that start before the
// request at position pos of o's queue: pos requests of o and, under fair
// sharing, at most pos+1 requests of each other owner.
func (c *Controller) countAhead(o *owner, pos int) int {
	n := pos
	for _, q := range c.queues {
		if q != o {
			n += min(q.queued(), pos+1)
		}
	}
	return n
}

// missesDeadline reports whether f can't end before its deadline if it gets the
// position-th slot to become free. On an idle backend server the estimated
// service time is ignored: a stale estimate from a slow phase would otherwise
// refuse every request and would never be corrected by an answer.
func (c *Controller) missesDeadline(now time.Time, f *trackedRequest, position int) bool {
	if f.req.Deadline.IsZero() {
		return false
	}
	wait := c.slotWait(now, position)
	if c.slots == 0 && wait == 0 {
		return !now.Before(f.req.Deadline)
	}
	end := now.Add(wait + c.serviceTime(f.long))
	return end.After(f.req.Deadline)
}

// slotWait returns the expected time until the position-th slot from now becomes
// free.
func (c *Controller) slotWait(now time.Time, position int) time.Duration {
	limit := c.lim.limit(now)
	perSlot := c.serviceTime(false) / time.Duration(limit)
	wait := time.Duration(position) * perSlot
	if pause := c.pauseUntil.Sub(now); pause > 0 {
		wait += pause
	}
	return wait
}

// refuseLate refuses waiting requests that can't meet their deadline.
func (c *Controller) refuseLate(now time.Time) {
	for i := len(c.queues) - 1; i >= 0; i-- {
		o := c.queues[i]
		pos := 0
		for k := range o.waiting {
			for f := o.waiting[k].head; f != nil; {
				next := f.next
				if c.missesDeadline(now, f, c.countAhead(o, pos)+1) {
					c.refuseWaiting(now, f, c.deadlineReason(now))
				} else {
					pos++
				}
				f = next
			}
		}
	}
}
