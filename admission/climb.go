package admission

import "time"

const (
	climbAnswers = 200  // answers of an epoch: the rate is known to about 7 %
	climbEpochs  = 8    // epochs at a level between two trials of another one
	climbDown    = 0.95 // a lower level is kept if its rate is at least so much of the higher one's
	climbUp      = 1.1  // a higher level is kept if its rate is at least so much of the lower one's
	climbGain    = 0.3  // weight of a new epoch in the rate of a level
)

// climber finds how many requests at work give the most answers a second. Some
// backend servers get slower in all when they work on more than they carry,
// and don't say so. Latency doesn't show it, because requests differ, but the
// rate of answers while requests wait does.
type climber struct {
	max   int
	level int     // kept level
	trial int     // -1, 0 or 1: what is tried beside the kept level
	rate  float64 // answers a second at the kept level; 0 while unknown

	lower  bool // whether the next trial is a lower level
	epochs int  // epochs since the last trial
	n      int  // answers of this epoch
	since  time.Time
}

// reset begins at the most of max.
func (c *climber) reset(limit int) {
	*c = climber{max: limit, level: limit, lower: true}
}

// limit is the number of requests that may be at work.
func (c *climber) limit() int { return c.level + c.trial }

// idle ends the epoch: with slots free the rate says nothing about the level.
func (c *climber) idle() { c.n = 0 }

// answer counts an answer that came while requests waited.
func (c *climber) answer(now time.Time) {
	if c.n == 0 {
		c.since = now
	}
	c.n++
	if c.n <= climbAnswers {
		return
	}
	c.n = 0
	if d := now.Sub(c.since).Seconds(); d > 0 {
		c.judge(climbAnswers / d)
	}
}

// judge takes in the rate of an epoch.
func (c *climber) judge(rate float64) {
	switch {
	case c.trial < 0 && rate >= climbDown*c.rate, c.trial > 0 && rate >= climbUp*c.rate:
		c.level += c.trial
		c.rate = rate
		c.lower = c.trial < 0
		c.try()
		return
	case c.trial == 0 && c.rate == 0:
		c.rate = rate
	case c.trial == 0:
		c.rate += climbGain * (rate - c.rate)
	}
	tried := c.trial != 0
	c.trial = 0
	c.epochs++
	if tried || c.epochs < climbEpochs {
		return
	}
	c.epochs = 0
	c.try()
}

// try begins the trial of a lower or a higher level, in turn.
func (c *climber) try() {
	c.trial = 0
	if c.lower && c.level > 1 {
		c.trial = -1
	} else if c.level < c.max {
		c.trial = 1
	}
	c.lower = !c.lower
}
