package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Config configures the experiments. A zero field means the default of each
// experiment, which is the size in docs/measure/membership.md.
type Config struct {
	Sizes     []float64     // numbers of balancers; spread only
	Losses    []float64     // shares of messages lost; spread only
	Changes   int           // number of changes; spread and burst only
	Zones     int           // number of zones; experiments with zones only
	Balancers int           // per zone; in total for burst and reports
	Agents    int           // per zone
	Duration  time.Duration // simulated time
	Seed      uint64        // docs/measure/membership.md uses 1
}

// DefaultConfig returns a Config with all defaults and seed 1.
func DefaultConfig() Config { return Config{Seed: 1} }

// ConfigError reports an invalid field of Config and the remedy.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string { return fmt.Sprintf("membership/lab: %s: %s", e.Field, e.Remedy) }

// maxProcesses is the number of processes of a role that have distinct addresses.
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
		return &ConfigError{"balancers and agents", fmt.Sprintf("give 0, or 2 and more, at most %d in all zones", maxProcesses)}
	case c.Duration < 0 || c.Duration > 0 && c.Duration < 10*time.Second:
		return &ConfigError{"duration", "give 0 or at least 10s"}
	}
	return nil
}

// seed returns the seed of an experiment with the default seed own.
func (c Config) seed(own uint64) uint64 { return own + c.Seed - 1 }

// orDefault returns v, or fallback if v is zero.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Experiments lists all experiments, in the order of docs/measure/membership.md.
// Run returns a *ConfigError for an invalid Config and a *FaultError for a fault of
// a state machine.
var Experiments = []figure.Experiment[Config]{
	{Name: "spread", Run: checked(spread), Summary: "time and bytes until all balancers know a change, by number of balancers and loss"},
	{Name: "burst", Run: checked(bursts), Summary: "the same for many changes at once, and at ten per second"},
	{Name: "reports", Run: checked(reports), Summary: "traffic at rest, with as many agents per balancer as at the target size"},
	{Name: "memory", Run: checked(memory), Summary: "heap and bulk transfer size of a member list of the target size"},
	{Name: "day", Run: checked(day), Summary: "traffic while processes restart as on an ordinary day"},
	{Name: "zone-loss", Run: checked(zoneLoss), Summary: "time until all balancers know the loss of a zone, and its traffic"},
	{Name: "region-apart", Run: checked(regionApart), Summary: "time until member lists converge after a region was cut off for the duration"},
	{Name: "rack-loss", Run: checked(rackLoss), Summary: "time until all balancers know the loss of 40 processes of a zone"},
	{Name: "suspicions", Run: checked(suspicions), Summary: "verdicts on healthy processes under loss and pauses"},
}

func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return figure.Guard[*FaultError](Config.check, run)
}
