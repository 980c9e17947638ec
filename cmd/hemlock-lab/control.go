package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/flow/lab"
)

func runControl(args []string, out io.Writer) error {
	e := experiments[lab.ControlConfig]{all: lab.ControlExperiments}
	c := lab.DefaultControlConfig()
	fs := e.newFlagSet("control", "counts the control messages of packet flows' balancers and agents in a fleet without callers")
	fs.IntVar(&c.Balancers, "balancers", c.Balancers, "number of balancers")
	fs.IntVar(&c.Agents, "agents", c.Agents, "number of agents")
	fs.IntVar(&c.Services, "services", c.Services, "number of services among which the agents are divided")
	fs.DurationVar(&c.Span, "span", c.Span, "time for which messages at rest are counted")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}
