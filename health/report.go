// Package health judges backend servers by what they do to requests, and decides which
// agents are left out of placement because their servers fail.
//
// An agent judges its own server. It reports a [Report] to the balancers, each of which
// decides which of the agents that it knows are left out.
package health

// Status is an agent's judgement of its server.
type Status uint8

// The statuses.
const (
	Serving Status = iota // gets requests as usual
	Failing               // excluded for some time
	OnTrial               // gets single requests that may be repeated
)

// statuses are the names in logs and on state pages.
var statuses = [...]string{"serving", "failing", "on_trial"}

// String returns the status's name.
func (s Status) String() string {
	if int(s) < len(statuses) {
		return statuses[s]
	}
	return "invalid"
}

// Report is the judgement in one byte, as agents send it to balancers: the status in the
// lower two bits, the share of failed requests in the upper six. The zero value is a
// serving server without failures.
type Report uint8

const (
	statusBits = 2
	statusMask = 1<<statusBits - 1
	shareMax   = 1<<(8-statusBits) - 1
)

// NewReport returns the report of a status and a share of failed requests, from 0 to 1.
// Shares outside that range are limited to it.
func NewReport(s Status, share float64) Report {
	if !(share > 0) {
		share = 0
	}
	return Report(min(share, 1)*shareMax+0.5)<<statusBits | Report(s)&statusMask
}

// Status returns the status. The value that stands for none is read as Serving, so that a
// damaged byte excludes no server.
func (r Report) Status() Status {
	if s := Status(r & statusMask); s <= OnTrial {
		return s
	}
	return Serving
}

// FailureShare returns the share of failed requests, from 0 to 1.
func (r Report) FailureShare() float64 { return float64(r>>statusBits) / shareMax }
