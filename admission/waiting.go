package admission

import (
	"slices"
	"time"
)

// enqueue lets f wait, or refuses it if waiting is of no use.
func (c *Controller) enqueue(now time.Time, f *flight) Decision {
	o := f.owner
	ahead := c.ahead(o, o.queued())
	if c.late(now, f, ahead+1) {
		return c.refuseNew(now, f, c.lateReason(now))
	}
	if c.queued >= max(0, c.cfg.Queue) && !c.evictFor(now, o) {
		return c.refuseNew(now, f, ReasonQueueFull)
	}
	if o.queued() == 0 {
		o.served = max(o.served, c.vtime)
		c.queues = append(c.queues, o)
	}
	o.waiting[kind(f.long)].push(f)
	c.queued++
	c.longWaiting += kind(f.long)
	c.flights[f.req.ID] = f
	n := len(c.effects)
	c.dispatch(now)
	return c.settle(f, n)
}

// settle turns an effect on f among those from n on, if any, into the answer
// of Offer.
func (c *Controller) settle(f *flight, n int) Decision {
	for i := n; i < len(c.effects); i++ {
		if e := c.effects[i]; e.ID == f.req.ID && e.Kind == Start {
			c.effects = slices.Delete(c.effects, i, i+1)
			return Decision{Verdict: Admitted}
		}
	}
	return Decision{Verdict: Queued}
}

// lateReason is why a request can't end in time: a pause that the backend
// server asked for, or the queue.
func (c *Controller) lateReason(now time.Time) Reason {
	if now.Before(c.pauseUntil) {
		return ReasonShed
	}
	return ReasonDeadline
}

func (c *Controller) refuseNew(now time.Time, f *flight, reason Reason) Decision {
	r := c.refusal(now, reason, 0)
	c.forget(now, f)
	return Decision{Verdict: Refused, Refusal: r}
}

// evictFor makes room for o in a full queue by refusing the newest request of
// the owner that waits with most, if that has more than o would have. So an
// owner over its share can't fill the queue against others.
func (c *Controller) evictFor(now time.Time, o *owner) bool {
	var longest *owner
	for _, q := range c.queues {
		if longest == nil || q.share() > longest.share() {
			longest = q
		}
	}
	mine := float64(o.queued()+1) / o.weight()
	if longest == nil || longest == o || longest.share() <= mine {
		return false
	}
	c.refuseWaiting(now, longest.newest(), ReasonQueueFull)
	return true
}

// share is the owner's part of the queue by its weight.
func (o *owner) share() float64 { return float64(o.queued()) / o.weight() }

// newest returns a request of o that came last in its kind, of the kind of
// which more wait.
func (o *owner) newest() *flight {
	if o.waiting[1].n > o.waiting[0].n {
		return o.waiting[1].tail
	}
	return o.waiting[0].tail
}

// unqueue takes f out of its owner's queue.
func (c *Controller) unqueue(f *flight) {
	o := f.owner
	o.waiting[kind(f.long)].remove(f)
	c.queued--
	c.longWaiting -= kind(f.long)
	if o.queued() > 0 {
		return
	}
	i := slices.Index(c.queues, o)
	c.queues = slices.Delete(c.queues, i, i+1)
}

// refuseWaiting refuses a request that waits.
func (c *Controller) refuseWaiting(now time.Time, f *flight, reason Reason) {
	id := f.req.ID
	c.unqueue(f)
	c.forget(now, f)
	c.effects = append(c.effects, Effect{Kind: Refuse, ID: id, Refusal: c.refusal(now, reason, 0)})
}

// ahead is the number of waiting requests that start before the request at
// position pos of o: all that wait, but under fair sharing no more than pos of
// each owner with some to spare.
func (c *Controller) ahead(o *owner, pos int) int {
	n := pos
	for _, q := range c.queues {
		if q != o {
			n += min(q.queued(), pos+1)
		}
	}
	return n
}

// late reports whether f can't end before its deadline when it is the
// turns-th to get a slot. An idle backend server gets the request even if the
// estimate says no: a stale estimate from a slow phase would otherwise refuse
// every request, and no answer would ever correct it.
func (c *Controller) late(now time.Time, f *flight, turns int) bool {
	if f.req.Deadline.IsZero() {
		return false
	}
	wait := c.drainTime(now, turns)
	if c.slots == 0 && wait == 0 {
		return !now.Before(f.req.Deadline)
	}
	end := now.Add(wait + c.serviceTime(f.long))
	return end.After(f.req.Deadline)
}

// drainTime is the expected time until the turns-th slot from now gets free.
func (c *Controller) drainTime(now time.Time, turns int) time.Duration {
	limit := c.lim.limit(now)
	perSlot := c.serviceTime(false) / time.Duration(limit)
	wait := time.Duration(turns) * perSlot
	if pause := c.pauseUntil.Sub(now); pause > 0 {
		wait += pause
	}
	return wait
}

// refuseLate refuses the waiting requests that can't meet their deadline.
func (c *Controller) refuseLate(now time.Time) {
	for i := len(c.queues) - 1; i >= 0; i-- {
		o := c.queues[i]
		pos := 0
		for k := range o.waiting {
			for f := o.waiting[k].head; f != nil; {
				next := f.next
				if c.late(now, f, c.ahead(o, pos)+1) {
					c.refuseWaiting(now, f, c.lateReason(now))
				} else {
					pos++
				}
				f = next
			}
		}
	}
}
