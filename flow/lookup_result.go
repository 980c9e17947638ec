package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// LookupResult is an agent's answer about a flow that a balancer looks up.
type LookupResult uint8

// The results. FlowNotHeld is not encoded: the server holds none of the flows of a
// Query that the answer does not name.
const (
	FlowNotHeld     LookupResult = iota
	FlowHeld                     // the server holds it
	FlowLost                     // the server held it and lost it
	FlowNeedsPacket              // only the server's reaction to a packet shows whether it holds the flow
	FlowUnknown                  // the agent does not know yet whether there is a server

	lastLookupResult = FlowUnknown
)

// Basis is the evidence from which an agent answers that its server does not hold a flow.
type Basis uint8

// The evidence.
const (
	BasisNoEntry   Basis = iota // the table is complete and has no entry of the flow's addresses and ports
	BasisOtherFlow              // the entry is of another flow with the same addresses and ports
	BasisEnded                  // the entry's server has ended
	BasisBounced                // the server sent a packet of the flow back
)

// bases are the names that Basis.String returns, as in logs.
var bases = [...]string{"no_entry", "other_flow", "server_ended", "bounced"}

// String returns the name of the evidence.
func (b Basis) String() string {
	if int(b) < len(bases) {
		return bases[b]
	}
	return "invalid"
}

// resultFor returns the result for a flow in an answer.
func resultFor(key Key, answer []byte) LookupResult {
	for ; len(answer) >= resultSize; answer = answer[resultSize:] {
		if k, _ := DecodeKey(answer); k == key && answer[KeySize] <= byte(lastLookupResult) {
			return LookupResult(answer[KeySize])
		}
	}
	return FlowNotHeld
}

// onQuery answers a balancer's Query.
func (g *Gate) onQuery(now time.Time, from netip.AddrPort, b []byte) {
	if len(b) < numberSize {
		return
	}
	g.queryAnswer = append(g.queryAnswer[:0], b[:numberSize]...)
	for b = b[numberSize:]; len(b) >= querySize; b = b[querySize:] {
		key, _ := DecodeKey(b)
		s := Segment{Key: key, Ack: binary.LittleEndian.Uint32(b[KeySize:]), HasAck: true}
		if r := g.lookup(now, &s); r != FlowNotHeld {
			g.queryAnswer = append(key.Append(g.queryAnswer), byte(r))
		}
	}
	g.reply(now, from, Message{Kind: QueryAnswer}, g.queryAnswer)
}

// lookup returns whether the server holds the flow of a packet of which the acknowledgement is
// known, but not the sequence number.
func (g *Gate) lookup(now time.Time, s *Segment) LookupResult {
	f := g.flows[s.Key]
	result, basis := g.answer(now, f, positions{ack: s.Ack, hasAck: s.HasAck})
	switch result {
	case FlowNotHeld:
		g.stats.NotHeld++
		if basis != BasisNoEntry {
			g.trace.NotHeld(now, s.Key, ReasonNotHeld, basis)
		}
	case FlowLost:
		f.noticeDue = false
		g.stats.Lost++
		g.trace.NotHeld(now, s.Key, ReasonLost, basis)
	}
	return result
}
