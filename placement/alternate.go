package placement

import (
	"net/netip"
	"time"
)

const (
	// alternateSamples is how many other agents a balancer compares.
	alternateSamples = 6
	// unknownOccupancy is assumed of an agent that this balancer knows nothing
	// recent about: it loses to an idle agent and wins over a busy one.
	unknownOccupancy Occupancy = 80
	// beliefAge is the age from which a report counts as unknown.
	beliefAge = 3 * time.Second
)

// Alternate is the agent that a balancer names beside the primary.
type Alternate struct {
	Addr      netip.AddrPort
	Occupancy Occupancy // as the balancer believes it
}

// Alternate returns the agent believed least loaded among a few sampled others.
// ok is false when the service has no other agent.
func (t *Table) Alternate(cid []byte, primary int, load *Load, now time.Time) (alt Alternate, ok bool) {
	n := len(t.entries)
	if n == 0 || n == 1 && primary == 0 {
		return Alternate{}, false
	}
	h := hashID(cid, t.seed)
	at := ticks(now)
	best, bestOccupancy := None, Full
	for k := range min(n, alternateSamples+1) {
		i := sample(h, k, n)
		if i == primary {
			continue
		}
		o := t.believed(i, load, at)
		if best == None || o < bestOccupancy {
			best, bestOccupancy = i, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// sample returns the k-th of n indices for flow h, without repeats while the
// table is small.
func sample(h uint64, k, n int) int {
	start := int(mix(h-golden) >> 33)
	if n <= alternateSamples+1 {
		return (start + k) % n
	}
	return int(mix(h+uint64(k+3)*golden)>>33) % n
}

func (t *Table) believed(i int, load *Load, now uint64) Occupancy {
	o, age, ok := load.get(t.entries[i].addr(), now)
	if !ok || age > beliefAge {
		return unknownOccupancy
	}
	return o
}
