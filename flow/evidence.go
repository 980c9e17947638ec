package flow

import "time"

// An agent finds the entry of a packet by its addresses and ports, but callers reuse their ports:
// the packet may belong to an older or a newer flow, which another server may hold. So what an
// agent says of a packet's flow rests on the sequence numbers that it has seen in both directions.
// The rule: a packet belongs to the entry's flow if what it acknowledges is in the range that the
// server is known to have sent, and it does not if either of its numbers is outside the range
// that is possible. What was seen of a flow is only a lower bound of what its ends have sent
// before this process saw it: it proves nothing about higher numbers, and the server's reaction
// to the packet has to decide; see Gate.answer and Gate.sendProbe.

const (
	// ackSlack is the number of bytes by which a caller's acknowledgement may exceed the
	// data seen from the server: SYN and FIN each count as a byte.
	ackSlack = 4
	// maxInFlight is the number of bytes that an end of a flow sends at most ahead of the
	// other end's acknowledgement: 16 packets of 1,200 bytes.
	maxInFlight = 16 * 1200
	// resetWindow is the distance from what a caller last acknowledged within which it
	// accepts a reset, in bytes. An answer about a packet that is older than that can't end
	// the flow.
	resetWindow = 4 * maxInFlight
)

// match says whether a packet belongs to the flow of an entry.
type match uint8

const (
	undecided match = iota
	sameFlow
	otherFlow
)

// bound says how far beyond the last byte seen an end of a flow may have sent.
type bound uint8

const (
	unbounded     bound = iota // any distance: at most its first packet was seen, which an end repeats
	windowBounded              // maxInFlight: a packet from the middle of the flow was seen
	exact                      // not at all: all that it sent passed through this process
)

// evidence is what an agent has seen of a flow's sequence numbers.
type evidence struct {
	opener         uint32 // number of the caller's first packet
	hasOpener      bool
	serverFirst    uint32 // number of the server's first packet
	serverEnd      uint32 // after the last byte that the server sent
	hasServerFirst bool
	hasServerEnd   bool   // serverEnd is known although the server's first packet is not
	serverBound    bound  // how far beyond serverEnd the server may have sent
	callerAt       uint32 // after the last byte that the server acknowledged or was sent
	hasCallerAt    bool
	callerBound    bound // how far beyond callerAt the caller may have sent
}

// stream is what an agent knows of the bytes that one end of a flow has sent.
type stream struct {
	start, end       uint32 // number of the first packet, and after the last byte seen
	hasStart, hasEnd bool
	bound            bound
}

// match returns whether n can be a number of the stream. Without a start, numbers are accepted
// as far back as a caller accepts a reset for them.
func (t stream) match(n uint32) match {
	if !t.hasEnd {
		if t.bound == exact {
			return otherFlow // nothing was sent
		}
		return undecided
	}
	first, ahead := t.end-resetWindow, uint32(ackSlack)
	if t.hasStart && int32(t.end-t.start) >= 0 { // not so far back that the numbers have wrapped
		first = t.start
	}
	if t.bound == windowBounded {
		ahead += maxInFlight
	}
	switch {
	case n-first <= t.end-first+ahead:
		return sameFlow
	case t.bound == unbounded && int32(n-first) >= 0:
		return undecided
	}
	return otherFlow
}

// near reports whether two packets of a caller may belong to the same flow: they are no further
// apart than a caller accepts a reset.
func (s *Segment) near(other *Segment) bool {
	return nearNumber(s.Seq, other.Seq) && (!s.HasAck || !other.HasAck || nearNumber(s.Ack, other.Ack))
}

func nearNumber(a, b uint32) bool { return a-b+resetWindow <= 2*resetWindow }

// positions are the sequence numbers of a caller's packet. A Query names the acknowledgement only.
type positions struct {
	seq, ack       uint32
	hasSeq, hasAck bool
}

func positionsOf(s *Segment) positions { return positions{s.Seq, s.Ack, true, s.HasAck} }

// match returns whether a caller's packet belongs to the entry's flow.
func (v *evidence) match(p positions) match {
	server, caller := undecided, undecided
	if p.hasAck {
		server = v.serverStream().match(p.ack)
	}
	if p.hasSeq {
		caller = v.callerStream().match(p.seq)
	}
	switch {
	case server == otherFlow || caller == otherFlow:
		return otherFlow
	case server == sameFlow || !p.hasAck && caller == sameFlow:
		return sameFlow
	}
	return undecided
}

func (v *evidence) serverStream() stream {
	return stream{v.serverFirst, v.serverEnd, v.hasServerFirst, v.hasServerFirst || v.hasServerEnd, v.serverBound}
}

func (v *evidence) callerStream() stream {
	return stream{v.opener, v.callerAt, v.hasOpener, v.hasCallerAt, v.callerBound}
}

// recordOpener records the sequence number of the caller's first packet. complete is whether
// neither end can have sent anything of the flow before.
func (v *evidence) recordOpener(seq uint32, complete bool) {
	v.opener, v.hasOpener = seq, true
	v.callerAt, v.hasCallerAt = seq+synLength, true
	if complete {
		v.callerBound, v.serverBound = windowBounded, exact
	}
}

// opensSameFlow reports whether a first packet is another copy of the one that opened the
// flow. Callers reuse their ports: a first packet with another sequence number opens a new
// flow, which is subject to the same checks as any other.
func (v *evidence) opensSameFlow(s *Segment) bool { return v.hasOpener && v.opener == s.Seq }

// openedBy reports whether the flow may have been opened by a first packet with the given number.
func (v *evidence) openedBy(seq uint32) bool {
	if v.hasOpener {
		return v.opener == seq
	}
	return v.callerStream().match(seq) != otherFlow
}

// advanceServerEnd moves serverEnd to the end of a packet's data. fresh is whether that is
// beyond all that was received; overtook is whether data before the packet has not arrived.
func (v *evidence) advanceServerEnd(s *Segment) (fresh, overtook bool) {
	end := s.Seq + uint32(s.Data)
	beyond := int32(end-v.serverEnd) > 0
	fresh = !v.hasServerFirst || beyond
	overtook = fresh && v.hasServerFirst && int32(s.Seq-v.serverEnd) > synLength
	if !s.Rst && (beyond || !v.hasServerFirst && !v.hasServerEnd) {
		v.serverEnd, v.hasServerEnd = end, true
	}
	return fresh, overtook
}

// recordPositions records the positions in both directions that a packet of the server shows. A
// first packet and a reset may be repeated or sent at any position.
func (v *evidence) recordPositions(s *Segment) {
	if s.Syn || s.Rst {
		return
	}
	v.serverBound = max(v.serverBound, windowBounded)
	if s.HasAck {
		v.recordCallerPosition(s.Ack)
	}
}

// recordCallerPosition records that the caller has sent up to the given number.
func (v *evidence) recordCallerPosition(end uint32) {
	if !v.hasCallerAt || int32(end-v.callerAt) > 0 {
		v.callerAt, v.hasCallerAt = end, true
	}
	v.callerBound = max(v.callerBound, windowBounded)
}

// resetBy reports whether a reset of the server is one of the entry's flow: it refuses the flow's
// first packet, or has a number of what the server has sent.
func (f *gateFlow) resetBy(s *Segment) bool {
	if f.state == gateOffered {
		return s.HasAck && s.Ack == f.opener+synLength
	}
	return f.confirmed() && f.serverStream().match(s.Seq) == sameFlow
}

// confirmed reports whether the server has shown that it holds the entry's flow. It holds no other
// flow from the same port then: another one would have replaced it.
func (f *gateFlow) confirmed() bool { return f.state == gateAnswered || f.state == gateOpen }

// answer returns what may be said of the flow of a packet with the given positions, and the basis
// of an answer that the server does not hold it. f is the entry with the packet's addresses and
// ports, nil if there is none.
func (g *Gate) answer(now time.Time, f *gateFlow, p positions) (LookupResult, Basis) {
	basis, belongs := BasisNoEntry, undecided
	if f != nil {
		basis, belongs = BasisOtherFlow, f.match(p)
	}
	switch {
	case belongs == sameFlow && f.state == gateLost:
		return FlowLost, BasisEnded
	case belongs == sameFlow:
		return FlowHeld, 0
	case belongs == otherFlow && f.confirmed():
		return FlowNotHeld, basis
	case f != nil && (f.confirmed() || f.replaces != nil && f.replaces.match(p) != otherFlow):
		return FlowNeedsPacket, 0
	case g.complete(now):
		return FlowNotHeld, basis
	case f != nil && f.state == gateOffered:
		return FlowUnknown, 0 // until the server reacts to the first packet
	case !g.server.responded:
		// Without a server the operating system may answer a packet with a reset, which ends
		// the flow that another server holds.
		return FlowUnknown, 0
	}
	return FlowNeedsPacket, 0
}
