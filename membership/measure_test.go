// The tests in this file run the experiments of docs/measure/membership.md at small
// sizes; `hemlock-lab membership` runs them at full size.
package membership_test

import (
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
	. "github.com/hemlockscale/hemlockscale/membership"
	"github.com/hemlockscale/hemlockscale/membership/lab"
)

// Guards against a change that some balancer never receives, with or without loss,
// because gossip ends before all know it and repair doesn't find it.
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

// Guards against changes that are lost when 40 agents leave at once or ten a
// second, because changes held back by the byte rate are dropped.
func TestMeasureBurst(t *testing.T) {
	for _, every := range []time.Duration{0, 100 * time.Millisecond} {
		if b := lab.Burst(9, 32, 40, every); !b.AllKnown {
			t.Errorf("every %v: not all changes are known after 2 minutes", every)
		}
	}
}

// Guards against control traffic above its rate at rest, with as many agents per
// balancer as at the target size. Reports and acks are sent beyond the rate.
func TestMeasureReports(t *testing.T) {
	r := lab.Reports(4, 16, 20*time.Second)
	if r.Balancer.Bytes > DefaultRate {
		t.Errorf("a balancer sends %.0f B/s at rest, its rate is %d", r.Balancer.Bytes, DefaultRate)
	}
}

// Guards against suspicions of healthy processes under message loss and short
// pauses.
func TestMeasureFalseSuspicions(t *testing.T) {
	for _, by := range lab.Disturbances {
		got := lab.Suspicions(5, 6, 20, 5*time.Minute, by)
		t.Logf("%-14s %d suspect verdicts, %d changes to suspect or dead of processes that were not paused", by.Name, got.Verdicts, got.Wrong)
		if by.Loss <= 0.05 && by.Pause < 2500*time.Millisecond && got.Verdicts > 0 || by.Loss == 0 && got.Wrong > 0 {
			t.Errorf("%s: %d suspicions, %d of healthy processes", by.Name, got.Verdicts, got.Wrong)
		}
	}
}

// Guards against a member list of the whole fleet that exceeds the 64 MB of a
// balancer.
func TestMeasureMemory(t *testing.T) {
	r, err := lab.Memory(6)
	if err != nil || r.Decoded != r.Records {
		t.Fatalf("bulk transfer: %d records of %d, %v", r.Decoded, r.Records, err)
	}
	if r.Heap > 32e6 {
		t.Errorf("the member list takes %.1f MB, want at most half of the 64 MB", r.Heap/1e6)
	}
}

// Guards against control traffic above 8 KB/s, or member lists that stay different,
// while agents restart as often as on an ordinary day.
func TestMeasureDay(t *testing.T) {
	r := lab.Day(12, 3, 4, 6, 2*time.Minute)
	if r.Differences != "" {
		t.Errorf("member lists differ 20 s after the last restart:%.1000s", r.Differences)
	}
	if both := r.Sent + r.Received; both > 8192 {
		t.Errorf("%.0f B/s sent and received", both)
	}
}
