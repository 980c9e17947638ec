package flow

import (
	"testing"
	"time"
)

// fullGate returns an agent whose server is at work on as much as may reach it.
func fullGate(now time.Time) *Gate {
	g := readyGate(now, 3)
	for i := range g.requestCapacity() {
		s := Segment{Key: Key{CallerPort: uint16(9000 + i)}, Seq: 7, Syn: true}
		g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing}, &s, []byte{1})
		g.FromServer(now, Segment{Key: s.Key, Seq: 50, Ack: 8, Syn: true, HasAck: true}, []byte{2})
		g.FromBalancer(now, balancerA, &Message{Kind: Pass}, &Segment{Key: s.Key, Seq: 8, Ack: 51, HasAck: true, Data: 9}, []byte{3})
	}
	g.Effects()
	return g
}

// finishOne has the server answer one of its requests.
func finishOne(g *Gate, now time.Time) {
	for key, f := range g.flows {
		if f.requestActive && f.state == gateOpen {
			g.FromServer(now, Segment{Key: key, Seq: 51, Ack: 17, HasAck: true, Data: 9}, []byte{4})
			return
		}
	}
}

// offerWaiting offers a flow that may wait, and returns its key.
func offerWaiting(g *Gate, now time.Time, port uint16, onTime time.Duration) Key {
	s := Segment{Key: Key{CallerPort: port}, Seq: 7, Syn: true}
	g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing, Priority: 2, OnTime: onTime, Wait: time.Second}, &s, []byte{1})
	return s.Key
}

// returnWaiting asks for room for a caller.
func returnWaiting(g *Gate, now time.Time, port uint16, onTime time.Duration, reason Reason) {
	m := Message{Kind: ReserveCapacity, Key: Key{CallerPort: port}, Service: listing, Priority: 2, Reason: reason, OnTime: onTime, Wait: time.Second}
	g.FromBalancer(now, balancerA, &m, nil, nil)
}

// Symptom: after a loss of power new requests on long flows are late while late ones are
// served: callers of ended flows waited for 0.7 s, then all were told at once.
// Sequence: the server is full; a flow that is late already waits, and then the caller of
// an ended flow whose request can be in time; a request ends; a late flow comes.
// Cause: every flow went before every caller that was to come back.
func TestCallerThatCanBeInTimeGoesBeforeLateFlow(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fullGate(now)
	late := offerWaiting(g, now, 1, 0)
	returnWaiting(g, now, 2, 100*time.Millisecond, ReasonNone)
	g.Effects()
	finishOne(g, now)
	told := false
	for _, e := range g.Effects() {
		told = told || e.Message.Kind == CapacityReserved
	}
	if !told || g.findQueued(late) == nil {
		t.Errorf("caller told: %v, late flow still waits: %v", told, g.findQueued(late) != nil)
	}
}

// Symptom: as above.
// Sequence: a slot gets free while the caller of an ended flow waits; before it is told, a
// late flow is offered.
// Cause: a new flow took any slot that was free.
func TestLateFlowWaitsBehindCaller(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fullGate(now)
	returnWaiting(g, now, 2, 100*time.Millisecond, ReasonNone)
	g.waitingCallers[0].expiresAt = now.Add(time.Minute)
	g.requests-- // a slot that dequeue has not given away yet
	if reason := g.refusalReason(now, &Message{Kind: Open, Service: listing}); reason != ReasonBusy {
		t.Errorf("late flow: %v, want busy", reason)
	}
	if reason := g.refusalReason(now, &Message{Kind: Open, Service: listing, OnTime: 200 * time.Millisecond, Priority: 1}); reason != ReasonNone {
		t.Errorf("urgent flow that can be in time: %v", reason)
	}
}

// Symptom: nearly all callers that come back after a loss of power are late.
// Sequence: in the first moments a packet of an ended flow may be a repeat of one from
// before, and those come by first; more wait than can be served.
// Cause: served in the order in which they came, the new requests among them waited
// behind the old ones.
func TestYoungestOfThoseThatMayBeOlderGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(onTime time.Duration, older bool) queueEntry {
		return queueEntry{onTimeUntil: now.Add(onTime), expiresAt: now.Add(onTime + time.Second), mayBeOlder: older}
	}
	late, first, last, sure := wait(0, true), wait(100*time.Millisecond, true), wait(150*time.Millisecond, true), wait(50*time.Millisecond, false)
	list := []queueEntry{late, first, last, sure}
	for i, want := range []queueEntry{sure, last, first, late} {
		if got := removeNext(&list, now); got.onTimeUntil != want.onTimeUntil {
			t.Errorf("number %d can be in time for %v, want %v", i, got.onTimeUntil.Sub(now), want.onTimeUntil.Sub(now))
		}
	}
}

// Symptom: a caller hangs until its deadline.
// Sequence: the caller of an ended flow waits for room at an agent, which is killed.
// Cause: only the agent's word ended the wait.
func TestCallerIsToldWhenItsAgentIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(testRoutes(1))
	d.FromAgent(now, agentAddr(0), &Message{Kind: Report, State: ServerReady, Service: listing, Zone: ZoneID("a")}, nil, nil)
	c := Key{CallerPort: 1, Service: [4]byte{198, 18, 0, 1}, ServicePort: listingPort}
	e := d.remember(now, c)
	d.lost(now, e, &Segment{Key: c, Ack: 5, HasAck: true, Data: 9}, ReasonLost)
	d.FromAgent(now, agentAddr(0), &Message{Kind: Queued, Key: c, State: ServerReady, Service: listing}, nil, nil)
	until := e.returning.until
	if wait := until.Sub(now); wait > 1200*time.Millisecond/returnWaitPart {
		t.Fatalf("may wait for %v of a deadline of 1.2 s", wait)
	}
	d.Effects()
	for !now.After(until.Add(2*DefaultOpenTimeout + 2*returnCheck)) {
		now = now.Add(10 * time.Millisecond)
		d.Tick(now)
		for _, e := range d.Effects() {
			if e.Kind == SendReset {
				if now.Before(until) {
					t.Errorf("told %v before its time", until.Sub(now))
				}
				return
			}
		}
	}
	t.Error("the caller was not told")
}

// Symptom: after a loss of power no search ends for half a second and more.
// Sequence: a VM whose server had left starts once more, says that its server holds no
// flow, and is taken away.
// Cause: its answer was waited for as long as that of an agent with flows.
func TestEmptyAgentThatAnswersNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{}, nil)
	d.FromAgent(now, agentAddr(0), &Message{Kind: Report, State: ServerUnknown, Reason: ReasonNotHeld, Service: listing}, nil, nil)
	d.FromAgent(now, agentAddr(1), &Message{Kind: Report, State: ServerReady, Service: listing}, nil, nil)
	for n, want := range []time.Duration{maxAsked * askEvery, 0} {
		a := d.agents[agentAddr(n)]
		for range maxAsked {
			a.noteQuestion(now)
		}
		before := now.Add(maxAsked*askEvery - time.Millisecond)
		if d.absent(before, a) || d.absent(before.Add(time.Millisecond), a) != (want > 0) {
			t.Errorf("agent %d: need not answer after %v: %v, a millisecond later: %v", n, before.Sub(now), d.absent(before, a), d.absent(before.Add(time.Millisecond), a))
		}
	}
}

// Symptom: for many seconds after a loss of power balancers go on looking for hundreds of
// flows a second at every agent, and find none.
// Sequence: callers close flows that have ended with their servers.
// Cause: a caller that only closes its flow was told nothing, and repeated that.
func TestCallerThatClosesDeadFlowIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(testRoutes(1))
	key := Key{CallerPort: 1, Service: [4]byte{198, 18, 0, 1}, ServicePort: listingPort}
	d.lost(now, d.remember(now, key), &Segment{Key: key, Ack: 5, HasAck: true, Fin: true}, ReasonNotHeld)
	out := d.Effects()
	if len(out) != 1 || out[0].Kind != SendReset || out[0].ResetSeq != 5 || d.flows[key] != nil {
		t.Errorf("%+v; still remembered: %v", out, d.flows[key] != nil)
	}
}
