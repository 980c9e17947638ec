package flow

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockscale/hemlockscale/health"
)

// healthTest is the part of a test that a healthRun needs.
type healthTest interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// healthRun drives one Gate with balancers A and B, a server and callers that a test plays.
type healthRun struct {
	t        healthTest
	g        *Gate
	now      time.Time
	beat     Heartbeat
	beatAt   time.Time
	silent   bool // sends no heartbeats
	port     uint16
	reported map[netip.AddrPort]health.Status // latest in a report, by balancer
	replies  []Message                        // to balancer A, other than reports
}

const healthSlots = 100

func newHealthRun(t healthTest) *healthRun {
	now := time.Unix(1000, 0)
	x := &healthRun{
		t: t, now: now, g: NewGate(now, GateConfig{Service: listing}, nil), reported: map[netip.AddrPort]health.Status{},
		beat: Heartbeat{Instance: "i-1", Service: listing, Slots: healthSlots},
	}
	x.heartbeat()
	for _, b := range []netip.AddrPort{balancerA, balancerB} {
		x.g.FromBalancer(x.now, b, &Message{Kind: Hello, Wait: time.Minute}, nil, nil)
	}
	x.collect()
	return x
}

func (x *healthRun) heartbeat() {
	x.beat.Sequence++
	x.beatAt = x.now
	x.g.Heartbeat(x.now, x.beat)
	x.collect()
}

// restart starts the server anew.
func (x *healthRun) restart() {
	x.beat = Heartbeat{Instance: x.beat.Instance + "'", Service: listing, Slots: x.beat.Slots}
	x.heartbeat()
}

func (x *healthRun) collect() {
	for _, e := range x.g.Effects() {
		switch {
		case e.Kind != SendMessage:
		case e.Message.Kind == Report:
			x.reported[e.To] = e.Message.Health.Status()
		case e.To == balancerA:
			x.replies = append(x.replies, e.Message)
		}
	}
}

func (x *healthRun) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(min(step, end.Sub(x.now)))
		if !x.silent && x.now.Sub(x.beatAt) >= 500*time.Millisecond {
			x.heartbeat()
		}
		// Balancer B gets reports, but none in reply.
		x.g.FromBalancer(x.now, balancerB, &Message{Kind: Query}, nil, nil)
		x.g.Tick(x.now)
		x.collect()
	}
}

// status returns the status that both balancers were sent.
func (x *healthRun) status() health.Status {
	x.t.Helper()
	a, b := x.reported[balancerA], x.reported[balancerB]
	if a != b {
		x.t.Fatalf("balancer A was sent %v, B %v", a, b)
	}
	return a
}

func (x *healthRun) failures() (n uint64) {
	for o, count := range x.g.Stats().Outcomes {
		if health.Outcome(o).Failed() {
			n += count
		}
	}
	return n
}

// healthFlow is one flow of a caller.
type healthFlow struct {
	x         *healthRun
	key       Key
	opener    uint32 // sequence number of the first packet
	seq       uint32 // of the caller's next byte
	serverSeq uint32 // of the server's next byte
}

// offer has balancer A offer a new flow. The flows come from seven callers and are of two
// routes.
func (x *healthRun) offer(trial bool) *healthFlow {
	return x.offerWith(Message{Kind: Open, Service: listing, Trial: trial})
}

func (x *healthRun) offerWith(m Message) *healthFlow {
	x.port++
	f := &healthFlow{x: x, opener: uint32(x.port) << 8, seq: uint32(x.port) << 8, serverSeq: uint32(x.port) << 16, key: Key{
		Caller: [4]byte{100, 64, 0, byte(x.port % 7)}, CallerPort: x.port, Service: [4]byte{198, 18, 0, byte(x.port % 2)}, ServicePort: listingPort,
	}}
	x.g.FromBalancer(x.now, balancerA, &m, &Segment{Key: f.key, Seq: f.seq, Syn: true}, []byte{1})
	f.seq++
	x.collect()
	return f
}

// open returns a new flow that the server has answered.
func (x *healthRun) open() *healthFlow { return x.offer(false).answerFirst() }

func (f *healthFlow) answerFirst() *healthFlow {
	f.fromServer(Segment{Syn: true})
	f.serverSeq++
	return f
}

// accepted reports whether the offered flow has reached the server.
func (f *healthFlow) accepted() bool { return f.x.g.flows[f.key] != nil }

func (f *healthFlow) fromServer(s Segment) {
	s.Key, s.Seq, s.Ack, s.HasAck = f.key, f.serverSeq, f.seq, true
	f.x.g.FromServer(f.x.now, s, []byte{2})
	f.serverSeq += uint32(s.Data)
	f.x.collect()
}

func (f *healthFlow) fromCaller(s Segment) {
	s.Key, s.Seq, s.Ack, s.HasAck = f.key, f.seq, f.serverSeq, true
	f.x.g.FromBalancer(f.x.now, balancerA, &Message{Kind: Pass}, &s, []byte{3})
	f.seq += uint32(s.Data)
	f.x.collect()
}

func (f *healthFlow) request() *healthFlow { f.fromCaller(Segment{Data: 50}); return f }
func (f *healthFlow) answer()              { f.fromServer(Segment{Data: 100}) }
func (f *healthFlow) reset()               { f.fromServer(Segment{Rst: true}) }
func (f *healthFlow) serverClose()         { f.fromServer(Segment{Fin: true}) }
func (f *healthFlow) callerClose()         { f.fromCaller(Segment{Fin: true}) }

const usualTime = 40 * time.Millisecond

// serve has the server answer n requests on flows of their own, each after took.
func (x *healthRun) serve(n int, took time.Duration) {
	for range n {
		f := x.open().request()
		x.advance(took)
		f.answer()
		f.callerClose()
		f.serverClose()
	}
}

// failWithResets makes the server failing.
func (x *healthRun) failWithResets() {
	x.t.Helper()
	for range 10 {
		x.open().request().reset()
		x.now = x.now.Add(time.Millisecond)
	}
	if s := x.status(); s != health.Failing {
		x.t.Fatalf("%v after ten resets", s)
	}
}

// Guards against good servers being excluded because the close of a flow overtakes the
// answer's data on the way from the server.
func TestCloseThatOvertakesTheAnswerIsNoFailure(t *testing.T) {
	x := newHealthRun(t)
	for range 40 {
		f := x.open().request()
		x.advance(usualTime)
		f.serverSeq += 100
		f.serverClose()
		f.serverSeq -= 100
		f.answer()
		f.callerClose()
	}
	if n := x.failures(); n > 0 || x.status() != health.Serving {
		t.Fatalf("%d failures, %v", n, x.status())
	}
	if n := x.g.Stats().Outcomes[health.Answered]; n != 40 {
		t.Errorf("%d answers counted, want 40", n)
	}
}

// Guards against a server that fails requests and keeps its flows because its agent does not
// notice: for each kind of failure the tenth one at the latest is reported to all balancers.
func TestTenthFailureIsReportedToAllBalancers(t *testing.T) {
	for _, c := range []struct {
		name string
		want health.Outcome
		fail func(x *healthRun)
	}{
		{"resets requests", health.Reset, func(x *healthRun) { x.open().request().reset() }},
		{"closes without data", health.Closed, func(x *healthRun) { x.open().request().serverClose() }},
		{"resets after part of the answer", health.Truncated, func(x *healthRun) {
			f := x.open().request()
			x.advance(usualTime)
			f.answer()
			x.now = x.now.Add(time.Millisecond)
			f.reset()
		}},
		{"answers errors at once", health.ImplausiblyFast, func(x *healthRun) {
			f := x.open().request()
			x.now = x.now.Add(time.Millisecond)
			f.answer()
		}},
		{"does not answer until the caller gives up", health.NoAnswer, func(x *healthRun) {
			f := x.open().request()
			x.advance(700 * time.Millisecond)
			f.callerClose()
		}},
		{"does not answer until the caller resets", health.NoAnswer, func(x *healthRun) {
			f := x.open().request()
			x.advance(700 * time.Millisecond)
			f.fromCaller(Segment{Rst: true})
		}},
		{"does not answer first packets", health.NotOpened, func(x *healthRun) {
			x.offer(false)
			x.advance(DefaultAnswerTimeout)
			x.heartbeat()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHealthRun(t)
			x.serve(100, usualTime)
			if s := x.status(); s != health.Serving {
				t.Fatalf("%v before the failures", s)
			}
			failed := uint64(0)
			for failed < 10 && x.status() == health.Serving {
				c.fail(x)
				failed++
			}
			counts := x.g.Stats().Outcomes
			if s := x.status(); s != health.Failing || counts[c.want] != failed || x.failures() != failed {
				t.Errorf("%v after %d failures, outcomes %v", s, failed, counts)
			}
		})
	}
}

// Guards against a server that hangs and keeps its flows: it answers first packets and never
// a request, and its callers wait.
func TestOverdueAnswersAreFailures(t *testing.T) {
	x := newHealthRun(t)
	x.serve(100, usualTime)
	var waiting []*healthFlow
	for range 10 {
		waiting = append(waiting, x.open().request())
	}
	x.advance(health.MinAnswerLimit - 20*time.Millisecond)
	if n := x.failures(); n > 0 {
		t.Fatalf("%d failures before the time limit", n)
	}
	if at := x.g.NextTick(x.now); at.Sub(x.now) > 20*time.Millisecond {
		t.Errorf("next tick in %v", at.Sub(x.now))
	}
	x.advance(20 * time.Millisecond)
	if s, n := x.status(), x.failures(); s != health.Failing || n != 10 {
		t.Fatalf("%v, %d failures", s, n)
	}
	if n := x.g.health.pending; n != 0 {
		t.Errorf("%d requests pending", n)
	}
	for _, f := range waiting {
		f.answer()
		f.callerClose()
	}
	if n := x.g.Stats().Outcomes; n[health.NoAnswer] != 10 || n[health.Answered] != 100 {
		t.Errorf("requests were counted twice: %v", n)
	}
}

// Guards against one caller's copies of a first packet excluding a server: each would count as
// a failure.
func TestCopiesOfAnUnansweredFirstPacketCountOnce(t *testing.T) {
	x := newHealthRun(t)
	f := x.offer(false)
	for range 3 {
		x.advance(DefaultAnswerTimeout)
		x.heartbeat()
		x.g.FromBalancer(x.now, balancerA, &Message{Kind: Open, Service: listing}, &Segment{Key: f.key, Seq: f.opener, Syn: true}, []byte{1})
		x.collect()
	}
	if n := x.g.Stats().Outcomes[health.NotOpened]; n != 1 {
		t.Errorf("counted %d times", n)
	}
}

// Guards against a server that resets 40 % of its requests and passes as good.
func TestPartialFailureIsReported(t *testing.T) {
	x := newHealthRun(t)
	x.serve(100, usualTime)
	for i := range 25 {
		f := x.open().request()
		x.advance(usualTime)
		if i%5 < 2 {
			f.reset()
		} else {
			f.answer()
		}
	}
	if s := x.status(); s != health.Failing || x.failures() != 10 {
		t.Errorf("%v after %d failures", s, x.failures())
	}
}

// Guards against good servers being excluded, which moves their load to the others: nothing
// that they, their callers or the platform do in the usual course counts as a failure.
func TestGoodServersDoNotFail(t *testing.T) {
	pending := func(x *healthRun, n int) (list []*healthFlow) {
		for range n {
			list = append(list, x.open().request())
		}
		return list
	}
	for _, c := range []struct {
		name string
		run  func(x *healthRun)
	}{
		{"closes idle flows, and resets requests that come after", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				x.advance(usualTime)
				f.answer()
				x.advance(100 * time.Millisecond)
				f.serverClose()
				f.request().reset()
			}
		}},
		{"closes idle flows, and ignores requests that come after", func(x *healthRun) {
			for range 30 {
				f := x.open()
				f.serverClose()
				f.request()
			}
			x.advance(2 * time.Second)
		}},
		{"closes idle flows while a request arrives", func(x *healthRun) {
			for range 30 {
				f := x.open()
				acknowledged := f.seq
				f.request()
				f.seq = acknowledged // the server sent its FIN before it had the request
				f.serverClose()
				f.seq += 50
				f.reset()
			}
		}},
		{"resets idle flows", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				x.advance(usualTime)
				f.answer()
				x.advance(truncationTime)
				f.reset()
			}
		}},
		{"drains and closes flows with requests", func(x *healthRun) {
			list := pending(x, 30)
			x.beat.Draining = true
			x.heartbeat()
			for _, f := range list {
				f.serverClose()
			}
			x.advance(2 * time.Second)
		}},
		{"ends and resets requests", func(x *healthRun) {
			list := pending(x, 30)
			x.g.Deregister(x.now, x.beat.Instance, 0)
			x.silent = true
			for _, f := range list {
				f.reset()
			}
			x.advance(2 * time.Second)
		}},
		{"is replaced by a new release while it has requests", func(x *healthRun) {
			list := pending(x, 30)
			x.advance(500 * time.Millisecond)
			x.restart()
			for _, f := range list[:15] {
				f.reset()
			}
			x.advance(2 * time.Second)
		}},
		{"has callers that abort", func(x *healthRun) {
			for i := range 60 {
				f := x.open().request()
				x.advance(time.Duration(i) * time.Millisecond)
				if i%2 == 0 {
					f.callerClose()
					f.serverClose()
				} else {
					f.fromCaller(Segment{Rst: true})
				}
				if n := x.g.health.pending; n != 0 {
					x.t.Errorf("%d requests pending after the caller's abort", n)
				}
			}
			x.advance(2 * time.Second)
		}},
		{"has callers that abort, and ignores their requests", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				x.advance(usualTime / 2)
				f.callerClose()
			}
			x.advance(2 * time.Second)
		}},
		{"has callers that abort and that it resets", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				x.advance(usualTime / 2)
				f.callerClose()
				f.reset()
			}
		}},
		{"has callers that close their direction after the request", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				f.callerClose()
				x.advance(usualTime)
				f.answer()
				f.serverClose()
			}
		}},
		{"becomes five times slower and recovers", func(x *healthRun) {
			x.serve(300, 5*usualTime)
			x.serve(300, usualTime)
		}},
		{"has five times slower answers on many flows", func(x *healthRun) {
			for range 20 {
				list := pending(x, 20)
				x.advance(5 * usualTime)
				for _, f := range list {
					f.answer()
				}
			}
		}},
		{"is cold after its start", func(x *healthRun) {
			x.restart()
			x.serve(40, usualTime*8/5)
			x.serve(100, usualTime)
		}},
		{"repeats its answers", func(x *healthRun) {
			for range 30 {
				f := x.open().request()
				x.advance(usualTime)
				f.answer()
				f.request()
				f.serverSeq -= 100
				f.answer() // again, because the caller did not acknowledge it in time
				x.advance(usualTime)
				f.answer()
			}
		}},
		{"refuses requests while its queue is full", func(x *healthRun) {
			list := pending(x, healthSlots)
			for range 30 {
				f := list[0]
				f = f.x.open()
				if !f.accepted() {
					x.t.Fatal("the flow was not accepted")
				}
				f.request()
				x.now = x.now.Add(time.Millisecond)
				f.fromServer(Segment{Data: 1, Fin: true})
			}
			for _, f := range list {
				f.answer()
			}
		}},
		{"has an agent that was paused", func(x *healthRun) {
			list := pending(x, 30)
			x.now = x.now.Add(1500 * time.Millisecond)
			for _, f := range list[:10] {
				f.callerClose()
			}
			x.advance(2 * time.Second)
		}},
		{"is not heard of for a while", func(x *healthRun) {
			var list []*healthFlow
			for range 30 {
				list = append(list, x.open())
			}
			x.silent = true
			x.advance(DefaultStateTTL / 2)
			for _, f := range list {
				f.request()
			}
			x.advance(DefaultStateTTL / 2)
			if s := x.g.State(x.now); s != ServerUnknown {
				x.t.Fatalf("state %v", s)
			}
			for _, f := range list[:15] {
				f.reset()
			}
			x.silent = false
			x.heartbeat()
			for _, f := range list[15:] {
				f.reset()
			}
			x.advance(2 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHealthRun(t)
			x.serve(100, usualTime)
			c.run(x)
			if s := x.status(); s != health.Serving || x.failures() > 0 {
				t.Errorf("%v, outcomes %v", s, x.g.Stats().Outcomes)
			}
			x.advance(DefaultMaxAge + 2*sweepInterval)
			if n := x.g.health.pending; n != 0 {
				t.Errorf("%d requests pending after all flows were removed", n)
			}
		})
	}
}

// Guards against good servers being excluded because they answer some kinds of requests in a
// thirtieth of the time of others, and so in far less than the mean.
func TestFastKindsOfRequestsAreNotImplausiblyFast(t *testing.T) {
	for _, fast := range []int{1, 3, 9} { // for each slow one
		x := newHealthRun(t)
		for range 200 {
			x.serve(1, 60*time.Millisecond)
			x.serve(fast, 2*time.Millisecond)
		}
		if s := x.status(); s != health.Serving || x.failures() > 0 {
			t.Errorf("%d fast requests for each slow one: %v, outcomes %v", fast, s, x.g.Stats().Outcomes)
		}
	}
}

// Guards against slow services being excluded after each start of their agents: every answer
// takes seconds, and no answer time is known yet.
func TestUnknownAnswerTimeIsNoFailure(t *testing.T) {
	x := newHealthRun(t)
	var list []*healthFlow
	for range 30 {
		list = append(list, x.open().request())
	}
	x.advance(3 * time.Second)
	for _, f := range list {
		f.answer()
	}
	for range 30 {
		f := x.open().request()
		x.advance(3 * time.Second)
		f.answer()
	}
	if s := x.status(); s != health.Serving || x.failures() > 0 {
		t.Errorf("%v, outcomes %v", s, x.g.Stats().Outcomes)
	}
}

// Guards against a failing server that gets more than one request at a time while it is on
// trial, and against one that is never tried or never serves again.
func TestOneTrialAtATime(t *testing.T) {
	x := newHealthRun(t)
	if f := x.offer(true); f.accepted() {
		t.Error("a trial of a serving server was accepted")
	}
	x.failWithResets()
	if f := x.offer(true); f.accepted() {
		t.Error("a trial of an excluded server was accepted")
	}
	if f := x.open(); !f.accepted() {
		t.Error("a flow of a balancer that does not exclude the server was refused")
	}
	if at := x.g.NextTick(x.now); at.Sub(x.now) > time.Second {
		t.Errorf("next tick in %v", at.Sub(x.now))
	}
	x.advance(time.Second)
	if s := x.status(); s != health.OnTrial {
		t.Fatalf("%v after the exclusion", s)
	}
	for i := range 5 {
		f := x.offer(true).answerFirst()
		if !f.accepted() {
			t.Fatalf("trial %d was refused", i)
		}
		for range 3 {
			other := x.offer(true)
			last := x.replies[len(x.replies)-1]
			if other.accepted() || last.Kind != Refused || last.Reason != ReasonBusy {
				t.Fatalf("second trial: accepted %v, %v, %v", other.accepted(), last.Kind, last.Reason)
			}
			f.request()
			x.advance(usualTime / 2)
		}
		if s := x.status(); s != health.OnTrial {
			t.Fatalf("%v before answer %d", s, i+1)
		}
		f.answer()
		x.advance(usualTime)
	}
	if s := x.status(); s != health.Serving {
		t.Errorf("%v after five answers", s)
	}
}

// Guards against a trial that waits at a server on trial whose slots are taken, and is
// started later beside another one.
func TestTrialsDoNotWait(t *testing.T) {
	x := newHealthRun(t)
	x.failWithResets()
	x.advance(time.Second)
	for x.offer(false).accepted() {
	}
	x.offerWith(Message{Kind: Open, Service: listing, Trial: true, Wait: time.Second, OnTime: time.Second})
	if m := x.replies[len(x.replies)-1]; m.Kind != Refused || m.Reason != ReasonBusy {
		t.Errorf("%v, %v", m.Kind, m.Reason)
	}
}

// Guards against a server that stays excluded because the caller of a trial has sent no
// request, and against one that is used after a failed trial.
func TestTrialsEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		trial func(f *healthFlow)
		after time.Duration
		want  health.Status
	}{
		{"the caller sends no request", func(f *healthFlow) { f.answerFirst() }, trialTimeout, health.OnTrial},
		{"the caller resets the flow", func(f *healthFlow) { f.answerFirst().fromCaller(Segment{Rst: true}) }, 0, health.OnTrial},
		{"the caller aborts", func(f *healthFlow) { f.answerFirst().request().fromCaller(Segment{Rst: true}) }, 0, health.OnTrial},
		{"the server resets the request", func(f *healthFlow) { f.answerFirst().request().reset() }, 0, health.Failing},
		{"the server does not answer the first packet", func(*healthFlow) {}, DefaultAnswerTimeout, health.Failing},
		{"the server does not answer the request", func(f *healthFlow) { f.answerFirst().request() }, health.MinAnswerLimit, health.Failing},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHealthRun(t)
			x.serve(100, usualTime)
			x.failWithResets()
			x.advance(time.Second)
			f := x.offer(true)
			if !f.accepted() {
				t.Fatal("the trial was refused")
			}
			c.trial(f)
			x.advance(c.after)
			if s := x.status(); s != c.want {
				t.Fatalf("%v, want %v", s, c.want)
			}
			if c.want == health.Failing {
				x.advance(time.Second)
				if s := x.status(); s != health.Failing {
					t.Errorf("%v a second after a failed trial, want an exclusion of two", s)
				}
				x.advance(time.Second)
				x.heartbeat()
			}
			if !x.offer(true).accepted() {
				t.Error("the next trial was refused")
			}
		})
	}
}

// Guards against a new release that gets no flows for what the release before it did.
func TestRestartedServerBeginsAfresh(t *testing.T) {
	x := newHealthRun(t)
	x.failWithResets()
	x.restart()
	if s := x.status(); s != health.Serving {
		t.Fatalf("%v after a new start", s)
	}
	x.serve(3, usualTime)
	for range 7 {
		x.open().request().reset()
	}
	if s := x.status(); s != health.Serving {
		t.Errorf("%v after seven failures of the new start", s)
	}
}

// Guards against callers that wait at a failing server until they give up: once the server
// counts as failing their balancers have to offer them elsewhere.
func TestWaitingFlowsAreRefusedWhenTheServerFails(t *testing.T) {
	x := newHealthRun(t)
	x.beat.Slots = 10
	x.heartbeat()
	var list []*healthFlow
	for range x.g.requestCapacity() {
		list = append(list, x.open().request())
	}
	const waiting = 20
	var queued []*healthFlow
	for range waiting {
		q := x.offerWith(Message{Kind: Open, Service: listing, Wait: time.Second, OnTime: time.Second})
		if q.accepted() {
			t.Fatal("a flow did not wait")
		}
		queued = append(queued, q)
	}
	resets := 0
	for x.status() == health.Serving && resets < 10 {
		list[resets].reset()
		resets++
	}
	served := 0
	for _, q := range queued {
		if q.accepted() {
			served++
		}
	}
	refused := 0
	for _, m := range x.replies {
		if m.Kind == Refused && m.Reason == ReasonUnresponsive && m.Health.Status() == health.Failing {
			refused++
		}
	}
	if served != resets-1 || refused != waiting-served || x.g.waiting.counts[waitingFlow] > 0 {
		t.Errorf("after %d resets %d flows were served and %d refused, %d still wait", resets, served, refused, x.g.waiting.counts[waitingFlow])
	}
}

// Guards against one caller, or requests of one route that no server can answer, excluding
// every server in turn.
func TestOneCallerOrRouteDoesNotExcludeTheServer(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(*healthFlow) bool
	}{
		{"one caller", func(f *healthFlow) bool { return f.key.Caller[3] == 0 }},
		{"one route", func(f *healthFlow) bool { return f.key.Service[3] == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHealthRun(t)
			for range 300 {
				f := x.open().request()
				x.advance(usualTime)
				if c.bad(f) {
					f.reset()
				} else {
					f.answer()
				}
			}
			if s := x.status(); s != health.Serving || x.failures() < 40 {
				t.Errorf("%v after %d failures", s, x.failures())
			}
		})
	}
}

// Guards against memory that grows with the requests of a busy server while one request is
// not answered, and against ticks that search all flows: what a tick does is bounded by the
// requests that were sent since the last one.
func TestAwaitedAnswersAreBounded(t *testing.T) {
	x := newHealthRun(t)
	x.serve(100, usualTime)
	x.advance(10 * time.Millisecond)
	if n := x.g.health.awaited.len(); n > 0 {
		t.Errorf("%d entries after all requests were answered", n)
	}
	x.open().request()
	f := x.open()
	const further = 1000
	for range maxAwaitedAnswers + further {
		f.request().answer()
	}
	if n := x.g.health.awaited.len(); n != maxAwaitedAnswers {
		t.Errorf("%d entries, want %d", n, maxAwaitedAnswers)
	}
	if n := x.g.Stats().UnjudgedRequests; n != further+1 {
		t.Errorf("%d requests without an entry, want %d", n, further+1)
	}
	x.advance(health.MinAnswerLimit)
	if n := x.g.health.awaited.len(); n != 0 {
		t.Errorf("%d entries after the time limit", n)
	}
}

// Guards against a page that does not show why a server is excluded.
func TestSnapshotShowsHealth(t *testing.T) {
	x := newHealthRun(t)
	x.serve(3, usualTime)
	x.failWithResets()
	s := x.g.Snapshot(x.now).Health
	if s.Status != "failing" || s.ExcludedFor <= 0 || s.Outcomes["reset"] != 10 || s.Outcomes["answered"] != 3 || s.Change != "serving to failing" || s.FailureShare < 0.7 {
		t.Errorf("%+v", s)
	}
}

// recorded returns the number of outcomes that were recorded.
func recorded(x *healthRun) (n uint64) {
	for _, count := range x.g.Stats().Outcomes {
		n += count
	}
	return n
}

// Guards against requests that are pending for good, counted twice or never judged, and
// against two trials at once, in random orders of packets, pauses, drains and restarts.
func TestEachRequestCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newHealthRun(t)
		x.serve(rapid.IntRange(0, 40).Draw(t, "answers before"), usualTime)
		if rapid.Bool().Draw(t, "on trial") {
			x.failWithResets()
			x.advance(time.Second)
		}
		sent := recorded(x)
		var list []*healthFlow
		var trials []ID // in progress
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			var f *healthFlow
			if len(list) > 0 {
				f = list[rapid.IntRange(0, len(list)-1).Draw(t, "flow")]
			}
			action := rapid.SampledFrom([]string{"open", "open", "offer", "trial", "request", "request", "answer", "repeat", "server closes", "server resets", "server resets", "caller closes", "caller resets", "bounce", "copy", "reuse", "restart", "drain", "pause", "advance", "idle"}).Draw(t, "action")
			if f == nil && !(action == "open" || action == "offer" || action == "trial") {
				continue
			}
			switch action {
			case "open", "offer", "trial":
				n := x.offer(action == "trial")
				if !n.accepted() {
					break
				}
				list = append(list, n)
				if action == "trial" {
					trials = append(trials, ID{n.key, n.opener})
				}
				if action == "offer" {
					sent++ // its first packet may count as not answered
				} else {
					n.answerFirst()
				}
			case "request":
				f.request()
				sent++
			case "answer":
				f.answer()
			case "repeat":
				f.serverSeq -= 100
				f.answer()
			case "server closes":
				f.serverClose()
			case "server resets":
				f.reset()
			case "caller closes":
				f.callerClose()
			case "caller resets":
				f.fromCaller(Segment{Rst: true})
			case "bounce":
				f.fromServer(Segment{Bounced: true, Data: 50})
			case "copy": // a new flow if the server no longer holds it
				offered := x.g.Stats().Offered
				x.g.FromBalancer(x.now, balancerA, &Message{Kind: Open, Service: listing}, &Segment{Key: f.key, Seq: f.opener, Syn: true}, []byte{1})
				x.collect()
				sent += x.g.Stats().Offered - offered
			case "reuse": // of the caller's port, for a new flow
				f.opener = f.seq + 1000
				x.g.FromBalancer(x.now, balancerA, &Message{Kind: Open, Service: listing}, &Segment{Key: f.key, Seq: f.opener, Syn: true}, []byte{1})
				x.collect()
				if g := x.g.flows[f.key]; g != nil && g.opener == f.opener {
					f.seq, f.serverSeq = f.opener+1, f.serverSeq+1000
					f.answerFirst()
				}
			case "restart":
				x.restart()
			case "drain":
				x.beat.Draining = !x.beat.Draining
				x.heartbeat()
			case "pause":
				x.now = x.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			case "idle":
				x.now = x.now.Add(DefaultMaxAge)
				x.heartbeat()
				x.g.Tick(x.now)
				x.collect()
			case "advance":
				x.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			pending := 0
			for _, f := range x.g.flows {
				if f.request.pending {
					pending++
				}
			}
			if pending != x.g.health.pending {
				t.Fatalf("%d requests pending after %q, counted %d", pending, action, x.g.health.pending)
			}
			if n := recorded(x); n > sent {
				t.Fatalf("%d outcomes of %d requests and first packets after %q", n, sent, action)
			}
			running := trials[:0]
			for _, id := range trials {
				g := x.g.flows[id.Key]
				if g == nil || g.opener != id.Opener || g.state == gateLost || g.closed() || g.request.judged || !g.request.pending && x.now.Sub(g.createdAt) >= trialTimeout {
					continue
				}
				running = append(running, id)
			}
			trials = running
			if len(trials) > 1 {
				t.Fatalf("%d trials in progress after %q", len(trials), action)
			}
		}
	})
}

// Guards against an agent that never learns its server's answer time, because the close of
// each flow overtakes the answer's data: a waiting request would count as in time until so
// shortly before its objective that its answer is late.
func TestCloseThatOvertakesTheAnswerGivesItsTime(t *testing.T) {
	x := newHealthRun(t)
	for range 2 * minEstimateCount {
		f := x.open().request()
		x.advance(usualTime)
		f.serverSeq += 100
		f.serverClose()
		f.serverSeq -= 100
		f.answer()
		f.callerClose()
	}
	if e := &x.g.waiting.estimate; e.Count() != 2*minEstimateCount {
		t.Fatalf("%d answer times observed, want %d", e.Count(), 2*minEstimateCount)
	}
}
