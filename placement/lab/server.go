package lab

import "time"

// server is one backend server with its agent.
type server struct {
	zone   int
	alive  bool
	joined time.Duration // when it began to take flows
	cold   bool          // starts cold at joined
	slow   float64       // factor on service times
	fails  bool          // requests fail at once

	busy  int
	conns int
	queue []waiting

	last  time.Duration // of the last change
	whole time.Duration // outstanding requests times time, since warm-up
	begun time.Duration // whole at the start of the window
}

// waiting is a request without a slot.
type waiting struct {
	flow  int32
	since time.Duration
}

func (s *server) outstanding() int { return s.busy + len(s.queue) }

// settle adds up the outstanding work until now; call it before each change.
func (s *server) settle(now time.Duration) {
	s.whole += time.Duration(s.outstanding()) * (now - s.last)
	s.last = now
}

// factor is how much longer a request takes that starts now.
func (s *server) factor(c *Case, now time.Duration) float64 {
	f := s.slow
	if s.cold && now < s.joined+c.ColdFor {
		done := float64(now-s.joined) / float64(c.ColdFor)
		f *= c.ColdFactor + (1-c.ColdFactor)*done
	}
	return f
}
