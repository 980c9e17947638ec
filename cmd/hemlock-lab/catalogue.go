package main

import (
	"io"

	"github.com/hemlockscale/hemlockscale/catalogue/lab"
)

func runCatalogue(args []string, out io.Writer) error {
	e := experiments[lab.Config]{all: lab.Experiments}
	c := lab.DefaultConfig()
	fs := e.newFlagSet("catalogue", "measures how changes propagate between replicas that exchange messages in memory")
	floatList(fs, &c.Sizes, "sizes", "numbers of nodes, separated by commas; empty is each experiment's default, for spread 8,64,512,4096,11000")
	floatList(fs, &c.Losses, "losses", "shares of messages lost, 0 to below 1, separated by commas; empty is each experiment's default, for spread 0,0.05,0.2")
	fs.IntVar(&c.Changes, "changes", 0, "number of changes in spread and fanout, and of edits of 500 entries in bulk-edit; 0 is 10")
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}
