package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockscale/hemlockscale/health"
)

const (
	// truncationTime is the time after an answer's latest data in which a reset shows that
	// the answer was cut off. A later one ends an idle flow.
	truncationTime = time.Second
	// maxAwaitedAnswers bounds the requests that are checked for a missing answer: those of
	// a second at four times the rate of the busiest known server.
	maxAwaitedAnswers = 1 << 14
	// synLength is the number of sequence numbers that a SYN takes. A close whose sequence
	// number is further beyond the data received has overtaken data.
	synLength = 1
	// trialTimeout is the time in which the caller of a trial has to send a request.
	trialTimeout = time.Second
	// lowQuantile is the share of answers faster than serverHealth.lowAnswerTime, lowStep
	// the relative step by which that estimate follows an answer.
	lowQuantile = 0.05
	lowStep     = 0.1
	// minLowAnswerTime keeps the estimate above 0, from where it could not grow.
	minLowAnswerTime = 100 * time.Microsecond
)

// serverHealth is an agent's judgement of its server and the observations that it needs.
type serverHealth struct {
	monitor    health.Monitor
	reported   health.Status     // the status that balancers were last notified of
	judgedFrom time.Time         // requests sent before are not judged
	awaited    fifo[pendingFlow] // requests in the order in which they were sent; settled ones remain until they are first
	pending    int               // requests that were sent to the server and may still be answered
	// lowAnswerTime is the time that lowQuantile of the answers stay below, and answers the
	// number of answers in it, up to minAnswerTimeCount. A service may answer some kinds of
	// requests in a tenth of the mean time; an answer that is fast even among the fast ones
	// is implausible.
	lowAnswerTime time.Duration
	answers       int
	trial         trial
}

// trial is the latest flow that was accepted as a trial.
type trial struct {
	id         ID
	startedAt  time.Time
	inProgress bool
}

// judgedRequest is the latest request of a flow, as the judgement of its server needs it.
type judgedRequest struct {
	startedAt  time.Time
	pending    bool      // the server may still answer it
	judged     bool      // its outcome was recorded, or is not to be
	answered   bool      // that outcome was an answer
	lastDataAt time.Time // of the server's latest data
}

// requestSent records new data of a caller that is sent to the server. Further data before
// an answer belongs to the same request.
func (g *Gate) requestSent(now time.Time, key Key, f *gateFlow) {
	if f.request.pending {
		return
	}
	f.request = judgedRequest{startedAt: now, pending: true}
	g.health.pending++
	if g.health.awaited.len() >= maxAwaitedAnswers {
		g.stats.UnjudgedRequests++
		return
	}
	g.health.awaited.push(pendingFlow{key, now})
}

// forgetRequest ends a flow's request without an outcome.
func (g *Gate) forgetRequest(f *gateFlow) {
	if f.request.pending {
		f.request.pending = false
		g.health.pending--
	}
	f.request.judged = true
}

// judgeRequest records the outcome of a flow's request, unless it has one.
func (g *Gate) judgeRequest(now time.Time, key Key, f *gateFlow, o health.Outcome) {
	if !f.request.pending || f.request.judged {
		return
	}
	f.request.judged = true
	f.request.answered = g.recordOutcome(now, key, f.request.startedAt, o) && o == health.Answered
}

// judgeAnswer records new data of the server, or a packet that shows that there is some.
func (g *Gate) judgeAnswer(now time.Time, f *gateFlow, s *Segment) {
	f.request.lastDataAt = now
	if !f.request.pending {
		return
	}
	o := health.Answered
	if g.implausiblyFast(now.Sub(f.requestSentAt)) {
		o = health.ImplausiblyFast
	}
	g.judgeRequest(now, s.Key, f, o)
	g.forgetRequest(f)
}

// implausiblyFast reports whether an answer came too fast for a request that was processed,
// and adds it to the estimate that this is based on. While all slots are taken, a fast
// answer may be a refusal, which is no failure.
func (g *Gate) implausiblyFast(took time.Duration) bool {
	h := &g.health
	fast := g.tooFast(took) && took < h.lowAnswerTime/fastAnswerDivisor
	h.updateLowAnswerTime(took, fast)
	return fast && h.pending <= g.server.slots
}

// updateLowAnswerTime moves the estimate towards the quantile. Implausibly fast answers have
// a lower weight, as in the mean, so that a failing server does not soon pass as a fast one.
func (h *serverHealth) updateLowAnswerTime(took time.Duration, fast bool) {
	took = max(took, minLowAnswerTime)
	if h.answers < minAnswerTimeCount {
		h.answers++
		if h.answers == 1 || took < h.lowAnswerTime {
			h.lowAnswerTime = took
		}
		return
	}
	step := lowStep
	if fast {
		step *= fastAnswerWeight
	}
	if took < h.lowAnswerTime {
		step *= lowQuantile - 1
	} else {
		step *= lowQuantile
	}
	h.lowAnswerTime = max(h.lowAnswerTime+time.Duration(step*float64(h.lowAnswerTime)), minLowAnswerTime)
}

// judgeServerClose records that the server has closed a flow. It is a failure if the server
// had received a request and sends no data. A close that crossed the request, one that
// overtook the answer, and one after the caller's are no failures. On a flow from before this process it is not
// known which data the server has sent.
func (g *Gate) judgeServerClose(now time.Time, f *gateFlow, s *Segment) {
	if s.Data == 0 && f.hasServerFirst && f.received(s) && !f.callerClosed {
		g.judgeRequest(now, s.Key, f, health.Closed)
	}
	g.forgetRequest(f)
}

// judgeServerReset records that the server has reset a flow: instead of an answer, or after
// part of one.
func (g *Gate) judgeServerReset(now time.Time, f *gateFlow, s *Segment) {
	r := &f.request
	switch {
	case f.callerClosed || f.serverClosed:
	case r.pending && f.received(s):
		g.judgeRequest(now, s.Key, f, health.Reset)
	case !r.pending && r.answered && now.Sub(r.lastDataAt) < truncationTime && g.judges(now, r.startedAt):
		g.updateHealth(now)
		g.health.monitor.Truncate(now, r.startedAt, callerHash(s.Key), routeHash(s.Key))
		g.meter.Done(now, true)
		g.updateHealth(now)
	}
	g.forgetRequest(f)
}

// received reports whether the server had received all of the caller's data when it sent s.
func (f *gateFlow) received(s *Segment) bool {
	return !s.HasAck || int32(s.Ack-f.callerEnd) >= 0
}

// judgeCallerClose records that the caller has closed or reset its flow. If it has waited
// for long, it has given up on the server.
func (g *Gate) judgeCallerClose(now time.Time, f *gateFlow, s *Segment) {
	gaveUp := f.request.pending && !f.callerClosed && now.Sub(f.requestSentAt) >= g.gaveUpAfter()
	if gaveUp {
		g.judgeRequest(now, s.Key, f, health.NoAnswer)
		// Otherwise the requests of a server that hung would take the capacity that its
		// trials need.
		g.endRequest(f)
	}
	if gaveUp || s.Rst {
		g.forgetRequest(f)
	}
}

// answerLimit returns the time without an answer after which a request has failed. While no
// answer time is known, any time that a caller waits may be usual.
func (g *Gate) answerLimit() time.Duration {
	if g.answerTimeCount == 0 {
		return g.cfg.RequestTimeout
	}
	return health.AnswerLimit(g.meanAnswerTime)
}

// gaveUpAfter returns the time without an answer from which a caller that closes its flow
// has given up. One that closes it earlier has aborted it, or has closed its direction only.
func (g *Gate) gaveUpAfter() time.Duration {
	if g.answerTimeCount == 0 {
		return health.MinAnswerLimit
	}
	return health.GaveUpAfter(g.answerLimit())
}

// expireAwaited records the requests that the server has not answered in time. Each request
// is pushed and popped once, except for those whose data takes longer to arrive.
func (g *Gate) expireAwaited(now time.Time) {
	list, limit := &g.health.awaited, g.answerLimit()
	for list.len() > 0 {
		w := *list.first()
		f := g.flows[w.key]
		settled := f == nil || !f.request.pending || f.request.judged || !f.request.startedAt.Equal(w.since)
		if !settled && now.Sub(w.since) < limit {
			return
		}
		list.pop()
		switch {
		case settled:
		case now.Sub(f.requestSentAt) < limit:
			f.request.startedAt = f.requestSentAt
			list.push(pendingFlow{w.key, f.requestSentAt})
		case f.callerClosed:
			g.forgetRequest(f) // aborted by the caller
		default:
			g.judgeRequest(now, w.key, f, health.NoAnswer)
			g.forgetRequest(f)
		}
	}
}

// judgeFirstPacket records that the server has not answered a flow's first packet. Further
// copies of it do not count.
func (g *Gate) judgeFirstPacket(now time.Time, key Key, f *gateFlow) {
	if !f.request.judged {
		f.request.judged = true
		g.recordOutcome(now, key, f.createdAt, health.NotOpened)
	}
}

// recordOutcome records the outcome of a request that was sent at the given time. It returns
// false if the request is not judged.
func (g *Gate) recordOutcome(now time.Time, key Key, sentAt time.Time, o health.Outcome) bool {
	if !g.judges(now, sentAt) {
		return false
	}
	if o == health.Closed || o == health.NoAnswer {
		g.meter.Done(now, true) // the others are recorded where they are observed
	}
	g.updateHealth(now)
	g.health.monitor.Record(now, sentAt, callerHash(key), routeHash(key), o)
	g.updateHealth(now)
	return true
}

// judges reports whether the outcome of a request shows how the server is doing. It does not
// if this process was paused, or if the server was not to get requests at some time since.
func (g *Gate) judges(now, sentAt time.Time) bool {
	return judgedState(g.State(now)) && !sentAt.Before(g.health.judgedFrom) && now.Sub(g.lastTickAt) < pauseThreshold
}

// judgedState reports whether a server in state s is expected to answer its requests.
func judgedState(s ServerState) bool { return s == ServerReady || s == ServerUnresponsive }

// callerHash identifies a caller whatever port it uses.
func callerHash(k Key) uint64 { return xxhash.Sum64(k.Caller[:]) }

// routeHash identifies the service address of a flow.
func routeHash(k Key) uint64 {
	b := [...]byte{k.Service[0], k.Service[1], k.Service[2], k.Service[3], byte(k.ServicePort >> 8), byte(k.ServicePort)}
	return xxhash.Sum64(b[:])
}

// updateHealth reports a change of status to all balancers at once. If the server has become
// failing, waiting flows are refused, so that their balancers offer them elsewhere.
func (g *Gate) updateHealth(now time.Time) {
	h := &g.health
	status := h.monitor.Status(now)
	if status == h.reported {
		return
	}
	h.reported = status
	g.trace.Health(now, h.monitor.LatestChange())
	g.report(now, true)
	if status == health.Failing {
		g.refuseFlows(now, ReasonUnresponsive)
	}
}

// startTrial reports whether a flow that is offered as a trial is accepted, and records it.
func (g *Gate) startTrial(now time.Time, id ID) bool {
	g.updateHealth(now)
	h := &g.health
	if h.trial.inProgress && !g.trialOver(now) {
		return false
	}
	h.monitor.TrialEnded()
	h.trial = trial{id: id, startedAt: now, inProgress: h.monitor.TrialStarted(now)}
	return h.trial.inProgress
}

// trialOver reports whether the latest trial has ended: its flow has ended, its request has
// an outcome, or its caller sends none.
func (g *Gate) trialOver(now time.Time) bool {
	t := &g.health.trial
	f := g.flows[t.id.Key]
	switch {
	case f == nil || !f.hasOpener || f.opener != t.id.Opener || f.state == gateLost || f.closed():
		return true
	case f.request.pending || f.request.judged:
		return f.request.judged
	}
	return now.Sub(t.startedAt) >= trialTimeout
}

// earliestHealthCheck returns when an exclusion ends or the first awaited answer is overdue;
// ok is false for neither.
func (g *Gate) earliestHealthCheck(now time.Time) (at time.Time, ok bool) {
	at, ok = g.health.monitor.NextChange(now)
	if g.health.awaited.len() > 0 {
		if due := g.health.awaited.first().since.Add(g.answerLimit()); !ok || due.Before(at) {
			at, ok = due, true
		}
	}
	return at, ok
}
