package lab

import "time"

// step is the time step in which the bound assigns slots.
const step = 5 * time.Millisecond

// bound returns an upper bound of the credit for each of the callers' requests. In each
// step the slots' time goes first to requests that can still be in time, then to late
// ones, each in order of arrival; with equal work and equal slack this serves the most
// requests. Network delays are zero, and a slot may switch requests at any moment.
// slots returns the number of slots that process requests at a given time, where a slot
// that is slower than one of a warm server counts as a fraction.
func bound(all []*request, work, extra time.Duration, end time.Time, slots func(time.Time) float64) map[*request]float64 {
	credit := map[*request]float64{}
	if len(all) == 0 {
		return credit
	}
	left := map[*request]float64{}
	next := 0
	var open []*request
	for now := all[0].sent; now.Before(end); now = now.Add(step) {
		for next < len(all) && !all[next].sent.After(now) {
			left[all[next]] = work.Seconds()
			open = append(open, all[next])
			next++
		}
		budget := slots(now) * step.Seconds()
		for _, onTime := range []bool{true, false} {
			for i := 0; i < len(open) && budget > 0; i++ {
				q := open[i]
				passed := now.Sub(q.sent)
				if left[q] <= 0 || passed >= deadline || (passed+extra <= latencyTarget) != onTime {
					continue
				}
				part := min(budget, left[q])
				left[q] -= part
				budget -= part
				if left[q] > 0 {
					continue
				}
				credit[q] = lateCredit
				if onTime {
					credit[q] = 1
				}
			}
		}
		unfinished := open[:0]
		for _, q := range open {
			if left[q] > 0 && now.Sub(q.sent) < deadline {
				unfinished = append(unfinished, q)
			}
		}
		open = unfinished
	}
	return credit
}
