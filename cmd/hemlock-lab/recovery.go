package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/flow/lab"
)

func runRecovery(args []string, out io.Writer) error {
	e := experiments[lab.Config]{all: lab.Experiments}
	c := lab.DefaultConfig()
	fs := e.newFlagSet("recovery", "simulates the worst load on a model of balancers, agents, servers and callers")
	fs.IntVar(&c.Seeds, "seeds", c.Seeds, "number of runs; figures are means over them")
	fs.IntVar(&c.Balancers, "balancers", c.Balancers, "number of balancers")
	fs.IntVar(&c.Agents, "agents", c.Agents, "number of agents, each beside a backend server")
	fs.IntVar(&c.Slots, "slots", c.Slots, "requests that a backend server runs in parallel")
	fs.DurationVar(&c.Work, "work", c.Work, "mean service time of a request at a warm server")
	fs.Float64Var(&c.Load, "load", c.Load, "new requests as a share of the capacity of warm servers")
	fs.Float64Var(&c.Link, "link", c.Link, "link rate of each balancer in bytes per second")
	fs.DurationVar(&c.Outage, "outage", c.Outage, "duration of the outage of all processes")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}
