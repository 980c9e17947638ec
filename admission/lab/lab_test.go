package lab

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

func run(t *testing.T, name string, c Config) []figure.Figure {
	t.Helper()
	list, err := figure.Run(Experiments, []string{name}, c)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestSameSeedSameFigures(t *testing.T) {
	c := DefaultConfig()
	c.Duration = 2 * time.Second
	for _, e := range Experiments {
		a, b := run(t, e.Name, c), run(t, e.Name, c)
		if len(a) == 0 || !slices.Equal(a, b) {
			t.Errorf("%s: %v and %v", e.Name, a, b)
		}
	}
}

// Guards against a collapse of goodput under overload: at two and ten times the
// capacity, requests whose callers have stopped waiting must not be processed
// before others.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	c := DefaultConfig()
	c.Policies, c.Loads = []Policy{Controller}, []float64{2, 10}
	for _, f := range run(t, "goodput", c) {
		if f.Value < 0.9 {
			t.Errorf("%s: %.3f of capacity, the goal is 0.9", f.Case, f.Value)
		}
	}
}

// Guards against retries without a budget: if every attempt fails and is retried
// three times, the failing backend server receives several times the offered
// requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	if f := run(t, "retries", DefaultConfig()); f[0].Value > 1.11 {
		t.Errorf("%.3f attempts per offered request", f[0].Value)
	}
}

func TestWrongConfigIsRefused(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Slots = 0 }, func(c *Config) { c.Patience = 0 }, func(c *Config) { c.Duration = 0 },
		func(c *Config) { c.Loads = []float64{0} }, func(c *Config) { c.Policies = []Policy{"best"} },
	} {
		c := DefaultConfig()
		change(&c)
		var wrong *ConfigError
		if _, err := Experiments[0].Run(c); !errors.As(err, &wrong) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
