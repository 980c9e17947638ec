package flow

import (
	"testing"
	"time"
)

// answerAll has the server of g answer n requests, each after took.
func answerAll(g *Gate, now *time.Time, n int, took time.Duration) {
	for range n {
		f := &gateFlow{answerPending: true, requestSentAt: *now}
		*now = now.Add(took)
		g.recordAnswerTime(*now, f)
	}
}

// Symptom: a server that answers every request with an error within a
// millisecond draws most of its service's flows.
// Sequence: a few of a service's servers fail at once and say that they are well.
// Cause: what fails at once is always idle, and load alone decides.
func TestHastyAnswersCountAsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	answerAll(g, &now, 100, 40*time.Millisecond)
	idle := g.occupancy(now)
	answerAll(g, &now, 30, time.Millisecond)
	if failing := g.occupancy(now); failing < idle+80 {
		t.Fatalf("occupancy %d while failing, %d before", failing, idle)
	}
}

// Symptom: a service's servers look busy for good after one of them hung, and
// flows gather at the others.
// Sequence: a server hangs for a while, and its answers take seconds; then it is
// well again.
// Cause: the answers that hung made its mean so high that every usual answer
// counted as a hasty one, and hasty ones were left out of the mean.
func TestHangDoesNotMakeUsualAnswersHasty(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	answerAll(g, &now, 100, 40*time.Millisecond)
	answerAll(g, &now, 20, 3*time.Second)
	answerAll(g, &now, 200, 40*time.Millisecond)
	if n := g.Stats().ImplausiblyFast; n > 0 {
		t.Fatalf("%d usual answers counted as hasty", n)
	}
}
