package lab

import (
	"math"
	"time"
)

// kind is the kind of a flow.
type kind uint8

const (
	call     kind = iota // one to four short requests
	feed                 // a long connection with occasional short requests
	download             // one long request
)

// Shares of the kinds in the offered work, and parameters of the flows.
const (
	callWork, feedWork, downloadWork = 0.35, 0.3, 0.35

	callRequests = 2.5                    // mean of one to four
	callService  = 40 * time.Millisecond  // mean
	callThink    = 200 * time.Millisecond // mean

	feedRequests = 40.0 // mean
	feedService  = 20 * time.Millisecond
	feedThink    = 500 * time.Millisecond

	downloadService = 2 * time.Second

	paretoShape = 1.4
	paretoRange = 300 // ratio of the longest to the shortest length
)

// flow is one caller's connection.
type flow struct {
	rng      uint64
	id       uint64 // first connection ID
	kind     kind
	zone     int32
	requests int32 // remaining requests
	server   int32 // index of the backend server, unplaced or retransmitted
	arrived  time.Duration
}

// next returns the next number of the flow's SplitMix64 generator.
func (f *flow) next() uint64 {
	f.rng += 0x9e3779b97f4a7c15
	x := f.rng
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unit draws uniformly from (0, 1).
func (f *flow) unit() float64 {
	return (float64(f.next()>>11) + 0.5) / (1 << 53)
}

func (f *flow) exponential(mean float64) float64 {
	return -mean * math.Log(f.unit())
}

// paretoMean is the mean of the bounded Pareto distribution with minimum 1.
var paretoMean = boundedParetoMean()

func boundedParetoMean() float64 {
	a, h := paretoShape, float64(paretoRange)
	return a / (a - 1) * (1 - math.Pow(h, 1-a)) / (1 - math.Pow(h, -a))
}

// pareto draws from a bounded Pareto distribution with the given mean.
func (f *flow) pareto(mean float64) float64 {
	u := f.unit()
	x := math.Pow(1-u*(1-math.Pow(paretoRange, -paretoShape)), -1/paretoShape)
	return mean * x / paretoMean
}

func (f *flow) length(t Tail, mean float64) float64 {
	if t == Short {
		return f.exponential(mean)
	}
	return f.pareto(mean)
}

// newFlow draws a flow. The same seed and number yield the same flow.
func newFlow(c *Case, number uint64, rates flowRates) flow {
	f := flow{rng: c.Seed*0x2545f4914f6cdd1d + number*0xd1342543de82ef95}
	f.next()
	f.id = f.next()
	f.zone = int32(f.next() % uint64(c.Zones))
	switch u := f.unit() * rates.total(); {
	case u < rates.call:
		f.kind = call
		f.requests = 1 + int32(f.next()%4)
	case u < rates.call+rates.feed:
		f.kind = feed
		f.requests = 1 + int32(f.length(c.Tail, feedRequests-1))
	default:
		f.kind = download
		f.requests = 1
	}
	return f
}

// service draws the service time of the next request.
func (f *flow) service(t Tail) time.Duration {
	switch f.kind {
	case call:
		return time.Duration(f.exponential(float64(callService)))
	case feed:
		return time.Duration(f.exponential(float64(feedService)))
	}
	return time.Duration(f.length(t, float64(downloadService)))
}

// think draws the pause before the next request.
func (f *flow) think() time.Duration {
	if f.kind == feed {
		return time.Duration(f.exponential(float64(feedThink)))
	}
	return time.Duration(f.exponential(float64(callThink)))
}

// flowRates holds the number of new flows per second by kind.
type flowRates struct{ call, feed, download float64 }

func (r flowRates) total() float64 { return r.call + r.feed + r.download }

// ratesFor returns the rates of new flows that result in the case's load.
func ratesFor(c *Case) flowRates {
	work := c.Load * float64(c.Agents*c.Slots)
	return flowRates{
		call:     work * callWork / (callRequests * callService.Seconds()),
		feed:     work * feedWork / (feedRequests * feedService.Seconds()),
		download: work * downloadWork / downloadService.Seconds(),
	}
}
