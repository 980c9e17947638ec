package lab

import (
	"fmt"
	"time"
)

// Config configures the modelled deployment.
type Config struct {
	Seed      uint64
	Seeds     int // number of runs that a figure is the mean of
	Balancers int
	Agents    int
	Slots     int           // per server
	Work      time.Duration // mean work of a request on a warm server
	Load      float64       // rate of new requests as a share of the capacity of warm servers
	Link      float64       // of each balancer, bytes per second
	Outage    time.Duration // how long all processes and servers are down
}

// DefaultConfig returns a small deployment with ample links.
func DefaultConfig() Config {
	return Config{Seed: 1, Seeds: 3, Balancers: 5, Agents: 7, Slots: 3, Work: 24 * time.Millisecond, Load: 0.46, Link: 125e6, Outage: 1300 * time.Millisecond}
}

// ConfigError reports a configuration value that can't be used.
type ConfigError struct{ Field, Remedy string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is out of range; give %s", e.Field, e.Remedy)
}

func (c Config) check() error {
	switch {
	case c.Seeds < 1 || c.Seeds > 100:
		return &ConfigError{"seeds", "1 to 100"}
	case c.Balancers < 1 || c.Balancers > 50:
		return &ConfigError{"balancers", "1 to 50"}
	case c.Agents < 1 || c.Agents > 200:
		return &ConfigError{"agents", "1 to 200"}
	case c.Slots < 1 || c.Slots > 100:
		return &ConfigError{"slots", "1 to 100"}
	case c.Work < time.Millisecond || c.Work > time.Second:
		return &ConfigError{"work", "1ms to 1s"}
	case c.Load <= 0 || c.Load > 2:
		return &ConfigError{"load", "above 0 to 2"}
	case c.Link < 1e4:
		return &ConfigError{"link", "10000 bytes per second or more"}
	case c.Outage < 0 || c.Outage > 10*time.Second:
		return &ConfigError{"outage", "0s to 10s"}
	}
	return nil
}

// Callers' requirements and the timing of the model.
const (
	latencyTarget     = 150 * time.Millisecond
	deadline          = 2 * time.Second
	lateCredit        = 0.5 // credit of a late answer
	maxTries          = 3
	callerDelay       = 3 * time.Millisecond    // between a caller and the VMs, one way
	vmDelay           = 700 * time.Microsecond  // between two VMs, one way
	attemptTimeout    = 1400 * time.Millisecond // after which a caller gives up an attempt
	maxRepeatPause    = 1600 * time.Millisecond // longest time between two copies of a request
	longFlowShare     = 0.7                     // share of requests sent on a flow that is kept open
	headerSize        = 28 + 54                 // bytes of a message besides its payload
	maxLinkQueue      = 60 * time.Millisecond   // of a link; further packets are lost
	coldDuration      = 2 * time.Second         // how long a server is slow after its start
	coldSlowdown      = 1.6                     // factor by which a cold server is slower
	heartbeatInterval = 770 * time.Millisecond  // between heartbeats
	heartbeatRetry    = 50 * time.Millisecond   // after a heartbeat that reached no agent
	minStartTime      = 60 * time.Millisecond   // from power-on to a process's first instruction
	startTimeSpread   = 300 * time.Millisecond  // random time added to it
	serverQueue       = 12
)
