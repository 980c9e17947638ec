package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// peerSet is the set of balancers to which catalogue messages are sent: those of the member
// list, or the seeds while the member list contains no other balancer.
type peerSet struct {
	self  netip.AddrPort
	rng   *rand.Rand
	list  []netip.AddrPort
	index map[netip.AddrPort]int
	seeds []netip.AddrPort
}

func newPeerSet(self netip.AddrPort, seeds []netip.AddrPort, rng *rand.Rand) *peerSet {
	p := &peerSet{self: self, rng: rng, index: make(map[netip.AddrPort]int)}
	p.setSeeds(seeds)
	return p
}

// setSeeds replaces the seeds. Duplicates are removed: sample draws until it has different
// peers and would never return with too few of them.
func (p *peerSet) setSeeds(seeds []netip.AddrPort) {
	p.seeds = nil
	for _, a := range seeds {
		if a != p.self && !slices.Contains(p.seeds, a) {
			p.seeds = append(p.seeds, a)
		}
	}
}

// set adds a live balancer to the set, or removes one that is not live.
func (p *peerSet) set(a netip.AddrPort, live bool) {
	i, known := p.index[a]
	switch {
	case a == p.self || known == live:
	case live:
		p.index[a] = len(p.list)
		p.list = append(p.list, a)
	default:
		last := p.list[len(p.list)-1]
		p.list[i] = last
		p.index[last] = i
		p.list = p.list[:len(p.list)-1]
		delete(p.index, a)
	}
}

// sample returns up to n different random peers. Its cost does not depend on the number of
// peers as long as n is far below it.
func (p *peerSet) sample(n int) []netip.AddrPort {
	from := p.list
	if len(from) == 0 {
		from = p.seeds
	}
	n = min(n, len(from))
	out := make([]netip.AddrPort, 0, n)
	for len(out) < n {
		a := from[p.rng.IntN(len(from))]
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
