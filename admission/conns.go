package admission

import "time"

// OpenConn counts a new caller connection of the named owner. ok is false if the
// connection limit is reached or the controller drains; the refusal then holds
// the retry time.
func (c *Controller) OpenConn(now time.Time, name string) (r Refusal, ok bool) {
	if c.draining {
		return c.refusal(now, ReasonDraining, 0), false
	}
	o := c.owner(name)
	left := c.cfg.Connections - c.conns
	if left <= 0 || o.conns >= shareFactor*left {
		o.markIdle(now)
		return c.refusal(now, ReasonLimit, 0), false
	}
	o.conns++
	c.conns++
	return Refusal{}, true
}

// CloseConn records the end of a connection that OpenConn accepted.
func (c *Controller) CloseConn(now time.Time, name string) {
	o := c.owners[name]
	if o == nil || o.conns == 0 {
		return
	}
	o.conns--
	c.conns--
	o.markIdle(now)
}
