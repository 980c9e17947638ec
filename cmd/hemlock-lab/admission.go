package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/admission/lab"
)

func runAdmission(args []string, out io.Writer) error {
	e := experiments[lab.Config]{all: lab.Experiments}
	c := lab.DefaultConfig()
	var policies []string
	fs := e.newFlagSet("admission", "measures admission control on a model of one backend server and its callers")
	fs.IntVar(&c.Slots, "slots", c.Slots, "requests that the backend server runs in parallel at full speed")
	fs.IntVar(&c.Queue, "queue", c.Queue, "largest queue length of the controller and of the bounded queue")
	fs.DurationVar(&c.Service, "service", c.Service, "mean service time of a request")
	fs.DurationVar(&c.Patience, "patience", c.Patience, "time from a caller's attempt to its deadline")
	fs.DurationVar(&c.Duration, "duration", c.Duration, "simulated time of a run; slow-phase, returns and long-flows have their own duration")
	floatList(fs, &c.Loads, "loads", "ratios of offered work to capacity in the goodput experiment, separated by commas")
	stringList(fs, &policies, "policies", "policies to compare, separated by commas; empty is all of admission,fifo-bounded,fifo,no-limit")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	for _, p := range policies {
		c.Policies = append(c.Policies, lab.Policy(p))
	}
	return e.run(c, out)
}
