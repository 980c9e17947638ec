package flow

import (
	"net/netip"
	"time"
)

// onPacket processes a packet of a flow that should be open at the server.
func (g *Gate) onPacket(now time.Time, from netip.AddrPort, kind MessageKind, s *Segment, packet []byte) {
	f := g.flows[s.Key]
	result, basis := g.answer(now, f, positionsOf(s))
	switch result {
	case FlowHeld:
		g.deliver(now, from, kind, f, s, packet)
	case FlowNeedsPacket:
		g.sendProbe(now, from, f, s, packet)
	case FlowLost:
		f.noticeDue = false
		g.replyNotHeld(now, from, kind, s, ReasonLost, basis, packet)
	case FlowNotHeld:
		// The entry stays if there is one: another server may hold a flow from the same port,
		// and this one would answer packets of that flow with a reset.
		g.replyNotHeld(now, from, kind, s, ReasonNotHeld, basis, packet)
	case FlowUnknown:
		g.stats.Dropped++
	}
}

// deliver sends a caller's packet to the server that holds its flow.
func (g *Gate) deliver(now time.Time, from netip.AddrPort, kind MessageKind, f *gateFlow, s *Segment, packet []byte) {
	quiet := now.Sub(f.lastPacketAt)
	f.lastPacketAt = now
	if f.state == gateAnswered {
		f.state = gateOpen
		g.trace.Opened(now, ID{s.Key, f.opener}, f.via, now.Sub(f.createdAt))
	}
	f.via = from
	if kind == Lookup && f.state == gateOpen {
		g.reply(now, from, Message{Kind: Held, Key: s.Key}, nil)
	}
	if g.startsRequest(now, f, s, quiet) {
		g.startKeeping(f, newKeptRequest(now, f.limits))
	}
	if g.keep(now, f, s, packet) {
		return
	}
	g.recordCallerPacket(now, f, s)
	g.sendToServer(packet)
}

// recordCallerPacket updates a flow with a packet of its caller. Data that the caller has
// not sent before counts as a request in progress until the server sends data.
func (g *Gate) recordCallerPacket(now time.Time, f *gateFlow, s *Segment) {
	end := s.Seq + uint32(s.Data)
	f.recordCallerPosition(end)
	fresh := !f.hasCallerEnd || int32(end-f.callerEnd) > 0
	if s.Data > 0 && fresh {
		f.callerEnd, f.hasCallerEnd = end, true
		g.recordRequest(now, s.Key, f)
	}
	if s.Fin || s.Rst {
		g.judgeCallerClose(now, f, s)
	}
	if s.Fin {
		f.callerClosed = true
	}
	if s.Rst {
		f.callerClosed, f.serverClosed = true, true
		g.endRequest(f)
	}
}

// recordRequest records new data of a caller. A server that has closed the flow sends no
// answer that would end the request, but may process it.
func (g *Gate) recordRequest(now time.Time, key Key, f *gateFlow) {
	if f.serverClosed {
		g.countRequest(now)
		return
	}
	g.startRequest(now, f)
	f.answerPending, f.requestSentAt, f.sentInProgress = true, now, g.requests
	g.requestSent(now, key, f)
}

// sendProbe sends a packet to the server to find out whether it holds the packet's flow. A server
// sends back (bounces) packets of flows that it does not hold.
func (g *Gate) sendProbe(now time.Time, from netip.AddrPort, f *gateFlow, s *Segment, packet []byte) {
	if f == nil || f.state == gateLost {
		if f == nil && !g.makeSpace(now) {
			g.stats.Dropped++
			return
		}
		f = g.addFlow(now, s.Key, gateProbed)
	}
	f.via, f.lastPacketAt = from, now
	f.probe, f.probing = positionsOf(s), true
	g.sendToServer(packet)
}

// concludeProbe replies to the balancer whose packet was sent to the server as a probe, once a
// packet of the server shows whether it belongs to the flow that the server holds.
func (g *Gate) concludeProbe(now time.Time, f *gateFlow, key Key) {
	switch f.match(f.probe) {
	case sameFlow:
		f.state, f.probing = gateOpen, false
		g.reply(now, f.via, Message{Kind: Held, Key: key}, nil)
	case otherFlow:
		g.rejectProbe(now, f, key, BasisOtherFlow)
	}
}

// rejectProbe replies that the server does not hold the flow of the packet that was sent to it as
// a probe.
func (g *Gate) rejectProbe(now time.Time, f *gateFlow, key Key, basis Basis) {
	f.probing = false
	g.replyNotHeld(now, f.via, Lookup, &Segment{Key: key, Ack: f.probe.ack}, ReasonNotHeld, basis, nil)
	if f.state == gateProbed {
		g.removeFlow(key, RemovedBounced)
	} else if f.serverBound == unbounded {
		f.serverBound = exact // the flow is not open, so the server has sent its first packet at most
	}
}

// replyNotHeld replies to a balancer that the server does not hold the flow. A packet
// received with a Pass message is returned with the reply, so that the balancer can look
// up or reset the flow at once.
func (g *Gate) replyNotHeld(now time.Time, to netip.AddrPort, kind MessageKind, s *Segment, reason Reason, basis Basis, packet []byte) {
	if reason == ReasonLost {
		g.stats.Lost++
	} else {
		g.stats.NotHeld++
	}
	if kind == Pass || reason == ReasonLost || basis != BasisNoEntry {
		g.trace.NotHeld(now, s.Key, reason, basis)
	}
	if kind != Pass {
		packet = nil
	}
	m := Message{Kind: NotHeld, Reason: reason, Key: s.Key}
	if kind == Lookup && reason == ReasonNotHeld {
		m.ResetSeq = s.Ack
	}
	g.reply(now, to, m, packet)
}

// FromServer processes a packet that the server sent.
func (g *Gate) FromServer(now time.Time, s Segment, packet []byte) {
	g.recordActivity(now)
	f := g.flows[s.Key]
	switch {
	case s.Bounced:
		g.onBounced(now, f, &s, packet)
		return
	case s.Rst && (f == nil || !f.resetBy(&s)):
		// Answers a packet of a flow that the server does not hold. Its caller may have the flow
		// at another server, and would accept the reset.
		if f != nil && f.probing {
			g.rejectProbe(now, f, s.Key, BasisBounced)
		}
		return
	case f == nil || f.state == gateLost,
		s.Syn && f.state == gateOpen && !f.openedBy(s.Ack-synLength):
		f = g.addExistingFlow(now, &s)
	}
	if f != nil && f.replaces != nil {
		g.settleReplaced(f, &s)
	}
	if f != nil {
		g.recordServerPacket(now, f, &s)
	}
	g.sendToCaller(s.Key, packet)
	g.dequeue(now)
}

// addExistingFlow adds a flow that the server holds and that is not in the table. It
// returns nil if the table is full. A server that answers a first packet late holds the flow,
// but its caller may have opened it at another server.
func (g *Gate) addExistingFlow(now time.Time, s *Segment) *gateFlow {
	if g.flows[s.Key] == nil && !g.makeSpace(now) {
		g.missFlow(now)
		return nil
	}
	if !s.Syn {
		return g.addFlow(now, s.Key, gateOpen)
	}
	f := g.addFlow(now, s.Key, gateOffered)
	if s.HasAck {
		f.recordOpener(s.Ack-synLength, g.complete(now))
	}
	return f
}

// recordServerPacket updates a flow with a packet of the server, and reports Taken or Held
// to the balancer that waits for it.
func (g *Gate) recordServerPacket(now time.Time, f *gateFlow, s *Segment) {
	f.lastPacketAt = now
	if s.Syn {
		g.recordServerFirst(now, f, s)
	}
	fresh, overtook := f.advanceServerEnd(s)
	f.recordPositions(s)
	if f.state == gateProbed {
		f.state = gateOpen
	}
	if f.probing {
		g.concludeProbe(now, f, s.Key)
	}
	// A repeat of an earlier answer does not answer a request sent since. A close that
	// overtakes the data of an answer shows the answer.
	if fresh && (s.Data > 0 || s.Fin && overtook) {
		g.endRequest(f)
		g.judgeAnswer(now, f, s)
		g.recordAnswerTime(now, f)
	}
	if s.Fin {
		g.judgeServerClose(now, f, s)
		f.serverClosed = true
		g.endRequest(f)
		g.releaseOutOfTurn(now, s.Key, f)
	}
	if s.Rst {
		g.recordServerReset(now, f)
		g.judgeServerReset(now, f, s)
		g.forgetKept(s.Key, f)
		f.callerClosed, f.serverClosed = true, true
		g.endRequest(f)
	}
}

// recordServerFirst records the server's first packet or a copy of it.
func (g *Gate) recordServerFirst(now time.Time, f *gateFlow, s *Segment) {
	if f.state != gateOpen && !(f.hasServerFirst && f.serverFirst == s.Seq) {
		f.serverFirst, f.serverEnd, f.hasServerFirst = s.Seq, s.Seq, true
	}
	if f.state == gateProbed {
		f.state = gateAnswered
	}
	if f.state == gateOffered {
		f.state = gateAnswered
		g.unconfirmedFlows.push(pendingFlow{s.Key, now})
		g.stats.Taken++
		g.trace.Answered(now, ID{s.Key, f.opener}, now.Sub(f.createdAt), g.requests)
	}
	if f.via.IsValid() {
		g.reply(now, f.via, Message{Kind: Taken, Key: s.Key}, nil)
	}
}

// recordServerReset counts a reset by the server while a request's answer is pending as a
// failure. On a flow that the server has closed before, a reset is its usual answer to data.
func (g *Gate) recordServerReset(now time.Time, f *gateFlow) {
	if f.answerPending && !f.serverClosed {
		g.meter.Done(now, true)
		g.stats.ResetRequests++
	}
	f.answerPending = false
}

// recordAnswerTime records the time that the server took for an answer. A server that fails
// every request at once looks idle and would be offered every flow. The content of its
// answers is not visible at this layer, but they come in far less time than a processed
// request takes. They add to the load that the agent reports; judgeAnswer decides whether
// they count in the server's health.
func (g *Gate) recordAnswerTime(now time.Time, f *gateFlow) {
	if !f.answerPending {
		return
	}
	f.answerPending = false
	took := now.Sub(f.requestSentAt)
	tooFast := g.tooFast(took)
	g.meter.Done(now, tooFast)
	if tooFast {
		g.stats.ImplausiblyFast++
	}
	g.updateMeanAnswerTime(took, tooFast)
	if !tooFast {
		g.observeAnswer(took)
		g.recordAnswerMean(now, f, took)
	}
}

// tooFast reports whether an answer came in far less time than the mean.
func (g *Gate) tooFast(took time.Duration) bool {
	known := g.answerTimeCount >= minAnswerTimeCount && g.meanAnswerTime >= minMeanAnswerTime
	return known && took < g.meanAnswerTime/fastAnswerDivisor
}

// updateMeanAnswerTime adds an answer time to the moving average. Each is limited to
// between half and twice the mean: otherwise, after the server has hung for seconds, its
// usual answers would count as implausibly fast for good. For the same reason implausibly
// fast answers are included, with a lower weight.
func (g *Gate) updateMeanAnswerTime(took time.Duration, tooFast bool) {
	if g.answerTimeCount < minAnswerTimeCount {
		g.answerTimeCount++
		g.meanAnswerTime += (took - g.meanAnswerTime) / time.Duration(g.answerTimeCount)
		return
	}
	weight := answerTimeWeight
	if tooFast {
		weight *= fastAnswerWeight
	}
	took = min(max(took, g.meanAnswerTime/2), 2*g.meanAnswerTime)
	g.meanAnswerTime += time.Duration(float64(took-g.meanAnswerTime) * weight)
}

// onBounced processes a packet that the server sent back: a first packet that it can't
// accept, or a packet of a flow that it does not hold.
func (g *Gate) onBounced(now time.Time, f *gateFlow, s *Segment, packet []byte) {
	if f == nil || !f.via.IsValid() {
		return
	}
	via := f.via
	switch {
	case s.first() && f.state == gateOffered && f.opensSameFlow(s):
		if !g.restoreReplaced(s.Key, f) {
			g.removeFlow(s.Key, RemovedBounced)
		}
		g.refuse(now, via, s.Key, ReasonBounced)
	case s.first():
	case f.probing:
		g.rejectProbe(now, f, s.Key, BasisBounced)
	case f.state == gateOpen && !f.closed() && f.match(positionsOf(s)) == sameFlow:
		g.endRequest(f)
		g.forgetRequest(f)
		g.forgetKept(s.Key, f)
		f.state = gateLost
		g.replyNotHeld(now, via, Pass, s, ReasonLost, BasisBounced, packet)
	}
}

// closed reports whether both ends have sent their last byte.
func (f *gateFlow) closed() bool { return f.callerClosed && f.serverClosed }

// Tick expires timeouts, serves the queue and sends the reports that are due.
func (g *Gate) Tick(now time.Time) {
	paused := now.Sub(g.lastTickAt) >= pauseThreshold
	g.lastTickAt = now
	if paused {
		g.restartAnswerTimeouts(now)
	}
	g.expireUnanswered(now)
	g.expireUnconfirmed(now)
	g.expireAwaited(now)
	g.updateHealth(now)
	g.dequeue(now)
	g.sendNotices(now)
	g.requestIntroduction(now)
	if !now.Before(g.reportAt) {
		g.report(now, false)
	}
	if now.Sub(g.lastSweepAt) >= sweepInterval {
		g.sweep(now)
	}
}

// restartAnswerTimeouts restarts the server's answer timeouts after a pause of this
// process. Requests during the pause are not judged.
func (g *Gate) restartAnswerTimeouts(now time.Time) {
	g.unanswered.all(func(w *pendingFlow) { w.since = now })
	g.health.judgedFrom = now
}

// expireUnanswered refuses the flows whose first packet the server has not answered in
// time. If the server has sent nothing else since, it is unresponsive: it has crashed or
// hangs, and gets no new flow until it sends a packet or heartbeat.
func (g *Gate) expireUnanswered(now time.Time) {
	for g.unanswered.len() > 0 && now.Sub(g.unanswered.first().since) >= g.cfg.AnswerTimeout {
		w := g.unanswered.pop()
		f := g.flows[w.key]
		if f == nil || f.state != gateOffered {
			continue
		}
		if !g.server.lastActivityAt.After(w.since) && !g.server.unresponsive {
			before := g.State(now)
			g.server.unresponsive = true
			g.stateChanged(now, before, "no answer to a first packet")
		}
		g.judgeFirstPacket(now, w.key, f)
		g.endRequest(f)
		g.forgetKept(w.key, f)
		g.refuse(now, f.via, w.key, ReasonUnresponsive)
		g.restoreReplaced(w.key, f)
	}
}

// expireUnconfirmed ends the requests counted for flows that their callers have not
// confirmed in time.
func (g *Gate) expireUnconfirmed(now time.Time) {
	for g.unconfirmedFlows.len() > 0 && now.Sub(g.unconfirmedFlows.first().since) >= confirmTimeout {
		key := g.unconfirmedFlows.pop().key
		f := g.flows[key]
		if f != nil && f.state == gateAnswered {
			g.endRequest(f)
		}
		if f != nil && f.kept != nil && len(f.kept.packets) == 0 {
			g.forgetKept(key, f) // the caller has not sent a request
		}
	}
}

// NextTick returns the latest time at which Tick has to be called next.
func (g *Gate) NextTick(now time.Time) time.Time {
	next := g.reportAt
	if g.unanswered.len() > 0 {
		if at := g.unanswered.first().since.Add(g.cfg.AnswerTimeout); at.Before(next) {
			next = at
		}
	}
	if at, ok := g.earliestHealthCheck(now); ok && at.Before(next) {
		next = at
	}
	if at, ok := g.nextWaiting(now); ok && at.Before(next) {
		next = at
	}
	if at, ok := g.nextNotice(); ok && at.Before(next) {
		next = at
	}
	if i := &g.introduction; i.tries > 0 && i.retryAt.Before(next) && g.awaitsIntroduction(now) {
		next = i.retryAt
	}
	return next
}
