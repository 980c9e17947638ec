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

// Config holds the limits of a Controller. A zero field means its default.
type Config struct {
	Slots         int           // concurrent requests; default catalogue.DefaultSlots
	Connections   int           // open caller connections; default catalogue.DefaultConnections
	Queue         int           // requests that wait for a slot; default catalogue.DefaultQueue; negative is none
	Rate          int           // requests per second; 0 is no limit
	LongFlows     int           // open streams and downloads; default Connections - Slots
	Warmup        time.Duration // time in which the limit grows from 1 to Slots after RestartRamp; 0 is no ramp
	ServiceTime   time.Duration // assumed before the first answer; default DefaultServiceTime
	MaxRetryAfter time.Duration // longest Refusal.RetryAfter; default DefaultMaxRetryAfter

	Owners map[string]OwnerLimits // limits per owner; an owner without an entry has no limits of its own
	Rand   *rand.Rand             // jitter of retry times; default a source with a fixed seed
}

// OwnerLimits holds the limits of one owner. A zero field is no limit.
type OwnerLimits struct {
	Weight    float64 // share of the slots while owners compete; default 1
	Slots     int     // concurrent requests
	Rate      int     // requests per second
	LongFlows int     // open streams and downloads
}

// FromLimits returns the Config for the limits of a catalogue entry.
func FromLimits(l catalogue.Limits, rng *rand.Rand) Config {
	return Config{
		Slots:       l.Slots,
		Connections: l.Connections,
		Queue:       l.Queue,
		Rate:        l.Rate,
		Rand:        rng,
	}
}

// withDefaults returns c with zero fields replaced by their defaults.
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
