package idempotency

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{
		Window:    10 * time.Second,
		Expiry:    400 * time.Millisecond,
		Skew:      time.Second,
		Freshness: time.Second,
		Retention: time.Hour,
		Resend:    50 * time.Millisecond,
		Drift:     0.02,
		Voters:    5,
		MaxKeys:   1000,
	}
}

func drawFaults(t *rapid.T) faults {
	rate := func(name string, values ...float64) float64 {
		return rapid.SampledFrom(append(values, 0)).Draw(t, name)
	}
	return faults{
		loss:      rate("loss", 0.05, 0.3),
		dup:       rate("dup", 0.1, 0.5),
		delay:     rapid.SampledFrom([]time.Duration{1e6, 1e8, 1e9, 2e10}).Draw(t, "delay"),
		crash:     rate("crash", 0.002, 0.02),
		restart:   rate("restart", 0.005, 0.02),
		pause:     rate("freeze", 0.002, 0.02),
		partition: rate("partition", 0.002, 0.02),
		suspect:   rate("suspect", 0.01, 0.1),
		join:      rate("join", 0.002, 0.01),
		leave:     rate("leave", 0.001, 0.002),
		maxPause:  rapid.SampledFrom([]time.Duration{5e8, 1e10, 3e10}).Draw(t, "freeze time"),
	}
}

func key(i int) Key { return KeyOf(7, "kanatpar", string(rune('a'+i))) }

// checkAnswers fails the test unless each answer is consistent with the runs so far.
func (s *simulation) checkAnswers(t *rapid.T) func(*call) {
	return func(c *call) {
		var earlier *call
		for _, r := range s.ran {
			if r != c && r.key == c.key {
				earlier = r
			}
		}
		recent := earlier != nil && s.now.Sub(earlier.ranAt) < s.cfg.Window
		switch {
		case c.result == Run && recent:
			t.Fatalf("a request runs again for the key after %v", s.now.Sub(earlier.ranAt))
		case c.result == NotRun && recent:
			t.Fatalf("answered not run, but it ran %v ago", s.now.Sub(earlier.ranAt))
		case c.result == Duplicate && c.state.ran() && earlier == nil:
			t.Fatalf("answered %v, but it never ran", c.state)
		}
	}
}

// Guards against two agents that both run a request for one key within its window,
// while callers repeat requests at any agent, datagrams are lost, duplicated, delayed
// and reordered, and agents crash, pause, join, leave, suspect each other and are
// partitioned.
func TestNoKeyRunsTwiceWithinItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Voters = rapid.SampledFrom([]int{1, 3, 5, 9}).Draw(t, "homes")
		n := rapid.IntRange(1, 9).Draw(t, "agents")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), n, cfg, drawFaults(t))
		sim.check = sim.checkAnswers(t)
		sim.run(60*time.Second, func() {
			if sim.rng.IntN(4) == 0 {
				sim.begin(sim.rng.IntN(len(sim.processes)), key(sim.rng.IntN(6)))
			}
		}, true)
	})
}

// Guards against keys that are refused for a minute after a rolling restart of all
// agents, one second each, because every voter loses its votes and is fenced.
func TestPlannedRollFencesNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(t, "agents")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), n, testConfig(), faults{delay: 5 * time.Millisecond})
		sim.check = sim.checkAnswers(t)
		i, next := 0, 0
		sim.run(time.Duration(2*n+8)*time.Second, func() {
			if sim.stepNumber()%100 == 0 && next < n {
				sim.restart(sim.processes[next], time.Second)
				next++
			}
			if p := sim.processes[(next+1)%n]; i < 50 && sim.stepNumber()%10 == 0 && p.up {
				sim.begin((next+1)%n, key(i))
				i++
			}
		}, false)
		if i != 50 || len(sim.ran) != 50 {
			t.Fatalf("%d of %d keys ran during a rolling restart", len(sim.ran), i)
		}
	})
}

// ranOnce is the sequential specification of one key: a run needs that no request
// ran before, a duplicate comes after a run, not run comes before any run, and
// unknown implies nothing.
var ranOnce = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran := state.(bool)
		switch output.(EffectKind) {
		case Run:
			return !ran, true
		case Duplicate:
			return ran, ran
		case NotRun:
			return !ran, ran
		}
		return true, ran
	},
}

func TestHistoryOfOneKeyIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Window = time.Minute
		f := drawFaults(t)
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "agents"), cfg, f)
		sim.check = func(*call) {}
		sim.run(30*time.Second, func() {
			if sim.rng.IntN(50) == 0 {
				sim.begin(sim.rng.IntN(len(sim.processes)), key(0))
			}
		}, true)
		var ops []porcupine.Operation
		for i, c := range sim.calls {
			out := c.result
			if out == Duplicate && !c.state.ran() || c.end.IsZero() {
				out = Unknown
			}
			if c.end.IsZero() {
				c.end = sim.now
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Call: c.begin.UnixNano(), Return: c.end.UnixNano(), Output: out})
		}
		if !porcupine.CheckOperations(ranOnce, ops) {
			t.Fatalf("history of %d calls isn't linearizable", len(ops))
		}
	})
}

// Guards against a key for which no request runs although there are no faults.
func TestEveryKeyRunsWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "agents")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), n, testConfig(), faults{delay: 5 * time.Millisecond})
		sim.check = func(*call) {}
		i := 0
		sim.run(4*time.Second, func() {
			if i < 50 {
				sim.begin(sim.rng.IntN(n), key(i))
				i++
			}
		}, false)
		if len(sim.ran) != 50 {
			t.Fatalf("%d of 50 keys ran", len(sim.ran))
		}
	})
}

// Guards against keys that are refused for a minute after one of three or more
// agents has crashed, because they wait for the vote of that agent.
func TestOneCrashFencesNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "agents")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), n, testConfig(), faults{delay: 5 * time.Millisecond})
		sim.check = func(*call) {}
		sim.crash(sim.processes[0], time.Second)
		i := 0
		sim.run(8*time.Second, func() {
			if i < 50 && sim.stepNumber()%5 == 0 {
				sim.begin(1+sim.rng.IntN(n-1), key(i))
				i++
			}
		}, false)
		if len(sim.ran) != 50 {
			t.Fatalf("%d of 50 keys ran", len(sim.ran))
		}
	})
}
