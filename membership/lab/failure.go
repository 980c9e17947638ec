package lab

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// ZoneChanges counts the changes that balancers reported during a failure of zones.
type ZoneChanges struct {
	ZoneDown map[*Process]bool // balancers for which a zone is unreachable
	Verdicts int               // suspect and dead verdicts on single processes
	Flaps    int               // changes of a zone's reachability
}

// RecordZoneChanges replaces x.OnChange and returns the counters it updates.
func RecordZoneChanges(x *Exchange) *ZoneChanges {
	l := &ZoneChanges{ZoneDown: map[*Process]bool{}}
	x.OnChange = func(p *Process, c *membership.Change) {
		switch {
		case c.Kind == membership.ChangeZone:
			l.Flaps++
			if c.Reachable {
				delete(l.ZoneDown, p)
			} else {
				l.ZoneDown[p] = true
			}
		case c.Kind == membership.ChangeRecord && c.Record.Verdict != membership.VerdictAlive:
			l.Verdicts++
		}
	}
	return l
}

// ZoneLossResult is the result of ZoneLoss.
type ZoneLossResult struct {
	Balancers, Agents int
	Outside, Known    int              // balancers outside the zone, and how many of them know of the loss
	Took              time.Duration    // until all know; at most a minute
	Extra             float64          // bytes sent per balancer beyond the traffic at rest
	Verdicts          int              // on single processes, by all balancers
	StillReady        []netip.AddrPort // agents of the zone that still get work
}

// ZoneLoss stops all processes of one zone at once.
func ZoneLoss(seed uint64, zones, balancers, agents int) ZoneLossResult {
	x := NewExchange(seed)
	list, as := ConvergedFleet(x, zones, balancers, agents)
	l := RecordZoneChanges(x)
	outside := list[balancers:]
	idle := x.Traffic(outside, 10*time.Second)
	for _, p := range list[:balancers] {
		p.Stopped = true
	}
	for i := 0; i < len(as); i += zones {
		as[i].Stopped = true
	}
	start, before := x.Now, Sent(outside)
	x.Run(60*time.Second, func() bool { return len(l.ZoneDown) == len(outside) })
	r := ZoneLossResult{
		Balancers: len(list), Agents: len(as), Outside: len(outside), Known: len(l.ZoneDown),
		Took: x.Now.Sub(start), Verdicts: l.Verdicts,
	}
	r.Extra = (Sent(outside).Bytes-before.Bytes)/float64(len(outside)) - idle.Bytes*r.Took.Seconds()
	for rec := range list[len(list)-1].Machine.ReadyAgents(1) {
		if rec.Zone == ZoneName(0) {
			r.StillReady = append(r.StillReady, rec.Addr)
		}
	}
	return r
}

// RegionResult is the result of RegionApart.
type RegionResult struct {
	Balancers, Agents, Changes int
	ZoneDown                   int           // balancers for which a zone of the other side was unreachable
	Verdicts                   int           // on single processes, by all balancers
	Converged                  bool          // within two minutes after the cut healed
	Took                       time.Duration // from the end of the cut until convergence
	Extra                      float64       // bytes sent per balancer beyond the traffic at rest
	Idle, Peak                 float64       // B/s sent per balancer, at rest and in the busiest second
	Differences                string        // between the member lists, unless Converged
}

// RegionApart cuts region 0 off from the others for the time apart, while agents
// announce new weights.
func RegionApart(seed uint64, zones, balancers, agents int, apart time.Duration) RegionResult {
	x := NewExchange(seed)
	list, as := ConvergedFleet(x, zones, balancers, agents)
	idle := x.Traffic(list, 10*time.Second)
	l := RecordZoneChanges(x)
	x.Cut = func(from, to *Process) bool {
		return (from.Record.Region == "region-0") != (to.Record.Region == "region-0")
	}
	r := RegionResult{Balancers: len(list), Agents: len(as), Idle: idle.Bytes}
	for end := x.Now.Add(apart); x.Now.Before(end); r.Changes++ {
		a := as[x.Rand.IntN(len(as))].Announcer
		a.SetWeight(x.Now, a.Self().Weight+1)
		x.Run(2500*time.Millisecond, nil)
	}
	r.ZoneDown, r.Verdicts = len(l.ZoneDown), l.Verdicts
	x.Cut = nil
	start, before := x.Now, Sent(list)
	last := before
	for x.Now.Sub(start) < 2*time.Minute && !r.Converged {
		r.Converged = x.Run(time.Second, nil) || x.Converged()
		sent := Sent(list)
		r.Peak = max(r.Peak, (sent.Bytes-last.Bytes)/float64(len(list)))
		last = sent
	}
	r.Took = x.Now.Sub(start)
	r.Extra = (last.Bytes-before.Bytes)/float64(len(list)) - idle.Bytes*r.Took.Seconds()
	if !r.Converged {
		r.Differences = x.Differences()
	}
	return r
}

// Sizes of the rack that RackLoss stops.
const (
	rackBalancers = 2
	rackProcesses = 40
)

// RackResult is the result of RackLoss.
type RackResult struct {
	Balancers, Agents int
	Pairs, Known      int           // pairs of a balancer outside the rack and a lost process, and how many have the verdict
	NearlyAll, All    time.Duration // until 99.9 % and until all of them are known; All at most 30 s
	Rate              float64       // B/s sent per balancer until All
}

// RackLoss stops 2 balancers and 38 agents of one zone at once; each zone has
// 60 agents.
func RackLoss(seed uint64, zones, balancers int) RackResult {
	x := NewExchange(seed)
	list, as := ConvergedFleet(x, zones, balancers, 60)
	rack := append([]*Process(nil), list[:rackBalancers]...)
	for i := 0; len(rack) < rackProcesses; i += zones {
		rack = append(rack, as[i])
	}
	for _, p := range rack {
		p.Stopped = true
	}
	start, before := x.Now, Sent(list)
	r := RackResult{Balancers: len(list), Agents: len(as), Pairs: (len(list) - rackBalancers) * len(rack)}
	seen := map[[2]*Process]bool{}
	x.OnChange = func(b *Process, c *membership.Change) {
		p := x.ProcessAt(c.Record.Addr)
		if p != nil && p.Stopped && c.Record.Verdict != membership.VerdictAlive && !b.Stopped {
			seen[[2]*Process{b, p}] = true
		}
		if r.NearlyAll == 0 && len(seen)*1000 >= r.Pairs*999 {
			r.NearlyAll = x.Now.Sub(start)
		}
	}
	x.Run(30*time.Second, func() bool { return len(seen) == r.Pairs })
	r.Known, r.All = len(seen), x.Now.Sub(start)
	r.Rate = (Sent(list).Bytes - before.Bytes) / float64(len(list)) / r.All.Seconds()
	return r
}
