package agent

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/admission"
)

const (
	// healthInterval is how often the backend server is connected to.
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 400 * time.Millisecond
	// healthFailures is how many connects in a row must fail before the
	// backend server counts as gone: one lost packet must not take it out.
	healthFailures = 2
)

// judge takes in whether the backend server can be reached.
func (d *duty) judge(now time.Time, up bool) {
	if up == !d.readyAt.IsZero() {
		return
	}
	d.readyAt = time.Time{}
	if up {
		d.readyAt = now
	}
	d.a.gate.do(func(c *admission.Controller, now time.Time) { c.SetBackendReachable(now, up) })
	d.a.log.Info("backend server", zap.Bool("reachable", up))
	d.announceState(now)
}

// watchBackend connects to the backend server at intervals. The agent's own
// connect goes before the health endpoint, which may lag or mislead.
func (d *duty) watchBackend(ctx context.Context) {
	dialer := &net.Dialer{Timeout: healthTimeout}
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	failures := 0
	for {
		conn, err := dialer.DialContext(ctx, "tcp", d.a.cfg.Backend.Host)
		if err == nil {
			conn.Close()
			failures = 0
		} else {
			failures++
		}
		if failures == 0 || failures >= healthFailures {
			select {
			case d.health <- failures == 0:
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
