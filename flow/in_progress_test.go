package flow

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
)

// Guards against requests that count as in progress for good: the server closes a flow while
// the agent keeps the caller's request, which then reaches a server that answers nothing more.
// The agent would have less capacity until the flow is removed.
func TestRequestAfterServerCloseIsNotInProgress(t *testing.T) {
	r := newKeptRun(t)
	key := r.keepRequest(1)
	before := r.requests
	r.FromServer(r.now, Segment{Key: key, Seq: 51, Ack: 8, Fin: true, HasAck: true}, []byte{5})
	r.collect()
	if r.toServer() != 2 {
		t.Errorf("%d packets sent to the server, want the kept ones", r.toServer())
	}
	if r.requests != before {
		t.Errorf("%d requests in progress, %d before", r.requests, before)
	}
}

// Guards against an answer that counts twice: the server repeats it after the caller's next
// request. That request would count as answered, implausibly fast, and another one would
// reach the server beside it.
func TestRepeatedAnswerDoesNotEndNextRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 3)
	key := Key{CallerPort: 1}
	g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing}, &Segment{Key: key, Seq: 7, Syn: true}, []byte{1})
	g.FromServer(now, Segment{Key: key, Seq: 50, Ack: 8, Syn: true, HasAck: true}, []byte{2})
	g.FromBalancer(now, balancerA, &Message{Kind: Pass}, &Segment{Key: key, Seq: 8, Ack: 51, HasAck: true, Data: 9}, []byte{3})
	now = now.Add(60 * time.Millisecond)
	answer := Segment{Key: key, Seq: 51, Ack: 17, HasAck: true, Data: 9}
	g.FromServer(now, answer, []byte{4})
	g.FromBalancer(now, balancerA, &Message{Kind: Pass}, &Segment{Key: key, Seq: 17, Ack: 51, HasAck: true, Data: 9}, []byte{5})
	now = now.Add(time.Millisecond)
	g.FromServer(now, answer, []byte{4})
	if g.requests != 1 || !g.flows[key].answerPending {
		t.Errorf("%d requests in progress after a repeat of the first answer, want the second one", g.requests)
	}
	if n := g.waiting.estimate.Count(); n != 1 {
		t.Errorf("%d answer times observed, want 1", n)
	}
}

// Guards against a server that is left out for seconds after it has recovered: it hung with
// all of its slots taken, the callers closed their flows, and the agent refused every trial
// because their requests counted as in progress until RequestTimeout.
func TestGivenUpRequestsLeaveCapacityForTrials(t *testing.T) {
	x := newHealthRun(t)
	x.beat.Slots = 5
	x.heartbeat()
	x.serve(100, usualTime)
	var flows []*healthFlow
	for range x.g.requestCapacity() {
		flows = append(flows, x.open().request())
	}
	x.advance(health.MinAnswerLimit - usualTime)
	for _, f := range flows {
		f.callerClose()
	}
	if s := x.status(); s != health.Failing || x.g.requests != 0 {
		t.Fatalf("%v, %d requests in progress after all callers have given up", s, x.g.requests)
	}
	x.advance(time.Second)
	if !x.offer(true).accepted() {
		t.Error("the first trial was refused")
	}
}

// Guards against a server that gets more requests than it has capacity for: a request of a route
// with a timeout above DefaultRequestTimeout stops counting while the server processes it.
func TestLongRequestCountsUntilItsTimeout(t *testing.T) {
	const timeout = DefaultRequestTimeout + 4*time.Second
	w := newWorld(t, 1)
	g := w.gate(0)
	for i := range g.requestCapacity() {
		c := w.caller(uint16(2000+i), listingPort)
		s := Segment{Key: c.key, Seq: c.seq, Syn: true}
		g.FromBalancer(w.now, balancerA, &Message{Kind: Open, Service: listing, Timeout: timeout}, &s, w.packet(s))
		w.deliver()
		w.server(0).deferRequest = func(Segment) {}
		a, _ := c.answer()
		s = Segment{Key: c.key, Seq: c.seq + 1, Ack: a.Seq + 1, HasAck: true, Data: 50}
		g.FromBalancer(w.now, balancerA, &Message{Kind: Pass}, &s, w.packet(s))
		w.deliver()
	}
	w.advance(timeout - time.Second)
	if m := w.offerTo(0, listing, 3000); m.Reason != ReasonBusy {
		t.Errorf("offer a second before the requests' timeout: %v, %v, want busy", m.Kind, m.Reason)
	}
	w.advance(time.Second + 2*sweepInterval)
	if m := w.offerTo(0, listing, 3001); m.Kind != Taken {
		t.Errorf("offer after the requests' timeout: %v, %v, want taken", m.Kind, m.Reason)
	}
}
