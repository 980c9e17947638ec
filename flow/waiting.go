package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

const (
	// queuePerSlot limits what waits at an agent, as a multiple of its server's slots: a
	// slot processes 100 requests in about two and a half seconds, which is how long callers
	// wait in total. A lower limit refuses callers after a power loss whose requests could be
	// answered: a refused caller retries at once as a new flow, takes the place of one that
	// could be answered in time, and has used up its attempts after 30 ms.
	queuePerSlot = 100
	// handshakeTime is the time from a flow's first packet at the server until its request
	// arrives, with callers some milliseconds away.
	handshakeTime = 5 * time.Millisecond
	// minEstimateCount is the number of answers after which their observed time is used;
	// before that it is requestTime.
	minEstimateCount = 8
	// minAnswerEstimate and maxAnswerEstimate bound the observed time.
	minAnswerEstimate = time.Millisecond
	maxAnswerEstimate = 10 * time.Second
	// retryWindow is the time after this process's start in which a flow's first packet may
	// belong to the second attempt of a caller whose first one no process received: the last
	// copy of its first packet came before the start. The 100 ms cover agents that start
	// before the balancers.
	retryWindow = attemptTimeout - secondRetransmission + 100*time.Millisecond
)

// waitKind is what waits for capacity at the server.
type waitKind uint8

const (
	waitingFlow    waitKind = iota // an offered flow
	waitingCaller                  // the caller of an ended flow, to be notified
	waitingRequest                 // a request kept on an open flow
	waitKinds
)

// waitKey identifies what waits.
type waitKey struct {
	Key
	kind waitKind
}

// waiter is the agent's data of what waits.
type waiter struct {
	via    netip.AddrPort // balancer to reply to
	opener uint32         // sequence number of a flow's first packet
	limits requestLimits
	packet []byte // first packet of a flow
}

type waitEntry = waiting.Entry[waitKey, waiter]

// waitState holds what waits at an agent for capacity of its server.
type waitState struct {
	queue     *waiting.Queue[waitKey, waiter]
	estimate  waiting.Estimate // time from a request's data to the first data of its answer
	counts    [waitKinds]int   // entries of the queue by kind
	kept      int              // flows that keep, or may keep, a request
	keptBytes int              // size of the kept packets
}

func newWaitState() waitState {
	return waitState{
		queue:    waiting.NewQueue[waitKey, waiter](queuePerSlot * DefaultSlots),
		estimate: waiting.NewEstimate(requestTime, minAnswerEstimate, maxAnswerEstimate),
	}
}

// estimateKnown reports whether the estimate is based on enough answers.
func (w *waitState) estimateKnown() bool { return w.estimate.Count() >= minEstimateCount }

// observeAnswer adds the time that the server took for an answer.
func (g *Gate) observeAnswer(took time.Duration) {
	g.waiting.estimate.Observe(took)
	g.updateWork()
}

// updateWork passes the queue what is known about the server, and its limit.
func (g *Gate) updateWork() {
	w := waiting.Work{Margin: requestTime - handshakeTime, Parallel: g.requestCapacity()}
	if g.waiting.estimateKnown() {
		w.Margin, w.Mean = g.waiting.estimate.High(), g.waiting.estimate.Mean()
	}
	g.waiting.queue.SetWork(w)
	g.waiting.queue.SetLimit(queuePerSlot * g.server.slots)
}

// margin returns the time within which a request on an open flow is expected to be answered.
func (g *Gate) margin() time.Duration {
	if g.waiting.estimateKnown() {
		return g.waiting.estimate.High()
	}
	return requestTime
}

// WaitingStats describes what waits at an agent for capacity of its server.
type WaitingStats struct {
	Flows, Callers, Requests int // gauges: waiting flows, callers of ended flows, kept requests
	KeptBytes                int // gauge: size of the kept requests
	// ExpectedTime is the time within which four of five requests are answered, as it is
	// assumed at present.
	ExpectedTime time.Duration
	Refused      [waiting.Refusals]uint64 // entries refused, or kept requests given up, by reason
}

func (g *Gate) waitingStats() WaitingStats {
	w := &g.waiting
	return WaitingStats{
		Flows: w.counts[waitingFlow], Callers: w.counts[waitingCaller], Requests: w.counts[waitingRequest], KeptBytes: w.keptBytes,
		ExpectedTime: g.margin(), Refused: w.queue.Stats().Refused,
	}
}

// newWaitEntry returns an entry with the limits of a balancer's message. An OnTime of 0
// does not say for how long the objective has been missed; the entry is then late.
func newWaitEntry(now time.Time, key waitKey, m *Message) *waitEntry {
	e := &waitEntry{
		Key: key, Priority: m.Priority, Source: netip.AddrFrom4(key.Caller), RefuseAt: now.Add(m.Wait),
	}
	if m.Reason == ReasonStarted {
		e.Timeliness = waiting.MayBeCopy
	}
	if m.OnTime > 0 {
		e.InTimeUntil = now.Add(m.OnTime + requestTime - handshakeTime)
	}
	return e
}

// enqueue adds an offered flow to the queue. It returns false if the flow is refused.
//
// The caller of a flow that is reset for lack of capacity retries at once with a new flow,
// and gives up after three attempts. A waiting flow costs the server nothing, and flows
// that are already late yield to those that are not.
func (g *Gate) enqueue(now time.Time, from netip.AddrPort, m *Message, s *Segment, packet []byte) bool {
	key := waitKey{s.Key, waitingFlow}
	e := g.waiting.queue.Find(key)
	if e != nil && e.Value.opener != s.Seq {
		g.unqueue(key) // the caller has reused its port
		e = nil
	}
	if e == nil {
		e = newWaitEntry(now, key, m)
		if now.Sub(g.started) < retryWindow {
			e.Timeliness = waiting.MayBeRetry
		}
		e.Value = waiter{opener: s.Seq, limits: limitsOf(m), packet: append([]byte(nil), packet...)}
		g.planLateOpening(now, e)
		if !g.wait(now, e, g.queueLimit(now, e.RefuseAt)) {
			return false
		}
	}
	e.Value.via = from
	g.reply(now, from, Message{Kind: Queued, Key: s.Key}, nil)
	return true
}

// wait adds an entry to the queue, and refuses the one that gives up its place. It reports
// whether e waits.
func (g *Gate) wait(now time.Time, e *waitEntry, atMost int) bool {
	displaced, _ := g.waiting.queue.Add(now, e, atMost)
	if displaced == e {
		return false
	}
	g.waiting.counts[e.Key.kind]++
	if displaced != nil {
		g.waiting.counts[displaced.Key.kind]--
		g.refuseWaiting(now, displaced, ReasonBusy)
	}
	return true
}

// unqueue removes an entry, if there is one with the key.
func (g *Gate) unqueue(key waitKey) {
	if g.waiting.queue.Remove(key) != nil {
		g.waiting.counts[key.kind]--
	}
}

// refuseWaiting refuses an entry that has left the queue.
func (g *Gate) refuseWaiting(now time.Time, e *waitEntry, reason Reason) {
	switch e.Key.kind {
	case waitingFlow:
		g.refuse(now, e.Value.via, e.Key.Key, reason)
	case waitingCaller:
		g.reply(now, e.Value.via, Message{Kind: Refused, Reason: reason, Key: e.Key.Key}, nil)
	case waitingRequest:
		g.expireKept(e.Key.Key)
	}
}

// dequeue serves what waits as far as there is capacity, and refuses entries that have
// expired or that the server must not receive any more.
func (g *Gate) dequeue(now time.Time) {
	g.expireReservations(now)
	if g.waiting.queue.Len() == 0 {
		return
	}
	g.expireWaiting(now)
	if !g.mayKeep(now) {
		g.releaseAll(now)
	}
	if g.State(now) != ServerReady {
		g.refuseFlows(now, ReasonState)
		return
	}
	for g.dequeueOne(now) {
	}
}

// dequeueOne serves the entry that precedes all others, and reports whether there was
// capacity for it.
//
// Flows, callers and kept requests are in one order. After a power loss the callers of all
// lost flows wait to be notified, two thirds of all callers where flows are long-lived, while
// other callers send copies of first packets from before the loss. If every waiting flow
// preceded every waiting caller, new requests of the waiting callers would wait behind late
// ones, until all of these callers were notified at once.
func (g *Gate) dequeueOne(now time.Time) bool {
	if g.requests+g.reservations.len() >= max(g.requestCapacity(), g.callerCapacity()) {
		return false
	}
	e := g.waiting.queue.Next(now)
	if e == nil || !g.hasCapacityFor(now, e.Key.kind) {
		return false
	}
	g.waiting.queue.Serve(e)
	g.waiting.counts[e.Key.kind]--
	switch e.Key.kind {
	case waitingFlow:
		g.admit(now, e.Value.via, e.Key.Key, e.Value.opener, e.Value.limits, e.Value.packet)
	case waitingCaller:
		g.reserveCapacity(now, e)
	case waitingRequest:
		g.release(now, g.flows[e.Key.Key])
	}
	return true
}

// hasCapacityFor reports whether the server has capacity for what waits, besides the
// requests in progress and the reservations.
func (g *Gate) hasCapacityFor(now time.Time, kind waitKind) bool {
	capacity := g.requestCapacity()
	if kind == waitingCaller {
		capacity = g.callerCapacity()
	}
	return g.requests+g.reservations.len() < capacity && g.hasColdCapacity(now, g.reservations.len())
}

// isPreceded reports whether something that waits precedes the new flow that m offers. If flows
// wait, it is added to the queue, whose order then decides.
func (g *Gate) isPreceded(now time.Time, m *Message) bool {
	if g.waiting.queue.Len() == 0 {
		return false
	}
	return g.waiting.counts[waitingFlow] > 0 || g.waiting.queue.Precedes(now, newWaitEntry(now, waitKey{}, m))
}

// expireWaiting refuses the entries that have expired, and opens the flows for which it is
// time.
func (g *Gate) expireWaiting(now time.Time) {
	expired, alarms := g.waiting.queue.Due(now)
	for _, e := range expired {
		g.waiting.counts[e.Key.kind]--
		g.refuseWaiting(now, e, ReasonBusy)
	}
	for _, e := range alarms {
		g.openLate(now, e)
	}
}

// refuseFlows refuses all waiting flows.
func (g *Gate) refuseFlows(now time.Time, reason Reason) {
	for _, e := range g.waitingEntries(waitingFlow) {
		g.unqueue(e.Key)
		g.refuse(now, e.Value.via, e.Key.Key, reason)
	}
}

// waitingEntries returns the entries of a kind in order of arrival.
func (g *Gate) waitingEntries(kind waitKind) (list []*waitEntry) {
	if g.waiting.counts[kind] == 0 {
		return nil
	}
	for _, e := range g.waiting.queue.Entries() {
		if e.Key.kind == kind {
			list = append(list, e)
		}
	}
	return list
}

// nextWaiting returns when Tick has to be called next for what waits; ok is false if nothing
// waits.
func (g *Gate) nextWaiting(now time.Time) (at time.Time, ok bool) {
	at, ok = g.waiting.queue.NextDue()
	if !ok {
		return at, false
	}
	if g.unconfirmedFlows.len() > 0 {
		at = earlier(at, g.unconfirmedFlows.first().since.Add(confirmTimeout))
	}
	if g.reservations.len() > 0 {
		at = earlier(at, *g.reservations.first())
	}
	if g.coldLimited(now) {
		if capacityAt := g.coldCapacityAt(now); !capacityAt.IsZero() {
			at = earlier(at, capacityAt)
		}
	}
	return at, true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
