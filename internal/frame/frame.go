// Package frame is the header that balancers and agents put before a caller's
// datagram when they pass it to one another.
//
// The header is authenticated by a MAC under the fleet key; the caller's
// packet behind it is protected by QUIC itself.
package frame

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

// Kind tells the datagrams between the system's processes apart.
type Kind byte

// The kinds of datagram. The values leave QUIC's fixed bit (0x40) clear.
const (
	KindForward Kind = 1 // balancer or agent to agent, a caller's packet follows
	KindReturn  Kind = 2 // agent to balancer, a packet for the caller follows
	KindControl Kind = 3 // a sealed control message, see package seal
)

// Flags of a header.
const (
	// FlagHandedOn marks a first packet that one agent has already handed on.
	// Alternate and Load are then that agent and its occupancy. The receiver
	// keeps it or sends it back, so that no packet circles.
	FlagHandedOn byte = 1 << 0
	// FlagSampled marks the first packet of a flow whose path is traced.
	FlagSampled byte = 1 << 1
	// FlagFirst marks a packet routed by the caller's own connection ID.
	FlagFirst byte = 1 << 2
	// FlagReturned marks a handed-on packet that came back: the agent that it
	// was handed on to is the busier one. It is kept by whoever gets it.
	FlagReturned byte = 1 << 4
	// FlagAlternate says that Alternate and Load name another agent.
	FlagAlternate byte = 1 << 3
)

// Layout of the header, offsets in bytes.
const (
	// Len is the length of a header in bytes.
	Len = 48

	offKind      = 0
	offKey       = 1
	offFlags     = 2
	offLoad      = 3
	offService   = 4
	offCaller    = 8
	offAddress   = 14
	offVia       = 18
	offAlternate = 24
	offSeq       = 30
	offEcho      = 34
	offMAC       = 40 // the two bytes before it stay zero
	macLen       = Len - offMAC

	// MaxPacket is the largest caller packet that is passed on, in bytes. With
	// the header it stays below the 9,000 bytes of the read buffers.
	MaxPacket = 1500
)

// Header is what travels before a caller's packet.
type Header struct {
	Kind      Kind
	Flags     byte
	Load      byte           // return: the agent's occupancy; forward: the alternate's, as the balancer believes it
	Service   uint32         // service number
	Caller    netip.AddrPort // where the packet came from or goes to
	Address   netip.Addr     // the service address that the caller uses
	Via       netip.AddrPort // balancer that took the packet in; the way back
	Alternate netip.AddrPort // forward with FlagAlternate: another agent of the service
	// Seq counts the return datagrams from this agent to this balancer; Echo
	// on a forward datagram is the newest Seq that arrived. An agent whose
	// Seq is not echoed knows that its way to that balancer is cut although
	// the balancer's datagrams still arrive.
	Seq, Echo uint32
}

// Codec writes and checks headers. It is used by one goroutine at a time.
type Codec struct {
	key    byte
	blocks [256]cipher.Block
	mac    [aes.BlockSize]byte
	pad    [Len]byte
}

// NewCodec returns a codec that authenticates under the ring's first key and
// accepts all of its keys.
func NewCodec(ring fleetkey.Ring) (*Codec, error) {
	c := &Codec{key: ring[0].Number}
	for _, k := range ring {
		b, err := aes.NewCipher(k.Derive("frame", aes.BlockSize))
		if err != nil {
			return nil, err
		}
		c.blocks[k.Number] = b
	}
	return c, nil
}

// Put writes h into the first Len bytes of b.
func (c *Codec) Put(b []byte, h *Header) {
	_ = b[Len-1]
	b[offKind] = byte(h.Kind)
	b[offKey] = c.key
	b[offFlags] = h.Flags
	b[offLoad] = h.Load
	binary.BigEndian.PutUint32(b[offService:], h.Service)
	putAddr(b[offCaller:], h.Caller)
	ip := h.Address.As4()
	copy(b[offAddress:offVia], ip[:])
	putAddr(b[offVia:], h.Via)
	putAddr(b[offAlternate:], h.Alternate)
	binary.BigEndian.PutUint32(b[offSeq:], h.Seq)
	binary.BigEndian.PutUint32(b[offEcho:], h.Echo)
	clear(b[offEcho+4 : offMAC])
	c.sum(c.blocks[c.key], b)
	copy(b[offMAC:Len], c.mac[:macLen])
}

// Get reads the header at the start of b. ok is false when b is too short, is
// of another kind, or was not made under a fleet key.
func (c *Codec) Get(b []byte, h *Header) (ok bool) {
	if len(b) < Len {
		return false
	}
	block := c.blocks[b[offKey]]
	if block == nil {
		return false
	}
	c.sum(block, b)
	if subtle.ConstantTimeCompare(c.mac[:macLen], b[offMAC:Len]) != 1 {
		return false
	}
	h.Kind = Kind(b[offKind])
	h.Flags = b[offFlags]
	h.Load = b[offLoad]
	h.Service = binary.BigEndian.Uint32(b[offService:])
	h.Caller = getAddr(b[offCaller:])
	h.Address = netip.AddrFrom4([4]byte(b[offAddress:offVia]))
	h.Via = getAddr(b[offVia:])
	h.Alternate = getAddr(b[offAlternate:])
	h.Seq = binary.BigEndian.Uint32(b[offSeq:])
	h.Echo = binary.BigEndian.Uint32(b[offEcho:])
	return h.Kind == KindForward || h.Kind == KindReturn
}

// sum leaves the CBC-MAC of the header's fields in c.mac. All inputs have one
// length, for which CBC-MAC is a pseudorandom function.
func (c *Codec) sum(block cipher.Block, b []byte) {
	copy(c.pad[:offMAC], b[:offMAC])
	block.Encrypt(c.mac[:], c.pad[0:16])
	subtle.XORBytes(c.mac[:], c.mac[:], c.pad[16:32])
	block.Encrypt(c.mac[:], c.mac[:])
	subtle.XORBytes(c.mac[:], c.mac[:], c.pad[32:48])
	block.Encrypt(c.mac[:], c.mac[:])
}

func putAddr(b []byte, a netip.AddrPort) {
	if !a.IsValid() {
		clear(b[:6])
		return
	}
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func getAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
