package control

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/hemlockscale/hemlockscale/internal/seal"
)

// maxDatagram is what a control datagram may have, so that it is not
// fragmented.
const maxDatagram = 1300

func voters(n int) RosterAnswer {
	a := RosterAnswer{Seq: 1 << 40, Complete: true, Serving: 1 << 20}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 250, byte(i)}), 7700)
		a.Live = append(a.Live, addr)
		a.Gone = append(a.Gone, GoneVoter{Addr: addr, Age: 1 << 20, Left: true})
	}
	return a
}

// TestRosterAnswerFitsOneDatagram logs the sizes that docs/CAPACITY.md uses.
func TestRosterAnswerFitsOneDatagram(t *testing.T) {
	size := func(v any) int {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b) + seal.Overhead
	}
	full := size(voters(MaxVoters))
	three := voters(3)
	three.Gone = nil
	t.Logf("sealed: request %d B, answer with 3 live %d B, with %d live and as many gone %d B",
		size(RosterRequest{Service: 1 << 20, Seq: 1 << 40}), size(three), MaxVoters, full)
	if full > maxDatagram {
		t.Errorf("%d bytes, want at most %d", full, maxDatagram)
	}
}
