package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/waiting"
)

const (
	// openBeforeRefusal is how long before its refusal a waiting flow is opened at the
	// server: the caller gives up the attempt at the time of the refusal, and its answer
	// may need a copy of the first packet.
	openBeforeRefusal = 250 * time.Millisecond
	// lateOpeningRetry is the time until the next attempt to open a flow for which there
	// was no space.
	lateOpeningRetry = 50 * time.Millisecond
	// maxKeptPackets and maxKeptBytes bound the packets that are kept of a flow, and the
	// bytes that are kept of all flows.
	maxKeptPackets = 8
	maxKeptBytes   = 1 << 20
	// newRequestPause is the time without a packet of a flow after which the caller's data
	// counts as a new request. Data that follows sooner may belong to a request or a download
	// that is under way, and would stall it if it were kept.
	newRequestPause = 30 * time.Millisecond
	// keptPerSlot limits the kept requests, as a multiple of the server's slots.
	keptPerSlot = 16
)

// requestLimits are the limits of a flow's requests, as its balancer gave them in Open.
type requestLimits struct {
	target, timeout time.Duration
	priority        uint8
}

func limitsOf(m *Message) requestLimits { return requestLimits{m.Target, m.Timeout, m.Priority} }

// keptRequest is a request that is kept at the agent until it may reach the server, or the
// expectation of one on a flow that was opened late. Its first packet adds it to the queue.
type keptRequest struct {
	inTimeUntil time.Time // zero: late
	answerBy    time.Time // until when an answer is of use
	timeliness  waiting.Timeliness
	packets     []keptPacket
	size        int // of the packets, bytes
}

type keptPacket struct {
	segment Segment
	packet  []byte
}

// planLateOpening sets when a waiting flow is opened late. It is never opened late without a
// timeout, or if the caller gives up the request no later than the attempt.
func (g *Gate) planLateOpening(now time.Time, e *waitEntry) {
	timeout := e.Value.limits.timeout
	if timeout <= 0 {
		return
	}
	e.AnswerBy = now.Add(timeout)
	if e.AnswerBy.Add(-g.margin()).After(e.RefuseAt) {
		e.AlarmAt = e.RefuseAt.Add(-openBeforeRefusal)
	}
}

// openLate opens a flow at the server that still waits shortly before its caller gives up
// the attempt, and has its request kept. Otherwise the caller would come back as a new flow that looks in
// time, take the place of one that is, and have used up an attempt. A cold-limited server
// gets no such flow, because its limit counts first packets.
func (g *Gate) openLate(now time.Time, e *waitEntry) {
	key := e.Key.Key
	if !g.mayKeep(now) {
		return
	}
	if !g.hasKeptSpace() || g.flows[key] == nil && !g.makeSpace(now) {
		g.waiting.queue.SetAlarm(e, now.Add(lateOpeningRetry))
		return
	}
	g.unqueue(e.Key)
	f := g.openAtServer(now, e.Value.via, key, e.Value.opener, e.Value.packet)
	f.limits = e.Value.limits
	g.startKeeping(f, keptRequest{inTimeUntil: e.InTimeUntil, answerBy: e.AnswerBy, timeliness: e.Timeliness})
	g.countRequest(now)
	g.stats.OpenedLate++
}

// mayKeep reports whether requests are kept: the server is ready and not limited as cold.
func (g *Gate) mayKeep(now time.Time) bool {
	return g.State(now) == ServerReady && !g.coldLimited(now)
}

func (g *Gate) hasKeptSpace() bool { return g.waiting.kept < keptPerSlot*g.server.slots }

// startKeeping makes keep hold back the packets of a flow's next request.
func (g *Gate) startKeeping(f *gateFlow, k keptRequest) {
	f.kept = &k
	g.waiting.kept++
}

// startsRequest reports whether a caller's packet starts a request that may be kept: it has
// new data on an open flow that has carried a request before, is quiet, and has no request in
// progress and no answer under way, and the flow's limits are known.
func (g *Gate) startsRequest(now time.Time, f *gateFlow, s *Segment, quiet time.Duration) bool {
	switch {
	case f.kept != nil || f.state != gateOpen || f.limits.target <= 0 || f.limits.timeout <= 0:
		return false
	case f.requestActive || f.answerPending || f.callerClosed || f.serverClosed:
		return false
	case s.Data == 0 || s.Rst || !f.hasCallerEnd || int32(s.Seq-f.callerEnd) < 0:
		return false
	case quiet < newRequestPause || int32(s.Ack-f.serverEnd) < 0:
		return false
	}
	waits := g.waiting.queue.Len() > 0 || !g.hasCapacityFor(now, waitingRequest)
	return waits && g.hasKeptSpace() && g.mayKeep(now)
}

// newKeptRequest returns an empty kept request for one that a caller sends on an open flow now.
func newKeptRequest(now time.Time, l requestLimits) keptRequest {
	return keptRequest{inTimeUntil: now.Add(l.target - handshakeTime), answerBy: now.Add(l.timeout)}
}

// keep keeps a packet of the caller if it belongs to a request that has to wait, and reports
// whether the packet must not be sent on now. Repeated packets of a kept request are
// dropped, as are those beyond the bounds, which the caller repeats.
func (g *Gate) keep(now time.Time, f *gateFlow, s *Segment, packet []byte) bool {
	k := f.kept
	switch {
	case k == nil:
		return false
	case s.Rst:
		g.forgetKept(s.Key, f)
		return false
	case s.Data == 0 && !s.Fin:
		return false // an acknowledgement
	case len(k.packets) == 0 && (s.Data == 0 || !g.enqueueRequest(now, f, s.Key, len(packet))):
		g.forgetKept(s.Key, f)
		return false
	case k.has(s):
		return true
	case len(k.packets) == maxKeptPackets || g.waiting.keptBytes+len(packet) > maxKeptBytes:
		g.stats.Dropped++
		return true
	}
	k.packets = append(k.packets, keptPacket{*s, append([]byte(nil), packet...)})
	k.size += len(packet)
	g.waiting.keptBytes += len(packet)
	return true
}

// has reports whether a packet repeats a kept one.
func (k *keptRequest) has(s *Segment) bool {
	for i := range k.packets {
		if p := &k.packets[i].segment; p.Seq == s.Seq && p.Data >= s.Data && (p.Fin || !s.Fin) {
			return true
		}
	}
	return false
}

// enqueueRequest adds the request of a flow whose first packet has the given size to the
// queue. It returns false if the request is to be sent on at once: it need not wait, or
// there is no space.
func (g *Gate) enqueueRequest(now time.Time, f *gateFlow, key Key, size int) bool {
	k := f.kept
	e := &waitEntry{
		Key: waitKey{key, waitingRequest}, Priority: f.limits.priority, Source: netip.AddrFrom4(key.Caller), InTimeUntil: k.inTimeUntil,
		RefuseAt: k.answerBy.Add(-g.margin()), Timeliness: k.timeliness, Required: true,
	}
	if !g.mayKeep(now) || !e.RefuseAt.After(now) || !g.requestWaits(now, e) || g.waiting.keptBytes+size > maxKeptBytes {
		return false
	}
	if !g.wait(now, e, g.queueLimit(now, e.RefuseAt)) {
		return false
	}
	g.stats.RequestsKept++
	return true
}

// requestWaits reports whether a request on an open flow has to wait.
func (g *Gate) requestWaits(now time.Time, e *waitEntry) bool {
	return !g.hasCapacityFor(now, waitingRequest) || g.waiting.queue.Len() > 0 && g.waiting.queue.Precedes(now, e)
}

// release sends the kept request of a flow to the server. The flow must not be in the queue
// any more.
func (g *Gate) release(now time.Time, f *gateFlow) {
	k := g.stopKeeping(f)
	for i := range k.packets {
		g.recordCallerPacket(now, f, &k.packets[i].segment)
		g.sendToServer(k.packets[i].packet)
	}
}

// releaseAll sends all kept requests to the server.
func (g *Gate) releaseAll(now time.Time) {
	for _, e := range g.waitingEntries(waitingRequest) {
		g.releaseOutOfTurn(now, e.Key.Key, g.flows[e.Key.Key])
	}
}

// releaseOutOfTurn sends the kept request of a flow, if there is one, to the server out of turn.
func (g *Gate) releaseOutOfTurn(now time.Time, key Key, f *gateFlow) {
	if f.kept != nil {
		g.unqueue(waitKey{key, waitingRequest})
		g.release(now, f)
	}
}

// forgetKept drops the kept request of a flow, if there is one, and removes it from the queue.
func (g *Gate) forgetKept(key Key, f *gateFlow) {
	if f.kept != nil {
		g.unqueue(waitKey{key, waitingRequest})
		g.stopKeeping(f)
	}
}

// expireKept drops a kept request that has expired and left the queue: its caller has given
// it up. Packets that the caller repeats all the same are sent on.
func (g *Gate) expireKept(key Key) {
	f := g.flows[key]
	g.stopKeeping(f)
	f.limits = requestLimits{}
}

// stopKeeping takes a flow's kept request out of the counts and returns it.
func (g *Gate) stopKeeping(f *gateFlow) *keptRequest {
	k := f.kept
	f.kept = nil
	g.waiting.kept--
	g.waiting.keptBytes -= k.size
	return k
}
