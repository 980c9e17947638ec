package flow

import (
	"net/netip"
	"time"
)

// replacedFlow is a flow that the server holds and in whose place a first packet from the same port
// was offered to the server. That packet may be a delayed one of an older flow, so the flow comes
// back into the table unless the server accepts the packet.
type replacedFlow struct {
	evidence
	state        gateState
	via          netip.AddrPort
	lastPacketAt time.Time
}

// toReplace returns the flow that another first packet would replace, nil if f is none. If f
// was not answered itself, this is the flow that it would have replaced.
func (f *gateFlow) toReplace() *replacedFlow {
	switch {
	case f == nil:
		return nil
	case f.confirmed() && !f.closed():
		return &replacedFlow{f.evidence, f.state, f.via, f.lastPacketAt}
	}
	return f.replaces
}

// restoreReplaced puts the flow back in whose place f was offered to the server, and reports
// whether there is one.
func (g *Gate) restoreReplaced(key Key, f *gateFlow) bool {
	r := f.replaces
	if r == nil {
		return false
	}
	g.endRequest(f)
	g.forgetRequest(f)
	g.forgetKept(key, f)
	*f = gateFlow{state: r.state, instance: f.instance, evidence: r.evidence, via: r.via, createdAt: f.createdAt, lastPacketAt: r.lastPacketAt}
	return true
}

// settleReplaced decides by a packet of the server which flow from the port it holds: the offered
// one if it has answered that one's first packet, the one before if the packet belongs to it.
func (g *Gate) settleReplaced(f *gateFlow, s *Segment) {
	switch {
	case s.Syn && f.opener == s.Ack-synLength:
		f.replaces = nil
	case !s.Rst && f.replaces.serverStream().match(s.Seq) == sameFlow:
		probe, probing, via := f.probe, f.probing, f.via
		g.restoreReplaced(s.Key, f)
		f.probe, f.probing = probe, probing
		if probing {
			f.via = via
		}
	}
}
