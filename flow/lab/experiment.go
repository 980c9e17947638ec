package lab

import (
	"fmt"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Experiments are the replayed loads. Their Run returns a ConfigError for a
// configuration that can't be used.
var Experiments = []figure.Experiment[Config]{
	{Name: "power", Run: checked(powerLoss), Summary: "credit per window of two seconds after a power loss of the whole fleet"},
	{Name: "kill", Run: checked(kill), Summary: "the same after a kill of all processes; the servers and their flows keep running"},
	{Name: "burst", Run: checked(burst), Summary: "the same from the start of a burst"},
	{Name: "slow", Run: checked(slow), Summary: "the same from the moment when one server becomes five times slower"},
	{Name: "uneven", Run: checked(uneven), Summary: "the same with servers of different speeds, and the ratio of the largest to the mean waiting time of servers"},
	{Name: "failing", Run: checked(failing), Summary: "the same from the moment when some servers fail, and the new flows that these and the good ones get"},
	{Name: "returned", Run: checked(returned), Summary: "the same from an evacuation of one of four zones for five seconds, and the new flows that it gets when it is back"},
}

func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return figure.Guard[*ConfigError](Config.check, run)
}

const (
	warmUp   = 5 * time.Second // of usual load before the event
	measured = 10 * time.Second
	window   = 2 * time.Second
	// networkTime is the shortest time of an answer besides the work.
	networkTime = 6 * callerDelay
)

// capacity returns the rate of requests per second that warm servers can process.
func (c Config) capacity() float64 { return warmSlots(c) / c.meanWork() }

// scenario is an event that changes the load or the fleet. slots returns the number of
// slots that process requests at a given time since the event, as for bound; without it,
// all servers are warm.
type scenario struct {
	zones   int // availability zones; 0 is one
	event   func(f *fleet)
	slots   func(c Config, since time.Duration) float64
	figures func(f *fleet, begin time.Time) []figure.Figure // of one run; nil: none but the usual
}

// everyServer selects all servers, for slotsOf and newFlows.
func everyServer(int) bool { return true }

// warmSlots returns the number of slots of all servers while they are warm.
func warmSlots(c Config) float64 { return c.slotsOf(everyServer) }

// slotsOf returns the number of slots of the warm servers for which in returns true. A
// slot of a server that is slower than usual counts as a fraction.
func (c Config) slotsOf(in func(n int) bool) (slots float64) {
	for n := range c.Agents {
		if in(n) {
			slots += float64(c.Slots) / c.speed(n)
		}
	}
	return slots
}

// powerLoss replays a power loss of the whole fleet: all processes and servers stop, and
// start again cold after Config.Outage.
func powerLoss(c Config) []figure.Figure {
	return c.replay(scenario{
		event: func(f *fleet) {
			f.stop(true)
			f.After(c.Outage, func() { f.start(true) })
		},
		slots: func(c Config, since time.Duration) float64 {
			switch {
			case since < c.Outage+minStartTime:
				return 0
			case since < c.Outage+minStartTime+coldDuration:
				return warmSlots(c) / coldSlowdown
			}
			return warmSlots(c)
		},
	})
}

// kill replays a kill of all processes, which start again after Config.Outage while the
// servers and their flows keep running.
func kill(c Config) []figure.Figure {
	return c.replay(scenario{
		event: func(f *fleet) {
			f.stop(false)
			f.After(c.Outage, func() { f.start(false) })
		},
		slots: func(c Config, since time.Duration) float64 {
			if since < c.Outage+minStartTime {
				return 0
			}
			return warmSlots(c)
		},
	})
}

// burst replays a time of load at a multiple of the servers' capacity.
func burst(c Config) []figure.Figure {
	return c.replay(scenario{
		event: func(f *fleet) { f.callers.arrive(max(0, c.Burst-c.Load)*c.capacity(), c.BurstSpan) },
	})
}

// slow replays a server that becomes five times slower.
func slow(c Config) []figure.Figure {
	const times = 5
	return c.replay(scenario{
		event: func(f *fleet) { f.agents[0].server.slowness *= times },
		slots: func(c Config, _ time.Duration) float64 {
			return warmSlots(c) - c.slotsOf(func(n int) bool { return n == 0 })*(1-1.0/times)
		},
	})
}

// replay runs a scenario with each seed and returns the credit of each window beside
// the bound.
func (c Config) replay(s scenario) []figure.Figure {
	var further []figure.Figure
	t := newTally()
	for n := range uint64(c.Seeds) {
		f := newFleet(c, c.Seed+n)
		f.zones = max(s.zones, 1)
		f.Run(2*time.Second, nil)
		f.callers.keepFlows(c.Load * c.capacity())
		f.callers.arrive(c.Load*c.capacity(), warmUp+measured)
		f.Run(warmUp, nil)
		begin := f.Now()
		s.event(f)
		f.Run(measured+c.Deadline, nil)
		if s.figures != nil {
			for i, x := range s.figures(f, begin) {
				if n == 0 {
					further = append(further, figure.Figure{Case: x.Case, Quantity: x.Quantity, Unit: x.Unit})
				}
				further[i].Value += x.Value / float64(c.Seeds)
			}
		}
		limits := c.bound(f.callers.all, f.Now(), func(at time.Time) float64 {
			if at.Before(begin) || s.slots == nil {
				return warmSlots(c)
			}
			return s.slots(c, at.Sub(begin))
		})
		for _, q := range f.callers.all {
			t.add(c, q, begin, limits[q])
		}
	}
	return append(t.figures(c), further...)
}

// windowCount is the number of windows.
const windowCount = int(measured / window)

// tally adds up the worth of the requests of all runs by window, and the failed ones by kind.
type tally struct {
	owed, achieved, atMost [windowCount]float64
	failed                 map[string]int
}

func newTally() *tally { return &tally{failed: map[string]int{}} }

// add adds a request of a run whose event was at begin. limit is the bound of its worth.
func (t *tally) add(c Config, q *request, begin time.Time, limit float64) {
	i := int(q.sent.Sub(begin) / window)
	if q.sent.Before(begin) || i >= windowCount {
		return
	}
	t.owed[i] += q.kind.Worth
	t.achieved[i] += q.kind.Worth * c.credit(q)
	t.atMost[i] += limit
	if q.took == 0 {
		t.failed[q.kind.Name]++
	}
}

func (t *tally) figures(c Config) (list []figure.Figure) {
	for i := range windowCount {
		where := fmt.Sprintf("from=%ds", i*int(window/time.Second))
		owed := max(t.owed[i], math.SmallestNonzeroFloat64)
		list = append(list,
			figure.Figure{Case: where, Quantity: "credit", Value: t.achieved[i] / owed},
			figure.Figure{Case: where, Quantity: "credit at most", Value: t.atMost[i] / owed})
	}
	for _, k := range c.kinds() {
		list = append(list, figure.Figure{Case: k.Name, Quantity: "failed requests", Value: float64(t.failed[k.Name]) / float64(c.Seeds)})
	}
	return list
}

// credit returns the credit of a request as a share of its worth.
func (c Config) credit(q *request) float64 {
	switch {
	case q.took == 0:
		return 0
	case q.took <= c.Target:
		return 1
	}
	return c.LateCredit
}
