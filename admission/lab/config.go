package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// Config is what all experiments share.
type Config struct {
	Slots    int           // requests that the backend server carries at full speed
	Queue    int           // requests that may wait, of the controller and the bounded queue
	Service  time.Duration // mean work of a request, exponential
	Patience time.Duration // from a caller's attempt to its deadline
	Duration time.Duration // simulated time of a run
	Loads    []float64     // offered work / capacity, of the goodput experiment
	Policies []Policy      // those compared; empty is all
	Seed     uint64
}

// DefaultConfig is the backend server of docs/measure/admission.md.
func DefaultConfig() Config {
	return Config{
		Slots: 5, Queue: 50, Service: 20 * time.Millisecond, Patience: 250 * time.Millisecond,
		Duration: 30 * time.Second, Loads: []float64{0.1, 0.5, 0.8, 1, 1.5, 2, 5, 10}, Seed: 1,
	}
}

// Policy names a way to decide which requests start.
type Policy string

// The policies: the controller, queues in order of arrival with and without a
// bound, and no limit at all.
const (
	Controller  Policy = "admission"
	BoundedFIFO Policy = "fifo-bounded"
	FIFO        Policy = "fifo"
	NoLimit     Policy = "no-limit"
)

// Policies are all policies.
var Policies = []Policy{Controller, BoundedFIFO, FIFO, NoLimit}

// ConfigError names a field of Config that can't be used and its remedy.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string { return fmt.Sprintf("admission/lab: %s: %s", e.Field, e.Remedy) }

// check reports the first field that can't be used.
func (c Config) check() error {
	switch {
	case c.Slots < 1 || c.Queue < 1:
		return &ConfigError{"slots and queue", "give at least 1"}
	case c.Service <= 0 || c.Patience <= 0:
		return &ConfigError{"service and patience", "give a time above 0"}
	case c.Duration < time.Second:
		return &ConfigError{"duration", "give at least 1s"}
	case len(c.Loads) == 0 || slices.Min(c.Loads) <= 0:
		return &ConfigError{"loads", "give numbers above 0"}
	}
	for _, p := range c.Policies {
		if !slices.Contains(Policies, p) {
			return &ConfigError{"policies", fmt.Sprintf("%q is none of %v", string(p), Policies)}
		}
	}
	return nil
}

// full is the backend server's capacity in requests a second.
func (c Config) full() float64 { return float64(c.Slots) / c.Service.Seconds() }

// only returns those of list that the config wants.
func (c Config) only(list ...Policy) []Policy {
	if len(c.Policies) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(p Policy) bool { return !slices.Contains(c.Policies, p) })
}

// policy returns a new policy.
func (c Config) policy(name Policy) policy {
	switch name {
	case BoundedFIFO:
		return &fifo{slots: c.Slots, bound: c.Queue, gone: map[uint64]bool{}}
	case FIFO:
		return &fifo{slots: c.Slots, gone: map[uint64]bool{}}
	case NoLimit:
		return &fifo{slots: 1 << 30, gone: map[uint64]bool{}}
	}
	return ours{admission.New(simtime.Epoch, admission.Config{Slots: c.Slots, Queue: c.Queue, Rand: rand.New(rand.NewPCG(c.Seed, 4))})}
}

// model returns a new run of a policy.
func (c Config) model(name Policy) *model {
	m := newModel(c.Seed, c.policy(name))
	m.capacity, m.service, m.patience = float64(c.Slots), c.Service.Seconds(), c.Patience
	return m
}
