package agent

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/admission"
)

const (
	// healthInterval is the time between two connection attempts to the backend server.
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 400 * time.Millisecond
	// failureThreshold is how many connection attempts in a row must fail before the
	// backend server counts as unreachable. One lost packet must not take it out of service.
	failureThreshold = 2
)

// setBackendReachable records whether the backend server is reachable, and announces the
// agent's state after a change. A server that is reachable again was started anew: it is cold,
// and what its earlier instance did does not count.
func (l *controlLoop) setBackendReachable(now time.Time, up bool) {
	if up == !l.reachableSince.IsZero() {
		return
	}
	l.reachableSince = time.Time{}
	if up {
		l.reachableSince = now
	}
	l.a.gate.do(func(c *admission.Controller, now time.Time) {
		if up {
			c.RestartRamp(now)
			l.a.gate.health.restart(now)
		}
		c.SetBackendReachable(now, up)
	})
	l.a.log.Info("backend server reachability changed", zap.Bool("reachable", up))
	l.announceState(now)
}

// watchBackend connects to the backend server at intervals, to detect its start and its end
// also without requests. It does not use the server's health endpoint, which may be late or
// wrong. How the server does its work is judged by serverHealth.
func (l *controlLoop) watchBackend(ctx context.Context) {
	dialer := &net.Dialer{Timeout: healthTimeout}
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	failures := 0
	for {
		conn, err := dialer.DialContext(ctx, "tcp", l.a.cfg.Backend.Host)
		if err == nil {
			conn.Close()
			failures = 0
		} else {
			failures++
		}
		if failures == 0 || failures >= failureThreshold {
			select {
			case l.health <- failures == 0:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
