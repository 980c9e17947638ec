package admission

import (
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

// Controller admits, queues and refuses the requests of one agent.
type Controller struct {
	cfg    Config
	lim    limiter
	bucket bucket

	tracked map[uint64]*trackedRequest // by request ID
	owners  map[string]*owner
	queues  []*owner        // owners with waiting requests
	free    *trackedRequest // unused records, linked by next
	effects []Effect

	queued  int // waiting requests
	slots   int // slots in use, including opening long flows
	opening int // long flows that hold a slot
	long    int // long flows admitted and not done
	conns   int

	longWaiting int // long flows that wait

	service  [2]waiting.Estimate // time for which a slot is held: short requests, long flows
	flowTime waiting.Estimate    // duration of a long flow
	shares   *waiting.Shares[*owner]

	draining   bool
	noBackend  bool
	pauseUntil time.Time // nothing is started before, as the backend server refused all requests
	nextRetry  time.Time // retry time assigned last
}

// New returns a Controller. The cold-start ramp, if any, begins at now.
func New(now time.Time, cfg Config) *Controller {
	c := &Controller{
		tracked:  make(map[uint64]*trackedRequest),
		owners:   make(map[string]*owner),
		shares:   waiting.NewShares[*owner](0),
		service:  [2]waiting.Estimate{newEstimate(), newEstimate()},
		flowTime: newEstimate(),
	}
	c.Configure(now, cfg)
	c.RestartRamp(now)
	return c
}

// newEstimate returns an estimate without a start value, because Config.ServiceTime can
// change until the first answer. Observations are not bounded by the mean: requests of one
// service can differ more than log-normal work with a spread of one half does, and with
// bounded observations their mean would be too low.
func newEstimate() waiting.Estimate {
	return waiting.NewEstimate(0, 0, 0).WithMaxStep(math.Inf(1))
}

// Configure applies new limits, for example after an edit of the catalogue
// entry. Requests in progress continue and waiting requests stay in the queue, even
// if they exceed the new limits. Waiting requests that the new limits allow are
// started.
func (c *Controller) Configure(now time.Time, cfg Config) {
	c.cfg = cfg.withDefaults()
	grown := c.cfg.Slots > c.lim.max
	c.lim.max = c.cfg.Slots
	c.lim.warmup = c.cfg.Warmup
	if c.lim.climb.max != c.cfg.Slots {
		c.lim.climb.reset(c.cfg.Slots)
	}
	if grown || c.lim.current > float64(c.lim.max) {
		c.lim.current = float64(c.lim.max)
	}
	for _, o := range c.owners {
		o.limits = c.cfg.Owners[o.name]
	}
	c.dispatch(now)
}

// RestartRamp restarts the cold-start ramp at now, because the backend server
// has just started.
func (c *Controller) RestartRamp(now time.Time) {
	c.lim.rampStart = now
}

// Drain refuses every request offered from now on. Requests in progress or
// waiting are completed.
func (c *Controller) Drain() { c.draining = true }

// SetBackendReachable records whether the backend server can be reached. While
// it can't, waiting and new requests are refused.
func (c *Controller) SetBackendReachable(now time.Time, up bool) {
	c.noBackend = !up
	if up {
		c.dispatch(now)
		return
	}
	for len(c.queues) > 0 {
		c.refuseWaiting(now, firstWaiting(c.queues[0]), ReasonNoBackend)
	}
}

// firstWaiting returns the first waiting request of o, short ones before long
// ones.
func firstWaiting(o *owner) *trackedRequest {
	if f := o.waiting[0].head; f != nil {
		return f
	}
	return o.waiting[1].head
}

// Offer decides whether a new request is admitted, queued or refused.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	o := c.owner(r.Owner)
	isLong := isLongClass(r.Class)
	if reason, wait := c.rejectReason(now, &r, o, isLong); reason != 0 {
		o.markIdle(now)
		return Decision{Verdict: Refused, Refusal: c.refusal(now, reason, wait)}
	}
	f := c.newTrackedRequest(r, o, isLong)
	if c.queued == 0 && c.startable(now, o, isLong) {
		if c.missesDeadline(now, f, 0) {
			return c.refuseNew(now, f, ReasonDeadline)
		}
		c.start(now, f)
		return Decision{Verdict: Admitted}
	}
	return c.enqueue(now, f)
}

// rejectReason returns the reason for which r is refused without being queued,
// or zero, and the expected time until the reason no longer applies, 0 if
// unknown.
func (c *Controller) rejectReason(now time.Time, r *Request, o *owner, isLong bool) (Reason, time.Duration) {
	if c.draining {
		return ReasonDraining, 0
	}
	if c.noBackend {
		return ReasonNoBackend, 0
	}
	if _, taken := c.tracked[r.ID]; taken {
		return ReasonDuplicate, 0
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return ReasonDeadline, 0
	}
	if isLong && !c.mayAddLongFlow(o) {
		return ReasonLimit, c.longFlowWait()
	}
	if wait := o.bucket.take(now, o.limits.Rate); wait > 0 {
		return ReasonLimit, wait
	}
	if wait := c.bucket.take(now, c.cfg.Rate); wait > 0 {
		return ReasonLimit, wait
	}
	return 0, 0
}

// Opened releases the slot of a long flow once the header of its answer has
// arrived. For a short request it does nothing.
func (c *Controller) Opened(now time.Time, id uint64) {
	f := c.tracked[id]
	if f == nil || !f.long || f.state != running {
		return
	}
	c.release(now, f, OK)
	f.state = opened
	c.dispatch(now)
}

// Done records the end of an admitted request. An unknown ID is ignored.
func (c *Controller) Done(now time.Time, id uint64, r Result) {
	f := c.tracked[id]
	if f == nil || f.state == queued {
		return
	}
	if f.state == running {
		c.release(now, f, r.Outcome)
	}
	if f.long {
		c.long--
		f.owner.long--
		c.flowTime.Observe(now.Sub(f.started))
	}
	if r.Outcome == Shed {
		c.shed(now, r.RetryAfter)
	}
	c.untrack(now, f)
	c.dispatch(now)
}

// Cancel records that the caller of a request no longer waits for the answer. A
// waiting request is dropped without an effect. A request in progress keeps its
// slot until Done, because the backend server may still be processing it. Cancel
// reports whether the request was waiting and therefore was not run.
func (c *Controller) Cancel(now time.Time, id uint64) bool {
	f := c.tracked[id]
	if f == nil || f.state != queued {
		return false
	}
	c.unqueue(f)
	c.untrack(now, f)
	return true
}

// Tick refuses waiting requests that can no longer meet their deadline and
// starts requests that were delayed by a pause or a ramp. Call it every 10 to
// 100 ms while requests wait, and every second otherwise.
func (c *Controller) Tick(now time.Time) {
	c.dispatch(now)
	c.refuseLate(now)
	c.dropIdle(now)
}

// Effects appends the decisions on waiting requests since the last call to buf
// and returns the extended slice. Call it after every call of another method.
func (c *Controller) Effects(buf []Effect) []Effect {
	buf = append(buf, c.effects...)
	c.effects = c.effects[:0]
	return buf
}

// Load holds the current counts of a Controller.
type Load struct {
	Slots       int // requests that hold a slot
	Limit       int // current limit of Slots
	Queued      int // requests that wait
	LongFlows   int // streams and downloads admitted and not done
	Connections int // open connections
	Draining    bool
	ServiceTime time.Duration // mean time for which a short request holds a slot

	SharesDropped uint64 // owners whose use of slots was forgotten because of too many owners
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

		SharesDropped: c.shares.Dropped(),
	}
}
