package agent

import (
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	// stallTimeout is how long after a send a path without a response counts as stalled. It is
	// above the time in which a return path that does not deliver is detected and replaced.
	stallTimeout = 3 * time.Second
	// stallLogInterval is the minimum time between two log lines on stalled paths. The failure
	// of an availability zone stalls thousands at once.
	stallLogInterval = time.Second
)

// stall describes a path on which nothing was received for stallTimeout after a send.
type stall struct {
	key         pathKey
	returnPaths []returnPathState
	// others is the number of stalled paths without a log line of their own since the last line.
	others int
}

// returnPathState is the state of a return path for a log line.
type returnPathState struct {
	balancer      netip.AddrPort
	grade         grade
	sinceReceived time.Duration // time since any path received a packet from the balancer
	deliveryRate  float64
}

// String returns the state for a log line.
func (s returnPathState) String() string {
	return fmt.Sprintf("%v %s, nothing received for %v, delivery rate %.2f", s.balancer, s.grade, s.sinceReceived.Round(time.Millisecond), s.deliveryRate)
}

// String returns the grade's name in log lines, which is "dead" for gradeFailed.
func (g grade) String() string { return [...]string{"dead", "excluded", "usable"}[g] }

// stalls reports stalled paths. Without its log lines the cause of a hanging download can't be
// found: an agent that sends and gets no response looks the same as one that does not send.
type stalls struct {
	log        func(stall) // nil: stalls are not reported
	loggedAt   time.Time
	suppressed int
}

// reportStall reports a path that waits for a response once it is stalled, once per stall.
// Within stallLogInterval of a report, further paths are only counted. t.mu is held.
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
		if r := c.returnPath; r != nil {
			s.returnPaths = append(s.returnPaths, returnPathState{r.balancer, r.grade(now, t.newest), now.Sub(r.receivedAt), r.deliveryRate})
		}
	}
	t.stalls.loggedAt, t.stalls.suppressed = now, 0
	t.stalls.log(s)
}

// logStall returns a function that logs a stalled path.
func logStall(log *zap.Logger) func(stall) {
	return func(s stall) {
		log.Warn("caller does not respond on any return path", zap.Stringer("caller", s.key.caller), zap.Stringer("address", s.key.address), zap.Stringers("return_paths", s.returnPaths), zap.Int("other_stalled_paths", s.others))
	}
}
