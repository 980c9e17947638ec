package lab

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
)

// callers send requests and keep some of their flows open.
type callers struct {
	f     *fleet
	flows map[flow.Key]*callerFlow
	kinds []*callerKind
	port  uint32
	all   []*request
}

// callerKind holds the long flows of one kind of request.
type callerKind struct {
	Kind
	addr            netip.AddrPort // service address
	idle            []*callerFlow  // open flows without a request
	longFlows       int            // number of long flows, with or without a request
	longFlowCallers int            // number of callers that keep a flow open; each sends about one request per second
}

// request is a request of a caller, with its retries.
type request struct {
	kind   *callerKind
	source byte      // last byte of the caller's address
	sent   time.Time // time of the first attempt
	tries  int
	long   bool // sent on a flow that is kept open
	flow   *callerFlow
	took   time.Duration // time until the answer; 0: none yet
}

// done reports whether the caller no longer waits.
func (c *callers) done(q *request) bool {
	return q.took > 0 || c.f.Now().Sub(q.sent) >= c.f.c.Deadline
}

type callerFlow struct {
	key      flow.Key
	kind     *callerKind
	seq, ack uint32
	open     bool
	request  *request
	long     bool
}

const (
	requestSize = 120
	// sources is the number of callers' addresses.
	sources = 250
)

func (c *callers) init(f *fleet) {
	c.f, c.flows = f, map[flow.Key]*callerFlow{}
	for n, k := range f.c.kinds() {
		c.kinds = append(c.kinds, &callerKind{Kind: k, addr: serviceAddr(n)})
	}
}

// kindOf returns the kind of a flow's requests.
func (c *callers) kindOf(key flow.Key) *callerKind { return c.kinds[key.Service[3]-1] }

// keepFlows sets the number of callers that keep a flow open, for a rate of requests per
// second.
func (c *callers) keepFlows(rate float64) {
	for _, k := range c.kinds {
		k.longFlowCallers = int(c.f.c.LongShare * k.Share * rate)
	}
}

// drawKind returns the kind of a new request.
func (c *callers) drawKind() *callerKind {
	last := len(c.kinds) - 1
	if last == 0 {
		return c.kinds[0]
	}
	at := c.f.rng.Float64()
	for _, k := range c.kinds[:last] {
		if at < k.Share {
			return k
		}
		at -= k.Share
	}
	return c.kinds[last]
}

// arrive generates requests at a rate per second for d.
func (c *callers) arrive(rate float64, d time.Duration) {
	end := c.f.Now().Add(d)
	var next func()
	next = func() {
		if c.f.Now().After(end) {
			return
		}
		q := &request{
			kind: c.drawKind(), source: byte(c.f.rng.IntN(sources)),
			sent: c.f.Now(), long: c.f.rng.Float64() < c.f.c.LongShare,
		}
		c.all = append(c.all, q)
		c.attempt(q)
		c.f.After(time.Duration(c.f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.f.After(0, next)
}

// attempt sends a request on an idle flow, or on a new one.
func (c *callers) attempt(q *request) {
	if c.done(q) || q.tries == maxTries {
		return
	}
	q.tries++
	k := q.kind
	if n := len(k.idle); q.long && n > 0 && k.longFlows >= k.longFlowCallers {
		i := c.f.rng.IntN(n)
		x := k.idle[i]
		k.idle = slices.Delete(k.idle, i, i+1)
		c.sendRequest(x, q)
		return
	}
	c.port++
	key := flow.Key{Caller: [4]byte{100, 64, byte(c.port >> 16), q.source}, CallerPort: uint16(c.port), Service: k.addr.Addr().As4(), ServicePort: k.addr.Port()}
	x := &callerFlow{key: key, kind: k, seq: c.f.rng.Uint32(), request: q, long: q.long}
	c.flows[key] = x
	if x.long {
		k.longFlows++
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
			c.fail(x, false)
		}
	})
}

// remove removes a flow of a caller.
func (c *callers) remove(x *callerFlow) {
	delete(c.flows, x.key)
	if !x.long {
		return
	}
	x.kind.longFlows--
	if i := slices.Index(x.kind.idle, x); i >= 0 {
		x.kind.idle = slices.Delete(x.kind.idle, i, i+1)
	}
}

// fail ends a flow and retries its request. A request that may have run is retried only
// if its kind is repeatable.
func (c *callers) fail(x *callerFlow, mayHaveRun bool) {
	c.remove(x)
	q := x.request
	x.request = nil
	if q != nil && (q.kind.Repeatable || !mayHaveRun) {
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
		if x.request != q || c.flows[x.key] != x || c.done(q) {
			return
		}
		c.f.fromCaller(flow.Segment{Key: x.key, Seq: x.seq, Ack: x.ack, HasAck: true, Data: requestSize})
		c.f.After(pause, send)
		pause = min(2*pause, maxRepeatPause)
	}
	send()
	c.f.After(c.f.c.Deadline-c.f.Now().Sub(q.sent), func() {
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
	case s.Rst || s.Fin && s.Data == 0:
		c.fail(x, x.open)
	case s.Fin:
		c.fail(x, false)
	case s.Data > 0 && s.Seq == x.ack && x.request != nil:
		x.ack += uint32(s.Data)
		switch s.Data {
		case partSize:
			return
		case errorSize:
			c.fail(x, true)
			return
		}
		x.seq += requestSize
		q := x.request
		x.request = nil
		if !c.done(q) {
			q.took = max(c.f.Now().Sub(q.sent), 1)
		}
		if x.long {
			x.kind.idle = append(x.kind.idle, x)
		} else {
			c.remove(x)
		}
	}
}

// reset handles a reset sent by a balancer.
func (c *callers) reset(key flow.Key) {
	if x := c.flows[key]; x != nil {
		c.fail(x, x.open)
	}
}
