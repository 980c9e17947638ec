package lab

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/lab/figure"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// Experiments are all experiments, in the order of docs/measure/admission.md.
// Their Run returns a ConfigError for a config that can't be used.
var Experiments = []figure.Experiment[Config]{
	{Name: "goodput", Run: checked(goodput),
		Tell: "answers in time / capacity, by offered load and kind of callers"},
	{Name: "fairness", Run: checked(fairness),
		Tell: "share of each owner's callers served in time, one owner at 10 times its quarter"},
	{Name: "slow-phase", Run: checked(slowPhase),
		Tell: "goodput before, while and after the backend server runs at a fifth of its speed"},
	{Name: "thrash", Run: checked(thrash),
		Tell: "goodput of a backend server that carries 3/5 of its slots and loses speed beyond"},
	{Name: "shedding", Run: checked(shedding),
		Tell: "goodput of a backend server that answers 503 above 3/5 of its slots"},
	{Name: "returns", Run: checked(returns),
		Tell: "how closely together 500 refused callers come back"},
	{Name: "long-flows", Run: checked(longFlows),
		Tell: "short requests beside feeds that stay open"},
	{Name: "retries", Run: checked(retries),
		Tell: "attempts per offered request while all fail"},
}

// checked lets run see no config that can't be used.
func checked(run func(Config) []figure.Figure) func(Config) ([]figure.Figure, error) {
	return func(c Config) ([]figure.Figure, error) {
		if err := c.check(); err != nil {
			return nil, err
		}
		return run(c), nil
	}
}

func share(where, quantity string, v float64) figure.Figure {
	return figure.Figure{Case: where, Quantity: quantity, Value: v}
}

// crowds are the kinds of callers.
var crowds = []struct {
	name               string
	returns, impatient bool
}{{"plain", false, false}, {"returns", true, false}, {"impatient", false, true}, {"returns+impatient", true, true}}

// noLimitLoad is the highest load at which NoLimit runs: the model is too slow
// with thousands of requests at work.
const noLimitLoad = 2

func goodput(c Config) (list []figure.Figure) {
	for _, crowd := range crowds {
		for _, p := range c.only(Policies...) {
			for _, load := range c.Loads {
				if p == NoLimit && load > noLimitLoad {
					continue
				}
				m := c.model(p)
				m.returns, m.impatient = crowd.returns, crowd.impatient
				m.arrive("a", load*c.full(), c.Duration)
				m.run(c.Duration)
				where := fmt.Sprintf("callers=%s policy=%s load=%g", crowd.name, p, load)
				list = append(list, share(where, "goodput/capacity", float64(m.total())/c.full()/c.Duration.Seconds()))
			}
		}
	}
	return list
}

func fairness(c Config) (list []figure.Figure) {
	for _, p := range c.only(Controller, BoundedFIFO) {
		m := c.model(p)
		m.arrive("greedy", 10*c.full()/4, c.Duration)
		for _, o := range []string{"b", "c", "d"} {
			m.arrive(o, 0.5*c.full()/4, c.Duration)
		}
		m.run(c.Duration)
		where := "policy=" + string(p)
		for _, o := range []string{"greedy", "b", "c", "d"} {
			list = append(list, share(where, "served of "+o, m.served(o)))
		}
		list = append(list, share(where, "goodput/capacity", float64(m.total())/c.full()/c.Duration.Seconds()))
	}
	return list
}

// phases are the seconds of the slow-phase experiment; it runs for their sum,
// whatever Config.Duration.
var phases = []struct {
	name       string
	start, end int
}{{"before", 0, 20}, {"slow", 20, 50}, {"first 5 s after", 50, 55}, {"rest", 55, 80}}

func slowPhase(c Config) (list []figure.Figure) {
	for _, p := range c.only(Policies...) {
		m := c.model(p)
		m.slow = func(now time.Time) float64 {
			if s := now.Sub(simtime.Epoch); s >= 20*time.Second && s < 50*time.Second {
				return 5
			}
			return 1
		}
		m.arrive("a", 0.8*c.full(), 80*time.Second)
		m.run(80 * time.Second)
		for _, ph := range phases {
			v := float64(m.goodIn(ph.start, ph.end)) / c.full() / float64(ph.end-ph.start)
			list = append(list, share("policy="+string(p), "goodput/capacity "+ph.name, v))
		}
	}
	return list
}

// weak is the share of its slots that a weak backend server carries.
const weak = 3.0 / 5

// thrash runs for four times Config.Duration, at least 80 s: the controller
// needs time to find how many requests at work are best.
func thrash(c Config) (list []figure.Figure) {
	long := max(4*c.Duration, 80*time.Second)
	for _, loss := range []float64{0, 0.3, 1} {
		for _, p := range c.only(Controller, BoundedFIFO) {
			m := c.model(p)
			m.capacity, m.thrash = weak*float64(c.Slots), loss
			m.arrive("a", 2*weak*c.full(), long)
			m.run(long)
			where := fmt.Sprintf("policy=%s thrash=%g", p, loss)
			end := int(long.Seconds())
			list = append(list,
				share(where, "goodput/capacity", float64(m.total())/(weak*c.full())/long.Seconds()),
				share(where, "goodput/capacity last 30 s", float64(m.goodIn(end-30, end))/(weak*c.full())/30))
		}
	}
	return list
}

func shedding(c Config) (list []figure.Figure) {
	for _, p := range c.only(Controller, BoundedFIFO) {
		m := c.model(p)
		m.capacity = weak * float64(c.Slots)
		sheds := 0
		m.shed = func(n int) bool {
			over := float64(n) > m.capacity
			if over {
				sheds++
			}
			return over
		}
		m.arrive("a", 2*weak*c.full(), c.Duration)
		m.run(c.Duration)
		where := "policy=" + string(p)
		list = append(list,
			share(where, "goodput/capacity", float64(m.total())/(weak*c.full())/c.Duration.Seconds()),
			share(where, "503s per answer in time", float64(sheds)/float64(m.total())))
	}
	return list
}

// burst is how many callers arrive at once in the returns experiment.
const burst = 500

func returns(c Config) (list []figure.Figure) {
	const long = 20 * time.Second
	for _, p := range c.only(Controller, BoundedFIFO) {
		m := c.model(p)
		m.returns = true
		for range burst {
			m.arrive("burst", 0.0001, 0)
		}
		m.arrive("a", 0.5*c.full(), long)
		m.run(long)
		most := 0
		for _, n := range m.returnedAt {
			most = max(most, n)
		}
		where := "policy=" + string(p)
		list = append(list,
			share(where, "returning callers in the fullest 100 ms", float64(most)),
			share(where, "served of all", float64(m.total())/float64(m.offered["a"]+m.offered["burst"])))
	}
	return list
}

func longFlows(c Config) (list []figure.Figure) {
	for _, hold := range []bool{false, true} {
		m := c.model(Controller)
		m.holdSlots = hold
		m.arrive("short", 0.6*c.full(), c.Duration)
		m.arriveFlows("feeds", 0.2*c.full(), c.Duration, 10*time.Second)
		m.run(c.Duration)
		where := fmt.Sprintf("slot held to the end=%v", hold)
		list = append(list, share(where, "served of short", m.served("short")), share(where, "opened of feeds", m.served("feeds")))
	}
	const feeds, where = 2000, "2000 feeds come back at once"
	m := c.model(Controller)
	m.returns, m.patience = true, time.Second
	m.arrive("short", 0.6*c.full(), 2*time.Second)
	for range feeds {
		m.arriveFlows("feeds", 0.0001, 0, time.Hour)
	}
	m.run(60 * time.Second)
	return append(list,
		share(where, "served of short in the first 2 s", m.served("short")),
		share(where, "feeds opened", float64(m.good["feeds"])),
		share(where, "refusals", float64(m.refusals)))
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
	return []figure.Figure{share("all fail, 3 retries wanted each", "attempts/offered", float64(attempts)/offered)}
}
