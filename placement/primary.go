package placement

import "math"

const (
	// ringFrom is the number of agents up to which every flow is placed by
	// weighted rendezvous, ringOnly the number from which every flow is placed
	// by multi-probe consistent hashing. In between the share of the ring grows
	// with each agent, so that no single agent's joining moves all flows.
	ringFrom = 16
	ringOnly = 64

	// ringProbes is the number of places on the ring that a flow tries.
	ringProbes = 21
	// ringSkips bounds the agents that one probe passes over for their weight.
	ringSkips = 16
)

// Primary returns the index of the agent that cid and the roster decide, the
// same on every balancer with the same roster, or None for an empty table.
func (t *Table) Primary(cid []byte) int {
	return t.primary(t.hash(cid))
}

func (t *Table) hash(cid []byte) uint64 { return hashID(cid, t.seed) }

func (t *Table) primary(h uint64) int {
	n := len(t.entries)
	switch {
	case n == 0:
		return None
	case n <= ringFrom:
		return t.rendezvous(h)
	case n < ringOnly && n <= ringThreshold(h):
		return t.rendezvous(h)
	}
	if i := t.ring(h, !t.even); i != None {
		return i
	}
	return t.ring(h, false)
}

// ringThreshold returns the table size above which the flow with hash h is
// placed on the ring: in either octave between ringFrom and ringOnly with equal
// chance, so that one more agent moves at most 1/n of the flows for this reason.
func ringThreshold(h uint64) int {
	x := mix(h + golden)
	octave := ringFrom << (x >> 63)
	return octave + int(x)&(octave-1)
}

// rendezvous picks by highest random weight, exactly in proportion to the
// weights. With equal weights the logarithms can be left out: they don't change
// which agent wins.
func (t *Table) rendezvous(h uint64) int {
	if t.even {
		return t.rendezvousEven(h)
	}
	best, bestCost, bestWeight := None, uint64(1), uint64(0)
	for i, e := range t.entries {
		cost, weight := negLog(mix(h^e.hash)), uint64(e.weight())
		if cost*bestWeight <= bestCost*weight {
			best, bestCost, bestWeight = i, cost, weight
		}
	}
	return best
}

func (t *Table) rendezvousEven(h uint64) int {
	best, bestScore := None, uint64(0)
	for i := range t.entries {
		score := mix(h ^ t.entries[i].hash)
		if score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// ring picks the agent that follows one of the probes most closely. An agent of
// reduced weight takes part for a flow only if its own hash with that flow is
// below its weight; when nearly all agents have a low weight and no probe finds
// one that takes part, the flow is placed without regard to weights, because
// the packet path can't afford to search the whole ring. A joining agent takes
// flows, and moves none between others.
func (t *Table) ring(h uint64, weighted bool) int {
	var starts [ringProbes]uint32
	for k := range starts {
		starts[k] = t.index[probe(h, k)>>t.shift] // reads that don't wait for each other
	}
	best, bestGap := None, uint64(math.MaxUint64)
	for k, start := range starts {
		p := probe(h, k)
		i := t.successor(p, int(start))
		if weighted {
			i = t.participant(i, h)
		}
		if i == None {
			continue
		}
		if gap := t.entries[i].hash - p; gap < bestGap {
			best, bestGap = i, gap
		}
	}
	return best
}

// probe returns the k-th place on the ring that flow h tries.
func probe(h uint64, k int) uint64 {
	return mix(h + uint64(k+1)*golden)
}

// successor returns the first agent at or after p, searching from start.
func (t *Table) successor(p uint64, start int) int {
	for i := start; i < len(t.entries); i++ {
		if t.entries[i].hash >= p {
			return i
		}
	}
	return 0
}

// participant returns the first agent from i on that takes part for flow h.
func (t *Table) participant(i int, h uint64) int {
	for range ringSkips {
		if t.takesPart(i, h) {
			return i
		}
		i++
		if i == len(t.entries) {
			i = 0
		}
	}
	return None
}

func (t *Table) takesPart(i int, h uint64) bool {
	e := t.entries[i]
	if e.weight() == t.top {
		return true
	}
	draw := mix(h^e.hash) >> 32 * uint64(t.top) >> 32
	return draw < uint64(e.weight())
}
