package lab

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

func smallConfig() Config {
	return Config{Sizes: []float64{4, 8}, Losses: []float64{0.1}, Changes: 3, Zones: 4, Balancers: 4, Agents: 6, Duration: 20 * time.Second, Seed: 1}
}

// The memory experiment is excluded: the heap isn't determined by the seed.
func TestSameSeedSameFigures(t *testing.T) {
	for _, e := range Experiments {
		if e.Name == "memory" {
			continue
		}
		a, err := e.Run(smallConfig())
		if err != nil || len(a) == 0 {
			t.Fatalf("%s: %v, %v", e.Name, a, err)
		}
		if b, _ := e.Run(smallConfig()); !slices.Equal(a, b) {
			t.Errorf("%s: %v and %v", e.Name, a, b)
		}
	}
}

func TestWrongConfigIsRefused(t *testing.T) {
	for _, c := range []Config{
		{Sizes: []float64{1}}, {Losses: []float64{1}}, {Changes: -1}, {Zones: 101},
		{Balancers: 1}, {Agents: 1_000_000}, {Duration: time.Second},
	} {
		var wrong *ConfigError
		if _, err := Experiments[0].Run(c); !errors.As(err, &wrong) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// Guards against hemlock-lab ending in a stack trace: the exchange panics on a
// message storm, and Run must return that panic as an error.
func TestFaultOfARunIsAnError(t *testing.T) {
	run := checked(func(Config) []figure.Figure {
		NewExchange(1).Fail(&FaultError{What: "message storm"})
		return nil
	})
	var fault *FaultError
	if _, err := run(DefaultConfig()); !errors.As(err, &fault) {
		t.Errorf("got %v", err)
	}
}
