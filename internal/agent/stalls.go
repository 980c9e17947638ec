package agent

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	// stallAfter is the silence of a path from which it counts as standing still: above
	// the time in which a way that does not deliver is found out and left.
	stallAfter = 3 * time.Second
	// stallLogEvery is the time between two log lines on paths that stand still. A zone
	// that is gone silences thousands at once.
	stallLogEvery = time.Second
)

// stall is a path that was sent to for stallAfter without being heard.
type stall struct {
	key  pathKey
	ways []wayState
	// others is the number of paths that stand still and got no line of their own.
	others int
}

// wayState is a way of a path and what is expected of it.
type wayState struct {
	balancer netip.AddrPort
	grade    grade
	unheard  time.Duration // since the balancer was heard last, by any path
	delivery float64
}

// String returns the state for a log line.
func (s wayState) String() string {
	return fmt.Sprintf("%v %s, unheard for %v, delivers %.2f", s.balancer, s.grade, s.unheard.Round(time.Millisecond), s.delivery)
}

// String returns the grade's name.
func (g grade) String() string { return [...]string{"dead", "left out", "usable"}[g] }

// stalls tells of paths that stand still. Without its lines a download that hangs can't be
// traced: that the agent sends and is not heard, or that it does not send, looks alike.
type stalls struct {
	log      func(stall) // nil: nobody is told
	loggedAt time.Time
	untold   int
}

// noteStall takes a path that waits for an answer, and tells of it once a silence.
func (t *paths) noteStall(key pathKey, p *path, now time.Time) {
	if p.stalled || now.Sub(p.sent) < stallAfter || t.stalls.log == nil {
		return
	}
	p.stalled = true
	if now.Sub(t.stalls.loggedAt) < stallLogEvery {
		t.stalls.untold++
		return
	}
	s := stall{key: key, others: t.stalls.untold}
	for _, c := range p.ways {
		if w := c.way; w != nil {
			s.ways = append(s.ways, wayState{w.balancer, w.grade(now, t.newest), now.Sub(w.heardAt), w.delivery})
		}
	}
	t.stalls.loggedAt, t.stalls.untold = now, 0
	t.stalls.log(s)
}

// logStall writes the line of a path that stands still.
func logStall(log *zap.Logger) func(stall) {
	return func(s stall) {
		log.Warn("path silent", zap.Stringer("caller", s.key.caller), zap.Stringer("address", s.key.address), zap.Stringers("ways", s.ways), zap.Int("others", s.others))
	}
}
