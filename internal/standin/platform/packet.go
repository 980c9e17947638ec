package platform

import (
	"encoding/binary"
	"net/netip"
)

// Header is the header of a packet, as callers and servers write it, and its data.
type Header struct {
	Src, Dst netip.AddrPort
	Seq, Ack uint32
	Flags    byte
	Data     []byte
}

// Flags of a packet.
const (
	FlagFin     = 1
	FlagRst     = 2
	FlagAck     = 4
	FlagBounced = 16
	FlagSyn     = 32
)

const (
	headerSize = 32
	sumKey     = 0x9e3779b9 // simulates the checksum key that only callers and servers know
)

// Encode returns the packet with its checksum.
func (h *Header) Encode() []byte {
	b := make([]byte, headerSize, headerSize+len(h.Data))
	le := binary.LittleEndian
	le.PutUint32(b[4:], h.Seq)
	le.PutUint32(b[8:], h.Ack)
	b[12] = h.Flags
	le.PutUint16(b[14:], h.Dst.Port())
	le.PutUint32(b[16:], addrToUint32(h.Src.Addr()))
	le.PutUint32(b[20:], addrToUint32(h.Dst.Addr()))
	le.PutUint16(b[24:], h.Src.Port())
	le.PutUint16(b[26:], uint16(len(h.Data)))
	b = append(b, h.Data...)
	le.PutUint32(b, sum(b))
	return b
}

// Decode decodes a packet. ok is false if it is malformed; genuine is whether its checksum
// is valid.
func Decode(b []byte) (h Header, genuine, ok bool) {
	le := binary.LittleEndian
	if len(b) < headerSize || headerSize+int(le.Uint16(b[26:])) != len(b) {
		return h, false, false
	}
	h = Header{
		Src: netip.AddrPortFrom(uint32ToAddr(le.Uint32(b[16:])), le.Uint16(b[24:])),
		Dst: netip.AddrPortFrom(uint32ToAddr(le.Uint32(b[20:])), le.Uint16(b[14:])),
		Seq: le.Uint32(b[4:]), Ack: le.Uint32(b[8:]), Flags: b[12],
		Data: append([]byte(nil), b[headerSize:]...),
	}
	return h, le.Uint32(b) == sum(b), true
}

// sum returns the checksum of a packet. It covers all fields except those that the system
// may change.
func sum(b []byte) uint32 {
	s := uint32(sumKey)
	for i, c := range b {
		switch {
		case i < 4 || i == 13 || i >= 28 && i < 32:
			continue
		case i == 12:
			c &^= FlagBounced
		}
		s = (s ^ uint32(c)) * 16777619
	}
	return s
}

func addrToUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func uint32ToAddr(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
