package flow

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Finding is what an agent says of a flow that it was asked for.
type Finding uint8

// The findings. NotHere is not written: all flows of a Query that its answer does
// not name are not at the server.
const (
	NotHere     Finding = iota
	Here                // the server holds it
	Ended               // the server held it and has lost it
	NeedsPacket         // only the server can tell, and only from a packet
	CannotTell          // not even that there is a server is known yet

	lastFinding = CannotTell
)

// findingOf returns what an answer says of a flow.
func findingOf(key Key, answer []byte) Finding {
	for ; len(answer) >= answerSize; answer = answer[answerSize:] {
		if k, _ := DecodeKey(answer); k == key && answer[KeySize] <= byte(lastFinding) {
			return Finding(answer[KeySize])
		}
	}
	return NotHere
}

// onQuery answers a balancer's question for flows.
func (g *Gate) onQuery(now time.Time, from netip.AddrPort, b []byte) {
	if len(b) < numberSize {
		return
	}
	g.answer = append(g.answer[:0], b[:numberSize]...)
	for b = b[numberSize:]; len(b) >= querySize; b = b[querySize:] {
		key, _ := DecodeKey(b)
		s := Segment{Key: key, Ack: binary.LittleEndian.Uint32(b[KeySize:]), HasAck: true}
		if f := g.find(now, &s); f != NotHere {
			g.answer = append(key.Append(g.answer), byte(f))
		}
	}
	g.reply(now, from, Message{Kind: QueryAnswer}, g.answer)
}

// find returns what is known of the flow that a packet belongs to.
func (g *Gate) find(now time.Time, s *Segment) Finding {
	f := g.flows[s.Key]
	switch {
	case f == nil && g.sure(now):
		g.stats.NotHeld++
		return NotHere
	case f == nil && !g.server.alive:
		return CannotTell
	case f == nil:
		return NeedsPacket
	case f.state == gateLost:
		g.stats.Lost++
		return Ended
	case f.state == gateProbed:
		return NeedsPacket
	case !f.matches(s):
		g.stats.NotHeld++
		return NotHere
	}
	return Here
}
