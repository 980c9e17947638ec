package lab

import (
	"fmt"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
)

// server is a backend server with slots and a short queue that is slow after its start.
type server struct {
	f        *fleet
	a        *agent
	instance string
	started  time.Time
	sequence uint64
	next     uint32 // sequence number of the next flow's first packet
	flows    map[flow.Key]*serverFlow
	busy     int
	waiting  []waitingRequest
	slowness float64 // factor by which it is slower than usual
	failure  Failure // empty: none
}

// waitingRequest is a request in a server's queue.
type waitingRequest struct {
	flow.Segment
	since time.Time
}

type serverFlow struct {
	first, sent uint32
	callerEnd   uint32 // end of what the caller has sent; repeats are not run again
}

func (f *fleet) startServer(a *agent) {
	a.instance++
	v := &server{f: f, a: a, instance: fmt.Sprint(a.addr, a.instance), started: f.Now(), next: f.rng.Uint32(), flows: map[flow.Key]*serverFlow{}, slowness: a.speed}
	a.server = v
	v.heartbeat()
}

// heartbeat sends a heartbeat to the agent, again soon if the agent is down.
func (v *server) heartbeat() {
	if v.a.server != v {
		return
	}
	v.sequence++
	wait := heartbeatRetry
	if g := v.a.g; g != nil {
		cold := max(0, coldDuration-v.f.Now().Sub(v.started))
		g.Heartbeat(v.f.Now(), flow.Heartbeat{Instance: v.instance, Sequence: v.sequence, Service: service, Slots: v.f.c.Slots, ColdFor: cold})
		v.f.runAgent(v.a)
		wait = heartbeatInterval
	}
	v.f.After(wait, v.heartbeat)
}

// alive reports whether the server and its agent are running.
func (v *server) alive() bool { return v.a.server == v && v.a.g != nil }

func (v *server) send(s flow.Segment) {
	if v.alive() {
		v.a.g.FromServer(v.f.Now(), s, encode(s))
		v.f.runAgent(v.a)
	}
}

// receive handles a packet that the agent forwards.
func (v *server) receive(s flow.Segment) {
	if !v.alive() {
		return
	}
	v.a.countArrival(v.f.Now(), s)
	if v.failure == FailMute {
		return
	}
	x := v.flows[s.Key]
	switch {
	case s.Syn && !s.HasAck:
		if x == nil {
			v.next += 100_003
			x = &serverFlow{first: v.next, sent: v.next + 1, callerEnd: s.Seq + 1}
			v.flows[s.Key] = x
		}
		v.send(flow.Segment{Key: s.Key, Seq: x.first, Ack: s.Seq + 1, Syn: true, HasAck: true})
	case x == nil:
		s.Bounced = true
		v.send(s)
	case s.Data > 0 && int32(s.Seq+uint32(s.Data)-x.callerEnd) > 0:
		x.callerEnd = s.Seq + uint32(s.Data)
		if v.fails() {
			v.failRequest(s)
			return
		}
		v.work(s)
	}
}

// work runs a request on a slot, or puts it into the queue.
func (v *server) work(s flow.Segment) {
	if v.busy == v.f.c.Slots {
		if len(v.waiting) == serverQueue {
			v.refuse(s)
			return
		}
		v.waiting = append(v.waiting, waitingRequest{s, v.f.Now()})
		return
	}
	v.busy++
	v.a.requests++
	v.f.After(v.workTime(s.Key), func() {
		v.busy--
		v.answer(s)
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			v.a.waited += v.f.Now().Sub(next.since)
			v.work(next.Segment)
		}
	})
}

// workTime draws the work of a request, log-normal with a spread of one half.
func (v *server) workTime(key flow.Key) time.Duration {
	const spread = 0.5
	mean := float64(v.f.callers.kindOf(key).Work) * v.slowness
	if v.f.Now().Sub(v.started) < coldDuration {
		mean *= coldSlowdown
	}
	return time.Duration(mean * math.Exp(spread*v.f.rng.NormFloat64()-spread*spread/2))
}

// refuse answers a request that was not run, and closes its flow.
func (v *server) refuse(s flow.Segment) {
	x := v.flows[s.Key]
	v.send(flow.Segment{Key: s.Key, Seq: x.sent, Ack: s.Seq + uint32(s.Data), HasAck: true, Fin: true, Data: 1})
	delete(v.flows, s.Key)
}

const (
	answerSize = 1000
	partSize   = answerSize / 2 // the first part of an answer that is cut off
	errorSize  = 50             // an answer that is an error
)

func (v *server) answer(s flow.Segment) {
	x := v.flows[s.Key]
	if x == nil || !v.alive() {
		return
	}
	a := flow.Segment{Key: s.Key, Seq: x.sent, Ack: s.Seq + uint32(s.Data), HasAck: true, Data: answerSize}
	x.sent += answerSize
	v.send(a)
}
