package admission

import "time"

const (
	climbEpochAnswers  = 200  // answers per epoch: gives the rate to about 7 %
	climbTrialInterval = 8    // epochs between two trials of another level
	climbKeepLower     = 0.95 // minimum rate, relative to the higher level, at which a lower level is kept
	climbKeepHigher    = 1.1  // minimum rate, relative to the lower level, at which a higher level is kept
	climbGain          = 0.3  // weight of a new epoch in the rate of a level
)

// climber searches, by hill climbing, for the number of concurrent requests that
// gives the highest rate of answers. The throughput of some backend servers
// falls when they process more requests than they have capacity for, and they
// do not signal it. Latency doesn't reveal it, because requests differ, but the
// rate of answers while requests are waiting does.
type climber struct {
	max   int
	level int     // current number of concurrent requests
	trial int     // -1, 0 or 1: offset from level that is being tried
	rate  float64 // answers per second at level; 0 while unknown

	tryLower   bool // whether the next trial is a lower level
	epochs     int  // epochs since the last trial
	answers    int  // answers in this epoch
	epochStart time.Time
}

// reset restarts the search at the maximum level, limit.
func (c *climber) reset(limit int) {
	*c = climber{max: limit, level: limit, tryLower: true}
}

// limit returns the number of requests that may be in progress.
func (c *climber) limit() int { return c.level + c.trial }

// discardEpoch drops the current epoch, because the rate of answers does not
// reflect the level while slots are free.
func (c *climber) discardEpoch() { c.answers = 0 }

// recordAnswer counts an answer that arrived while requests were waiting.
func (c *climber) recordAnswer(now time.Time) {
	if c.answers == 0 {
		c.epochStart = now
	}
	c.answers++
	if c.answers <= climbEpochAnswers {
		return
	}
	c.answers = 0
	if d := now.Sub(c.epochStart).Seconds(); d > 0 {
		c.evaluateEpoch(climbEpochAnswers / d)
	}
}

// evaluateEpoch processes the rate of an epoch, in answers per second: it adopts
// the level of a successful trial, ends an unsuccessful one, and begins a new
// trial when one is due.
func (c *climber) evaluateEpoch(rate float64) {
	switch {
	case c.trial < 0 && rate >= climbKeepLower*c.rate, c.trial > 0 && rate >= climbKeepHigher*c.rate:
		c.level += c.trial
		c.rate = rate
		c.tryLower = c.trial < 0
		c.startTrial()
		return
	case c.trial == 0 && c.rate == 0:
		c.rate = rate
	case c.trial == 0:
		c.rate += climbGain * (rate - c.rate)
	}
	wasTrial := c.trial != 0
	c.trial = 0
	c.epochs++
	if wasTrial || c.epochs < climbTrialInterval {
		return
	}
	c.epochs = 0
	c.startTrial()
}

// startTrial begins the trial of a lower or a higher level, alternately.
func (c *climber) startTrial() {
	c.trial = 0
	if c.tryLower && c.level > 1 {
		c.trial = -1
	} else if c.level < c.max {
		c.trial = 1
	}
	c.tryLower = !c.tryLower
}
