package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// peerSet is the balancers that the catalogue spreads to: those of the roster,
// or the seeds while the roster names none.
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

// setSeeds replaces the seeds. One that is given twice is kept once: sample
// looks for different peers and would never end.
func (p *peerSet) setSeeds(seeds []netip.AddrPort) {
	p.seeds = nil
	for _, a := range seeds {
		if a != p.self && !slices.Contains(p.seeds, a) {
			p.seeds = append(p.seeds, a)
		}
	}
}

// set takes in whether a balancer is live.
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

// sample returns up to n different peers at random. Its cost does not grow with
// the fleet while n is far below it.
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
