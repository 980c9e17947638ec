package lab

import (
	"errors"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// credits runs an experiment and returns the credit of each window, and the bound.
func credits(t *testing.T, name string, c Config) (got, most []float64) {
	t.Helper()
	list, err := figure.Run(Experiments, []string{name}, c)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		if f.Quantity == "credit" {
			got = append(got, f.Value)
		} else {
			most = append(most, f.Value)
		}
	}
	return got, most
}

// Symptom: seconds after power is back everywhere a third of the requests is late or
// fails, for as long as one looks.
// Sequence: power goes for 1.3 s. Balancers have links of 5 Mbit/s, which carry the
// usual load with ease; callers go on with flows that ended.
// Cause: an overload that feeds itself: what balancers do about dead flows keeps them
// from new ones, whose callers come back. With the caller's packet to every agent for
// each dead flow credit is 0.83 in the second two seconds.
func TestOverloadEndsByItself(t *testing.T) {
	c := DefaultConfig()
	c.Seeds, c.Balancers, c.Agents, c.Slots, c.Link = 2, 10, 48, 2, 0.6e6
	got, _ := credits(t, "power", c)
	if got[1] < 0.87 || got[2] < 0.97 || got[3] < 0.99 {
		t.Errorf("credit by two seconds %.3f", got)
	}
}

// Symptom: all flows are lost with the processes that forward them.
// Sequence: all processes are killed and start again; the servers live on.
// Cause: flows that nobody remembers count as gone.
func TestFlowsOutliveAllProcesses(t *testing.T) {
	c := DefaultConfig()
	c.Seeds = 1
	got, _ := credits(t, "kill", c)
	if got[1] < 0.95 || got[2] < 0.99 {
		t.Errorf("credit by two seconds %.3f", got)
	}
}

func TestNothingBeatsTheBound(t *testing.T) {
	c := DefaultConfig()
	c.Seeds = 1
	for _, x := range Experiments {
		got, most := credits(t, x.Name, c)
		var sumGot, sumMost float64
		for i := range got {
			sumGot += got[i]
			sumMost += most[i]
		}
		// Work is drawn at random and the bound takes its mean.
		if sumGot > 1.02*sumMost {
			t.Errorf("%s: %.3f in all, at most %.3f", x.Name, sumGot, sumMost)
		}
	}
}

func TestWrongConfigIsRefused(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Seeds = 0 }, func(c *Config) { c.Balancers = 0 }, func(c *Config) { c.Agents = 0 },
		func(c *Config) { c.Slots = 0 }, func(c *Config) { c.Work = 0 }, func(c *Config) { c.Load = 0 },
		func(c *Config) { c.Link = 0 }, func(c *Config) { c.Outage = -time.Second },
	} {
		c := DefaultConfig()
		change(&c)
		_, err := figure.Run(Experiments, nil, c)
		var wrong *ConfigError
		if !errors.As(err, &wrong) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
