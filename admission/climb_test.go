package admission

import (
	"testing"
	"time"
)

// climbOn records answers in c for the time d, at the backend server's rate for
// the current limit, and returns the end of that time. rates holds answers per
// second by level.
func climbOn(c *climber, now time.Time, d time.Duration, rates map[int]float64) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(time.Duration(float64(time.Second) / rates[c.limit()]))
		c.recordAnswer(now)
	}
	return now
}

// Guards against all 5 slots being used on a backend server that slows down
// above 3 concurrent requests without answering 503, which halves its throughput
// and is not visible in the latency.
func TestClimberFindsTheBestLevel(t *testing.T) {
	var c climber
	c.reset(5)
	thrashing := map[int]float64{1: 50, 2: 100, 3: 150, 4: 115, 5: 90}
	now := climbOn(&c, t0, 2*time.Minute, thrashing)
	if c.level != 3 {
		t.Fatalf("level %d, want 3", c.level)
	}
	healthy := map[int]float64{1: 50, 2: 100, 3: 150, 4: 200, 5: 250}
	climbOn(&c, now, 2*time.Minute, healthy)
	if c.level != 5 {
		t.Fatalf("level %d after recovery, want 5", c.level)
	}
}

// Guards against a lower limit when a backend server becomes five times slower
// at every number of concurrent requests: the slower epoch must not count as a
// sign of overload.
func TestClimberStaysWhileBackendIsSlow(t *testing.T) {
	var c climber
	c.reset(5)
	healthy := map[int]float64{1: 50, 2: 100, 3: 150, 4: 200, 5: 250}
	slow := map[int]float64{1: 10, 2: 20, 3: 30, 4: 40, 5: 50}
	now := t0
	for range 60 {
		now = climbOn(&c, now, time.Second, healthy)
		if c.level != 5 {
			t.Fatalf("level %d of a healthy backend server, want 5", c.level)
		}
	}
	now = climbOn(&c, now, 2*time.Minute, slow)
	if c.level != 5 {
		t.Fatalf("level %d in the slow phase, want 5", c.level)
	}
	climbOn(&c, now, 2*time.Minute, healthy)
	if c.level != 5 {
		t.Fatalf("level %d after the slow phase, want 5", c.level)
	}
}

func TestLimitFollowsClimber(t *testing.T) {
	c := New(t0, Config{Slots: 5})
	c.lim.climb.level = 2
	if l := c.Load(t0); l.Limit != 2 {
		t.Fatalf("limit %d, want 2", l.Limit)
	}
}
