package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/membership/lab"
)

func runMembership(args []string, out io.Writer) error {
	e := experiments[lab.Config]{all: lab.Experiments}
	c := lab.DefaultConfig()
	fs := e.newFlagSet("membership", "measures membership with many state machines and an in-memory exchange of messages")
	floatList(fs, &c.Sizes, "sizes", "numbers of balancers of the spread experiment, separated by commas; empty is 8,32,128,512,1024,2048")
	floatList(fs, &c.Losses, "losses", "shares of messages lost of the spread experiment, 0 to below 1, separated by commas; empty is 0,0.05,0.2")
	fs.IntVar(&c.Changes, "changes", 0, "changes of spread and burst; 0 is 40 and 400")
	fs.IntVar(&c.Zones, "zones", 0, "availability zones of day, zone-loss, region-apart and rack-loss; 0 is 18, of rack-loss 6")
	fs.IntVar(&c.Balancers, "balancers", 0, "balancers a zone, in all of burst and reports; 0 is the size of docs/measure/membership.md")
	fs.IntVar(&c.Agents, "agents", 0, "agents a zone of day, zone-loss, region-apart and suspicions; 0 is the size of docs/measure/membership.md")
	fs.DurationVar(&c.Duration, "duration", 0, "simulated time of reports, day, region-apart and suspicions; 0 is 1m, 20m, 1h and 1h")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}
