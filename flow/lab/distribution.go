package lab

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// uneven replays servers of different speeds at the usual load; half of them are half as
// fast as the others unless Config.Speeds says otherwise.
func uneven(c Config) []figure.Figure {
	if len(c.Speeds) == 0 {
		c.Speeds = []float64{1, 2}
	}
	return c.replay(scenario{
		event: func(f *fleet) {
			for _, a := range f.agents {
				a.waited, a.requests = 0, 0
			}
		},
		figures: func(f *fleet, _ time.Time) []figure.Figure {
			var waits []float64
			for _, a := range f.agents {
				waits = append(waits, figure.Millis(a.waited)/float64(max(a.requests, 1)))
			}
			return []figure.Figure{
				{Case: "servers", Quantity: "waiting time, mean", Value: mean(waits), Unit: "ms"},
				{Case: "servers", Quantity: "waiting time, largest to mean", Value: maxToMean(waits, waits)},
			}
		},
	})
}

// failing replays servers that fail.
func failing(c Config) []figure.Figure {
	count := min(max(int(math.Round(c.Failing*float64(c.Agents))), 1), c.Agents)
	good := func(n int) bool { return n >= count }
	return c.replay(scenario{
		event: func(f *fleet) {
			for _, a := range f.agents[:count] {
				a.server.failure = c.Failure
			}
		},
		slots: func(c Config, _ time.Duration) float64 {
			if c.Failure == FailPartial { // the requests that it resets take no time
				return warmSlots(c)
			}
			return c.slotsOf(good)
		},
		figures: func(f *fleet, begin time.Time) (list []figure.Figure) {
			add := func(name string, in func(int) bool, from, until time.Duration) {
				flows := mean(f.newFlows(in, begin.Add(from), begin.Add(until)))
				list = append(list, figure.Figure{
					Case: name + " from=" + from.String(), Quantity: "new flows of a server per second", Value: flows / (until - from).Seconds(),
				})
			}
			bad := func(n int) bool { return !good(n) }
			add("failing", bad, 0, time.Second)
			add("good", good, 0, time.Second)
			add("failing", bad, time.Second, measured)
			add("good", good, time.Second, measured)
			return list
		},
	})
}

// returned replays an evacuation of one of four availability zones, which is put back into
// service after five seconds.
func returned(c Config) []figure.Figure {
	const zones, zone, out = 4, 3, 5 * time.Second
	inside := func(n int) bool { return n%zones == zone }
	outside := func(n int) bool { return n%zones != zone }
	return c.replay(scenario{
		zones: zones,
		event: func(f *fleet) {
			f.order(2, f.zone(zone))
			f.After(out, func() { f.order(3) })
		},
		slots: func(c Config, since time.Duration) float64 {
			if since < out {
				return c.slotsOf(outside)
			}
			return warmSlots(c)
		},
		figures: func(f *fleet, begin time.Time) []figure.Figure {
			// largest returns the largest number of new flows of one of the servers in
			// any second after the zone's return, as a ratio to the mean of all servers.
			largest := func(in func(int) bool) (ratio float64) {
				for at := begin.Add(out); at.Before(begin.Add(measured)); at = at.Add(time.Second) {
					until := at.Add(time.Second)
					ratio = max(ratio, maxToMean(f.newFlows(in, at, until), f.newFlows(everyServer, at, until)))
				}
				return ratio
			}
			const quantity = "new flows in a second, largest to mean"
			return []figure.Figure{
				{Case: "returned zone", Quantity: quantity, Value: largest(inside)},
				{Case: "other zones", Quantity: quantity, Value: largest(outside)},
			}
		},
	})
}

// newFlows returns the number of new flows in a time of each server for which in returns
// true.
func (f *fleet) newFlows(in func(n int) bool, from, until time.Time) (counts []float64) {
	for n, a := range f.agents {
		if !in(n) {
			continue
		}
		count := 0.0
		for _, at := range a.newFlows {
			if !at.Before(from) && at.Before(until) {
				count++
			}
		}
		counts = append(counts, count)
	}
	return counts
}

// mean returns the mean of a list, 0 if it is empty.
func mean(list []float64) (sum float64) {
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(len(list), 1))
}

// maxToMean returns the ratio of the largest value of a list to the mean of another, 0 if
// the mean is 0 or the list is empty.
func maxToMean(list, other []float64) float64 {
	m := mean(other)
	if m == 0 || len(list) == 0 {
		return 0
	}
	return slices.Max(list) / m
}
