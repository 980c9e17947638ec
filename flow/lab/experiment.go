package lab

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// Experiments are the loads that are replayed. Their Run returns a ConfigError for a
// config that can't be used.
var Experiments = []figure.Experiment[Config]{
	{Name: "power", Run: checked(power), Tell: "credit by windows of two seconds after everything has lost power"},
	{Name: "kill", Run: checked(kill), Tell: "the same after all processes were killed; the servers and their flows live on"},
	{Name: "burst", Run: checked(burst), Tell: "the same from the beginning of two seconds at 1.3 times what servers work off"},
	{Name: "slow", Run: checked(slow), Tell: "the same from the moment when one server begins to take five times as long"},
}

func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return figure.Guard[*ConfigError](Config.check, run)
}

const (
	settle = 5 * time.Second // of usual load before the event
	after  = 10 * time.Second
	window = 2 * time.Second
	// exchanges is what an answer takes besides the work, at the least.
	exchanges = 6 * way
)

func (c Config) capacity() float64 { return float64(c.Agents*c.Slots) / c.Work.Seconds() }

// scenario is an event, and the work of warm servers that is done a second from it on.
type scenario struct {
	event func(f *fleet)
	slots func(c Config, since time.Duration) float64
}

func full(c Config) float64 { return float64(c.Agents * c.Slots) }

func power(c Config) []figure.Figure {
	return c.replay(scenario{
		event: func(f *fleet) {
			f.stop(true)
			f.After(c.Outage, func() { f.start(true) })
		},
		slots: func(c Config, since time.Duration) float64 {
			switch {
			case since < c.Outage+startMin:
				return 0
			case since < c.Outage+startMin+coldFor:
				return full(c) / coldTime
			}
			return full(c)
		},
	})
}

func kill(c Config) []figure.Figure {
	return c.replay(scenario{
		event: func(f *fleet) {
			f.stop(false)
			f.After(c.Outage, func() { f.start(false) })
		},
		slots: func(c Config, since time.Duration) float64 {
			if since < c.Outage+startMin {
				return 0
			}
			return full(c)
		},
	})
}

func burst(c Config) []figure.Figure {
	const times, span = 1.3, 2 * time.Second
	return c.replay(scenario{
		event: func(f *fleet) { f.callers.arrive(max(0, times-c.Load)*c.capacity(), span) },
		slots: func(c Config, _ time.Duration) float64 { return full(c) },
	})
}

func slow(c Config) []figure.Figure {
	const times = 5
	return c.replay(scenario{
		event: func(f *fleet) { f.agents[0].server.slowness = times },
		slots: func(c Config, _ time.Duration) float64 {
			return full(c) - float64(c.Slots)*(1-1.0/times)
		},
	})
}

// replay runs a scenario with each seed and returns the credit of each window beside
// the bound.
func (c Config) replay(s scenario) (list []figure.Figure) {
	windows := int(after / window)
	got, could := make([]float64, windows), make([]float64, windows)
	asked := make([]int, windows)
	for n := range uint64(c.Seeds) {
		f := newFleet(c, c.Seed+n)
		f.Run(2*time.Second, nil)
		f.callers.users = int(longPart * c.Load * c.capacity())
		f.callers.arrive(c.Load*c.capacity(), settle+after)
		f.Run(settle, nil)
		begin := f.Now()
		s.event(f)
		f.Run(after+deadline, nil)
		best := bound(f.callers.all, c.Work, exchanges, f.Now(), func(at time.Time) float64 {
			if at.Before(begin) {
				return full(c)
			}
			return s.slots(c, at.Sub(begin))
		})
		for _, q := range f.callers.all {
			i := int(q.sent.Sub(begin) / window)
			if q.sent.Before(begin) || i >= windows {
				continue
			}
			asked[i]++
			got[i] += q.worth()
			could[i] += best[q]
		}
	}
	for i := range windows {
		where := fmt.Sprintf("from=%ds", i*int(window/time.Second))
		list = append(list,
			figure.Figure{Case: where, Quantity: "credit", Value: got[i] / float64(max(asked[i], 1))},
			figure.Figure{Case: where, Quantity: "credit at most", Value: could[i] / float64(max(asked[i], 1))})
	}
	return list
}

// worth is what the caller got, of 1.
func (q *request) worth() float64 {
	switch {
	case q.took == 0:
		return 0
	case q.took <= target:
		return 1
	}
	return lateness
}
