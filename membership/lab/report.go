package lab

import (
	"fmt"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// figures collects the figures of the case caseName.
type figures struct {
	caseName string
	list     []figure.Figure
}

func (f *figures) add(quantity, unit string, v float64) {
	f.list = append(f.list, figure.Figure{Case: f.caseName, Quantity: quantity, Unit: unit, Value: v})
}

func (f *figures) times(name string, list []time.Duration, quantiles ...float64) {
	for _, q := range quantiles {
		f.add(fmt.Sprintf("%s p%g", name, 100*q), "ms", figure.Millis(figure.Quantile(list, q)))
	}
}

func spread(c Config) []figure.Figure {
	sizes, losses := c.Sizes, c.Losses
	if len(sizes) == 0 {
		sizes = []float64{8, 32, 128, 512, 1024, 2048}
	}
	if len(losses) == 0 {
		losses = []float64{0, 0.05, 0.2}
	}
	f := &figures{}
	for _, loss := range losses {
		var logs, all, cost []float64
		for _, n := range sizes {
			s := Spread(c.seed(uint64(n)), int(n), orDefault(c.Changes, 40), loss)
			f.caseName = fmt.Sprintf("loss=%g balancers=%g", loss, n)
			f.times("known to 99.9%", s.NearlyAll, 0.5, 1)
			f.times("known to all", s.All, 0.5, 1)
			f.add("changes not known to all", "", float64(s.Missing))
			f.add("at rest", "B/s", s.Idle.Bytes)
			f.add("at rest", "messages/s", s.Idle.Messages)
			f.add("a change", "B", s.PerChange.Bytes)
			f.add("a change", "messages", s.PerChange.Messages)
			logs = append(logs, math.Log2(n))
			all = append(all, figure.Quantile(s.All, 1).Seconds())
			cost = append(cost, s.PerChange.Bytes)
		}
		if len(sizes) < 2 {
			continue
		}
		f.caseName = fmt.Sprintf("loss=%g fit over log2 n, at 11,000", loss)
		a, b := Fit(logs, all)
		f.add("known to all p100", "s", a+b*math.Log2(TargetBalancers))
		a, b = Fit(logs, cost)
		f.add("a change", "B", a+b*math.Log2(TargetBalancers))
	}
	return f.list
}

func bursts(c Config) []figure.Figure {
	f := &figures{}
	n, changes := orDefault(c.Balancers, 512), orDefault(c.Changes, 400)
	for _, every := range []time.Duration{0, 100 * time.Millisecond} {
		b := Burst(c.seed(9), n, changes, every)
		f.caseName = fmt.Sprintf("balancers=%d changes=%d every=%v", n, changes, every)
		f.times("known to all", b.All, 0.5, 0.99, 1)
		f.add("all known after 2 minutes, 1 is yes", "", boolValue(b.AllKnown))
		f.add("a balancer", "B/s", b.Rate)
		f.add("a change", "B", b.PerChange)
	}
	return f.list
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func reports(c Config) []figure.Figure {
	r := Reports(c.seed(4), orDefault(c.Balancers, 128), orDefault(c.Duration, time.Minute))
	f := &figures{caseName: fmt.Sprintf("balancers=%d agents=%d", r.Balancers, r.Agents)}
	f.add("a balancer sends", "B/s", r.Balancer.Bytes)
	f.add("a balancer sends", "messages/s", r.Balancer.Messages)
	f.add("a balancer receives", "B/s", r.Received)
	f.add("an agent sends", "B/s", r.Agent.Bytes)
	f.add("an agent sends", "messages/s", r.Agent.Messages)
	for k, v := range r.ByKind {
		if v > 0 {
			f.add(fmt.Sprintf("a balancer sends, messages of kind %d", k), "B/s", v)
		}
	}
	return f.list
}

func memory(c Config) []figure.Figure {
	r, err := Memory(c.seed(6))
	if err != nil {
		panic(&FaultError{"bulk transfer of the target size", err})
	}
	f := &figures{caseName: fmt.Sprintf("records=%d", r.Records)}
	f.add("heap", "B", r.Heap)
	f.add("heap a record", "B", r.Heap/float64(r.Records))
	f.add("bulk transfer", "B", float64(r.Bulk))
	f.add("bulk transfer a record", "B", float64(r.Bulk)/float64(r.Records))
	return f.list
}

func day(c Config) []figure.Figure {
	r := Day(c.seed(12), orDefault(c.Zones, 18), orDefault(c.Balancers, 28), orDefault(c.Agents, 56), orDefault(c.Duration, 20*time.Minute))
	f := &figures{caseName: fmt.Sprintf("balancers=%d agents=%d restarts=%d", r.Balancers, r.Agents, r.Restarts)}
	f.add("a balancer sends", "B/s", r.Sent)
	f.add("a balancer sends at rest", "B/s", r.Rest)
	f.add("a balancer receives", "B/s", r.Received)
	f.add("a restart", "B", r.PerRestart)
	f.add("rosters agree after 20 s, 1 is yes", "", boolValue(r.Differences == ""))
	return f.list
}

// zoneLoss reports how soon the loss of a whole zone is known, and its traffic.
func zoneLoss(c Config) []figure.Figure {
	r := ZoneLoss(c.seed(1), orDefault(c.Zones, 18), orDefault(c.Balancers, 32), orDefault(c.Agents, 120))
	f := &figures{caseName: fmt.Sprintf("balancers=%d agents=%d", r.Balancers, r.Agents)}
	f.add("until known", "s", r.Took.Seconds())
	f.add("balancers that don't know", "", float64(r.Outside-r.Known))
	f.add("a balancer sends beyond rest", "B", r.Extra)
	f.add("verdicts on single records, of all balancers", "", float64(r.Verdicts))
	f.add("agents of the zone that still get work", "", float64(len(r.StillReady)))
	return f.list
}

// regionApart reports how many balancers treat a region that is cut off as lost, and how
// soon the member lists agree after the cut.
func regionApart(c Config) []figure.Figure {
	r := RegionApart(c.seed(2), orDefault(c.Zones, 18), orDefault(c.Balancers, 16), orDefault(c.Agents, 40), orDefault(c.Duration, time.Hour))
	f := &figures{caseName: fmt.Sprintf("balancers=%d agents=%d changes=%d", r.Balancers, r.Agents, r.Changes)}
	f.add("balancers that held zones for lost", "", float64(r.ZoneDown))
	f.add("verdicts on single records, of all balancers", "", float64(r.Verdicts))
	f.add("rosters agree after 2 minutes, 1 is yes", "", boolValue(r.Converged))
	f.add("until they agree", "s", r.Took.Seconds())
	f.add("a balancer sends beyond rest", "B", r.Extra)
	f.add("a balancer sends in the busiest second", "B", r.Peak)
	return f.list
}

func rackLoss(c Config) []figure.Figure {
	r := RackLoss(c.seed(13), orDefault(c.Zones, 6), orDefault(c.Balancers, 64))
	f := &figures{caseName: fmt.Sprintf("balancers=%d agents=%d processes lost=%d", r.Balancers, r.Agents, rackProcesses)}
	f.add("until 99.9% of the verdicts are known", "s", r.NearlyAll.Seconds())
	f.add("until all are known", "s", r.All.Seconds())
	f.add("verdicts not known", "", float64(r.Pairs-r.Known))
	f.add("a balancer sends", "B/s", r.Rate)
	return f.list
}

func suspicions(c Config) []figure.Figure {
	f := &figures{}
	balancers, agents, d := orDefault(c.Balancers, 32), orDefault(c.Agents, 272), orDefault(c.Duration, time.Hour)
	for _, by := range Disturbances {
		f.caseName = fmt.Sprintf("%s, balancers=%d agents=%d, %v", by.Name, 2*balancers, 2*agents, d)
		r := Suspicions(c.seed(5), balancers, agents, d, by)
		f.add("verdicts of suspicion", "", float64(r.Verdicts))
		f.add("wrong ones heard", "", float64(r.Wrong))
	}
	return f.list
}
