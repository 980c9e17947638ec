package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// LookupResult is what an agent says of a flow that it was asked for.
type LookupResult uint8

// The findings. FlowNotHeld is not written: all flows of a Query that its answer does
// not name are not at the server.
const (
	FlowNotHeld     LookupResult = iota
	FlowHeld                     // the server holds it
	FlowLost                     // the server held it and has lost it
	FlowNeedsPacket              // only the server can tell, and only from a packet
	FlowUnknown                  // not even that there is a server is known yet

	lastLookupResult = FlowUnknown
)

// resultFor returns what an answer says of a flow.
func resultFor(key Key, answer []byte) LookupResult {
	for ; len(answer) >= answerSize; answer = answer[answerSize:] {
		if k, _ := DecodeKey(answer); k == key && answer[KeySize] <= byte(lastLookupResult) {
			return LookupResult(answer[KeySize])
		}
	}
	return FlowNotHeld
}

// onQuery answers a balancer's question for flows.
func (g *Gate) onQuery(now time.Time, from netip.AddrPort, b []byte) {
	if len(b) < numberSize {
		return
	}
	g.queryAnswer = append(g.queryAnswer[:0], b[:numberSize]...)
	for b = b[numberSize:]; len(b) >= querySize; b = b[querySize:] {
		key, _ := DecodeKey(b)
		s := Segment{Key: key, Ack: binary.LittleEndian.Uint32(b[KeySize:]), HasAck: true}
		if f := g.lookup(now, &s); f != FlowNotHeld {
			g.queryAnswer = append(key.Append(g.queryAnswer), byte(f))
		}
	}
	g.reply(now, from, Message{Kind: QueryAnswer}, g.queryAnswer)
}

// lookup returns what is known of the flow that a packet belongs to.
func (g *Gate) lookup(now time.Time, s *Segment) LookupResult {
	f := g.flows[s.Key]
	switch {
	case f == nil && g.complete(now):
		g.stats.NotHeld++
		return FlowNotHeld
	case f == nil && !g.server.responded:
		return FlowUnknown
	case f == nil:
		return FlowNeedsPacket
	case f.state == gateLost:
		g.stats.Lost++
		return FlowLost
	case f.state == gateProbed:
		return FlowNeedsPacket
	case !f.matches(s):
		g.stats.NotHeld++
		return FlowNotHeld
	}
	return FlowHeld
}
