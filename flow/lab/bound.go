package lab

import (
	"cmp"
	"slices"
	"time"
)

// step is the time step in which the bound assigns slots.
const step = 5 * time.Millisecond

// bound returns an upper bound of the worth earned by each of the callers' requests.
// slots returns the number of slots that process requests at a given time, where a slot
// that is slower than one of a warm server counts as a fraction.
//
// The pieces of work that can be done in time are the independent sets of a matroid, so
// the greatest worth takes as much work as possible of the kinds with the most worth per
// work, for each number of them. It is the sum over these numbers of that work, times what
// the last of the kinds has more worth per work than the next one.
func (c Config) bound(all []*request, end time.Time, slots func(time.Time) float64) map[*request]float64 {
	worth := map[*request]float64{}
	density := func(k Kind) float64 { return k.Worth / k.Work.Seconds() }
	kinds := slices.Clone(c.kinds())
	slices.SortStableFunc(kinds, func(a, b Kind) int { return cmp.Compare(density(b), density(a)) })
	for n, k := range kinds {
		gain := density(k)
		if n+1 < len(kinds) {
			gain -= density(kinds[n+1])
		}
		var chosen []*request
		for _, q := range all {
			if slices.Contains(kinds[:n+1], q.kind.Kind) {
				chosen = append(chosen, q)
			}
		}
		for q, credit := range c.mostServed(chosen, end, slots) {
			worth[q] += gain * q.kind.Work.Seconds() * credit
		}
	}
	return worth
}

// mostServed returns the credit of each request if as much work as possible is served. In
// each step the slots' time goes first to requests that can still be in time, then to late
// ones, each in order of arrival; with equal slack this serves the most. Network delays are
// zero, and a slot may switch requests at any moment.
func (c Config) mostServed(all []*request, end time.Time, slots func(time.Time) float64) map[*request]float64 {
	credit := map[*request]float64{}
	if len(all) == 0 {
		return credit
	}
	left := map[*request]float64{}
	next := 0
	var open []*request
	for now := all[0].sent; now.Before(end); now = now.Add(step) {
		for next < len(all) && !all[next].sent.After(now) {
			left[all[next]] = all[next].kind.Work.Seconds()
			open = append(open, all[next])
			next++
		}
		budget := slots(now) * step.Seconds()
		for _, onTime := range []bool{true, false} {
			for i := 0; i < len(open) && budget > 0; i++ {
				q := open[i]
				passed := now.Sub(q.sent)
				if left[q] <= 0 || passed >= c.Deadline || (passed+networkTime <= c.Target) != onTime {
					continue
				}
				part := min(budget, left[q])
				left[q] -= part
				budget -= part
				if left[q] > 0 {
					continue
				}
				credit[q] = c.LateCredit
				if onTime {
					credit[q] = 1
				}
			}
		}
		unfinished := open[:0]
		for _, q := range open {
			if left[q] > 0 && now.Sub(q.sent) < c.Deadline {
				unfinished = append(unfinished, q)
			}
		}
		open = unfinished
	}
	return credit
}
