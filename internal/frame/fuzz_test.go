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

// FuzzGet checks that Get accepts only headers that are authenticated under a fleet key,
// and that encoding a decoded header gives the same bytes.
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
			t.Fatalf("% x was decoded, and is encoded as % x", b[:Len], again)
		}
	})
}

// FuzzFlip checks that a header with any byte changed is rejected.
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

// TestHeaderUnderOtherKeyIsDropped checks that a header under a key that is not a fleet
// key is rejected, even if the key has the same number.
func TestHeaderUnderOtherKeyIsDropped(t *testing.T) {
	b := make([]byte, Len)
	h := testHeader()
	newTestCodec(t, "1:ffffffffffffffffffffffffffffffff").Put(b, &h)
	if newTestCodec(t, testKey).Get(b, &h) {
		t.Fatal("accepted")
	}
}
