package flow

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

const (
	keptTimeout = 4 * time.Second
	keptWait    = attemptTimeout
)

// keptRun is an agent with a full server and what its last call sent.
type keptRun struct {
	*Gate
	t   *testing.T
	now time.Time
	out []Effect
}

func newKeptRun(t *testing.T) *keptRun {
	now := time.Unix(1000, 0)
	return &keptRun{Gate: fullGate(now), t: t, now: now}
}

// collect takes the effects.
func (r *keptRun) collect() { r.out = clone(r.Effects()) }

// pass runs the timers for d.
func (r *keptRun) pass(d time.Duration) {
	var all []Effect
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		if next := r.NextTick(r.now); !next.After(r.now) {
			r.Tick(r.now)
			all = append(all, clone(r.Effects())...)
			if next := r.NextTick(r.now); !next.After(r.now) {
				r.t.Fatalf("the next tick is due %v before the last one", r.now.Sub(next))
			}
		}
	}
	r.out = all
}

// offer offers a flow whose request is late.
func (r *keptRun) offer(port uint16) Key {
	s := Segment{Key: Key{CallerPort: port}, Seq: 7, Syn: true}
	r.FromBalancer(r.now, balancerA, &Message{Kind: Open, Service: listing, Priority: 2, Wait: keptWait, Timeout: keptTimeout}, &s, []byte{1})
	r.collect()
	return s.Key
}

// answerFirst has the server answer a flow's first packet.
func (r *keptRun) answerFirst(key Key) {
	r.FromServer(r.now, Segment{Key: key, Seq: 50, Ack: 8, Syn: true, HasAck: true}, []byte{2})
	r.collect()
}

// fromCaller passes on a packet of the caller of an open flow.
func (r *keptRun) fromCaller(s Segment) {
	s.HasAck, s.Ack = true, 51
	r.FromBalancer(r.now, balancerA, &Message{Kind: Pass}, &s, []byte{byte(s.Seq)})
	r.collect()
}

// openLateFlow returns a flow that was opened late and has been answered by the server.
func (r *keptRun) openLateFlow(port uint16) Key {
	key := r.offer(port)
	r.pass(keptWait - openBeforeRefusal + 10*time.Millisecond)
	if r.toServer() != 1 || r.Stats().OpenedLate == 0 {
		r.t.Fatalf("%d packets sent to the server, %d flows opened late", r.toServer(), r.Stats().OpenedLate)
	}
	r.answerFirst(key)
	return key
}

// keepRequest returns a flow that was opened late and whose request of two packets is kept.
func (r *keptRun) keepRequest(port uint16) Key {
	key := r.openLateFlow(port)
	r.fromCaller(Segment{Key: key, Seq: 8, Data: 9})
	r.fromCaller(Segment{Key: key, Seq: 17, Data: 9})
	if r.toServer() != 0 || r.waiting.counts[waitingRequest] != 1 {
		r.t.Fatalf("%d packets of a late request reached a full server", r.toServer())
	}
	return key
}

// toServer returns the number of packets that the last call sent to the server.
func (r *keptRun) toServer() int { return len(r.packetsToServer()) }

func (r *keptRun) packetsToServer() (list []byte) {
	for _, e := range r.out {
		if e.Kind == SendServer {
			list = append(list, e.Packet...)
		}
	}
	return list
}

// refusal returns the reason with which the last call refused a flow.
func (r *keptRun) refusal(key Key) Reason {
	for _, e := range r.out {
		if e.Kind == SendMessage && e.Message.Kind == Refused && e.Message.Key == key {
			return e.Message.Reason
		}
	}
	return ReasonNone
}

// Guards against callers that come back after a late flow's attempt has ended: as a new flow
// that looks in time, the request takes the place of one that is. The flow has to be opened
// before, and its request to reach the server after those that can be in time, once.
func TestLateFlowIsOpenedBeforeItsAttemptEnds(t *testing.T) {
	r := newKeptRun(t)
	requests := r.requests
	key := r.keepRequest(1)
	if r.requests != requests {
		t.Errorf("%d requests in progress, %d before", r.requests, requests)
	}
	r.fromCaller(Segment{Key: key, Seq: 8, Data: 9})
	if r.toServer() != 0 || len(r.flows[key].kept.packets) != 2 {
		t.Errorf("a repeated packet was sent on or kept again")
	}
	inTime := offerWaiting(r.Gate, r.now, 2, 200*time.Millisecond)
	finishOne(r.Gate, r.now)
	if r.collect(); r.toServer() != 1 || r.flows[inTime] == nil {
		t.Errorf("%d packets sent to the server, want the first one of the flow that can be in time", r.toServer())
	}
	finishOne(r.Gate, r.now)
	r.collect()
	if got := r.packetsToServer(); len(got) != 2 || got[0] != 8 || got[1] != 17 {
		t.Errorf("packets %v sent to the server, want the kept ones in order", got)
	}
	if r.requests != requests || r.waiting.kept != 0 || r.waiting.keptBytes != 0 {
		t.Errorf("%d requests, %d kept with %d bytes", r.requests, r.waiting.kept, r.waiting.keptBytes)
	}
	r.fromCaller(Segment{Key: key, Seq: 26, Data: 9})
	if r.toServer() != 1 {
		t.Error("a further packet of a request that was sent on is kept")
	}
}

// Each case guards against what is kept being lost, reaching the server although it must
// not, or being counted for good after something else happens to its flow.
func TestKeptRequestEndsWith(t *testing.T) {
	for _, c := range []struct {
		name     string
		do       func(r *keptRun, key Key)
		toServer string // packets that reach the server
		held     bool   // the flow is still open
	}{
		{"drain", func(r *keptRun, _ Key) {
			r.Heartbeat(r.now, Heartbeat{Instance: "i", Sequence: 9, Service: listing, Slots: 3, Draining: true})
		}, "\x08\x11", true},
		{"end of the server", func(r *keptRun, _ Key) { r.Deregister(r.now, "i", 0) }, "\x08\x11", true},
		{"end of the agent", func(r *keptRun, _ Key) { r.Close(r.now) }, "\x08\x11", true},
		{"cold limit", func(r *keptRun, _ Key) {
			r.FromBalancer(r.now, balancerA, &Message{Kind: Hello, Service: listing, Revision: 1, ZoneOrder: ZoneInService, ColdRate: ColdRateOf(1)}, nil, nil)
			r.Heartbeat(r.now, Heartbeat{Instance: "i", Sequence: 9, Service: listing, Slots: 3, ColdFor: time.Second})
		}, "\x08\x11", true},
		{"evacuation", func(r *keptRun, _ Key) {
			r.FromBalancer(r.now, balancerA, &Message{Kind: Hello, Service: listing, Revision: 1, ZoneOrder: ZoneEvacuated}, nil, nil)
		}, "\x08\x11", true},
		{"close by the server", func(r *keptRun, key Key) {
			r.FromServer(r.now, Segment{Key: key, Seq: 51, Ack: 8, HasAck: true, Fin: true}, []byte{5})
		}, "\x08\x11", true},
		{"reset by the server", func(r *keptRun, key Key) { r.FromServer(r.now, Segment{Key: key, Seq: 51, Rst: true}, []byte{5}) }, "", true},
		{"reset by the caller", func(r *keptRun, key Key) {
			r.FromBalancer(r.now, balancerA, &Message{Kind: Pass}, &Segment{Key: key, Seq: 26, Rst: true}, []byte{6})
		}, "\x06", true},
		{"restart of the server", func(r *keptRun, _ Key) {
			r.Heartbeat(r.now, Heartbeat{Instance: "j", Sequence: 1, Service: listing, Slots: 3})
		}, "", true},
		{"bounced packet", func(r *keptRun, key Key) {
			r.FromServer(r.now, Segment{Key: key, Seq: 8, Ack: 51, HasAck: true, Bounced: true}, []byte{5})
		}, "", true},
		{"reuse of the key", func(r *keptRun, key Key) {
			finishOne(r.Gate, r.now) // sends the kept request on
			r.Effects()
			r.FromBalancer(r.now, balancerA, &Message{Kind: Open, Service: listing}, &Segment{Key: key, Seq: 999, Syn: true}, []byte{7})
		}, "", true},
		{"sweep", func(r *keptRun, key Key) {
			r.flows[key].lastPacketAt = r.now.Add(-r.cfg.MaxAge)
			r.sweep(r.now)
		}, "", false},
		{"deadline", func(r *keptRun, _ Key) { r.now = r.now.Add(keptTimeout); r.Tick(r.now) }, "", true},
	} {
		r := newKeptRun(t)
		key := r.keepRequest(1)
		c.do(r, key)
		r.collect()
		if got := string(r.packetsToServer()); got != c.toServer {
			t.Errorf("%s: packets %q sent to the server, want %q", c.name, got, c.toServer)
		}
		if r.waiting.kept != 0 || r.waiting.keptBytes != 0 || r.waiting.counts[waitingRequest] != 0 {
			t.Errorf("%s: %d flows with %d bytes kept, %d wait", c.name, r.waiting.kept, r.waiting.keptBytes, r.waiting.counts[waitingRequest])
		}
		if held := r.flows[key] != nil; held != c.held {
			t.Errorf("%s: flow in the table: %v", c.name, held)
		}
		if reason := r.refusal(key); reason != ReasonNone && c.name != "reuse of the key" {
			t.Errorf("%s: an open flow was refused: %v", c.name, reason)
		}
	}
}

// Guards against flows that stay without an answer or count as kept for good after a late
// opening that the server or the caller does not follow.
func TestLateOpeningWithoutRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(r *keptRun, key Key)
		reason Reason
	}{
		{"no answer of the server", func(r *keptRun, _ Key) { r.pass(DefaultAnswerTimeout) }, ReasonUnresponsive},
		{"bounced by the server", func(r *keptRun, key Key) {
			r.FromServer(r.now, Segment{Key: key, Seq: 7, Syn: true, Bounced: true}, []byte{1})
			r.collect()
		}, ReasonBounced},
		{"no request", func(r *keptRun, key Key) { r.answerFirst(key); r.pass(confirmTimeout) }, ReasonNone},
		{"only an acknowledgement", func(r *keptRun, key Key) {
			r.answerFirst(key)
			r.fromCaller(Segment{Key: key, Seq: 8})
			if r.toServer() != 1 {
				r.t.Error("the acknowledgement of the server's answer was not sent on")
			}
			r.pass(confirmTimeout)
		}, ReasonNone},
		{"close by the caller", func(r *keptRun, key Key) {
			r.answerFirst(key)
			r.fromCaller(Segment{Key: key, Seq: 8, Fin: true})
			if r.toServer() != 1 {
				r.t.Error("the caller's close was not sent on")
			}
		}, ReasonNone},
	} {
		r := newKeptRun(t)
		key := r.offer(1)
		r.pass(keptWait - openBeforeRefusal + 10*time.Millisecond)
		c.do(r, key)
		if got := r.refusal(key); got != c.reason {
			t.Errorf("%s: refused for %v, want %v", c.name, got, c.reason)
		}
		if r.waiting.kept != 0 {
			t.Errorf("%s: %d flows count as kept", c.name, r.waiting.kept)
		}
	}
}

// Guards against late openings where the design excludes them, and against flows that are
// neither opened nor refused when there is no space for them.
func TestLateOpeningIsLimited(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(r *keptRun)
		message Message
		opened  uint64
	}{
		{"usual", func(*keptRun) {}, Message{Wait: keptWait, Timeout: keptTimeout}, 1},
		{"no timeout", func(*keptRun) {}, Message{Wait: keptWait}, 0},
		{"timeout before the end of the attempt", func(*keptRun) {}, Message{Wait: keptWait, Timeout: keptWait}, 0},
		{"full table", func(r *keptRun) { r.cfg.MaxFlows = len(r.flows) }, Message{Wait: keptWait, Timeout: keptTimeout}, 0},
		{"too many kept", func(r *keptRun) { r.waiting.kept = keptPerSlot * 3 }, Message{Wait: keptWait, Timeout: keptTimeout}, 0},
		{"pause beyond the end of the attempt", func(r *keptRun) { r.cfg.MaxFlows = len(r.flows) }, Message{Wait: keptWait, Timeout: keptTimeout}, 0},
	} {
		r := newKeptRun(t)
		c.prepare(r)
		s := Segment{Key: Key{CallerPort: 1}, Seq: 7, Syn: true}
		c.message.Kind, c.message.Service = Open, listing
		r.FromBalancer(r.now, balancerA, &c.message, &s, []byte{1})
		r.Effects()
		if c.name == "pause beyond the end of the attempt" {
			r.cfg.MaxFlows = DefaultGateFlows
			r.now = r.now.Add(keptWait)
			r.Tick(r.now)
			r.collect()
		} else {
			for r.now.Before(time.Unix(1000, 0).Add(keptWait)) && r.refusal(s.Key) == ReasonNone && r.flows[s.Key] == nil {
				r.pass(10 * time.Millisecond)
				r.heartbeat()
			}
		}
		if got := r.Stats().OpenedLate; got != c.opened {
			t.Errorf("%s: %d flows opened late, want %d", c.name, got, c.opened)
		}
		if refused := r.refusal(s.Key) == ReasonBusy; refused == (c.opened > 0) {
			t.Errorf("%s: refused: %v", c.name, refused)
		}
	}
}

// heartbeat confirms the server's state.
func (r *keptRun) heartbeat() {
	r.Heartbeat(r.now, Heartbeat{Instance: "i", Sequence: r.server.sequence + 1, Service: listing, Slots: 3})
}

// Guards against a kept request that uses up the agent's memory.
func TestKeptPacketsAreBounded(t *testing.T) {
	r := newKeptRun(t)
	key := r.openLateFlow(1)
	for n := range uint32(3 * maxKeptPackets) {
		r.fromCaller(Segment{Key: key, Seq: 8 + 9*n, Data: 9})
	}
	if got := len(r.flows[key].kept.packets); got != maxKeptPackets || r.Stats().Dropped != 2*maxKeptPackets {
		t.Errorf("%d packets kept, %d dropped", got, r.Stats().Dropped)
	}
	other := r.openLateFlow(2)
	r.waiting.keptBytes = maxKeptBytes
	r.fromCaller(Segment{Key: other, Seq: 8, Data: 9})
	if r.toServer() != 1 || r.flows[other].kept != nil {
		t.Error("a request without space was not sent on")
	}
}

// openIdleFlow opens a flow with the given limits at the run's server, which has capacity
// for it, and has one request answered on it. The flow is quiet then.
func (r *keptRun) openIdleFlow(port uint16, target, timeout time.Duration) Key {
	r.cfg.CapacityFactor *= 100
	s := Segment{Key: Key{CallerPort: port}, Seq: 7, Syn: true}
	r.FromBalancer(r.now, balancerA, &Message{Kind: Open, Service: listing, Priority: 2, Target: target, Timeout: timeout}, &s, []byte{1})
	r.answerFirst(s.Key)
	r.fromCaller(Segment{Key: s.Key, Seq: 8, Data: 9})
	r.FromServer(r.now, Segment{Key: s.Key, Seq: 51, Ack: 17, HasAck: true, Data: 100}, []byte{4})
	r.Effects()
	r.cfg.CapacityFactor /= 100
	r.now = r.now.Add(newRequestPause)
	return s.Key
}

// use passes on a packet of a caller that has received everything that the server sent.
func (r *keptRun) use(s Segment) {
	s.HasAck, s.Ack = true, 151
	r.FromBalancer(r.now, balancerA, &Message{Kind: Pass}, &s, []byte{byte(s.Seq)})
	r.collect()
}

// Guards against requests on long flows that a full server refuses, and against packets of
// requests and downloads under way that stall because they are taken for new requests.
func TestRequestOnOpenFlowWaits(t *testing.T) {
	const target, timeout = 200 * time.Millisecond, 2 * time.Second
	for _, c := range []struct {
		name            string
		target, timeout time.Duration
		prepare         func(r *keptRun, key Key)
		packet          Segment
		kept            bool
	}{
		{"new request", target, timeout, nil, Segment{Seq: 17, Data: 9}, true},
		{"no timeout", target, 0, nil, Segment{Seq: 17, Data: 9}, false},
		{"no objective", 0, timeout, nil, Segment{Seq: 17, Data: 9}, false},
		{"capacity left", target, timeout, func(r *keptRun, _ Key) { finishOne(r.Gate, r.now) }, Segment{Seq: 17, Data: 9}, false},
		{"acknowledgement", target, timeout, nil, Segment{Seq: 17}, false},
		{"close", target, timeout, nil, Segment{Seq: 17, Fin: true}, false},
		{"repeated data of the request before", target, timeout, nil, Segment{Seq: 8, Data: 9}, false},
		{"request under way", target, timeout, func(r *keptRun, key Key) {
			finishOne(r.Gate, r.now)
			r.use(Segment{Key: key, Seq: 17, Data: 9})
			r.now = r.now.Add(newRequestPause)
		}, Segment{Seq: 26, Data: 9}, false},
		{"rest of a request that the server has begun to answer", target, timeout, func(r *keptRun, key Key) {
			finishOne(r.Gate, r.now)
			r.use(Segment{Key: key, Seq: 17, Data: 9})
			r.FromServer(r.now, Segment{Key: key, Seq: 151, Ack: 26, HasAck: true}, []byte{4})
			offerWaiting(r.Gate, r.now, 99, 0)
		}, Segment{Seq: 26, Data: 9}, false},
		{"download under way", target, timeout, func(r *keptRun, key Key) {
			r.FromServer(r.now, Segment{Key: key, Seq: 151, Ack: 17, HasAck: true, Data: 1000}, []byte{4})
			r.now = r.now.Add(newRequestPause)
		}, Segment{Seq: 17, Data: 9}, false},
		{"shortly after a packet", target, timeout, func(r *keptRun, key Key) { r.use(Segment{Key: key, Seq: 17}) }, Segment{Seq: 17, Data: 9}, false},
		{"draining server", target, timeout, func(r *keptRun, _ Key) {
			r.Heartbeat(r.now, Heartbeat{Instance: "i", Sequence: 9, Service: listing, Slots: 3, Draining: true})
		}, Segment{Seq: 17, Data: 9}, false},
		{"too many kept", target, timeout, func(r *keptRun, _ Key) { r.waiting.kept = 3 * keptPerSlot }, Segment{Seq: 17, Data: 9}, false},
	} {
		r := newKeptRun(t)
		key := r.openIdleFlow(1, c.target, c.timeout)
		if c.prepare != nil {
			c.prepare(r, key)
		}
		r.collect()
		c.packet.Key = key
		r.use(c.packet)
		if kept := r.flows[key].kept != nil; kept != c.kept || kept == (r.toServer() > 0) {
			t.Errorf("%s: kept: %v, %d packets sent on", c.name, kept, r.toServer())
		}
	}
}

// Guards against a kept request that is served out of turn, more than once, or that keeps
// the flow from being used after the caller's deadline.
func TestKeptRequestOnOpenFlowIsServedInTurn(t *testing.T) {
	const target, timeout = 200 * time.Millisecond, 2 * time.Second
	r := newKeptRun(t)
	key := r.openIdleFlow(1, target, timeout)
	late := r.offer(2)
	r.use(Segment{Key: key, Seq: 17, Data: 9})
	r.use(Segment{Key: key, Seq: 17, Data: 9})
	requests := r.requests
	finishOne(r.Gate, r.now)
	r.collect()
	if got := r.packetsToServer(); len(got) != 1 || got[0] != 17 || r.flows[late] != nil || r.requests != requests {
		t.Errorf("packets %v sent to the server, want the kept one before the late flow's; %d requests", got, r.requests)
	}
	r.FromServer(r.now, Segment{Key: key, Seq: 151, Ack: 26, HasAck: true, Data: 100}, []byte{4})
	r.collect()
	if r.flows[late] == nil {
		t.Error("the late flow was not served after the answer")
	}

	expired := r.openIdleFlow(3, target, timeout)
	r.use(Segment{Key: expired, Seq: 17, Data: 9})
	r.now = r.now.Add(timeout)
	r.heartbeat()
	r.collect()
	if r.toServer() != 0 || r.flows[expired].kept != nil {
		t.Errorf("%d packets of an expired request sent to the server", r.toServer())
	}
	r.use(Segment{Key: expired, Seq: 17, Data: 9})
	if r.toServer() != 1 {
		t.Error("a repeated packet of an expired request was not sent on")
	}
}

// Guards against an operator who can't see who waits for a server, or why a flow was refused.
func TestWaitingIsVisible(t *testing.T) {
	r := newKeptRun(t)
	r.keepRequest(1)
	r.offer(2)
	reserveWaiting(r.Gate, r.now, 3, 100*time.Millisecond, ReasonNone)
	r.now = r.now.Add(100 * time.Millisecond)
	s, w := r.Snapshot(r.now), r.Stats().Waiting
	if s.Queued != 1 || s.Callers != 1 || s.Kept != 1 || s.LongestWait != 100*time.Millisecond || s.ExpectedTime != requestTime {
		t.Errorf("snapshot %+v", s)
	}
	if w.Flows != 1 || w.Callers != 1 || w.Requests != 1 || w.KeptBytes != 2 || w.ExpectedTime != requestTime {
		t.Errorf("%+v", w)
	}
	r.now = r.now.Add(keptWait)
	r.Tick(r.now)
	if got := r.Stats().Waiting.Refused[waiting.Expired]; got != 2 {
		t.Errorf("%d entries expired, want the flow and the caller", got)
	}
}

// Guards against a kept request that is refused, which would reset a flow that its server
// holds: requests that can be in time fill the queue.
func TestKeptRequestIsNotDisplaced(t *testing.T) {
	r := newKeptRun(t)
	key := r.keepRequest(1)
	for n := range 2 * queuePerSlot * r.server.slots {
		s := Segment{Key: Key{Caller: [4]byte{10, 0, byte(n >> 8), byte(n)}, CallerPort: 1}, Seq: 7, Syn: true}
		r.FromBalancer(r.now, balancerA, &Message{Kind: Open, Service: listing, OnTime: time.Second, Wait: time.Second}, &s, []byte{1})
	}
	if r.flows[key].kept == nil || r.Stats().Waiting.Requests != 1 || r.waiting.queue.Len() != queuePerSlot*r.server.slots {
		t.Errorf("%+v", r.Stats().Waiting)
	}
}

// Guards against a server that becomes cold and gets more first packets than its limit allows,
// because those of flows opened late in the last second are not counted.
func TestLateOpeningCountsTowardsColdLimit(t *testing.T) {
	r := newKeptRun(t)
	r.offer(1)
	r.pass(keptWait - openBeforeRefusal - 10*time.Millisecond)
	before := r.recentRequests(r.now)
	r.pass(20 * time.Millisecond)
	if got := r.recentRequests(r.now); r.Stats().OpenedLate != 1 || got != before+1 {
		t.Errorf("%d requests count, %d before the late opening", got, before)
	}
}
