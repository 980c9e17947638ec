package lab

import (
	"math"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// SpreadResult is the result of Spread.
type SpreadResult struct {
	NearlyAll, All []time.Duration // per change: until 99.9 % and until all balancers know it
	Missing        int             // changes that not all balancers know at the end
	Idle, Busy     Traffic         // per balancer, before the changes and while they spread
	PerChange      Traffic         // additional traffic of a change, per balancer
}

// changeProgress counts the balancers that know one change.
type changeProgress struct {
	start          time.Time
	n              int
	nearlyAll, all time.Duration
}

func (k *changeProgress) recordKnown(now time.Time, of int) {
	k.n++
	if k.n == int(math.Ceil(0.999*float64(of))) {
		k.nearlyAll = now.Sub(k.start)
	}
	if k.n == of {
		k.all = now.Sub(k.start)
	}
}

// leavingAgents is a fleet whose agents leave one after another.
type leavingAgents struct {
	*Exchange
	balancers, agents []*Process
	known             map[netip.AddrPort]*changeProgress
}

func zonesFor(n int) int { return min(max(n/8, 1), 18) }

// newLeavingAgents builds a fleet of n balancers with one agent for each change.
func newLeavingAgents(seed uint64, n, changes int) *leavingAgents {
	l := &leavingAgents{Exchange: NewExchange(seed), known: map[netip.AddrPort]*changeProgress{}}
	l.Delay = RegionDelay
	zones := zonesFor(n)
	l.balancers = l.Fleet(n, zones)
	for i := range changes {
		z := i % zones
		l.agents = append(l.agents, l.Agent(i, z, AddrOf(membership.RoleBalancer, z*n/zones)))
	}
	l.ShareRecords()
	l.Run(15*time.Second, nil)
	l.OnChange = func(_ *Process, c *membership.Change) {
		k := l.known[c.Record.Addr]
		if k != nil && c.Record.State == membership.StateLeaving && c.Record.Verdict == membership.VerdictAlive {
			k.recordKnown(l.Now, n)
		}
	}
	return l
}

// leave makes all agents leave, one in each interval every.
func (l *leavingAgents) leave(every time.Duration) {
	for _, a := range l.agents {
		l.known[a.Record.Addr] = &changeProgress{start: l.Now}
		a.SetState(l.Now, membership.StateLeaving)
		l.Flush(a)
		l.Run(every, nil)
	}
}

// allKnown reports whether every balancer knows every change.
func (l *leavingAgents) allKnown() bool {
	for _, k := range l.known {
		if k.n < len(l.balancers) {
			return false
		}
	}
	return true
}

// Spread makes the agents of a fleet of n balancers leave, one every half second, at
// the given share of lost messages, and measures when the balancers know.
func Spread(seed uint64, n, changes int, loss float64) SpreadResult {
	l := newLeavingAgents(seed, n, changes)
	l.Loss = loss
	var s SpreadResult
	s.Idle = l.Traffic(l.balancers, 10*time.Second)
	const every, rest = 500 * time.Millisecond, 10 * time.Second
	start := Sent(l.balancers)
	l.leave(every)
	l.Run(rest, nil)
	d := time.Duration(changes)*every + rest
	s.Busy = Sent(l.balancers).rateSince(start, n, d)
	s.PerChange.Bytes = (s.Busy.Bytes - s.Idle.Bytes) * d.Seconds() / float64(changes)
	s.PerChange.Messages = (s.Busy.Messages - s.Idle.Messages) * d.Seconds() / float64(changes)
	for _, k := range l.known {
		s.NearlyAll = append(s.NearlyAll, k.nearlyAll)
		if k.n < n {
			s.Missing++
			continue
		}
		s.All = append(s.All, k.all)
	}
	return s
}

// BurstResult is the result of Burst.
type BurstResult struct {
	All       []time.Duration // per change: until all balancers know it
	AllKnown  bool            // within two minutes
	Rate      float64         // B/s sent per balancer while the changes spread
	PerChange float64         // bytes sent per balancer and change
}

// Burst makes the agents of a fleet of n balancers leave, one in each interval every.
func Burst(seed uint64, n, changes int, every time.Duration) BurstResult {
	l := newLeavingAgents(seed, n, changes)
	start, before := l.Now, Sent(l.balancers)
	l.leave(every)
	var b BurstResult
	b.AllKnown = l.Run(2*time.Minute, l.allKnown)
	took := l.Now.Sub(start)
	for _, k := range l.known {
		b.All = append(b.All, k.all)
	}
	bytes := (Sent(l.balancers).Bytes - before.Bytes) / float64(n)
	b.Rate, b.PerChange = bytes/took.Seconds(), bytes/float64(changes)
	return b
}

// Fit returns a and b of y = a + b*x, fitted by least squares.
func Fit(xs, ys []float64) (a, b float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}
