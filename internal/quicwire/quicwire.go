// Package quicwire parses the unencrypted, version-independent part of a QUIC packet
// (RFC 8999), and distinguishes first packets of a connection from others.
package quicwire

import "encoding/binary"

// Packet holds the unencrypted fields of a datagram's first QUIC packet.
type Packet struct {
	// ID is the destination connection ID, a slice of the datagram. For a
	// short header it has the length given to Parse.
	ID []byte
	// First is set if the caller may have chosen ID itself: for Initial and
	// 0-RTT packets, and for all long headers of unknown versions.
	First bool
}

const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
	minLongHeader = 7 // first byte, version, two lengths
	maxIDLen      = 20
	minCallerID   = 8 // RFC 9000, 7.2: a caller's first ID has at least 8 bytes

	// MinInitial is the minimum size of a datagram with an Initial packet
	// (RFC 9000, 14.1). Shorter ones are dropped: responses to packets with a
	// forged source address would make the fleet a traffic amplifier.
	MinInitial = 1200

	version1 = 0x00000001
	version2 = 0x6b3343cf
)

// Parse parses datagram b into p. ok is false for datagrams that no QUIC client sends:
// empty or truncated ones, version negotiation packets, and first packets shorter than
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

// callerMayChooseID reports whether a long header is of a packet type whose
// destination connection ID may be chosen by the caller.
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
