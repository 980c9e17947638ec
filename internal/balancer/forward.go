package balancer

import (
	"net/netip"

	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
)

// Addresses maps service addresses to services.
type Addresses interface {
	// Service returns the number of the service with an IPv4 service address. ok is false if
	// no service has the address.
	Service(addr [4]byte) (number uint32, ok bool)
}

// Choice names the agents chosen for a new flow.
type Choice struct {
	Primary       netip.AddrPort
	Alternate     netip.AddrPort // another agent of the service; valid only if HasAlternate
	AlternateLoad byte           // estimated occupancy of Alternate
	HasAlternate  bool
}

// Chooser chooses agents for new flows.
type Chooser interface {
	// Choose fills c for a new flow of the service, given the connection ID that the
	// caller chose. Primary depends only on the ID and the member list. ok is false if the
	// service has no agent that accepts new flows.
	Choose(service uint32, id []byte, c *Choice) (ok bool)
}

// Verdict is the result of the forwarding decision for one packet from a caller.
type Verdict int

// The verdicts. With all but Forwarded the packet is dropped.
const (
	Forwarded     Verdict = iota
	DropMalformed         // not a QUIC packet, or a first packet that is too short
	DropNoService         // no catalogue entry has the address
	DropForeignID         // the connection ID belongs to another service, is forged, or was made with an expired key
	DropNoAgent           // the service has no agent that accepts new flows
	DropOversize          // larger than frame.MaxPacket
	verdictCount
)

func (v Verdict) String() string {
	return [...]string{"forwarded", "malformed", "no_service", "foreign_id", "no_agent", "oversize"}[v]
}

// Forwarder makes the forwarding decision for packets from callers. It keeps no state per
// flow, does not allocate per packet, and must be used by one goroutine only.
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
	traces    *flowTracer // nil if tracing is off
}

// NewForwarder returns a forwarder for the balancer with the internal address via.
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

// Forward returns the agent to which a caller's packet is forwarded. b holds the packet
// after frame.Len bytes, into which Forward writes the header if the verdict is Forwarded.
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

// route returns the agent for f.packet and sets the header fields that only first packets
// have.
func (f *Forwarder) route(service uint32) (netip.AddrPort, Verdict) {
	target, ok := f.ids.Read(f.packet.ID)
	if ok && target.Service == service {
		return target.Agent, Forwarded
	}
	// A later packet of a flow, whose ID names another service, is dropped and not placed
	// as a new flow. Otherwise this service would answer a flow opened with the other one.
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
