package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

func peer(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7700)
}

// Guards against a control loop that hangs right after the balancer's start, so that it
// knows no agent: if a contact slot and the settings name the same balancer, sample must not
// draw until it has more different peers than exist.
func TestSampleEndsWithRepeatedSeeds(t *testing.T) {
	seeds := []netip.AddrPort{peer(1), peer(2), peer(2), peer(1), peer(3)}
	p := newPeerSet(peer(3), seeds, rand.New(rand.NewPCG(1, 1)))
	if got := p.sample(3); len(got) != 2 {
		t.Fatalf("sample returned %v, want 2 different peers", got)
	}
}

// Peers that failed or were removed must not be sampled, nor the balancer itself.
func TestPeerSetAddsAndRemoves(t *testing.T) {
	p := newPeerSet(peer(9), nil, rand.New(rand.NewPCG(1, 1)))
	for n := range byte(5) {
		p.set(peer(n), true)
	}
	p.set(peer(9), true)
	p.set(peer(1), false)
	p.set(peer(4), false)
	p.set(peer(4), false)
	got := p.sample(5)
	slices.SortFunc(got, netip.AddrPort.Compare)
	if want := []netip.AddrPort{peer(0), peer(2), peer(3)}; !slices.Equal(got, want) {
		t.Errorf("sample returned %v, want %v", got, want)
	}
}
