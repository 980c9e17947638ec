// Package frame encodes the header that balancers and agents prepend to a caller's
// datagram when they forward it to each other.
//
// The header is authenticated with a MAC under the fleet key; the caller's
// packet after it is protected by QUIC itself.
package frame

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

// Kind is the type of a datagram between the system's processes.
type Kind byte

// The kinds of datagrams. The values leave QUIC's fixed bit (0x40) clear.
const (
	KindForward Kind = 1 // from a balancer or an agent to an agent; a packet from the caller follows
	KindReturn  Kind = 2 // from an agent to a balancer; a packet to the caller follows
	KindControl Kind = 3 // an encrypted control message, see package seal
)

// Flags of a header.
const (
	// FlagForwarded marks a first packet that an agent has forwarded. Alternate
	// and Load are then that agent and its occupancy. The receiver accepts the
	// packet or returns it, but does not forward it again, which prevents loops.
	FlagForwarded byte = 1 << 0
	// FlagSampled marks the first packet of a flow whose path is traced.
	FlagSampled byte = 1 << 1
	// FlagFirst marks a packet routed by the caller's own connection ID.
	FlagFirst byte = 1 << 2
	// FlagReturned marks a forwarded packet that the second agent has returned,
	// because it is busier than the first. The receiver must accept it.
	FlagReturned byte = 1 << 4
	// FlagAlternate is set if Alternate and Load describe another agent.
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
	offMAC       = 40 // the two bytes before it are zero
	macLen       = Len - offMAC

	// MaxPacket is the maximum size of a caller's packet that is forwarded, in bytes.
	// With the header it fits into the read buffers of 9,000 bytes.
	MaxPacket = 1500
)

// Header is the header before a caller's packet.
type Header struct {
	Kind      Kind
	Flags     byte
	Load      byte           // return: the agent's occupancy; forward: the alternate's, as known to the balancer
	Service   uint32         // service number
	Caller    netip.AddrPort // the source (forward) or the destination (return) of the packet
	Address   netip.Addr     // the service address that the caller uses
	Via       netip.AddrPort // balancer that received the packet from the caller, and returns the responses
	Alternate netip.AddrPort // forward with FlagAlternate: another agent of the service
	// Seq numbers the return datagrams from an agent to a balancer. Echo in a
	// forward datagram is the newest Seq that the balancer has received, so that
	// the agent detects that its return path to the balancer is broken although
	// datagrams from the balancer still arrive.
	Seq, Echo uint32
}

// Codec encodes and decodes headers. It is not safe for concurrent use.
type Codec struct {
	key    byte
	blocks [256]cipher.Block
	mac    [aes.BlockSize]byte
	pad    [Len]byte
}

// NewCodec returns a codec that authenticates headers with the ring's first key and
// accepts headers under any of its keys.
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

// Put encodes h into the first Len bytes of b. It panics if b is shorter.
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

// Get decodes the header at the start of b. ok is false if b is too short, is
// of another kind, or is not authenticated under a fleet key.
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

// sum stores the CBC-MAC of the header's fields in c.mac. All inputs have the same
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
