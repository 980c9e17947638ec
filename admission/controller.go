package admission

import "time"

// Controller admits, queues and refuses the requests of one agent.
type Controller struct {
	cfg    Config
	lim    limiter
	bucket bucket

	flights map[uint64]*flight
	owners  map[string]*owner
	queues  []*owner // owners with waiting requests
	free    *flight  // flights to use again, linked by next
	effects []Effect

	queued  int // waiting requests
	slots   int // slots held, opening long flows included
	opening int // long flows that hold a slot
	long    int // long flows admitted and not done
	conns   int

	longWaiting int // long flows that wait

	service  [2]estimate // time that a slot is held: short, long
	flowTime estimate    // time that a long flow lasts
	vtime    float64     // virtual time: what the owner served last had used

	draining   bool
	noBackend  bool
	pauseUntil time.Time // the backend server asked for no work until then
	nextReturn time.Time // come-back time given last
}

// New returns a Controller. The cold-start ramp, if any, begins at now.
func New(now time.Time, cfg Config) *Controller {
	c := &Controller{
		flights: make(map[uint64]*flight),
		owners:  make(map[string]*owner),
	}
	c.Configure(now, cfg)
	c.RestartRamp(now)
	return c
}

// Configure puts new limits in force, for example after an edit of the
// catalogue entry. What is at work or waiting stays.
func (c *Controller) Configure(now time.Time, cfg Config) {
	c.cfg = cfg.withDefaults()
	grown := c.cfg.Slots > c.lim.max
	c.lim.max = c.cfg.Slots
	c.lim.warmup = c.cfg.Warmup
	if c.lim.climb.max != c.cfg.Slots {
		c.lim.climb.reset(c.cfg.Slots)
	}
	if grown || c.lim.cur > float64(c.lim.max) {
		c.lim.cur = float64(c.lim.max)
	}
	for _, o := range c.owners {
		o.limits = c.cfg.Owners[o.name]
	}
	c.dispatch(now)
}

// RestartRamp tells that the backend server has just started: the cold-start ramp
// begins again.
func (c *Controller) RestartRamp(now time.Time) {
	c.lim.since = now
}

// Drain refuses every request offered from now on. Requests that are at work
// or wait already run to their end.
func (c *Controller) Drain() { c.draining = true }

// SetBackendReachable tells whether the backend server can be reached. When it can't,
// waiting requests are refused at once.
func (c *Controller) SetBackendReachable(now time.Time, up bool) {
	c.noBackend = !up
	if up {
		c.dispatch(now)
		return
	}
	for len(c.queues) > 0 {
		c.refuseWaiting(now, first(c.queues[0]), ReasonNoBackend)
	}
}

// first returns the request of o that waits first, short ones before long.
func first(o *owner) *flight {
	if f := o.waiting[0].head; f != nil {
		return f
	}
	return o.waiting[1].head
}

// Offer decides about a request that has just come.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	o := c.owner(r.Owner)
	isLong := long(r.Class)
	if reason, wait := c.barred(now, &r, o, isLong); reason != 0 {
		o.markIdle(now)
		return Decision{Verdict: Refused, Refusal: c.refusal(now, reason, wait)}
	}
	f := c.newFlight(r, o, isLong)
	if c.queued == 0 && c.startable(now, o, isLong) {
		if c.late(now, f, 0) {
			return c.refuseNew(now, f, ReasonDeadline)
		}
		c.start(now, f)
		return Decision{Verdict: Admitted}
	}
	return c.enqueue(now, f)
}

// barred returns why r can't even wait, or zero, and the time after which
// that may have changed, if it is known.
func (c *Controller) barred(now time.Time, r *Request, o *owner, isLong bool) (Reason, time.Duration) {
	if c.draining {
		return ReasonDraining, 0
	}
	if c.noBackend {
		return ReasonNoBackend, 0
	}
	if _, taken := c.flights[r.ID]; taken {
		return ReasonDuplicate, 0
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return ReasonDeadline, 0
	}
	if isLong && !c.longRoom(o) {
		return ReasonLimit, c.longWait()
	}
	if wait := o.bucket.take(now, o.limits.Rate); wait > 0 {
		return ReasonLimit, wait
	}
	if wait := c.bucket.take(now, c.cfg.Rate); wait > 0 {
		return ReasonLimit, wait
	}
	return 0, 0
}

// Opened tells that a long flow's header came: it gives back its slot. For a
// short request it does nothing.
func (c *Controller) Opened(now time.Time, id uint64) {
	f := c.flights[id]
	if f == nil || !f.long || f.state != atWork {
		return
	}
	c.release(now, f, OK)
	f.state = opened
	c.dispatch(now)
}

// Done tells that an admitted request ended. An unknown ID does nothing.
func (c *Controller) Done(now time.Time, id uint64, r Result) {
	f := c.flights[id]
	if f == nil || f.state == waiting {
		return
	}
	if f.state == atWork {
		c.release(now, f, r.Outcome)
	}
	if f.long {
		c.long--
		f.owner.long--
		c.flowTime.add(now.Sub(f.started))
	}
	if r.Outcome == Shed {
		c.shed(now, r.RetryAfter)
	}
	c.forget(now, f)
	c.dispatch(now)
}

// Cancel tells that the caller of a request went away. A waiting request is
// dropped without an effect. A request at work keeps its slot until Done,
// because the backend server may still be working on it. Cancel reports
// whether the request was waiting, and so was not run.
func (c *Controller) Cancel(now time.Time, id uint64) bool {
	f := c.flights[id]
	if f == nil || f.state != waiting {
		return false
	}
	c.unqueue(f)
	c.forget(now, f)
	return true
}

// Tick refuses waiting requests that can't meet their deadline any more and
// starts those that a pause or a ramp held back. Call it every 10 to 100 ms
// while requests wait, and every second otherwise.
func (c *Controller) Tick(now time.Time) {
	c.dispatch(now)
	c.refuseLate(now)
	c.dropIdle(now)
}

// Effects appends the decisions made since the last call to buf, and returns
// the extended slice. Call it after each other method.
func (c *Controller) Effects(buf []Effect) []Effect {
	buf = append(buf, c.effects...)
	c.effects = c.effects[:0]
	return buf
}

// Load is the controller's own count of what is open.
type Load struct {
	Slots       int // requests that hold a slot
	Limit       int // slots that may be held now
	Queued      int // requests that wait
	LongFlows   int // streams and downloads admitted and not done
	Connections int // open connections
	Draining    bool
	ServiceTime time.Duration // mean time that a short request holds a slot
}

// Load returns the current counts.
func (c *Controller) Load(now time.Time) Load {
	return Load{
		Slots:       c.slots,
		Limit:       c.lim.limit(now),
		Queued:      c.queued,
		LongFlows:   c.long,
		Connections: c.conns,
		Draining:    c.draining,
		ServiceTime: c.serviceTime(false),
	}
}
