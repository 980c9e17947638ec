package lab

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// controlFigures runs an experiment on a fleet and returns its figures by role and quantity.
func controlFigures(t *testing.T, name string, balancers, agents int) map[string]float64 {
	t.Helper()
	c := DefaultControlConfig()
	c.Balancers, c.Agents, c.Span = balancers, agents, 10*time.Second
	list, err := figure.Run(ControlExperiments, []string{name}, c)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, f := range list {
		_, role, _ := strings.Cut(f.Case, ", each ")
		values[strings.TrimSpace(role+" "+f.Quantity)] = f.Value
	}
	return values
}

// Guards against control messages of a process that grow with the fleet, at rest and when
// all processes start.
func TestControlMessagesDoNotGrowWithFleet(t *testing.T) {
	const times, slack = 3, 1.25
	limits := map[string]float64{
		"balancer messages received a second": 75,
		"balancer bytes received a second":    8000,
		"agent messages sent a second":        12,
		"agent messages received a second":    12,
	}
	for _, name := range []string{"rest", "start"} {
		small := controlFigures(t, name, 40, 90)
		large := controlFigures(t, name, times*40, times*90)
		for quantity := range limits {
			if large[quantity] > slack*small[quantity] {
				t.Errorf("%s: %s: %.0f, and %.0f at %d times the size", name, quantity, small[quantity], large[quantity], times)
			}
			if name == "rest" && large[quantity] > limits[quantity] {
				t.Errorf("%s: %s: %.1f, want at most %.0f", name, quantity, large[quantity], limits[quantity])
			}
		}
	}
}

// Guards against a failed agent that balancers go on offering flows to, and against an ended
// one that lookups wait for, until each balancer has found out by itself.
func TestFailuresAreKnownInTwoSecondsAtAnySize(t *testing.T) {
	const limit = 2 // seconds
	for _, size := range []int{20, 120} {
		for quantity, seconds := range controlFigures(t, "failure", size, 2*size) {
			if !strings.HasSuffix(quantity, "by all") && seconds > limit {
				t.Errorf("%d balancers: %s: %.2f s, want at most %d s", size, quantity, seconds, limit)
			}
		}
	}
}

func TestWrongControlConfigIsRefused(t *testing.T) {
	for _, change := range []func(*ControlConfig){
		func(c *ControlConfig) { c.Balancers = 1 }, func(c *ControlConfig) { c.Agents = 0 },
		func(c *ControlConfig) { c.Services = 0 }, func(c *ControlConfig) { c.Span = 0 },
	} {
		c := DefaultControlConfig()
		change(&c)
		_, err := figure.Run(ControlExperiments, nil, c)
		var wrong *ConfigError
		if !errors.As(err, &wrong) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
