package frame

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

const testKey = "1:000102030405060708090a0b0c0d0e0f"

func newTestCodec(t testing.TB, key string) *Codec {
	t.Helper()
	ring, err := fleetkey.Parse(key)
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewCodec(ring)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testHeader() Header {
	return Header{
		Kind: KindForward, Flags: FlagFirst | FlagAlternate, Load: 7, Service: 3,
		Caller:    netip.MustParseAddrPort("192.0.2.1:5000"),
		Address:   netip.MustParseAddr("198.51.100.1"),
		Via:       netip.MustParseAddrPort("10.0.0.1:7700"),
		Alternate: netip.MustParseAddrPort("10.0.0.2:7700"),
		Seq:       1, Echo: 1 << 31,
	}
}

// FuzzGet: what was not made under a fleet key is no header. Only what Put
// wrote is read, and it is read back as it was written.
func FuzzGet(f *testing.F) {
	c := newTestCodec(f, testKey)
	valid := make([]byte, Len)
	h := testHeader()
	c.Put(valid, &h)
	f.Add(valid)
	f.Add(valid[:Len-1])
	f.Add(make([]byte, Len))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h Header
		if !c.Get(b, &h) {
			return
		}
		again := make([]byte, Len)
		c.Put(again, &h)
		if !bytes.Equal(again, b[:Len]) {
			t.Fatalf("% x was read, and is written as % x", b[:Len], again)
		}
	})
}

// FuzzFlip: a header with any part changed on the way is dropped.
func FuzzFlip(f *testing.F) {
	c := newTestCodec(f, testKey)
	f.Add(uint8(0), uint8(1))
	f.Add(uint8(offService), uint8(0x80))
	f.Add(uint8(Len-1), uint8(0xff))
	f.Fuzz(func(t *testing.T, at, bits uint8) {
		b := make([]byte, Len)
		h := testHeader()
		c.Put(b, &h)
		b[int(at)%Len] ^= bits
		if got := c.Get(b, &h); got != (bits == 0) {
			t.Fatalf("byte %d changed by %x: accepted %v", int(at)%Len, bits, got)
		}
	})
}

// TestStrangersHeader: a header under a key that is not the fleet's is dropped,
// also when the key has the same number.
func TestStrangersHeader(t *testing.T) {
	b := make([]byte, Len)
	h := testHeader()
	newTestCodec(t, "1:ffffffffffffffffffffffffffffffff").Put(b, &h)
	if newTestCodec(t, testKey).Get(b, &h) {
		t.Fatal("accepted")
	}
}
