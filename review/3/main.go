// Command 3 shows open flows that are reset after a pause shorter than the idle time-out of
// the operator's config.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/review/rig"
)

const (
	idleTimeout = 30 * time.Second
	longPause   = 24 * time.Second // below idleTimeout
	shortPause  = 10 * time.Second
	flowCount   = 24
	deadline    = 4 * time.Second
	callerCount = 4
	maxFlowAge  = 60 * time.Second
)

func main() {
	rig.Main("review/3", rig.Options{
		Balancers: 2, Agents: []string{"listing", "listing"},
		IdleTimeout: idleTimeout, HeartbeatInterval: 770 * time.Millisecond,
	}, run)
}

func run(r *rig.Rig, trouble bool) error {
	pause := shortPause
	if trouble {
		pause = longPause
	}
	var flows sync.WaitGroup
	for i := range callerCount {
		c, err := r.NewConsumer(i)
		if err != nil {
			return err
		}
		for n := range flowCount / callerCount {
			flows.Go(func() { keepFlow(r, c, fmt.Sprintf("f%d", i*flowCount/callerCount+n), pause) })
		}
	}
	flows.Wait()
	return nil
}

// keepFlow sends two requests on a flow, with a pause between them.
func keepFlow(r *rig.Rig, c *rig.Consumer, name string, pause time.Duration) {
	f, outcome := c.Open("listing")
	if f == nil {
		r.Record.Add("%s does not open: %s", name, outcome)
		return
	}
	defer f.Close()
	if outcome := f.Request(name+".1", deadline); outcome != rig.Answered {
		return
	}
	used := f.UsedAt
	if f.ResetWhileIdle(pause) {
		report(r, f, name, used)
		return
	}
	r.Record.Add("%s was idle for %.1f s", name, time.Since(used).Seconds())
	if f.Request(name+".2", deadline) == rig.Reset {
		report(r, f, name, used)
	}
}

// report records a reset as a broken rule, unless the rule excuses it.
func report(r *rig.Rig, f *rig.Flow, name string, used time.Time) {
	s := r.Holder(f)
	if s == nil || time.Since(used) >= idleTimeout || time.Since(f.OpenedAt) >= maxFlowAge {
		return
	}
	r.Record.Break("FLOW: %s is reset after a pause of %.1f s, and its server %s holds the flow and runs", name, time.Since(used).Seconds(), s.ID)
}
