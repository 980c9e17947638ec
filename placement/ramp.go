package placement

import "time"

// Ramp raises the weight of an agent during its cold start. The steps are few,
// because each one is a change that must reach every balancer.
type Ramp struct {
	Duration time.Duration // from ready to full weight; 0 is no ramp
	Steps    int           // weights below the full one; at least 1
}

// Weight returns the weight of an agent that has been ready for the given time.
func (r Ramp) Weight(ready time.Duration) uint8 {
	if r.Duration <= 0 || ready >= r.Duration {
		return FullWeight
	}
	steps := max(r.Steps, 1)
	step := int(int64(steps) * int64(max(ready, 0)) / int64(r.Duration))
	return uint8(max(1, FullWeight*(step+1)/(steps+1)))
}

// Next returns the time of the next change of the weight, counted like ready
// from the moment the agent became ready. ok is false once the weight is full.
func (r Ramp) Next(ready time.Duration) (at time.Duration, ok bool) {
	if r.Duration <= 0 || ready >= r.Duration {
		return 0, false
	}
	steps := int64(max(r.Steps, 1))
	step := steps*int64(max(ready, 0))/int64(r.Duration) + 1
	at = time.Duration((step*int64(r.Duration) + steps - 1) / steps)
	return at, true
}
