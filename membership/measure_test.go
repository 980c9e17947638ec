package membership_test

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// The measurements of docs/measure/membership.md at small sizes;
// `hemlock-lab membership` runs them at full size.

// Symptom: a balancer never hears of a change. Sequence: agents leave one by
// one, with and without loss. Cause: gossip that ends before all know, and
// repair that doesn't find it.
func TestMeasureSpread(t *testing.T) {
	const changes = 10
	for _, loss := range []float64{0, 0.2} {
		for _, n := range []int{8, 64} {
			s := lab.Spread(uint64(n), n, changes, loss)
			t.Logf("n %d loss %v: all p50 %v max %v", n, loss, figure.Quantile(s.All, 0.5), figure.Quantile(s.All, 1))
			if s.Missing > 0 {
				t.Errorf("%d of %d changes are not known to all %v balancers", s.Missing, changes, n)
			}
		}
	}
}

// Symptom: changes are lost when many come at once. Sequence: 40 agents leave
// at once or ten a second. Cause: the byte rate drops what it holds back.
func TestMeasureBurst(t *testing.T) {
	for _, every := range []time.Duration{0, 100 * time.Millisecond} {
		if b := lab.Burst(9, 32, 40, every); !b.AllKnown {
			t.Errorf("every %v: not all changes are known after 2 minutes", every)
		}
	}
}

// Symptom: control traffic exceeds its rate with nothing happening. Sequence:
// a balancer observes as many agents as at the target size. Cause: reports and
// acks, which pass beyond the rate.
func TestMeasureReports(t *testing.T) {
	r := lab.Reports(4, 16, 20*time.Second)
	if r.Balancer.Bytes > DefaultRate {
		t.Errorf("a balancer sends %.0f B/s at rest, its rate is %d", r.Balancer.Bytes, DefaultRate)
	}
}

// Symptom: healthy processes get no work. Sequence: messages are lost, or
// processes pause for a moment. Cause: a short silence taken for a failure.
func TestMeasureFalseSuspicions(t *testing.T) {
	for _, by := range lab.Disturbances {
		got := lab.Suspicions(5, 6, 20, 5*time.Minute, by)
		t.Logf("%-14s %d verdicts of suspicion", by.Name, got)
		if by.Loss <= 0.05 && by.Pause < 2500*time.Millisecond && got > 0 {
			t.Errorf("%s: %d suspicions of healthy processes", by.Name, got)
		}
	}
}

// Symptom: a balancer exceeds its 64 MB. Sequence: it knows the whole fleet.
// Cause: what a record takes.
func TestMeasureMemory(t *testing.T) {
	r, err := lab.Memory(6)
	if err != nil || r.Decoded != r.Records {
		t.Fatalf("bulk: %d records of %d, %v", r.Decoded, r.Records, err)
	}
	if r.Heap > 32e6 {
		t.Errorf("the roster takes %.1f MB, want at most half of the 64 MB", r.Heap/1e6)
	}
}

// Symptom: control traffic exceeds its 8 KB/s, or rosters stay different.
// Sequence: agents restart as often as on the ordinary day. Cause: what a
// restart costs every balancer.
func TestMeasureDay(t *testing.T) {
	r := lab.Day(12, 3, 4, 6, 2*time.Minute)
	if r.Differences != "" {
		t.Errorf("rosters differ 20 s after the last restart:%.1000s", r.Differences)
	}
	if both := r.Sent + r.Received; both > 8192 {
		t.Errorf("%.0f B/s sent and received", both)
	}
}
