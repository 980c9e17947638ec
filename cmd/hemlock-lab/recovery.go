package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

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
	fs.DurationVar(&c.Target, "target", c.Target, "latency objective")
	fs.DurationVar(&c.Deadline, "deadline", c.Deadline, "time after which callers give up a request")
	fs.Float64Var(&c.LateCredit, "late-credit", c.LateCredit, "credit of a late answer, as a share of that of one in time")
	fs.Float64Var(&c.LongShare, "long-share", c.LongShare, "share of requests sent on a flow that is kept open")
	fs.Var(listValue[lab.Kind]{&c.Kinds, parseKind}, "kinds", "kinds of requests, as name:share:priority:worth:work:repeatable, separated by commas; empty is one kind with the work of -work")
	floatList(fs, &c.Speeds, "speeds", "factors on the work, dealt to the servers in turn; empty is 1 for all, and 1,2 in uneven")
	fs.Float64Var(&c.Burst, "burst", c.Burst, "load of the burst, as a multiple of the capacity of all servers")
	fs.DurationVar(&c.BurstSpan, "burst-span", c.BurstSpan, "duration of the burst")
	fs.Float64Var(&c.Failing, "failing", c.Failing, "share of servers that fail")
	fs.StringVar((*string)(&c.Failure), "failure", string(c.Failure), "how they fail: "+strings.Trim(fmt.Sprint(lab.Failures), "[]"))
	if err := e.parse(fs, args); err != nil {
		return err
	}
	c.Seed = e.seed
	return e.run(c, out)
}

// parseKind parses a kind given as name:share:priority:worth:work:repeatable.
func parseKind(s string) (k lab.Kind, err error) {
	part := strings.Split(s, ":")
	if len(part) != 6 {
		return k, fmt.Errorf("%q does not have six parts; give name:share:priority:worth:work:repeatable", s)
	}
	var errs [5]error
	k.Name = part[0]
	k.Share, errs[0] = strconv.ParseFloat(part[1], 64)
	priority, err := strconv.ParseUint(part[2], 10, 8)
	k.Priority, errs[1] = uint8(priority), err
	k.Worth, errs[2] = strconv.ParseFloat(part[3], 64)
	k.Work, errs[3] = time.ParseDuration(part[4])
	k.Repeatable, errs[4] = strconv.ParseBool(part[5])
	for _, err := range errs {
		if err != nil {
			return k, err
		}
	}
	return k, nil
}
