package node

import (
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/health"
)

// HealthFields returns the fields of the log line of a change of a server's health.
func HealthFields(c *health.Change) []zap.Field {
	fields := []zap.Field{zap.Stringer("before", c.Before), zap.Stringer("status", c.After), zap.Int("requests", c.Requests), zap.Int("failures", c.Failed()), zap.Int("callers", c.Callers)}
	for o, n := range c.Failures {
		if n > 0 {
			fields = append(fields, zap.Int(health.Outcome(o).String(), n))
		}
	}
	if c.Excluded > 0 {
		fields = append(fields, zap.Duration("excluded_for", c.Excluded))
	}
	if c.Restarted {
		fields = append(fields, zap.Bool("restarted", true))
	}
	return fields
}
