package flow

import (
	"net/netip"
	"time"
)

const (
	// noticeSpan is the time within which the balancers are notified of the idle flows that
	// a server has lost. The callers' new flows are spread over it too, if all of them send
	// their next requests at once.
	noticeSpan = 1800 * time.Millisecond
	// noticeDelay is the time until the first notice. Packets that the balancer forwarded
	// before it receives a notice have been answered with ReasonLost by then; see onLostNotice.
	noticeDelay = 100 * time.Millisecond
	// noticeInterval is the time between two groups of notices, and maxNoticesPerTick bounds
	// one group: 4,096 flows are 23 for each interval, and a process that was paused sends at
	// most about three times as many at once.
	noticeInterval    = 10 * time.Millisecond
	maxNoticesPerTick = 64
	// absentChecksNeeded is the number of status checks in a row that find no server after
	// which its flows count as lost. A single refused connection may belong to a server that
	// opens its port again; a packet or heartbeat starts the count again.
	absentChecksNeeded = 2
)

// lostNotice is a planned lost flow notice.
type lostNotice struct {
	key Key
	at  time.Time
}

// loseFlow records that the instance that held an open flow has ended.
func (g *Gate) loseFlow(key Key, f *gateFlow) {
	f.noticeDue = f.idle()
	g.endRequest(f)
	g.forgetRequest(f)
	g.forgetKept(key, f)
	f.state = gateLost
}

// idle reports whether neither end of an open flow has closed it and no request is in
// progress, and whether its caller can be reached by a reset. The caller of a request in
// progress repeats its packets, which are answered with ReasonLost.
func (f *gateFlow) idle() bool {
	return !f.requestActive && !f.answerPending && f.kept == nil && !f.callerClosed && !f.serverClosed &&
		f.via.IsValid() && f.resetSeq() != 0
}

// resetSeq returns the number that the caller of an idle flow last acknowledged, 0 if it is
// not known. The server's first packet takes one number.
func (f *gateFlow) resetSeq() uint32 {
	if f.hasServerFirst && f.serverEnd == f.serverFirst {
		return f.serverFirst + 1
	}
	return f.serverEnd
}

// recordAbsence records whether a status check found that no server runs. After
// absentChecksNeeded of them in a row the open flows are lost.
func (g *Gate) recordAbsence(now time.Time, c StatusCheckResult) {
	v := &g.server
	switch {
	case c.Answered:
		v.absentChecks = 0
	case c.Absent:
		v.absentChecks++
	}
	if v.absentChecks < absentChecksNeeded {
		return
	}
	g.loseFlows(now)
}

// loseFlows records that the server which held the flows in the table has ended. Whether it
// or another one held a flow that is not open was not known, so such flows are not lost.
func (g *Gate) loseFlows(now time.Time) {
	for key, f := range g.flows {
		switch f.state {
		case gateOpen:
			g.loseFlow(key, f)
		case gateOffered, gateAnswered, gateProbed:
			if g.restoreReplaced(key, f) && f.state == gateOpen {
				g.loseFlow(key, f)
				continue
			}
			g.removeFlow(key, RemovedEnded)
		}
	}
	g.planNotices(now)
}

// awaitsEnd reports whether the server has deregistered, and status checks have to show when
// it has ended, because it held flows.
func (g *Gate) awaitsEnd() bool {
	v := &g.server
	return v.ended && v.absentChecks < absentChecksNeeded && len(g.flows) > 0 && !g.stopping
}

// planNotices spreads the notices of the flows that were just lost evenly over noticeSpan.
func (g *Gate) planNotices(now time.Time) {
	var keys []Key
	for key, f := range g.flows {
		if f.state == gateLost && f.noticeDue && !f.noticePlanned {
			f.noticePlanned = true
			keys = append(keys, key)
		}
	}
	for i, key := range keys {
		at := now.Add(noticeDelay + noticeSpan*time.Duration(i)/time.Duration(len(keys)))
		g.lostNotices.push(lostNotice{key, at})
	}
}

// sendNotices notifies balancers of flows that the server has lost, so that their idle
// callers are reset before they send their next requests: such a request would fail, and one
// that must not be repeated would fail for good. Callers that have sent a packet meanwhile
// learn it from its answer. No capacity is reserved for the others, as a new flow is opened only with the
// next request.
func (g *Gate) sendNotices(now time.Time) {
	if at, ok := g.nextNotice(); !ok || at.After(now) {
		return
	}
	for sent := 0; sent < maxNoticesPerTick && g.lostNotices.len() > 0 && !g.lostNotices.first().at.After(now); {
		key := g.lostNotices.pop().key
		f := g.flows[key]
		if f == nil || f.state != gateLost || !f.noticeDue {
			continue
		}
		f.noticeDue = false
		g.stats.LostNotices++
		g.reply(now, f.via, Message{Kind: NotHeld, Reason: ReasonLost, Key: key, ResetSeq: f.resetSeq()}, nil)
		sent++
	}
	g.noticesFrom = now.Add(noticeInterval)
}

// nextNotice returns when the next notice is due. ok is false if there is none.
func (g *Gate) nextNotice() (at time.Time, ok bool) {
	if g.lostNotices.len() == 0 {
		return time.Time{}, false
	}
	return later(g.lostNotices.first().at, g.noticesFrom), true
}

// onLostNotice handles an agent's notice that the instance which held an idle flow has ended.
// The caller is reset if the flow is still placed there. If a packet of the flow was forwarded
// in the last moment, the agent has returned it with ReasonLost, or does so next, and the
// caller is notified when there is capacity for its request.
func (d *Director) onLostNotice(now time.Time, e *entry, from netip.AddrPort, m *Message) {
	if e.state != entryPlaced || e.agent != from || now.Sub(e.lastPacketAt) < noticeDelay/2 {
		return
	}
	d.removeEntry(m.Key)
	d.reset(now, m.Key, m.ResetSeq, ReasonLost)
}
