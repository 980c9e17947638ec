package balancer

import (
	"net/netip"

	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
)

// Addresses tells which service an address belongs to.
type Addresses interface {
	// Service returns the service number of an IPv4 service address.
	Service(addr [4]byte) (number uint32, ok bool)
}

// Choice is where a flow's first packet goes.
type Choice struct {
	Primary       netip.AddrPort
	Alternate     netip.AddrPort // another agent of the service, if HasAlternate
	AlternateLoad byte           // occupancy that the balancer believes it has
	HasAlternate  bool
}

// Chooser places new flows.
type Chooser interface {
	// Choose fills c for a flow of the service whose caller chose the
	// connection ID. Primary depends on the ID and the roster alone.
	Choose(service uint32, id []byte, c *Choice) (ok bool)
}

// Verdict is what became of one caller packet.
type Verdict int

// The verdicts. All but Forwarded count a dropped packet.
const (
	Forwarded     Verdict = iota
	DropMalformed         // no QUIC packet, or a first packet that is too short
	DropNoService         // no catalogue entry has the address
	DropForeignID         // the connection ID is of another service, forged, or under a key no longer valid
	DropNoAgent           // the service has no agent that takes new flows
	DropOversize          // larger than frame.MaxPacket
	verdictCount
)

func (v Verdict) String() string {
	return [...]string{"forwarded", "malformed", "no_service", "foreign_id", "no_agent", "oversize"}[v]
}

// Forwarder makes the forwarding decision for caller packets. It keeps no
// state per flow and allocates nothing per packet. One goroutine uses it.
type Forwarder struct {
	ids       *connid.Reader
	codec     *frame.Codec
	addresses Addresses
	chooser   Chooser
	sequences *sequenceTable
	via       netip.AddrPort
	packet    quicwire.Packet
	header    frame.Header
	choice    Choice
	traces    *flowTracer // nil when tracing is off
}

// NewForwarder returns a forwarder for a balancer with internal address via.
func NewForwarder(ring fleetkey.Ring, addresses Addresses, chooser Chooser, via netip.AddrPort) (*Forwarder, error) {
	ids, err := ring.ConnIDs()
	if err != nil {
		return nil, err
	}
	codec, err := frame.NewCodec(ring)
	if err != nil {
		return nil, err
	}
	return &Forwarder{ids: ids.Reader(), codec: codec, addresses: addresses, chooser: chooser, sequences: newSequenceTable(), via: via}, nil
}

// Forward decides where a caller's packet goes. b is the packet with frame.Len
// bytes of room before it, which Forward fills when the verdict is Forwarded.
func (f *Forwarder) Forward(b []byte, caller netip.AddrPort, address [4]byte) (agent netip.AddrPort, v Verdict) {
	packet := b[frame.Len:]
	if len(packet) > frame.MaxPacket {
		return agent, DropOversize
	}
	service, ok := f.addresses.Service(address)
	if !ok {
		return agent, DropNoService
	}
	if !quicwire.Parse(packet, connid.Len, &f.packet) {
		return agent, DropMalformed
	}
	h := &f.header
	h.Flags = 0
	agent, v = f.route(service)
	if v != Forwarded {
		return agent, v
	}
	h.Kind = frame.KindForward
	h.Service = service
	h.Caller = caller
	h.Address = netip.AddrFrom4(address)
	h.Via = f.via
	h.Echo = f.sequences.newest(agent)
	f.codec.Put(b, h)
	return agent, Forwarded
}

// route finds the agent for f.packet and sets the header fields that only
// first packets have.
func (f *Forwarder) route(service uint32) (netip.AddrPort, Verdict) {
	target, ok := f.ids.Read(f.packet.ID)
	if ok && target.Service == service {
		return target.Agent, Forwarded
	}
	// An ID that names another service is dropped and never placed anew: the
	// second service would answer a flow that was opened with the first.
	if !f.packet.First {
		return netip.AddrPort{}, DropForeignID
	}
	if !f.chooser.Choose(service, f.packet.ID, &f.choice) {
		return netip.AddrPort{}, DropNoAgent
	}
	f.header.Flags = frame.FlagFirst
	if f.choice.HasAlternate {
		f.header.Flags |= frame.FlagAlternate
		f.header.Alternate = f.choice.Alternate
		f.header.Load = f.choice.AlternateLoad
	}
	if f.traces.recordFirstPacket(f.packet.ID, service, f.choice.Primary) {
		f.header.Flags |= frame.FlagSampled
	}
	return f.choice.Primary, Forwarded
}
