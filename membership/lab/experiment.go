package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Config is what the experiments take; a zero field means each experiment's
// own, which is the size of docs/measure/membership.md.
type Config struct {
	Sizes     []float64     // numbers of balancers, of spread
	Losses    []float64     // shares of messages lost, of spread
	Changes   int           // of spread and burst
	Zones     int           // of the experiments with zones
	Balancers int           // a zone; in all of burst and reports
	Agents    int           // a zone
	Duration  time.Duration // simulated time
	Seed      uint64        // 1 is that of docs/measure/membership.md
}

// DefaultConfig leaves all but the seed to the experiments.
func DefaultConfig() Config { return Config{Seed: 1} }

// ConfigError names a field of Config that can't be used and its remedy.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string { return fmt.Sprintf("membership/lab: %s: %s", e.Field, e.Remedy) }

// The most processes that fit the addresses of the exchange.
const maxProcesses = 65_536

func (c Config) check() error {
	switch {
	case len(c.Sizes) > 0 && (slices.Min(c.Sizes) < 2 || slices.Max(c.Sizes) > maxProcesses):
		return &ConfigError{"sizes", fmt.Sprintf("give 2 to %d", maxProcesses)}
	case len(c.Losses) > 0 && (slices.Min(c.Losses) < 0 || slices.Max(c.Losses) >= 1):
		return &ConfigError{"losses", "give shares from 0 to below 1"}
	case c.Changes < 0 || c.Changes > maxProcesses:
		return &ConfigError{"changes", fmt.Sprintf("give 0 to %d", maxProcesses)}
	case c.Zones < 0 || c.Zones > 100:
		return &ConfigError{"zones", "give 0 to 100"}
	case c.Balancers < 0 || c.Balancers == 1 || c.Agents < 0 || max(c.Zones, 18)*max(c.Balancers, c.Agents) > maxProcesses:
		return &ConfigError{"balancers and agents", fmt.Sprintf("give 0 or from 2 on, at most %d in all zones", maxProcesses)}
	case c.Duration < 0 || c.Duration > 0 && c.Duration < 10*time.Second:
		return &ConfigError{"duration", "give 0 or at least 10s"}
	}
	return nil
}

// seed returns the seed of an experiment whose own is given.
func (c Config) seed(own uint64) uint64 { return own + c.Seed - 1 }

// or returns v, or own if v is zero.
func or[T comparable](v, own T) T {
	var zero T
	if v == zero {
		return own
	}
	return v
}

// Experiments are all experiments, in the order of docs/measure/membership.md.
// Their Run returns a ConfigError for a config that can't be used and a
// FaultError for a fault of a state machine.
var Experiments = []figure.Experiment[Config]{
	{Name: "spread", Run: checked(spread), Tell: "time and bytes until a change is known, by number of balancers and loss"},
	{Name: "burst", Run: checked(bursts), Tell: "the same for many changes at once and ten a second"},
	{Name: "reports", Run: checked(reports), Tell: "traffic at rest, with as many agents a balancer as at the target size"},
	{Name: "memory", Run: checked(memory), Tell: "heap and bulk transfer of a roster of the target size"},
	{Name: "day", Run: checked(day), Tell: "traffic while processes restart as on an ordinary day"},
	{Name: "zone-loss", Run: checked(zoneLoss), Tell: "until the loss of a zone is known, and what it costs"},
	{Name: "region-apart", Run: checked(regionApart), Tell: "until rosters agree after a region was cut off for the duration"},
	{Name: "rack-loss", Run: checked(rackLoss), Tell: "until the loss of 40 processes of a zone is known"},
	{Name: "suspicions", Run: checked(suspicions), Tell: "verdicts on healthy processes under loss and pauses"},
}

// checked lets run see no config that can't be used, and returns the fault of
// a run as an error.
func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return func(c Config) (list []figure.Figure, err error) {
		if err := c.check(); err != nil {
			return nil, err
		}
		defer func() {
			if r := recover(); r != nil {
				fault, ok := r.(*FaultError)
				if !ok {
					panic(r)
				}
				err = fault
			}
		}()
		return run(c), nil
	}
}
