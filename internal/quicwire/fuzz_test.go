package quicwire

import "testing"

const testIDLen = 17

// FuzzParse checks that no datagram makes Parse panic or return an ID that is not in the
// datagram.
func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x40})
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 20}, make([]byte, 20)...))
	f.Add(append([]byte{0xc0, 0, 0, 0, 1, 8}, make([]byte, MinInitial)...))
	f.Add(append([]byte{0xd0, 0x6b, 0x33, 0x43, 0xcf, 8}, make([]byte, MinInitial)...))
	f.Add([]byte{0x80, 0, 0, 0, 0, 255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Packet
		if !Parse(b, testIDLen, &p) {
			return
		}
		long := b[0]&longHeaderBit != 0
		switch {
		case !long && (p.First || len(p.ID) != testIDLen):
			t.Fatalf("short header read as %+v", p)
		case long && len(p.ID) > maxIDLen:
			t.Fatalf("ID of %d bytes", len(p.ID))
		case p.First && (len(b) < MinInitial || len(p.ID) < minCallerID):
			t.Fatalf("first packet of %d bytes with ID of %d", len(b), len(p.ID))
		}
		offset := 1
		if long {
			offset = 6
		}
		if len(p.ID) > 0 && &p.ID[0] != &b[offset] {
			t.Fatal("ID is not the destination connection ID of the datagram")
		}
	})
}
