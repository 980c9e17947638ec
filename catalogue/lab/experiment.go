package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Config holds the settings of the experiments. An empty or zero field means the
// default of each experiment, which is the one used in
// docs/measure/catalogue.md.
type Config struct {
	Sizes   []float64 // numbers of nodes
	Losses  []float64 // shares of messages lost, for spread, fanout and bulk-edit
	Changes int       // number of changes for spread and fanout, of edits for bulk-edit
	Seed    uint64    // 1 is the seed used in docs/measure/catalogue.md
}

// DefaultConfig returns the defaults of all experiments, with seed 1.
func DefaultConfig() Config { return Config{Seed: 1} }

// ConfigError reports an invalid field of Config, with the remedy.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string { return fmt.Sprintf("catalogue/lab: %s: %s", e.Field, e.Remedy) }

// maxNodes keeps a run within the memory of one machine.
const maxNodes = 65_536

func (c Config) check() error {
	switch {
	case len(c.Sizes) > 0 && (slices.Min(c.Sizes) < 2 || slices.Max(c.Sizes) > maxNodes):
		return &ConfigError{"sizes", fmt.Sprintf("give 2 to %d", maxNodes)}
	case len(c.Losses) > 0 && (slices.Min(c.Losses) < 0 || slices.Max(c.Losses) >= 1):
		return &ConfigError{"losses", "give shares from 0 to below 1"}
	case c.Changes < 0 || c.Changes > 1000:
		return &ConfigError{"changes", "give 0 to 1000"}
	}
	return nil
}

// changes returns Config.Changes, or the number used in
// docs/measure/catalogue.md.
func (c Config) changes() int {
	if c.Changes == 0 {
		return 10
	}
	return c.Changes
}

func listOr(list, fallback []float64) []float64 {
	if len(list) == 0 {
		return fallback
	}
	return list
}

// Experiments are all experiments, in the order of docs/measure/catalogue.md.
// Their Run returns a *ConfigError for an invalid config and a *FaultError for
// an unexpected error of the package catalogue.
var Experiments = []figure.Experiment[Config]{
	{Name: "spread", Run: checked(spread), Summary: "time until single changes are in force, messages and bytes, by number of nodes and loss"},
	{Name: "fanout", Run: checked(fanout), Summary: "the same by the number of peers that a change is sent to at once and the interval of digests"},
	{Name: "bulk-edit", Run: checked(bulkEdit), Summary: "time until edits of 500 entries are in force"},
	{Name: "cold-start", Run: checked(coldStart), Summary: "time until empty nodes have loaded a catalogue of the target size"},
}

func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return figure.Guard[*FaultError](Config.check, run)
}

// withCase sets the case of the figures in list and returns list.
func withCase(where string, list ...figure.Figure) []figure.Figure {
	for i := range list {
		list[i].Case = where
	}
	return list
}

func value(quantity, unit string, v float64) figure.Figure {
	return figure.Figure{Quantity: quantity, Unit: unit, Value: v}
}

func quantile(list []time.Duration, q float64) figure.Figure {
	return value(fmt.Sprintf("in force p%g", 100*q), "ms", figure.Millis(figure.Quantile(list, q)))
}

func (s SpreadResult) figures(where string) []figure.Figure {
	return withCase(where,
		quantile(s.Times, 0.5), quantile(s.Times, 0.999), quantile(s.Times, 1),
		value("nodes and changes not in force", "", float64(s.Missing)),
		value("a node for a change", "messages", s.Messages),
		value("a node for a change", "B", s.Bytes),
		value("a node, idle", "B/s", s.IdleBytes))
}

func spread(c Config) (list []figure.Figure) {
	for _, n := range listOr(c.Sizes, []float64{8, 64, 512, 4096, 11_000}) {
		for _, loss := range listOr(c.Losses, []float64{0, 0.05, 0.2}) {
			s := Spread(c.seed(), int(n), c.changes(), loss, catalogue.ReplicaConfig{})
			list = append(list, s.figures(fmt.Sprintf("nodes=%g loss=%g", n, loss))...)
		}
	}
	return list
}

// fanouts are the settings that the fanout experiment compares. A fanout of 1
// with an interval of 2 s is close to sending digests alone.
var fanouts = []catalogue.ReplicaConfig{
	{Fanout: 1, Interval: 2 * time.Second},
	{Fanout: 1}, {Fanout: 2}, {Fanout: 3}, {Fanout: 4}, {Fanout: 6},
	{Fanout: 3, Interval: time.Second}, {Fanout: 3, Interval: 250 * time.Millisecond},
}

func fanout(c Config) (list []figure.Figure) {
	for _, cfg := range fanouts {
		if cfg.Interval == 0 {
			cfg.Interval = catalogue.DefaultInterval
		}
		for _, n := range listOr(c.Sizes, []float64{4096}) {
			for _, loss := range listOr(c.Losses, []float64{0.2}) {
				s := Spread(c.seed(), int(n), c.changes(), loss, cfg)
				list = append(list, s.figures(fmt.Sprintf("fanout=%d interval=%v nodes=%g loss=%g", cfg.Fanout, cfg.Interval, n, loss))...)
			}
		}
	}
	return list
}

func (b BulkResult) figures() []figure.Figure {
	inForce := 0.0
	if b.InForce {
		inForce = 1
	}
	return []figure.Figure{
		value("all in force, 1 is yes", "", inForce),
		value("until then", "ms", figure.Millis(b.Took)),
		value("a node, datagrams", "B", b.DatagramBytes),
		value("a node, streams", "B", b.BulkBytes),
		value("a node, streams", "", b.Bulks),
	}
}

func bulkEdit(c Config) (list []figure.Figure) {
	for _, n := range listOr(c.Sizes, []float64{8, 64, 512}) {
		for _, loss := range listOr(c.Losses, []float64{0, 0.05, 0.2}) {
			b := BulkEdit(c.seed(), int(n), c.changes(), loss)
			times := []figure.Figure{quantile(b.Times, 0.5), quantile(b.Times, 1)}
			list = append(list, withCase(fmt.Sprintf("nodes=%g loss=%g", n, loss), append(times, b.figures()...)...)...)
		}
	}
	return list
}

func coldStart(c Config) (list []figure.Figure) {
	for _, n := range listOr(c.Sizes, []float64{8, 16, 32, 64}) {
		list = append(list, withCase(fmt.Sprintf("nodes=%g", n), ColdStart(c.seed(), int(n)).figures()...)...)
	}
	return list
}

// seed returns the seed of the exchanges. The offset makes Config.Seed 1 give
// exchange seed 7, which docs/measure/catalogue.md uses.
func (c Config) seed() uint64 { return c.Seed + 6 }
