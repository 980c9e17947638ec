package agent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/internal/node"
)

const (
	// timeoutFactor is the multiple of the mean answer time from which a passed deadline is
	// the server's failure. With a log-normal spread of one half, one answer in 700 takes
	// longer. A caller may set a deadline that no server can meet.
	timeoutFactor = 4
	// answerTimeGain is the weight of an answer in the mean answer time.
	answerTimeGain = 0.1
	// pauseThreshold is the time between two ticks that shows that this process was paused.
	// Requests from before a pause time out whatever the server did.
	pauseThreshold = 400 * time.Millisecond
)

// serverHealth is the agent's judgement of its backend server. It is guarded by the gate's
// mutex.
type serverHealth struct {
	monitor    health.Monitor
	latest     health.Status   // status after the latest of changes
	changes    []health.Change // not logged yet; an exclusion lasts a second or more, so there are few
	judgedFrom time.Time       // attempts that were sent before are not judged
	lastTickAt time.Time       // zero before the first tick
	answerTime time.Duration   // mean time from a request to the header of its answer; 0 if not known
	trialID    uint64          // request that is the trial in progress; 0 if there is none
	// repeatableAt is when a trial with a repeatable request was started last.
	repeatableAt time.Time
}

const (
	// trialRetryAfter is the retry time of requests that are refused because the server is on
	// trial. Five answers end that, or a failure excludes the server, in well under a second.
	trialRetryAfter = time.Second
	// repeatableWait is the time without a repeatable request after which a request that may
	// not be repeated becomes the trial: a service without repeatable requests would otherwise
	// never be served again.
	repeatableWait = time.Second
)

// admit decides whether a request may be offered to the controller. Requests of connections
// from before the server's trial period are. Of the others, one at a time is, as a trial; it
// ends with endTrial.
func (s *serverHealth) admit(now time.Time, r *serverRequest) (trial, ok bool) {
	s.update(now)
	if s.latest != health.OnTrial {
		return false, true
	}
	since := s.monitor.LatestChange().At
	if r.connectedAt.Before(since) {
		return false, true
	}
	if !r.repeatable {
		if s.repeatableAt.After(since) {
			since = s.repeatableAt
		}
		if now.Sub(since) < repeatableWait {
			return false, false
		}
	}
	if !s.monitor.TrialStarted(now) {
		return false, false
	}
	if r.repeatable {
		s.repeatableAt = now
	}
	return true, true
}

// endTrial ends the trial in progress if it is the request with the given ID. An earlier one
// may end after its server was excluded again.
func (s *serverHealth) endTrial(id uint64) {
	if id != 0 && s.trialID == id {
		s.trialID = 0
		s.monitor.TrialEnded()
	}
}

// serverRequest is what the judgement of the server needs to know about a request.
type serverRequest struct {
	source      uint64    // hash of the caller's address
	route       uint64    // number of the catalogue entry
	connectedAt time.Time // start of the caller's connection; zero if not known
	repeatable  bool      // safe, or with an idempotency key
}

func newServerRequest(r *http.Request, e *catalogue.Entry) serverRequest {
	connectedAt, _ := r.Context().Value(connectedAtKey{}).(time.Time)
	return serverRequest{
		source:      callerHash(callerAddr(r)),
		route:       uint64(e.Number),
		connectedAt: connectedAt,
		repeatable:  safeMethod(r.Method) || r.Header.Get(HeaderKey) != "",
	}
}

// connectedAtKey is the key of a connection's start in the context of its requests.
type connectedAtKey struct{}

// attemptResult is what one attempt of a request shows about the backend server.
type attemptResult struct {
	outcome admission.Outcome // for the limit on requests in progress
	health  health.Outcome    // for the judgement of the server
	judged  bool              // health counts
}

// failed reports whether the attempt raises the occupancy; counts is false if it shows nothing.
func (r attemptResult) failed() (failed, counts bool) {
	if r.judged && r.health.Failed() {
		return true, true
	}
	return r.outcome != admission.OK, r.outcome != admission.Canceled
}

// answerResult returns the result of an attempt with a response. A refusal by the server is
// neither an answer nor a failure.
func answerResult(resp *http.Response) attemptResult {
	switch {
	case isShed(resp):
		return attemptResult{outcome: admission.Shed}
	case resp.StatusCode >= http.StatusInternalServerError:
		return attemptResult{outcome: admission.OK, health: health.ServerError, judged: true}
	}
	return attemptResult{outcome: admission.OK, health: health.Answered, judged: true}
}

// errorResult returns the result of an attempt of r without a response. ctx is the context of
// the call, which ends at the deadline, and took the time since the attempt was sent. No
// failure is counted for callers that leave early and for deadlines that are too short. A
// long flow may have nothing to send until its caller leaves.
func errorResult(ctx context.Context, r *http.Request, e *CallError, class catalogue.Class, took, mean time.Duration) attemptResult {
	switch {
	case e.BodyFailed:
		return attemptResult{outcome: admission.Canceled}
	case r.Context().Err() != nil:
		gaveUp := e.Sent && !isLongFlow(class) && took >= gaveUpAfter(mean)
		return attemptResult{outcome: admission.Canceled, health: health.NoAnswer, judged: gaveUp}
	case ctx.Err() != nil:
		result := attemptResult{outcome: admission.TimedOut, health: health.TimedOut, judged: took >= timeoutAfter(mean)}
		if !e.Sent {
			result.outcome = admission.Canceled // it was never in progress at the server
		}
		return result
	}
	return attemptResult{outcome: admission.Failed, health: health.ConnectionFailed, judged: true}
}

func isLongFlow(c catalogue.Class) bool {
	return c == catalogue.ClassStream || c == catalogue.ClassDownload
}

// gaveUpAfter returns the time without an answer from which a caller that leaves has given up.
// While no answer time is known, any shorter time may be usual.
func gaveUpAfter(mean time.Duration) time.Duration {
	if mean == 0 {
		return health.MinAnswerLimit
	}
	return health.GaveUpAfter(health.AnswerLimit(mean))
}

// timeoutAfter returns the time without an answer from which a passed deadline is a failure of
// the server.
func timeoutAfter(mean time.Duration) time.Duration {
	if mean == 0 {
		return health.MinAnswerLimit
	}
	return timeoutFactor * mean
}

// record records the result of an attempt of a request of the given source and route.
func (s *serverHealth) record(now, sentAt time.Time, source, route uint64, r attemptResult) {
	s.update(now)
	if !r.judged || sentAt.Before(s.judgedFrom) {
		return
	}
	if r.health == health.Answered {
		s.updateAnswerTime(now.Sub(sentAt))
	}
	s.monitor.Record(now, sentAt, source, route, r.health)
	s.update(now)
}

func (s *serverHealth) updateAnswerTime(took time.Duration) {
	took = max(took, 1) // 0 stands for not known
	if s.answerTime == 0 {
		s.answerTime = took
		return
	}
	s.answerTime += time.Duration(answerTimeGain * float64(took-s.answerTime))
}

// truncate records that the server has cut off a response that was recorded as an answer.
func (s *serverHealth) truncate(now, sentAt time.Time, source, route uint64) {
	s.update(now)
	if sentAt.Before(s.judgedFrom) {
		return
	}
	s.monitor.Truncate(now, sentAt, source, route)
	s.update(now)
}

// update notes a change of status, and a pause of this process.
func (s *serverHealth) update(now time.Time) {
	if !s.lastTickAt.IsZero() && now.Sub(s.lastTickAt) >= pauseThreshold {
		s.judgedFrom = now
		s.lastTickAt = now
	}
	if status := s.monitor.Status(now); status != s.latest {
		s.latest = status
		s.changes = append(s.changes, s.monitor.LatestChange())
	}
}

// tick is called at intervals of gateTickInterval.
func (s *serverHealth) tick(now time.Time) {
	s.update(now)
	s.lastTickAt = now
}

// restart records that the server was started again. Requests to the earlier instance say
// nothing about the new one.
func (s *serverHealth) restart(now time.Time) {
	s.update(now)
	s.monitor.Restart(now)
	s.judgedFrom = now
	s.update(now)
}

// takeChanges returns the changes of status since the last call.
func (s *serverHealth) takeChanges() []health.Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// logHealth logs the server's changes of status.
func (l *controlLoop) logHealth() {
	var changes []health.Change
	l.a.gate.do(func(*admission.Controller, time.Time) { changes = l.a.gate.health.takeChanges() })
	for i := range changes {
		l.a.log.Info("server health", node.HealthFields(&changes[i])...)
	}
}

// minWeight is the lowest weight with which balancers still place flows at an agent.
const minWeight = 1

// weight returns the weight to announce. An agent whose server is failing or on trial gets as
// few new flows as possible. Weight 0 would leave it out for good: if all servers of an entry
// fail alike, their weights have to be equal, so that each gets its share as before.
func (l *controlLoop) weight(now time.Time) uint8 {
	status := health.Serving
	l.a.gate.do(func(_ *admission.Controller, now time.Time) { status = l.a.gate.health.monitor.Status(now) })
	if status != health.Serving {
		return minWeight
	}
	return l.a.cfg.Ramp.Weight(now.Sub(l.reachableSince))
}

// healthCollector exports the judgement under the names of the packet path's agents.
type healthCollector struct{ gate *gate }

var (
	descServerFailures = prometheus.NewDesc("hemlock_server_failures_total", "failures of the server that count in its health, by outcome of the request", []string{"outcome"}, nil)
	descServerHealth   = prometheus.NewDesc("hemlock_server_health", "0: serving, 1: failing, 2: on trial", nil, nil)
)

// Describe implements prometheus.Collector.
func (c healthCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- descServerFailures
	ch <- descServerHealth
}

// Collect implements prometheus.Collector.
func (c healthCollector) Collect(ch chan<- prometheus.Metric) {
	var status health.Status
	var counts [health.Outcomes]uint64
	c.gate.do(func(_ *admission.Controller, now time.Time) {
		status, counts = c.gate.health.monitor.Status(now), c.gate.health.monitor.Counts()
	})
	ch <- prometheus.MustNewConstMetric(descServerHealth, prometheus.GaugeValue, float64(status))
	for o, n := range counts {
		if outcome := health.Outcome(o); outcome.Failed() {
			ch <- prometheus.MustNewConstMetric(descServerFailures, prometheus.CounterValue, float64(n), outcome.String())
		}
	}
}

// callerHash identifies a caller whatever port it uses.
func callerHash(caller netip.Addr) uint64 {
	b := caller.As16()
	return xxhash.Sum64(b[:])
}
