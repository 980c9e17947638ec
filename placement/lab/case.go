package lab

import "time"

// Case is one experiment: a service, its work and what goes wrong.
type Case struct {
	Name      string
	Agents    int           // backend servers, one agent each
	Slots     int           // requests at work at once per backend server
	Queue     int           // requests that may wait; more are refused
	MaxConns  int           // connections per backend server
	Zones     int           // backend servers and balancers take turns over them
	Balancers int           //
	Load      float64       // offered work / capacity of all healthy slots
	Duration  time.Duration // modelled time
	Warmup    time.Duration // left out of all figures
	Seed      uint64

	Tail        Tail          // lengths of requests and flows
	ReportEvery time.Duration // mean time between reports of one agent to one balancer
	Lag         time.Duration // age of what load endpoints answer
	Lying       int           // load endpoints that always answer 0
	Slow        int           // backend servers that take SlowFactor as long
	SlowFactor  float64
	Failing     int           // backend servers whose requests fail at once
	Cold        int           // backend servers that start cold at ColdAt
	ColdAt      time.Duration //
	ColdFor     time.Duration // until they run at full speed
	ColdFactor  float64       // how much longer a request takes at first
	LostZone    bool          // the last zone's backend servers die at LostAt
	LostAt      time.Duration
	NoticeAfter time.Duration // until rosters leave out the dead
	Differing   int           // backend servers that each balancer's roster lacks
	ZoneFabric  float64       // share of packets that reach a balancer of the caller's zone
}

// Tail names the distributions of lengths.
type Tail int

// Short has exponential lengths, Heavy bounded Pareto lengths.
const (
	Heavy Tail = iota
	Short
)

// withDefaults fills in what a case leaves out.
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
	if c.NoticeAfter == 0 {
		c.NoticeAfter = 2 * time.Second
	}
	return c
}
