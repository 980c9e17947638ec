package lab

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Experiments are the replayed loads. Their Run returns a ConfigError for a
// configuration that can't be used.
var Experiments = []figure.Experiment[Config]{
	{Name: "power", Run: checked(powerLoss), Summary: "credit per window of two seconds after a power loss of the whole fleet"},
	{Name: "kill", Run: checked(kill), Summary: "the same after a kill of all processes; the servers and their flows keep running"},
	{Name: "burst", Run: checked(burst), Summary: "the same from the start of two seconds of load at 1.3 times the servers' capacity"},
	{Name: "slow", Run: checked(slow), Summary: "the same from the moment when one server becomes five times slower"},
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

func (c Config) capacity() float64 { return float64(c.Agents*c.Slots) / c.Work.Seconds() }

// scenario is an event that changes the load or the fleet. slots returns the number of
// slots that process requests at a given time since the event, as for bound.
type scenario struct {
	event func(f *fleet)
	slots func(c Config, since time.Duration) float64
}

// warmSlots returns the number of slots of all servers while they are warm.
func warmSlots(c Config) float64 { return float64(c.Agents * c.Slots) }

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

// burst replays two seconds of load at 1.3 times the servers' capacity.
func burst(c Config) []figure.Figure {
	const times, span = 1.3, 2 * time.Second
	return c.replay(scenario{
		event: func(f *fleet) { f.callers.arrive(max(0, times-c.Load)*c.capacity(), span) },
		slots: func(c Config, _ time.Duration) float64 { return warmSlots(c) },
	})
}

// slow replays a server that becomes five times slower.
func slow(c Config) []figure.Figure {
	const times = 5
	return c.replay(scenario{
		event: func(f *fleet) { f.agents[0].server.slowness = times },
		slots: func(c Config, _ time.Duration) float64 {
			return warmSlots(c) - float64(c.Slots)*(1-1.0/times)
		},
	})
}

// replay runs a scenario with each seed and returns the credit of each window beside
// the bound.
func (c Config) replay(s scenario) (list []figure.Figure) {
	windows := int(measured / window)
	achieved, atMost := make([]float64, windows), make([]float64, windows)
	asked := make([]int, windows)
	for n := range uint64(c.Seeds) {
		f := newFleet(c, c.Seed+n)
		f.Run(2*time.Second, nil)
		f.callers.longFlowCallers = int(longFlowShare * c.Load * c.capacity())
		f.callers.arrive(c.Load*c.capacity(), warmUp+measured)
		f.Run(warmUp, nil)
		begin := f.Now()
		s.event(f)
		f.Run(measured+deadline, nil)
		limits := bound(f.callers.all, c.Work, networkTime, f.Now(), func(at time.Time) float64 {
			if at.Before(begin) {
				return warmSlots(c)
			}
			return s.slots(c, at.Sub(begin))
		})
		for _, q := range f.callers.all {
			i := int(q.sent.Sub(begin) / window)
			if q.sent.Before(begin) || i >= windows {
				continue
			}
			asked[i]++
			achieved[i] += q.credit()
			atMost[i] += limits[q]
		}
	}
	for i := range windows {
		where := fmt.Sprintf("from=%ds", i*int(window/time.Second))
		list = append(list,
			figure.Figure{Case: where, Quantity: "credit", Value: achieved[i] / float64(max(asked[i], 1))},
			figure.Figure{Case: where, Quantity: "credit at most", Value: atMost[i] / float64(max(asked[i], 1))})
	}
	return list
}

// credit returns the credit of the request, from 0 to 1.
func (q *request) credit() float64 {
	switch {
	case q.took == 0:
		return 0
	case q.took <= latencyTarget:
		return 1
	}
	return lateCredit
}
