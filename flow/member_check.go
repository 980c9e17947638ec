package flow

import "time"

// confirmation is how far other balancers have confirmed that this one knows
// all agents. It is told of a new agent by a single message, and if that gets lost
// it would take the agent's flows for lost: callers see resets of flows that their
// servers hold.
type confirmation struct {
	question uint64    // number of the latest one
	askedAt  time.Time // when it was asked
	tries    int       // questions in a row that nobody has answered
	upTo     time.Time // agents that others knew at this time are known here
}

// due returns when a question has waited for long enough.
func (c *confirmation) due() (at time.Time, ok bool) {
	return c.askedAt.Add(askEvery), c.tries > 0
}

// confirmed reports whether others have confirmed the roster since a search
// began, and asks them if not. The flow was opened before, so that whoever opened
// it knew the agent that holds it. If nobody answers, what is known here counts:
// the others are gone.
func (d *Director) confirmed(now time.Time, k *seek) bool {
	c := &d.confirm
	if len(d.balancers) == 0 || !c.upTo.Before(k.begun) {
		return true
	}
	if at, waiting := c.due(); waiting && now.Before(at) {
		return false
	}
	if c.tries == maxAsked {
		c.upTo, c.tries = now, 0
		return true
	}
	c.question, c.askedAt = d.nextSerial(), now
	c.tries++
	d.askBalancers(Message{Kind: MemberListRequest, Incarnation: c.question})
	return false
}

// onConfirmed takes the last message of a roster that was asked for. One of a
// balancer that has just started confirms nothing.
func (d *Director) onConfirmed(now time.Time, m *Message) {
	c := &d.confirm
	if c.tries == 0 || m.Incarnation != c.question || m.Reason == ReasonState || m.Priority > 0 {
		return
	}
	c.upTo, c.tries = c.askedAt, 0
	d.concludeUnsure(now)
}

// askBalancers sends a question to some of the other balancers.
func (d *Director) askBalancers(m Message) {
	for _, addr := range d.SampleBalancers(d.now, askRosters) {
		d.send(addr, m, nil)
	}
}
