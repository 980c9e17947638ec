package flow

import (
	"testing"
	"time"
)

// askReturn asks a gate for room for a caller and returns the kinds of its answers.
func askReturn(g *Gate, now time.Time, port uint16, wait time.Duration) []MessageKind {
	key := Key{CallerPort: port}
	g.FromBalancer(now, balancerA, &Message{Kind: ReserveCapacity, Key: key, Service: listing, Wait: wait}, nil, nil)
	return answersFor(g, key)
}

// answersFor returns the kinds of the messages about a flow.
func answersFor(g *Gate, key Key) []MessageKind {
	var list []MessageKind
	for _, e := range g.Effects() {
		if e.Kind == SendMessage && e.Message.Key == key {
			list = append(list, e.Message.Kind)
		}
	}
	return list
}

func readyGate(now time.Time, slots int) *Gate {
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 1, Service: listing, Slots: slots})
	g.Effects()
	return g
}

// Symptom: callers whose flows ended with their server come back in the same moment,
// are refused as busy, and have spent their tries a moment later.
// Sequence: power returns everywhere; all callers' flows are gone.
// Cause: each was told as soon as it was certain that its flow is gone.
func TestCallersComeBackAsThereIsRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 3)
	told := 0
	for port := range uint16(10) {
		for _, kind := range askReturn(g, now, port, time.Second) {
			if kind == CapacityReserved {
				told++
			}
		}
	}
	if want := g.callerCapacity(); told != want {
		t.Errorf("%d callers told at once, want %d", told, want)
	}
	now = now.Add(reservationTTL)
	g.Tick(now)
	for _, e := range g.Effects() {
		if e.Message.Kind == CapacityReserved {
			told++
		}
	}
	if want := 2 * g.callerCapacity(); told != want {
		t.Errorf("%d callers told after the first did not come, want %d", told, want)
	}
}

// Symptom: a caller waits for its deadline although its request can't be served.
// Sequence: more callers of ended flows wait for room than there is, for too long.
// Cause: who waits was only told when there was room.
func TestCallersWithoutRoomAreTold(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 1)
	full := waitingCallersPerSlot + g.callerCapacity()
	for port := range uint16(full) {
		askReturn(g, now, port, 100*time.Millisecond)
	}
	if got := askReturn(g, now, 5000, time.Second); len(got) != 1 || got[0] != Refused {
		t.Errorf("answers %v to one too many", got)
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
		t.Error("nobody is told when the time to wait is over")
	}
}

// Symptom: requests that could be answered in time are late.
// Sequence: after a loss of power more flows wait than can be served.
// Cause: what came first went first, also if it was late already.
func TestWhatCanBeInTimeGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	old := queueEntry{onTimeUntil: now, expiresAt: now.Add(100 * time.Millisecond)}
	young := queueEntry{onTimeUntil: now, expiresAt: now.Add(time.Second)}
	urgent := queueEntry{onTimeUntil: now, expiresAt: now.Add(50 * time.Millisecond), urgent: true}
	early := queueEntry{onTimeUntil: now.Add(time.Millisecond), expiresAt: now.Add(10 * time.Millisecond)}
	list := []queueEntry{old, young, urgent, early}
	for _, want := range []queueEntry{early, urgent, old, young} {
		if got := removeNext(&list, now); got.expiresAt != want.expiresAt {
			t.Errorf("first until %v, want %v", got.expiresAt.Sub(now), want.expiresAt.Sub(now))
		}
	}
}

// Symptom: a server answers first packets that nobody confirms.
// Sequence: a caller sends the second copy of a first packet; there is no room for the
// rest of its attempt.
// Cause: a flow could wait for as long whatever copy it began with.
func TestWaitEndsWithTheCallersAttempt(t *testing.T) {
	r := Route{Target: time.Second, Timeout: 8 * time.Second}
	for copies, passed := range []time.Duration{0, firstCopy, secondCopy} {
		if _, wait := r.waits(uint32(copies)); passed+wait > attemptEnd {
			t.Errorf("copy %d waits until %v after the first", copies, passed+wait)
		}
	}
}

// Symptom: a balancer asks for flows by the hundreds, and agents answer for none.
// Sequence: the question for many flows is answered while one of them is held, one has
// ended and others are not there.
// Cause: an answer names only flows that there is something to say of.
func TestQueryIsAnsweredForAllFlows(t *testing.T) {
	now := time.Unix(1000, 0)
	g := readyGate(now, 3)
	open := Segment{Key: Key{CallerPort: 1}, Seq: 1, Syn: true}
	g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing}, &open, []byte{1})
	g.FromServer(now, Segment{Key: open.Key, Seq: 9, Ack: 2, Syn: true, HasAck: true}, []byte{1})
	g.addFlow(now, Key{CallerPort: 2}, gateLost)
	g.Effects()
	question := make([]byte, numberSize)
	for port := range uint16(4) {
		question = append(Key{CallerPort: port}.Append(question), 10, 0, 0, 0)
	}
	g.FromBalancer(now, balancerA, &Message{Kind: Query}, nil, question)
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
	t.Error("no answer")
}
