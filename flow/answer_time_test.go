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

// Guards against a server that answers every request with an error within a millisecond
// and draws most of its service's flows. Such a server reports that it is ready and
// always looks idle, so the load alone would prefer it.
func TestImplausiblyFastAnswersCountAsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	answerAll(g, &now, 100, 40*time.Millisecond)
	idle := g.occupancy(now)
	answerAll(g, &now, 30, time.Millisecond)
	if failing := g.occupancy(now); failing < idle+80 {
		t.Fatalf("occupancy is %d while the server fails, was %d before", failing, idle)
	}
}

// Guards against servers that look busy for good after one hang, so that flows gather
// at the others. A server hangs for a while, its answers take seconds, then it
// recovers. If the slow answers raised the mean so far that every usual answer counted
// as implausibly fast, and implausibly fast answers were left out of the mean, the mean
// would never recover.
func TestHangDoesNotMakeUsualAnswersImplausiblyFast(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{}, nil)
	answerAll(g, &now, 100, 40*time.Millisecond)
	answerAll(g, &now, 20, 3*time.Second)
	answerAll(g, &now, 200, 40*time.Millisecond)
	if n := g.Stats().ImplausiblyFast; n > 0 {
		t.Fatalf("%d usual answers counted as implausibly fast", n)
	}
}
