package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/membership/lab"
)

func runMembership(args []string, out io.Writer) error {
	e := experiments[lab.Config]{all: lab.Experiments}
	c := lab.DefaultConfig()
	fs := e.newFlagSet("membership", "measures membership with many state machines that exchange messages in memory")
	floatList(fs, &c.Sizes, "sizes", "numbers of balancers of the spread experiment, separated by commas; empty is 8,32,128,512,1024,2048")
	floatList(fs, &c.Losses, "losses", "shares of messages lost of the spread experiment, 0 to below 1, separated by commas; empty is 0,0.05,0.2")
	fs.IntVar(&c.Changes, "changes", 0, "number of changes in spread and burst; 0 is 40 and 400")
	fs.IntVar(&c.Zones, "zones", 0, "availability zones in day, zone-loss, region-apart and rack-loss; 0 is 18, in rack-loss 6")
	fs.IntVar(&c.Balancers, "balancers", 0, "balancers per zone, in burst and reports in total; 0 is the size in docs/measure/membership.md")
	fs.IntVar(&c.Agents, "agents", 0, "agents per zone in day, zone-loss, region-apart and suspicions; 0 is the size in docs/measure/membership.md")
	fs.DurationVar(&c.Duration, "duration", 0, "simulated time of reports, day, region-apart and suspicions; 0 is 1m, 20m, 1h and 1h respectively")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}
