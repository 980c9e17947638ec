package flow

import (
	"slices"
	"testing"
	"time"
)

// requestReservation requests capacity for a caller from a gate and returns the kinds of its replies.
func requestReservation(g *Gate, now time.Time, port uint16, wait time.Duration) []MessageKind {
	key := Key{CallerPort: port}
	g.FromBalancer(now, balancerA, &Message{Kind: ReserveCapacity, Key: key, Service: listing, Wait: wait}, nil, nil)
	return repliesFor(g, key)
}

// repliesFor returns the kinds of the messages that a gate sent about a flow.
func repliesFor(g *Gate, key Key) []MessageKind {
	var list []MessageKind
	for _, e := range g.Effects() {
		if e.Kind == SendMessage && e.Message.Key == key {
			list = append(list, e.Message.Kind)
		}
	}
	return list
}

// readyGate returns a gate whose server is ready and has the given number of slots.
func readyGate(now time.Time, slots int) *Gate {
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 1, Service: listing, Slots: slots})
	g.Effects()
	return g
}

// Guards against callers that all open new flows at the same moment after a power loss
// everywhere, are refused as busy and use up their attempts at once. This happens if each
// caller is notified as soon as its flow is known to be lost.
func TestCallersAreNotifiedWithinCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 3)
	notified := 0
	for port := range uint16(10) {
		for _, kind := range requestReservation(g, now, port, time.Second) {
			if kind == CapacityReserved {
				notified++
			}
		}
	}
	if want := g.callerCapacity(); notified != want {
		t.Errorf("%d callers notified at once, want %d", notified, want)
	}
	now = now.Add(reservationTTL)
	g.Tick(now)
	for _, e := range g.Effects() {
		if e.Message.Kind == CapacityReserved {
			notified++
		}
	}
	if want := 2 * g.callerCapacity(); notified != want {
		t.Errorf("%d callers notified after the first reservations expired, want %d", notified, want)
	}
}

// Guards against a caller that waits until its deadline although its request can't be
// served: more callers of ended flows wait than the server has capacity for. This happens
// if a waiting caller is notified only once there is capacity.
func TestCallersWithoutCapacityAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 1)
	full := waitingCallersPerSlot + g.callerCapacity()
	for port := range uint16(full) {
		requestReservation(g, now, port, 100*time.Millisecond)
	}
	if got := requestReservation(g, now, 5000, time.Second); len(got) != 1 || got[0] != Refused {
		t.Errorf("replies %v to a caller beyond the limit, want one refusal", got)
	}
	now = now.Add(100 * time.Millisecond)
	g.Tick(now)
	refused := 0
	for _, e := range g.Effects() {
		if e.Message.Kind == Refused {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no caller is refused when its wait expires")
	}
}

// Guards against late answers to requests that could be answered in time: after a power
// loss more flows wait than can be served, and strict arrival order serves those first that
// are already late.
func TestRequestsThatCanBeInTimeGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fullGate(now)
	const lateFirst, lateSecond, urgent, early = 1, 2, 3, 4
	for _, c := range []struct {
		port         uint16
		priority     uint8
		onTime, wait time.Duration
	}{
		{lateFirst, 2, 0, 100 * time.Millisecond},
		{lateSecond, 2, 0, time.Second},
		{urgent, 1, 0, 50 * time.Millisecond},
		{early, 2, time.Millisecond, 10 * time.Millisecond},
	} {
		s := Segment{Key: Key{CallerPort: c.port}, Seq: 7, Syn: true}
		g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing, Priority: c.priority, OnTime: c.onTime, Wait: c.wait}, &s, []byte{1})
	}
	if got, want := servedOrder(g, now), []uint16{early, urgent, lateFirst, lateSecond}; !slices.Equal(got, want) {
		t.Errorf("served ports %v, want %v", got, want)
	}
}

// Guards against a server that answers first packets whose flows are never confirmed: a
// flow that was offered with the second copy of its first packet waits for capacity beyond
// the end of the caller's attempt, because the wait does not depend on the copy.
func TestWaitEndsWithTheCallersAttempt(t *testing.T) {
	r := Route{Target: time.Second, Timeout: 8 * time.Second}
	for copies, passed := range []time.Duration{0, firstRetransmission, secondRetransmission} {
		if _, wait := r.waitLimits(uint32(copies)); passed+wait > attemptTimeout {
			t.Errorf("copy %d waits until %v after the first", copies, passed+wait)
		}
	}
}

// Guards against lookups of many flows that stay unresolved: a query answer names only the
// flows that are held or lost, and the balancer has to take all others as not held.
func TestQueryIsAnsweredForAllFlows(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 3)
	open := Segment{Key: Key{CallerPort: 1}, Seq: 1, Syn: true}
	g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing}, &open, []byte{1})
	g.FromServer(now, Segment{Key: open.Key, Seq: 9, Ack: 2, Syn: true, HasAck: true}, []byte{1})
	lost := g.addFlow(now, Key{CallerPort: 2}, gateLost)
	lost.serverEnd, lost.hasServerEnd = 10, true
	g.Effects()
	query := make([]byte, numberSize)
	for port := range uint16(4) {
		query = append(Key{CallerPort: port}.Append(query), 10, 0, 0, 0)
	}
	g.FromBalancer(now, balancerA, &Message{Kind: Query}, nil, query)
	for _, e := range g.Effects() {
		if e.Message.Kind != QueryAnswer {
			continue
		}
		for port, want := range []LookupResult{FlowNotHeld, FlowHeld, FlowLost, FlowNotHeld} {
			if got := resultFor(Key{CallerPort: uint16(port)}, e.Packet[numberSize:]); got != want {
				t.Errorf("port %d: %v, want %v", port, got, want)
			}
		}
		return
	}
	t.Error("the query was not answered")
}
