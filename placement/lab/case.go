package lab

import "time"

// Case is one experiment: a service, its load and the faults that occur. Zero
// fields of some settings mean a default, see withDefaults.
type Case struct {
	Name      string
	Agents    int           // number of backend servers, with one agent each
	Slots     int           // concurrent requests per backend server
	Queue     int           // requests that may wait per backend server; more are refused
	MaxConns  int           // connections per backend server
	Zones     int           // backend servers and balancers are distributed over them in turn
	Balancers int           // all of which place flows of the service
	Load      float64       // offered work / capacity of all healthy slots
	Duration  time.Duration // simulated time
	Warmup    time.Duration // excluded from all figures
	Seed      uint64

	Tail          Tail          // distribution of the lengths of requests and flows
	ReportEvery   time.Duration // mean time between reports of one agent to one balancer
	Lag           time.Duration // age of the answers of load endpoints
	ZeroEndpoints int           // number of load endpoints that always answer 0
	Slow          int           // number of backend servers whose requests take SlowFactor as long
	SlowFactor    float64
	Failing       int           // number of backend servers whose requests fail immediately
	Cold          int           // number of backend servers that cold-start at ColdAt
	ColdAt        time.Duration // time at which they start
	ColdFor       time.Duration // time until they run at full speed
	ColdFactor    float64       // factor of the service time at the beginning of the cold start
	ZoneFails     bool          // the backend servers of the last zone fail at ZoneFailsAt
	ZoneFailsAt   time.Duration
	DetectionTime time.Duration // time from a failure until the member lists omit the failed agents
	Omitted       int           // number of agents missing from each balancer's member list, different ones per balancer
	ZoneAffinity  float64       // share of packets that reach a balancer of the caller's zone
}

// Tail is a distribution of lengths.
type Tail int

// Heavy is a bounded Pareto distribution, Short an exponential one.
const (
	Heavy Tail = iota
	Short
)

// withDefaults returns c with some of its zero fields replaced by defaults.
func (c Case) withDefaults() Case {
	if c.Slots == 0 {
		c.Slots = 5
	}
	if c.Queue == 0 {
		c.Queue = 50
	}
	if c.MaxConns == 0 {
		c.MaxConns = 2000
	}
	if c.Zones == 0 {
		c.Zones = 3
	}
	if c.Balancers == 0 {
		c.Balancers = 3
	}
	if c.Load == 0 {
		c.Load = 0.8
	}
	if c.ReportEvery == 0 {
		c.ReportEvery = 100 * time.Millisecond
	}
	if c.Lag == 0 {
		c.Lag = time.Second
	}
	if c.SlowFactor == 0 {
		c.SlowFactor = 4
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = 5
	}
	if c.DetectionTime == 0 {
		c.DetectionTime = 2 * time.Second
	}
	return c
}
