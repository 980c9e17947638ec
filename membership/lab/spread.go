package lab

import (
	"math"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// SpreadResult is how changes became known and what they cost.
type SpreadResult struct {
	Most, All  []time.Duration // a change: until 99.9 % and until all balancers know it
	Missing    int             // changes that not all knew at the end
	Idle, Busy Traffic         // of a balancer, before the changes and while they spread
	PerChange  Traffic         // what a change adds, a balancer
}

// tally counts the balancers that know one change.
type tally struct {
	start     time.Time
	n         int
	most, all time.Duration
}

func (k *tally) note(now time.Time, of int) {
	k.n++
	if k.n == int(math.Ceil(0.999*float64(of))) {
		k.most = now.Sub(k.start)
	}
	if k.n == of {
		k.all = now.Sub(k.start)
	}
}

// leavers is a settled fleet whose agents leave one after another.
type leavers struct {
	*Exchange
	balancers, agents []*Process
	known             map[netip.AddrPort]*tally
}

func zonesFor(n int) int { return min(max(n/8, 1), 18) }

// newLeavers builds a fleet of n balancers with an agent for each change.
func newLeavers(seed uint64, n, changes int) *leavers {
	l := &leavers{Exchange: NewExchange(seed), known: map[netip.AddrPort]*tally{}}
	l.Delay = Geography
	zones := zonesFor(n)
	l.balancers = l.Fleet(n, zones)
	for i := range changes {
		z := i % zones
		l.agents = append(l.agents, l.Agent(i, z, AddrOf(membership.RoleBalancer, z*n/zones)))
	}
	l.Acquaint()
	l.Run(15*time.Second, nil)
	l.OnChange = func(_ *Process, c *membership.Change) {
		k := l.known[c.Record.Addr]
		if k != nil && c.Record.State == membership.StateLeaving && c.Record.Verdict == membership.VerdictAlive {
			k.note(l.Now, n)
		}
	}
	return l
}

// leave lets all agents leave, one each time every.
func (l *leavers) leave(every time.Duration) {
	for _, a := range l.agents {
		l.known[a.Record.Addr] = &tally{start: l.Now}
		a.SetState(l.Now, membership.StateLeaving)
		l.Flush(a)
		l.Run(every, nil)
	}
}

// allKnown reports whether every balancer knows every change.
func (l *leavers) allKnown() bool {
	for _, k := range l.known {
		if k.n < len(l.balancers) {
			return false
		}
	}
	return true
}

// Spread lets agents of a fleet of n balancers leave, one every half second,
// under a share of loss, and notes when the balancers know.
func Spread(seed uint64, n, changes int, loss float64) SpreadResult {
	l := newLeavers(seed, n, changes)
	l.Loss = loss
	var s SpreadResult
	s.Idle = l.Traffic(l.balancers, 10*time.Second)
	const every, rest = 500 * time.Millisecond, 10 * time.Second
	start := Sent(l.balancers)
	l.leave(every)
	l.Run(rest, nil)
	d := time.Duration(changes)*every + rest
	s.Busy = Sent(l.balancers).since(start, n, d)
	s.PerChange.Bytes = (s.Busy.Bytes - s.Idle.Bytes) * d.Seconds() / float64(changes)
	s.PerChange.Messages = (s.Busy.Messages - s.Idle.Messages) * d.Seconds() / float64(changes)
	for _, k := range l.known {
		s.Most = append(s.Most, k.most)
		if k.n < n {
			s.Missing++
			continue
		}
		s.All = append(s.All, k.all)
	}
	return s
}

// BurstResult is how many changes at once became known.
type BurstResult struct {
	All       []time.Duration // a change: until all balancers know it
	AllKnown  bool            // within two minutes
	Rate      float64         // B/s sent by a balancer meanwhile
	PerChange float64         // B sent by a balancer for a change
}

// Burst lets agents of a fleet of n balancers leave, one each time every.
func Burst(seed uint64, n, changes int, every time.Duration) BurstResult {
	l := newLeavers(seed, n, changes)
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

// Fit returns a and b of y = a + b*x by least squares.
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
