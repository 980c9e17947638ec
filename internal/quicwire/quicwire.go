// Package quicwire reads the part of a QUIC packet that is in the clear and
// the same in every version (RFC 8999), and tells first packets from others.
package quicwire

import "encoding/binary"

// Packet is what a datagram's first QUIC packet shows without any key.
type Packet struct {
	// ID is the destination connection ID, a part of the datagram. For a
	// short header it has the length given to Parse.
	ID []byte
	// First is set when the caller may have chosen ID itself: Initial and
	// 0-RTT packets, and all long headers of versions unknown here.
	First bool
}

const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
	minLongHeader = 7 // first byte, version, two lengths
	maxIDLen      = 20
	minCallerID   = 8 // RFC 9000, 7.2: a caller's first ID has at least 8 bytes

	// MinInitial is the least size of a datagram with an Initial packet
	// (RFC 9000, 14.1). A shorter one is dropped: answering it would let
	// forged sources have the fleet amplify their traffic.
	MinInitial = 1200

	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Parse reads datagram b. ok is false for what no QUIC caller sends: empty or
// truncated datagrams, a version negotiation packet, a first packet below
// MinInitial.
func Parse(b []byte, shortIDLen int, p *Packet) (ok bool) {
	if len(b) == 0 {
		return false
	}
	if b[0]&longHeaderBit != 0 {
		return parseLong(b, p)
	}
	if b[0]&fixedBit == 0 || len(b) < 1+shortIDLen {
		return false
	}
	p.ID = b[1 : 1+shortIDLen]
	p.First = false
	return true
}

func parseLong(b []byte, p *Packet) bool {
	if len(b) < minLongHeader {
		return false
	}
	version := binary.BigEndian.Uint32(b[1:5])
	n := int(b[5])
	if version == 0 || n > maxIDLen || len(b) < minLongHeader+n {
		return false
	}
	p.ID = b[6 : 6+n]
	p.First = callerMayChooseID(version, b[0])
	if p.First && (len(b) < MinInitial || n < minCallerID) {
		return false
	}
	return true
}

// callerMayChooseID reports whether a long header is of a type whose
// destination ID may be the caller's own choice.
func callerMayChooseID(version uint32, first byte) bool {
	kind := first >> 4 & 3
	switch version {
	case version1:
		return kind == 0 || kind == 1
	case version2: // RFC 9369, 3.2
		return kind == 1 || kind == 2
	}
	return true
}
