package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Defaults of Config.
const (
	DefaultServiceTime   = 20 * time.Millisecond
	DefaultMaxRetryAfter = 30 * time.Second
)

// Config bounds what a Controller admits. A zero field means its default.
type Config struct {
	Slots         int           // requests at work at once; default catalogue.DefaultSlots
	Connections   int           // open caller connections; default catalogue.DefaultConnections
	Queue         int           // requests that wait for a slot; default catalogue.DefaultQueue; negative is none
	Rate          int           // requests a second; 0 is no limit
	LongFlows     int           // open streams and downloads; default Connections - Slots
	Warmup        time.Duration // time in which the limit grows from 1 to Slots after RestartRamp; 0 is no ramp
	ServiceTime   time.Duration // assumed before the first answer; default DefaultServiceTime
	MaxRetryAfter time.Duration // longest come-back time; default DefaultMaxRetryAfter

	Owners map[string]OwnerLimits // limits of single owners; an owner that isn't named has none of its own
	Rand   *rand.Rand             // spreads come-back times; default a source with a fixed seed
}

// OwnerLimits bounds one owner. A zero field is no limit.
type OwnerLimits struct {
	Weight    float64 // share of the slots while owners compete; default 1
	Slots     int     // requests at work at once
	Rate      int     // requests a second
	LongFlows int     // open streams and downloads
}

// FromLimits returns the Config of a catalogue entry's limits.
func FromLimits(l catalogue.Limits, rng *rand.Rand) Config {
	return Config{
		Slots:       l.Slots,
		Connections: l.Connections,
		Queue:       l.Queue,
		Rate:        l.Rate,
		Rand:        rng,
	}
}

// withDefaults returns c with its zero fields filled in.
func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, catalogue.DefaultSlots)
	c.Connections = orDefault(c.Connections, catalogue.DefaultConnections)
	c.Queue = orDefault(c.Queue, catalogue.DefaultQueue)
	c.LongFlows = orDefault(c.LongFlows, max(1, c.Connections-c.Slots))
	c.ServiceTime = orDefault(c.ServiceTime, DefaultServiceTime)
	c.MaxRetryAfter = orDefault(c.MaxRetryAfter, DefaultMaxRetryAfter)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return c
}

func orDefault[T int | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
