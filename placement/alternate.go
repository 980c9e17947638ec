package placement

import (
	"net/netip"
	"time"
)

// Alternate is the agent that a balancer names beside the primary.
type Alternate struct {
	Addr      netip.AddrPort
	Occupancy Occupancy // as the balancer believes it
}

// Alternate returns the agent believed least loaded among a few sampled others.
// ok is false when the service has no other agent.
func (t *Table) Alternate(cid []byte, primary int, load *Load, now time.Time) (alt Alternate, ok bool) {
	h := hashID(cid, ^t.seed)
	at := ticks(now)
	best, bestCost, bestOccupancy := None, 0, Full
	n := len(t.entries)
	for k := range min(n, int(t.samples)+1) {
		i := sample(h, k, n, int(t.samples))
		if i == primary {
			continue
		}
		o := load.believed(t.entries[i].addr(), at)
		cost := int(o)
		if !t.entries[i].local() {
			cost += int(t.remote)
		}
		if best == None || cost < bestCost {
			best, bestCost, bestOccupancy = i, cost, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// sample returns the k-th index of n for flow h: all indices in turn, from a
// random one on, when the table is small, else a random one.
func sample(h uint64, k, n, samples int) int {
	if n <= samples+1 {
		return (int(h>>33) + k) % n
	}
	return int(mix(h+uint64(k)*golden)>>33) % n
}
