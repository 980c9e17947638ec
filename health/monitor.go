package health

import "time"

// Outcome is what a server did to a request.
type Outcome uint8

// The outcomes. All but Answered are failures of the server.
const (
	Answered         Outcome = iota
	Reset                    // reset while an answer was pending
	Closed                   // closed without data while an answer was pending
	NoAnswer                 // no answer in time, or until the caller gave up
	Truncated                // reset after part of the answer
	ImplausiblyFast          // answered in far less time than usual
	NotOpened                // first packet of a flow not answered
	ConnectionFailed         // connection refused or broken
	TimedOut                 // request timed out at the proxy
	ServerError              // status 5xx that is not a refusal
)

// outcomes are the names in logs and metrics.
var outcomes = [...]string{"answered", "reset", "closed", "no_answer", "truncated", "implausibly_fast", "not_opened", "connection_failed", "timed_out", "server_error"}

// Outcomes is the number of outcomes.
const Outcomes = len(outcomes)

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "invalid"
}

// Failed reports whether o is a failure of the server.
func (o Outcome) Failed() bool { return o != Answered }

const (
	// windowSize and windowTime bound the outcomes that a judgement is based on.
	windowSize = 32
	windowTime = 10 * time.Second
	// minFailures, minFailureShare and minCallers are what makes a server failing. A
	// single caller may send requests that no server can answer.
	minFailures     = 8
	minFailureShare = 0.25
	minCallers      = 3
	// minExclusion is the first time of exclusion. It doubles with each relapse, up to
	// maxExclusion.
	minExclusion = time.Second
	maxExclusion = 30 * time.Second
	// relapseTime is the time after a server serves again in which it relapses if it fails.
	relapseTime = time.Minute
	// answersToServe is the number of answers in a row after which a server on trial serves
	// again.
	answersToServe = 5
)

// observation is an outcome in the window.
type observation struct {
	at            time.Time
	source, route uint64
	outcome       Outcome
}

// Change is a change of status with the counts that led to it.
type Change struct {
	At            time.Time
	Before, After Status
	Restarted     bool          // because the server was started anew
	Excluded      time.Duration // After is Failing: time of the exclusion
	Requests      int           // outcomes in the window
	Callers       int           // that the failures in the window came from
	Failures      [Outcomes]int // in the window, by outcome
}

// Failed returns the number of failures in the window.
func (c *Change) Failed() int {
	n := 0
	for _, failures := range c.Failures {
		n += failures
	}
	return n
}

// Monitor judges one server from the outcomes of its requests. It is the circuit breaker of
// that server: Serving is closed, Failing is open and OnTrial is half-open. The zero value
// is a serving server. A Monitor is not safe for concurrent use. Times passed to it must
// not decrease.
type Monitor struct {
	status         Status
	window         [windowSize]observation // ring of the latest outcomes
	first, size    int                     // oldest outcome in the ring, number of outcomes
	failures       int                     // in the ring
	excludedUntil  time.Time
	exclusion      time.Duration // latest time of exclusion
	servesAgainAt  time.Time     // when the latest trial period ended, zero if there was none
	trialsSince    time.Time     // when the current trial period began
	trial          bool          // a trial is in progress
	answersInTrial int           // in a row, in the current trial period
	counts         [Outcomes]uint64
	change         Change
}

// Record records the outcome of a request that was sent at the given time. source is a hash
// of the caller's address, route one of the service address. While the server is on trial,
// requests from before the trial period decide nothing: they show the state from before the
// exclusion.
func (m *Monitor) Record(now, sentAt time.Time, source, route uint64, o Outcome) {
	if int(o) >= Outcomes {
		return
	}
	m.advance(now)
	m.counts[o]++
	m.add(observation{now, source, route, o})
	m.decide(now, sentAt, o)
}

// Truncate records that a request that was recorded as answered has got only part of its
// answer. The request then counts once, as a failure.
func (m *Monitor) Truncate(now, sentAt time.Time, source, route uint64) {
	m.advance(now)
	for i := m.size - 1; i >= 0; i-- {
		if b := m.at(i); b.outcome == Answered && b.source == source && b.route == route {
			b.outcome = Truncated
			m.failures++
			m.counts[Answered]--
			m.counts[Truncated]++
			m.decide(now, sentAt, Truncated)
			return
		}
	}
	m.Record(now, sentAt, source, route, Truncated)
}

// decide changes the status as the latest outcome requires.
func (m *Monitor) decide(now, sentAt time.Time, o Outcome) {
	switch {
	case m.status == Serving && o.Failed() && m.fails():
		m.exclude(now, !m.servesAgainAt.IsZero() && now.Sub(m.servesAgainAt) < relapseTime)
	case m.status != OnTrial || sentAt.Before(m.trialsSince):
		// The request decides nothing.
	case o.Failed():
		m.exclude(now, true)
	default:
		m.answersInTrial++
		if m.answersInTrial >= answersToServe {
			m.setStatus(now, Serving)
			m.servesAgainAt = now
			m.first, m.size, m.failures = 0, 0, 0
		}
	}
}

// fails reports whether the outcomes in the window show that the server fails.
func (m *Monitor) fails() bool {
	return m.failures >= minFailures && float64(m.failures) >= minFailureShare*float64(m.size) && m.callers() >= minCallers && !m.oneRouteFails()
}

// callers returns the number of callers that the failures in the window came from.
func (m *Monitor) callers() int {
	var sources [windowSize]uint64
	n := 0
next:
	for i := range m.size {
		b := m.at(i)
		if !b.outcome.Failed() {
			continue
		}
		for _, known := range sources[:n] {
			if known == b.source {
				continue next
			}
		}
		sources[n] = b.source
		n++
	}
	return n
}

// oneRouteFails reports whether all failures are of one route and another route's request
// was answered after the first of them. Answers from before it show nothing: the server may
// have begun to fail since.
func (m *Monitor) oneRouteFails() bool {
	var route uint64
	failed, answered := false, false
	for i := range m.size {
		b := m.at(i)
		switch {
		case b.outcome.Failed() && !failed:
			route, failed = b.route, true
		case b.outcome.Failed() && b.route != route:
			return false
		case failed && !b.outcome.Failed() && b.route != route:
			answered = true
		}
	}
	return answered
}

// exclude makes the server failing for a time that is doubled if it relapses.
func (m *Monitor) exclude(now time.Time, relapse bool) {
	m.exclusion = min(2*m.exclusion, maxExclusion)
	if !relapse {
		m.exclusion = minExclusion
	}
	m.excludedUntil = now.Add(m.exclusion)
	m.setStatus(now, Failing)
	m.change.Excluded = m.exclusion
}

// setStatus changes the status and notes the numbers behind the change.
func (m *Monitor) setStatus(now time.Time, s Status) {
	m.change = Change{At: now, Before: m.status, After: s, Requests: m.size, Callers: m.callers()}
	for i := range m.size {
		if o := m.at(i).outcome; o.Failed() {
			m.change.Failures[o]++
		}
	}
	m.status = s
	m.trial, m.answersInTrial = false, 0
}

// advance removes old outcomes and ends an exclusion whose time is over.
func (m *Monitor) advance(now time.Time) {
	for m.size > 0 && now.Sub(m.at(0).at) >= windowTime {
		m.removeFirst()
	}
	if m.status == Failing && !now.Before(m.excludedUntil) {
		m.trialsSince = m.excludedUntil
		m.setStatus(now, OnTrial)
	}
}

// at returns the i-th oldest outcome in the window.
func (m *Monitor) at(i int) *observation { return &m.window[(m.first+i)%windowSize] }

func (m *Monitor) add(b observation) {
	if m.size == windowSize {
		m.removeFirst()
	}
	m.size++
	*m.at(m.size - 1) = b
	if b.outcome.Failed() {
		m.failures++
	}
}

func (m *Monitor) removeFirst() {
	if m.at(0).outcome.Failed() {
		m.failures--
	}
	m.first = (m.first + 1) % windowSize
	m.size--
}

// Restart records a new start of the server, of which nothing is known yet. The counts
// remain.
func (m *Monitor) Restart(now time.Time) {
	m.advance(now)
	change := m.change
	if m.status != Serving {
		m.setStatus(now, Serving)
		m.change.Restarted = true
		change = m.change
	}
	*m = Monitor{counts: m.counts, change: change}
}

// Status returns the status at now.
func (m *Monitor) Status(now time.Time) Status {
	m.advance(now)
	return m.status
}

// Report returns the status at now and the share of failed requests, as sent to balancers.
func (m *Monitor) Report(now time.Time) Report {
	m.advance(now)
	return NewReport(m.status, m.FailureShare())
}

// FailureShare returns the share of failed requests in the window.
func (m *Monitor) FailureShare() float64 {
	if m.size == 0 {
		return 0
	}
	return float64(m.failures) / float64(m.size)
}

// TrialStarted records the start of a trial. It returns false if none may start: the
// server is not on trial, or a trial is in progress.
func (m *Monitor) TrialStarted(now time.Time) bool {
	m.advance(now)
	if m.status != OnTrial || m.trial {
		return false
	}
	m.trial = true
	return true
}

// TrialEnded records the end of the trial in progress, if there is one. Its outcome is
// recorded as that of any other request.
func (m *Monitor) TrialEnded() { m.trial = false }

// NextChange returns when the exclusion ends; ok is false if the server is not excluded at
// now.
func (m *Monitor) NextChange(now time.Time) (at time.Time, ok bool) {
	m.advance(now)
	return m.excludedUntil, m.status == Failing
}

// Counts returns the number of recorded requests by outcome.
func (m *Monitor) Counts() [Outcomes]uint64 { return m.counts }

// LatestChange returns the latest change of status, with Before equal to After if there was
// none.
func (m *Monitor) LatestChange() Change { return m.change }
