package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/health"
)

// Snapshot is the state of an agent at one moment, for operators.
type Snapshot struct {
	Service   string          `json:"service"`
	Zone      string          `json:"zone"`
	Ready     bool            `json:"ready"`      // accepts new flows
	Requests  int             `json:"requests"`   // in progress on the backend server
	Limit     int             `json:"limit"`      // of requests in progress
	Queued    int             `json:"queued"`     // requests that wait
	LongFlows int             `json:"long_flows"` // open streams and downloads
	Health    health.Snapshot `json:"health"`
}

// Snapshot returns the agent's state.
func (a *Agent) Snapshot() Snapshot {
	s := Snapshot{Service: a.cfg.Service, Zone: a.cfg.Zone, Ready: a.Ready()}
	a.gate.do(func(c *admission.Controller, now time.Time) {
		l := c.Load(now)
		s.Requests, s.Limit, s.Queued, s.LongFlows = l.Slots, l.Limit, l.Queued, l.LongFlows
		s.Health = a.gate.health.snapshot(now)
	})
	return s
}

func (s *serverHealth) snapshot(now time.Time) health.Snapshot {
	return s.monitor.Snapshot(now, s.trialID != 0)
}

// ServeSnapshot serves the agent's state as JSON.
func (a *Agent) ServeSnapshot(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.Snapshot())
}
