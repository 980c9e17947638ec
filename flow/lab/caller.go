package lab

import (
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
)

// callers send requests and keep some of their flows open.
type callers struct {
	f               *fleet
	flows           map[flow.Key]*callerFlow
	idle            []*callerFlow // open flows without a request
	longFlows       int           // number of long flows, with or without a request
	longFlowCallers int           // number of callers that keep a flow open; each sends about one request per second
	port            uint32
	all             []*request
}

// request is a request of a caller, with its retries.
type request struct {
	sent  time.Time // time of the first attempt
	tries int
	long  bool // sent on a flow that is kept open
	flow  *callerFlow
	took  time.Duration // time until the answer; 0: none yet
}

// done reports whether the caller no longer waits.
func (q *request) done(now time.Time) bool { return q.took > 0 || now.Sub(q.sent) >= deadline }

type callerFlow struct {
	key      flow.Key
	seq, ack uint32
	open     bool
	request  *request
	long     bool
}

const requestSize = 120

func (c *callers) init(f *fleet) { c.f, c.flows = f, map[flow.Key]*callerFlow{} }

// arrive generates requests at a rate per second for d.
func (c *callers) arrive(rate float64, d time.Duration) {
	end := c.f.Now().Add(d)
	var next func()
	next = func() {
		if c.f.Now().After(end) {
			return
		}
		q := &request{sent: c.f.Now(), long: c.f.rng.Float64() < longFlowShare}
		c.all = append(c.all, q)
		c.attempt(q)
		c.f.After(time.Duration(c.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.f.After(0, next)
}

// attempt sends a request on an idle flow, or on a new one.
func (c *callers) attempt(q *request) {
	if q.done(c.f.Now()) || q.tries == maxTries {
		return
	}
	q.tries++
	if n := len(c.idle); q.long && n > 0 && c.longFlows >= c.longFlowCallers {
		i := c.f.rng.IntN(n)
		x := c.idle[i]
		c.idle[i] = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.sendRequest(x, q)
		return
	}
	c.port++
	key := flow.Key{Caller: [4]byte{100, 64, byte(c.port >> 16), byte(c.port >> 24)}, CallerPort: uint16(c.port), Service: serviceAddr.Addr().As4(), ServicePort: serviceAddr.Port()}
	x := &callerFlow{key: key, seq: c.f.rng.Uint32(), request: q, long: q.long}
	c.flows[key] = x
	if x.long {
		c.longFlows++
	}
	q.flow = x
	for copies, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		c.f.After(after, func() {
			if c.flows[key] == x && !x.open {
				c.f.fromCaller(flow.Segment{Key: key, Seq: x.seq, Ack: uint32(copies), Syn: true})
			}
		})
	}
	c.f.After(attemptTimeout, func() {
		if c.flows[key] == x && !x.open {
			c.fail(x)
		}
	})
}

// remove removes a flow of a caller.
func (c *callers) remove(x *callerFlow) {
	delete(c.flows, x.key)
	if x.long {
		c.longFlows--
	}
}

// fail ends a flow and retries its request.
func (c *callers) fail(x *callerFlow) {
	c.remove(x)
	q := x.request
	x.request = nil
	if q != nil {
		c.attempt(q)
	}
}

// sendRequest sends a request on an open flow and repeats its packet until there is an
// answer.
func (c *callers) sendRequest(x *callerFlow, q *request) {
	x.request, q.flow = q, x
	pause := 200 * time.Millisecond
	var send func()
	send = func() {
		if x.request != q || c.flows[x.key] != x || q.done(c.f.Now()) {
			return
		}
		c.f.fromCaller(flow.Segment{Key: x.key, Seq: x.seq, Ack: x.ack, HasAck: true, Data: requestSize})
		c.f.After(pause, send)
		pause = min(2*pause, maxRepeatPause)
	}
	send()
	c.f.After(deadline-c.f.Now().Sub(q.sent), func() {
		if x.request == q && c.flows[x.key] == x {
			c.remove(x)
		}
	})
}

// receive handles a packet from a server.
func (c *callers) receive(s flow.Segment) {
	x := c.flows[s.Key]
	if x == nil {
		return
	}
	switch {
	case s.Syn && !x.open:
		x.open = true
		x.seq++
		x.ack = s.Seq + 1
		if x.request != nil {
			c.sendRequest(x, x.request)
		}
	case s.Fin:
		c.fail(x)
	case s.Data > 0 && s.Seq == x.ack && x.request != nil:
		x.ack += uint32(s.Data)
		x.seq += requestSize
		q := x.request
		x.request = nil
		if !q.done(c.f.Now()) {
			q.took = max(c.f.Now().Sub(q.sent), 1)
		}
		if x.long {
			c.idle = append(c.idle, x)
		} else {
			c.remove(x)
		}
	}
}

// reset handles a reset sent by a balancer.
func (c *callers) reset(key flow.Key) {
	if x := c.flows[key]; x != nil {
		c.fail(x)
	}
}
