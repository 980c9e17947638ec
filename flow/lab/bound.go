package lab

import "time"

// step is the grain in which the bound hands out slots.
const step = 5 * time.Millisecond

// bound returns the worth that each of the callers' requests could have brought: in
// each step the slots' time goes to requests that can still be in time, then to late
// ones, those that came first before others: with equal work and equal time to spare
// that serves most. No exchange takes time, and a slot may change its request at any
// moment. slots returns how much work of a warm server is done a second.
func bound(all []*request, work, extra time.Duration, end time.Time, slots func(time.Time) float64) map[*request]float64 {
	worth := map[*request]float64{}
	if len(all) == 0 {
		return worth
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
				if left[q] <= 0 || passed >= deadline || (passed+extra <= target) != onTime {
					continue
				}
				part := min(budget, left[q])
				left[q] -= part
				budget -= part
				if left[q] > 0 {
					continue
				}
				worth[q] = lateness
				if onTime {
					worth[q] = 1
				}
			}
		}
		kept := open[:0]
		for _, q := range open {
			if left[q] > 0 && now.Sub(q.sent) < deadline {
				kept = append(kept, q)
			}
		}
		open = kept
	}
	return worth
}
