package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// Config holds the settings shared by all experiments.
type Config struct {
	Slots    int           // concurrent requests that the backend server processes at full speed
	Queue    int           // requests that may wait, for the controller and the bounded FIFO queue
	Service  time.Duration // mean service time of a request, exponentially distributed
	Patience time.Duration // time from a caller's attempt to its deadline
	Duration time.Duration // simulated time of a run
	Loads    []float64     // offered work / capacity, for the goodput experiment
	Policies []Policy      // policies to compare; empty means all
	Seed     uint64
}

// DefaultConfig returns the settings used in docs/measure/admission.md.
func DefaultConfig() Config {
	return Config{
		Slots: 5, Queue: 50, Service: 20 * time.Millisecond, Patience: 250 * time.Millisecond,
		Duration: 30 * time.Second, Loads: []float64{0.1, 0.5, 0.8, 1, 1.5, 2, 5, 10}, Seed: 1,
	}
}

// Policy is the name of a policy that decides which requests start.
type Policy string

// The policies: the admission controller, FIFO queues with and without a limit
// of their length, and no limit of concurrent requests.
const (
	Controller  Policy = "admission"
	BoundedFIFO Policy = "fifo-bounded"
	FIFO        Policy = "fifo"
	NoLimit     Policy = "no-limit"
)

// Policies are all policies.
var Policies = []Policy{Controller, BoundedFIFO, FIFO, NoLimit}

// ConfigError reports an invalid field of Config, with the remedy.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string { return fmt.Sprintf("admission/lab: %s: %s", e.Field, e.Remedy) }

// check returns a *ConfigError for the first invalid field.
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

// capacity returns the backend server's capacity in requests per second.
func (c Config) capacity() float64 { return float64(c.Slots) / c.Service.Seconds() }

// selected returns the policies in list that the config selects.
func (c Config) selected(list ...Policy) []Policy {
	if len(c.Policies) == 0 {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(p Policy) bool { return !slices.Contains(c.Policies, p) })
}

// policy returns a new instance of the named policy.
func (c Config) policy(name Policy) policy {
	switch name {
	case BoundedFIFO:
		return &fifo{slots: c.Slots, bound: c.Queue, cancelled: map[uint64]bool{}}
	case FIFO:
		return &fifo{slots: c.Slots, cancelled: map[uint64]bool{}}
	case NoLimit:
		return &fifo{slots: 1 << 30, cancelled: map[uint64]bool{}}
	}
	return controllerPolicy{admission.New(simtime.Epoch, admission.Config{Slots: c.Slots, Queue: c.Queue, Rand: rand.New(rand.NewPCG(c.Seed, 4))})}
}

// model returns a new model with the named policy.
func (c Config) model(name Policy) *model {
	m := newModel(c.Seed, c.policy(name))
	m.capacity, m.service, m.patience = float64(c.Slots), c.Service.Seconds(), c.Patience
	return m
}
