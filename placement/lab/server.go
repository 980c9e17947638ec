package lab

import "time"

// server is a backend server with its agent.
type server struct {
	zone          int
	alive         bool
	joined        time.Duration // time at which it began to accept flows
	cold          bool          // cold-starts at joined
	serviceFactor float64       // factor of service times
	fails         bool          // requests fail immediately

	busy  int
	conns int
	queue []waiting

	lastChange      time.Duration // time of the last call of accumulate
	outstandingTime time.Duration // integral of the outstanding requests over time, since warm-up
	windowStart     time.Duration // outstandingTime at the start of the window
}

// waiting is a request that waits for a slot.
type waiting struct {
	flow  int32
	since time.Duration
}

func (s *server) outstanding() int { return s.busy + len(s.queue) }

// accumulate updates outstandingTime to now. Call it before each change of the
// outstanding requests.
func (s *server) accumulate(now time.Duration) {
	s.outstandingTime += time.Duration(s.outstanding()) * (now - s.lastChange)
	s.lastChange = now
}

// factor returns the factor of the service time of a request that starts at now.
func (s *server) factor(c *Case, now time.Duration) float64 {
	f := s.serviceFactor
	if s.cold && now < s.joined+c.ColdFor {
		done := float64(now-s.joined) / float64(c.ColdFor)
		f *= c.ColdFactor + (1-c.ColdFactor)*done
	}
	return f
}
