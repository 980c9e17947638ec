package agent

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	// stallTimeout is the silence of a path from which it counts as standing still: above
	// the time in which a way that does not deliver is found out and left.
	stallTimeout = 3 * time.Second
	// stallLogInterval is the time between two log lines on paths that stand still. A zone
	// that is gone silences thousands at once.
	stallLogInterval = time.Second
)

// stall is a path that was sent to for stallAfter without being heard.
type stall struct {
	key         pathKey
	returnPaths []returnPathState
	// others is the number of paths that stand still and got no line of their own.
	others int
}

// returnPathState is a way of a path and what is expected of it.
type returnPathState struct {
	balancer      netip.AddrPort
	grade         grade
	sinceReceived time.Duration // since the balancer was heard last, by any path
	deliveryRate  float64
}

// String returns the state for a log line.
func (s returnPathState) String() string {
	return fmt.Sprintf("%v %s, unheard for %v, delivers %.2f", s.balancer, s.grade, s.sinceReceived.Round(time.Millisecond), s.deliveryRate)
}

// String returns the grade's name.
func (g grade) String() string { return [...]string{"dead", "left out", "usable"}[g] }

// stalls tells of paths that stand still. Without its lines a download that hangs can't be
// traced: that the agent sends and is not heard, or that it does not send, looks alike.
type stalls struct {
	log        func(stall) // nil: nobody is told
	loggedAt   time.Time
	suppressed int
}

// reportStall takes a path that waits for an answer, and tells of it once a silence.
func (t *paths) reportStall(key pathKey, p *path, now time.Time) {
	if p.stallReported || now.Sub(p.sentAt) < stallTimeout || t.stalls.log == nil {
		return
	}
	p.stallReported = true
	if now.Sub(t.stalls.loggedAt) < stallLogInterval {
		t.stalls.suppressed++
		return
	}
	s := stall{key: key, others: t.stalls.suppressed}
	for _, c := range p.candidates {
		if w := c.returnPath; w != nil {
			s.returnPaths = append(s.returnPaths, returnPathState{w.balancer, w.grade(now, t.newest), now.Sub(w.receivedAt), w.deliveryRate})
		}
	}
	t.stalls.loggedAt, t.stalls.suppressed = now, 0
	t.stalls.log(s)
}

// logStall writes the line of a path that stands still.
func logStall(log *zap.Logger) func(stall) {
	return func(s stall) {
		log.Warn("path silent", zap.Stringer("caller", s.key.caller), zap.Stringer("address", s.key.address), zap.Stringers("ways", s.returnPaths), zap.Int("others", s.others))
	}
}
