package admission

import "time"

const (
	// shareFactor bounds what one owner may hold of a bound whose places are
	// held for long: shareFactor times what is still free. A lone owner gets
	// 8/9 of the places, and another owner always finds some.
	shareFactor = 8
	// idleOwner is how long an owner without open requests is remembered.
	idleOwner = time.Minute
	// defaultPause is how long nothing is started after the backend server
	// shed without saying for how long.
	defaultPause = 100 * time.Millisecond
	// maxPause bounds the pause that a backend server may ask for: its signal
	// may be wrong, and without a request one never learns.
	maxPause = 5 * time.Second
)

func (c *Controller) owner(name string) *owner {
	o := c.owners[name]
	if o == nil {
		o = &owner{name: name, limits: c.cfg.Owners[name], served: c.vtime}
		c.owners[name] = o
	}
	o.idle = time.Time{}
	return o
}

func (c *Controller) newFlight(r Request, o *owner, isLong bool) *flight {
	f := c.free
	if f == nil {
		f = new(flight)
	} else {
		c.free = f.next
	}
	*f = flight{req: r, owner: o, long: isLong}
	return f
}

// forget drops f, which neither waits nor holds a slot.
func (c *Controller) forget(now time.Time, f *flight) {
	delete(c.flights, f.req.ID)
	o := f.owner
	*f = flight{next: c.free}
	c.free = f
	o.markIdle(now)
}

// markIdle notes since when o has nothing open.
func (o *owner) markIdle(now time.Time) {
	if o.slots == 0 && o.long == 0 && o.conns == 0 && o.queued() == 0 {
		o.idle = now
	}
}

// dropIdle forgets owners that have had nothing open for long.
func (c *Controller) dropIdle(now time.Time) {
	for name, o := range c.owners {
		if !o.idle.IsZero() && now.Sub(o.idle) > idleOwner {
			delete(c.owners, name)
		}
	}
}

// longRoom reports whether o may have one more long flow. A waiting one has
// its place already: it waits for a slot only, never for another flow's end,
// of which nobody knows when it comes.
func (c *Controller) longRoom(o *owner) bool {
	mine := o.long + o.waiting[1].n
	if o.limits.LongFlows > 0 && mine >= o.limits.LongFlows {
		return false
	}
	left := c.cfg.LongFlows - c.long - c.longWaiting
	return left > 0 && mine < shareFactor*left
}

// maxOpening bounds the slots held by opening long flows, so that short
// requests always find one.
func (c *Controller) maxOpening(limit int) int {
	return max(1, limit-1)
}

// startable reports whether a request of o could take a slot now.
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

// start gives f a slot.
func (c *Controller) start(now time.Time, f *flight) {
	o := f.owner
	f.state = atWork
	f.started = now
	f.charged = c.serviceTime(f.long)
	o.served = max(o.served, c.vtime)
	c.vtime = o.served
	o.charge(f.charged)
	o.slots++
	c.slots++
	if f.long {
		o.long++
		c.long++
		c.opening++
	}
	c.flights[f.req.ID] = f
}

// release gives back the slot of f and learns from the time it was held.
func (c *Controller) release(now time.Time, f *flight, out Outcome) {
	o := f.owner
	held := now.Sub(f.started)
	busy := c.slots >= c.lim.limit(now)
	o.charge(held - f.charged)
	o.slots--
	c.slots--
	if f.long {
		c.opening--
	}
	switch out {
	case OK:
		c.service[kind(f.long)].add(held)
		if busy { // a limit that isn't in use says nothing about a higher one
			c.lim.increase(now)
		}
		if busy && c.queued > 0 {
			c.lim.climb.answer(now)
		} else {
			c.lim.climb.idle()
		}
	case TimedOut:
		c.service[kind(f.long)].add(held)
		c.lim.decrease(now, f.started)
	case Failed:
		c.lim.decrease(now, f.started)
	}
}

// shed takes into account that the backend server refused a request. While
// it works on others it carries those. If there are none it takes nothing at
// all, and nothing is started until it said, or for a default.
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

// dispatch starts waiting requests while there are slots.
func (c *Controller) dispatch(now time.Time) {
	for c.queued > 0 {
		f := c.pick(now)
		if f == nil {
			return
		}
		if c.late(now, f, 0) {
			c.refuseWaiting(now, f, ReasonDeadline)
			continue
		}
		c.unqueue(f)
		c.start(now, f)
		c.effects = append(c.effects, Effect{Kind: Start, ID: f.req.ID})
	}
}

// pick returns the request to start next: that of the owner which used the
// least slot time by weight, among those that may start.
func (c *Controller) pick(now time.Time) *flight {
	var best *flight
	for _, o := range c.queues {
		if best != nil && o.served >= best.owner.served {
			continue
		}
		if f := c.candidate(now, o); f != nil {
			best = f
		}
	}
	return best
}

// candidate returns the waiting request of o that may start now and came
// first in its kind, short ones before long ones.
func (c *Controller) candidate(now time.Time, o *owner) *flight {
	for k := range o.waiting {
		f := o.waiting[k].head
		if f != nil && c.startable(now, o, f.long) {
			return f
		}
	}
	return nil
}

// serviceTime is the expected time that a slot is held.
func (c *Controller) serviceTime(isLong bool) time.Duration {
	return c.service[kind(isLong)].or(c.cfg.ServiceTime)
}
