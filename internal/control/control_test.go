package control

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/hemlockscale/hemlockscale/internal/seal"
)

// maxDatagram is the maximum size of a control datagram in bytes that avoids IP
// fragmentation.
const maxDatagram = 1300

func voters(n int) VoterListResponse {
	a := VoterListResponse{Seq: 1 << 40, Complete: true, Serving: 1 << 20}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 250, byte(i)}), 7700)
		a.Live = append(a.Live, addr)
		a.Departed = append(a.Departed, DepartedVoter{Addr: addr, Age: 1 << 20, Left: true})
	}
	return a
}

// TestVoterListResponseFitsOneDatagram logs the sizes that docs/CAPACITY.md uses.
func TestVoterListResponseFitsOneDatagram(t *testing.T) {
	size := func(v any) int {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b) + seal.Overhead
	}
	full := size(voters(MaxVoters))
	three := voters(3)
	three.Departed = nil
	t.Logf("encrypted: request %d B, response with 3 live agents %d B, with %d live and as many departed agents %d B",
		size(VoterListRequest{Service: 1 << 20, Seq: 1 << 40}), size(three), MaxVoters, full)
	if full > maxDatagram {
		t.Errorf("encrypted response has %d bytes, want at most %d", full, maxDatagram)
	}
}
