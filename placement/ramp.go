package placement

import "time"

// Ramp is the cold start of an agent: its weight rises in a few steps, because
// each step is a change that every balancer must hear of.
type Ramp struct {
	Duration time.Duration // from ready to full weight; 0 is no ramp
	Steps    int           // weights on the way, at least 1
}

// Weight returns the weight of an agent that has been ready for the time ready.
func (r Ramp) Weight(ready time.Duration) uint8 {
	if r.Duration <= 0 || ready >= r.Duration {
		return FullWeight
	}
	steps := max(r.Steps, 1)
	step := int(int64(steps) * int64(max(ready, 0)) / int64(r.Duration))
	return uint8(max(1, FullWeight*(step+1)/(steps+1)))
}

// Next returns how long after ready the weight next changes. ok is false once
// the weight is full.
func (r Ramp) Next(ready time.Duration) (at time.Duration, ok bool) {
	if r.Duration <= 0 || ready >= r.Duration {
		return 0, false
	}
	steps := int64(max(r.Steps, 1))
	step := steps*int64(max(ready, 0))/int64(r.Duration) + 1
	at = time.Duration((step*int64(r.Duration) + steps - 1) / steps)
	return at, true
}
