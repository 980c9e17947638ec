package health

import "time"

// never is the age of a change that has not happened.
const never = -time.Second

// Snapshot is the judgement of a server at one moment, for operators.
type Snapshot struct {
	Status       string            `json:"status"`
	FailureShare float64           `json:"failure_share"`           // of the latest requests
	ExcludedFor  time.Duration     `json:"excluded_for_ns"`         // until the first trial, 0 if not failing
	Trial        bool              `json:"trial"`                   // in progress
	Outcomes     map[string]uint64 `json:"outcomes,omitempty"`      // of requests since the start of the process
	Change       string            `json:"latest_change,omitempty"` // statuses before and after
	ChangeAge    time.Duration     `json:"latest_change_age_ns"`    // negative if there was none
}

// Snapshot returns the state at now. trial is whether a trial is in progress, which its user
// may know to be over before TrialEnded.
func (m *Monitor) Snapshot(now time.Time, trial bool) Snapshot {
	s := Snapshot{
		Status: m.Status(now).String(), FailureShare: m.FailureShare(), Trial: trial,
		Outcomes: make(map[string]uint64), ChangeAge: never,
	}
	if until, excluded := m.NextChange(now); excluded {
		s.ExcludedFor = until.Sub(now)
	}
	for o, n := range m.counts {
		if n > 0 {
			s.Outcomes[Outcome(o).String()] = n
		}
	}
	if c := m.change; !c.At.IsZero() {
		s.Change, s.ChangeAge = c.Before.String()+" to "+c.After.String(), now.Sub(c.At)
	}
	return s
}
