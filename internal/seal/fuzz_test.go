package seal

import (
	"bytes"
	"testing"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

func newTestBox(t testing.TB, key string) *Box {
	t.Helper()
	ring, err := fleetkey.Parse(key)
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewBox(ring)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// FuzzOpen checks that a control datagram that is modified, truncated or forged is
// rejected.
func FuzzOpen(f *testing.F) {
	const key = "1:000102030405060708090a0b0c0d0e0f"
	box := newTestBox(f, key)
	f.Add([]byte("message"), uint16(0), uint8(0), uint16(0))
	f.Add([]byte("message"), uint16(2), uint8(1), uint16(0))
	f.Add([]byte("message"), uint16(30), uint8(0x80), uint16(0))
	f.Add([]byte("message"), uint16(0), uint8(0), uint16(5))
	f.Add([]byte{}, uint16(0), uint8(0), uint16(31))
	f.Fuzz(func(t *testing.T, plain []byte, at uint16, bits uint8, cut uint16) {
		if topic, _, ok := box.Open(plain); ok {
			t.Fatalf("opened a forged datagram, topic %d", topic)
		}
		d := box.Seal(TopicMembership, plain)
		d[int(at)%len(d)] ^= bits
		d = d[:len(d)-int(cut)%(len(d)+1)]
		intact := bits == 0 && len(d) == Overhead+len(plain)
		topic, got, ok := box.Open(d)
		if ok != intact {
			t.Fatalf("opened %v, want %v", ok, intact)
		}
		if ok && (topic != TopicMembership || !bytes.Equal(got, plain)) {
			t.Fatalf("opened as %d, %q", topic, got)
		}
	})
}
