package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
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

	Target     time.Duration // latency objective
	Deadline   time.Duration // time after which callers give up a request
	LateCredit float64       // credit of a late answer, as a share of that of one in time
	LongShare  float64       // share of requests sent on a flow that is kept open
	// Kinds are the kinds of requests. Without any, all requests are repeatable, have
	// priority 2 and the mean work Work; otherwise Work is not used.
	Kinds []Kind
	// Speeds are factors on the work, assigned to the servers in turn; none is 1 for all.
	Speeds    []float64
	Burst     float64       // load of the burst, as a multiple of the capacity of all servers
	BurstSpan time.Duration // how long the burst lasts
	Failing   float64       // share of servers that fail
	Failure   Failure       // how they fail
}

// Kind is a kind of request, which has a route of its own.
type Kind struct {
	Name       string
	Share      float64 // of the requests
	Priority   uint8   // 0 is the most urgent
	Worth      float64 // of an answer in time
	Work       time.Duration
	Repeatable bool // whether a request that may have run is repeated
}

// DefaultConfig returns a small deployment with ample links.
func DefaultConfig() Config {
	return Config{
		Seed: 1, Seeds: 3, Balancers: 5, Agents: 7, Slots: 3, Work: 24 * time.Millisecond, Load: 0.46, Link: 125e6, Outage: 1300 * time.Millisecond,
		Target: 150 * time.Millisecond, Deadline: 2 * time.Second, LateCredit: 0.5, LongShare: 0.7,
		Burst: 1.3, BurstSpan: 2 * time.Second, Failing: 0.1, Failure: FailReset,
	}
}

// kinds returns the kinds of requests.
func (c Config) kinds() []Kind {
	if len(c.Kinds) > 0 {
		return c.Kinds
	}
	return []Kind{{Name: "feed", Share: 1, Priority: 2, Worth: 1, Work: c.Work, Repeatable: true}}
}

// speed returns the factor on the work of the n-th server.
func (c Config) speed(n int) float64 {
	if len(c.Speeds) == 0 {
		return 1
	}
	return c.Speeds[n%len(c.Speeds)]
}

// meanWork returns the mean work in seconds of a request on a warm server.
func (c Config) meanWork() (seconds float64) {
	for _, k := range c.kinds() {
		seconds += k.Share * k.Work.Seconds()
	}
	return seconds
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
	case c.Target < time.Millisecond || c.Target > c.Deadline:
		return &ConfigError{"target", "1ms to the deadline"}
	case c.Deadline > time.Minute:
		return &ConfigError{"deadline", "the target to 1m"}
	case !(c.LateCredit >= 0 && c.LateCredit <= 1):
		return &ConfigError{"late-credit", "0 to 1"}
	case !(c.LongShare >= 0 && c.LongShare <= 1):
		return &ConfigError{"long-share", "0 to 1"}
	case len(c.Speeds) > c.Agents || slices.ContainsFunc(c.Speeds, func(x float64) bool { return !(x >= 0.1 && x <= 100) }):
		return &ConfigError{"speeds", "at most one factor for each agent, each 0.1 to 100"}
	case !(c.Burst >= 0 && c.Burst <= 10):
		return &ConfigError{"burst", "0 to 10"}
	case c.BurstSpan <= 0 || c.BurstSpan > measured:
		return &ConfigError{"burst-span", "above 0s to " + measured.String()}
	case !(c.Failing > 0 && c.Failing <= 1):
		return &ConfigError{"failing", "above 0 to 1"}
	case !slices.Contains(Failures, c.Failure):
		return &ConfigError{"failure", "one of " + strings.Trim(fmt.Sprint(Failures), "[]")}
	}
	return c.checkKinds()
}

// maxKinds bounds the kinds; each has a service address that ends with its number.
const maxKinds = 100

func (c Config) checkKinds() error {
	total := 0.0
	for _, k := range c.Kinds {
		total += k.Share
		if k.Name == "" || !(k.Share > 0) || !(k.Worth > 0 && k.Worth <= 1e6) || k.Work < time.Millisecond || k.Work > time.Second {
			return &ConfigError{"kinds", "a name, a share and a worth above 0, and work of 1ms to 1s for each"}
		}
	}
	if len(c.Kinds) > maxKinds || len(c.Kinds) > 0 && math.Abs(total-1) > 0.001 {
		return &ConfigError{"kinds", fmt.Sprintf("at most %d kinds whose shares add up to 1", maxKinds)}
	}
	return nil
}

// The timing of the model.
const (
	maxTries          = 3
	callerDelay       = 3 * time.Millisecond    // between a caller and the VMs, one way
	vmDelay           = 700 * time.Microsecond  // between two VMs, one way
	attemptTimeout    = 1400 * time.Millisecond // after which a caller gives up an attempt
	maxRepeatPause    = 1600 * time.Millisecond // longest time between two copies of a request
	headerSize        = 28 + 54                 // bytes of a message besides its payload
	maxLinkQueue      = 60 * time.Millisecond   // of a link; further packets are lost
	coldDuration      = 2 * time.Second         // how long a server is slow after its start
	coldSlowdown      = 1.6                     // factor by which a cold server is slower
	heartbeatInterval = 770 * time.Millisecond  // between heartbeats
	heartbeatRetry    = 50 * time.Millisecond   // after a heartbeat that reached no agent
	minStartTime      = 60 * time.Millisecond   // from power-on to a process's first instruction
	startTimeSpread   = 300 * time.Millisecond  // random time added to it
	serverDelay       = 100 * time.Microsecond  // between an agent and its server, one way
	orderSpread       = 100 * time.Millisecond  // within which all balancers have received the operator's orders
	serverQueue       = 12
)
