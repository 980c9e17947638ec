package lab

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/lab/figure"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// Experiments are all experiments, in the order of docs/measure/admission.md.
// Their Run returns a *ConfigError for an invalid config.
var Experiments = []figure.Experiment[Config]{
	{Name: "goodput", Run: checked(goodput),
		Summary: "answers in time / capacity, by offered load and kind of callers"},
	{Name: "fairness", Run: checked(fairness),
		Summary: "share of each owner's callers served in time, one owner at 10 times its quarter"},
	{Name: "slow-phase", Run: checked(slowPhase),
		Summary: "goodput before, during and after a phase in which the backend server runs at a fifth of its speed"},
	{Name: "thrash", Run: checked(overloadSlowdown),
		Summary: "goodput of a backend server with a capacity of 3/5 of its slots that loses speed beyond"},
	{Name: "shedding", Run: checked(shedding),
		Summary: "goodput of a backend server that answers 503 above 3/5 of its slots"},
	{Name: "returns", Run: checked(retryBurst),
		Summary: "how closely together 500 refused callers retry"},
	{Name: "long-flows", Run: checked(longFlows),
		Summary: "short requests beside feeds that stay open"},
	{Name: "retries", Run: checked(retries),
		Summary: "attempts per offered request while all attempts fail"},
}

func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return figure.Guard[*ConfigError](Config.check, run)
}

// newFigure returns a figure without a unit.
func newFigure(where, quantity string, v float64) figure.Figure {
	return figure.Figure{Case: where, Quantity: quantity, Value: v}
}

// callerKinds are the kinds of callers: those with retries retry after a refusal,
// impatient ones leave the queue at their deadline.
var callerKinds = []struct {
	name               string
	retries, impatient bool
}{{"plain", false, false}, {"returns", true, false}, {"impatient", false, true}, {"returns+impatient", true, true}}

// noLimitLoad is the highest load at which NoLimit is run, because the model is
// too slow with thousands of concurrent requests.
const noLimitLoad = 2

func goodput(c Config) (list []figure.Figure) {
	for _, kind := range callerKinds {
		for _, p := range c.selected(Policies...) {
			for _, load := range c.Loads {
				if p == NoLimit && load > noLimitLoad {
					continue
				}
				m := c.model(p)
				m.retries, m.impatient = kind.retries, kind.impatient
				m.arrive("a", load*c.capacity(), c.Duration)
				m.run(c.Duration)
				where := fmt.Sprintf("callers=%s policy=%s load=%g", kind.name, p, load)
				list = append(list, newFigure(where, "goodput/capacity", float64(m.totalInTime())/c.capacity()/c.Duration.Seconds()))
			}
		}
	}
	return list
}

func fairness(c Config) (list []figure.Figure) {
	for _, p := range c.selected(Controller, BoundedFIFO) {
		m := c.model(p)
		m.arrive("greedy", 10*c.capacity()/4, c.Duration)
		for _, o := range []string{"b", "c", "d"} {
			m.arrive(o, 0.5*c.capacity()/4, c.Duration)
		}
		m.run(c.Duration)
		where := "policy=" + string(p)
		for _, o := range []string{"greedy", "b", "c", "d"} {
			list = append(list, newFigure(where, "served of "+o, m.servedShare(o)))
		}
		list = append(list, newFigure(where, "goodput/capacity", float64(m.totalInTime())/c.capacity()/c.Duration.Seconds()))
	}
	return list
}

// phases are the phases of the slow-phase experiment, in seconds of simulated
// time. The experiment runs to the end of the last one, regardless of
// Config.Duration.
var phases = []struct {
	name       string
	start, end int
}{{"before", 0, 20}, {"slow", 20, 50}, {"first 5 s after", 50, 55}, {"rest", 55, 80}}

func slowPhase(c Config) (list []figure.Figure) {
	for _, p := range c.selected(Policies...) {
		m := c.model(p)
		m.slowdown = func(now time.Time) float64 {
			if s := now.Sub(simtime.Epoch); s >= 20*time.Second && s < 50*time.Second {
				return 5
			}
			return 1
		}
		m.arrive("a", 0.8*c.capacity(), 80*time.Second)
		m.run(80 * time.Second)
		for _, ph := range phases {
			v := float64(m.countInTime(ph.start, ph.end)) / c.capacity() / float64(ph.end-ph.start)
			list = append(list, newFigure("policy="+string(p), "goodput/capacity "+ph.name, v))
		}
	}
	return list
}

// weakCapacity is the capacity of a weak backend server as a share of its slots.
const weakCapacity = 3.0 / 5

// overloadSlowdown replays a backend server that loses speed with each request above its
// capacity. It runs for four times Config.Duration, at least 80 s, because the
// controller needs time to find the best number of concurrent requests.
func overloadSlowdown(c Config) (list []figure.Figure) {
	long := max(4*c.Duration, 80*time.Second)
	for _, loss := range []float64{0, 0.3, 1} {
		for _, p := range c.selected(Controller, BoundedFIFO) {
			m := c.model(p)
			m.capacity, m.speedLoss = weakCapacity*float64(c.Slots), loss
			m.arrive("a", 2*weakCapacity*c.capacity(), long)
			m.run(long)
			where := fmt.Sprintf("policy=%s thrash=%g", p, loss)
			end := int(long.Seconds())
			list = append(list,
				newFigure(where, "goodput/capacity", float64(m.totalInTime())/(weakCapacity*c.capacity())/long.Seconds()),
				newFigure(where, "goodput/capacity last 30 s", float64(m.countInTime(end-30, end))/(weakCapacity*c.capacity())/30))
		}
	}
	return list
}

func shedding(c Config) (list []figure.Figure) {
	for _, p := range c.selected(Controller, BoundedFIFO) {
		m := c.model(p)
		m.capacity = weakCapacity * float64(c.Slots)
		sheds := 0
		m.shed = func(n int) bool {
			over := float64(n) > m.capacity
			if over {
				sheds++
			}
			return over
		}
		m.arrive("a", 2*weakCapacity*c.capacity(), c.Duration)
		m.run(c.Duration)
		where := "policy=" + string(p)
		list = append(list,
			newFigure(where, "goodput/capacity", float64(m.totalInTime())/(weakCapacity*c.capacity())/c.Duration.Seconds()),
			newFigure(where, "503s per answer in time", float64(sheds)/float64(m.totalInTime())))
	}
	return list
}

// burstCallers is the number of callers that arrive at once in retryBurst.
const burstCallers = 500

// retryBurst replays burstCallers callers that arrive at once beside a usual load, and
// retry when refused.
func retryBurst(c Config) (list []figure.Figure) {
	const long = 20 * time.Second
	for _, p := range c.selected(Controller, BoundedFIFO) {
		m := c.model(p)
		m.retries = true
		for range burstCallers {
			m.arrive("burst", 0.0001, 0)
		}
		m.arrive("a", 0.5*c.capacity(), long)
		m.run(long)
		maxRetries := 0
		for _, n := range m.retriedAt {
			maxRetries = max(maxRetries, n)
		}
		where := "policy=" + string(p)
		list = append(list,
			newFigure(where, "returning callers in the fullest 100 ms", float64(maxRetries)),
			newFigure(where, "served of all", float64(m.totalInTime())/float64(m.offered["a"]+m.offered["burst"])))
	}
	return list
}

func longFlows(c Config) (list []figure.Figure) {
	for _, hold := range []bool{false, true} {
		m := c.model(Controller)
		m.holdSlots = hold
		m.arrive("short", 0.6*c.capacity(), c.Duration)
		m.arriveFlows("feeds", 0.2*c.capacity(), c.Duration, 10*time.Second)
		m.run(c.Duration)
		where := fmt.Sprintf("slot held to the end=%v", hold)
		list = append(list, newFigure(where, "served of short", m.servedShare("short")), newFigure(where, "opened of feeds", m.servedShare("feeds")))
	}
	const feeds, where = 2000, "2000 feeds come back at once"
	m := c.model(Controller)
	m.retries, m.patience = true, time.Second
	m.arrive("short", 0.6*c.capacity(), 2*time.Second)
	for range feeds {
		m.arriveFlows("feeds", 0.0001, 0, time.Hour)
	}
	m.run(60 * time.Second)
	return append(list,
		newFigure(where, "served of short in the first 2 s", m.servedShare("short")),
		newFigure(where, "feeds opened", float64(m.inTime["feeds"])),
		newFigure(where, "refusals", float64(m.refusals)))
}

func retries(Config) []figure.Figure {
	var b admission.Budget
	attempts := 0
	const offered = 100_000
	for range offered {
		b.Offered()
		attempts++
		for range 3 { // each attempt fails
			if b.Retry(simtime.Epoch, admission.Request{Idempotent: true}, 0) {
				attempts++
			}
		}
	}
	return []figure.Figure{newFigure("all fail, 3 retries wanted each", "attempts/offered", float64(attempts)/offered)}
}
