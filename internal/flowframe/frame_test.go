package flowframe

import (
	"bytes"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
)

var sample = flow.Message{
	Kind: flow.Open, Reason: flow.ReasonBusy, State: flow.ServerDraining, Priority: 2, OnTime: 90 * time.Millisecond,
	Wait: time.Second, LastReceived: 30 * time.Millisecond, ReadAge: 1700, Occupancy: 99, Service: flow.IDOf("listing"),
	Revision: 1 << 40, Incarnation: 77, Zone: flow.ZoneID("a"),
	Key: flow.Key{Caller: [4]byte{1, 2, 3, 4}, CallerPort: 5, Service: [4]byte{6, 7, 8, 9}, ServicePort: 10},
}

func TestFrameRoundTrip(t *testing.T) {
	b := append(Append(nil, &sample), "packet"...)
	m, packet, ok := Decode(b)
	if !ok || m != sample || string(packet) != "packet" {
		t.Fatalf("got %+v, %q, %v", m, packet, ok)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, &sample))
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, packet, ok := Decode(b)
		if !ok {
			return
		}
		again, rest, ok := Decode(append(Append(nil, &m), packet...))
		if !ok || again != m || !bytes.Equal(rest, packet) {
			t.Fatalf("decoded %+v, after encoding and decoding again %+v", m, again)
		}
	})
}
