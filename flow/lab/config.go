package lab

import (
	"fmt"
	"time"
)

// Config sets up the modelled deployment.
type Config struct {
	Seed      uint64
	Seeds     int // runs that a figure is the mean of
	Balancers int
	Agents    int
	Slots     int           // of each server
	Work      time.Duration // mean work of a request at a warm server
	Load      float64       // new requests as a share of what warm servers work off
	Link      float64       // of each balancer, bytes a second
	Outage    time.Duration // how long everything is down
}

// DefaultConfig is a small deployment with ample links.
func DefaultConfig() Config {
	return Config{Seed: 1, Seeds: 3, Balancers: 5, Agents: 7, Slots: 3, Work: 24 * time.Millisecond, Load: 0.46, Link: 125e6, Outage: 1300 * time.Millisecond}
}

// ConfigError reports a config that can't be used.
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
		return &ConfigError{"link", "10000 bytes a second or more"}
	case c.Outage < 0 || c.Outage > 10*time.Second:
		return &ConfigError{"outage", "0s to 10s"}
	}
	return nil
}

// What callers want, and how they behave.
const (
	target      = 150 * time.Millisecond
	deadline    = 2 * time.Second
	lateness    = 0.5 // worth of a late answer
	tries       = 3
	way         = 3 * time.Millisecond    // between a caller and the VMs
	hop         = 700 * time.Microsecond  // between two VMs
	attempt     = 1400 * time.Millisecond // until a caller gives up an attempt
	pauseMax    = 1600 * time.Millisecond // longest time between two copies of a request
	longPart    = 0.7                     // of requests that go on a flow kept open
	headers     = 28 + 54                 // bytes of a message besides its packet
	queueMax    = 60 * time.Millisecond   // of a link; what comes beyond is lost
	coldFor     = 2 * time.Second         // a server is slow after its start
	coldTime    = 1.6                     // times as long
	beat        = 770 * time.Millisecond  // between heartbeats
	beatAgain   = 50 * time.Millisecond   // after one that found nobody
	startMin    = 60 * time.Millisecond   // from power to a process's first instruction
	startVar    = 300 * time.Millisecond  // and up to so much later
	serverQueue = 12
)
