package placement

import "math"

const (
	// rendezvousMaxAgents is the number of agents up to which all flows are
	// placed by weighted rendezvous hashing, ringMinAgents the number from which
	// all flows are placed by multi-probe consistent hashing. In between, the
	// share of flows on the ring grows with each agent, so that no single
	// joining agent moves all flows.
	rendezvousMaxAgents = 16
	ringMinAgents       = 64

	// ringProbes is the number of points on the ring that are probed per flow.
	ringProbes = 21
	// ringMaxSkips bounds the agents that one probe skips because of their
	// weight.
	ringMaxSkips = 16
)

// Primary returns the index of the primary agent for cid, or None for an empty
// table. Balancers with the same member list return the same agent.
func (t *Table) Primary(cid []byte) int {
	return t.primary(t.hash(cid))
}

func (t *Table) hash(cid []byte) uint64 { return hashID(cid, t.seed) }

func (t *Table) primary(h uint64) int {
	n := len(t.entries)
	switch {
	case n == 0:
		return None
	case n <= rendezvousMaxAgents:
		return t.rendezvous(h)
	case n < ringMinAgents && n <= ringThreshold(h):
		return t.rendezvous(h)
	}
	if i := t.ring(h, !t.equalWeights); i != None {
		return i
	}
	return t.ring(h, false)
}

// ringThreshold returns the table size above which the flow with hash h is
// placed on the ring. The two octaves between rendezvousMaxAgents and
// ringMinAgents are equally likely, so that one more agent moves at most 1/n of
// the flows by the change of method.
func ringThreshold(h uint64) int {
	x := mix(h + golden)
	octave := rendezvousMaxAgents << (x >> 63)
	return octave + int(x)&(octave-1)
}

// rendezvous selects an agent by weighted rendezvous hashing (highest random
// weight), exactly in proportion to the weights. With equal weights the
// logarithms are left out, because they don't change the selected agent.
func (t *Table) rendezvous(h uint64) int {
	if t.equalWeights {
		return t.rendezvousEqualWeights(h)
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

func (t *Table) rendezvousEqualWeights(h uint64) int {
	best, bestScore := None, uint64(0)
	for i := range t.entries {
		score := mix(h ^ t.entries[i].hash)
		if score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// ring selects by multi-probe consistent hashing: of the agents that follow the
// flow's probes on the ring, the one with the smallest distance to its probe. If
// weighted is set, an agent of reduced weight participates for a flow only if
// its hash with that flow is below its weight. ring returns None if no probe
// finds a participating agent, as can happen when nearly all agents have a low
// weight; the flow is then placed without regard to weights, because searching
// the whole ring is too slow for the packet path. A joining agent takes over
// flows but moves none between other agents.
func (t *Table) ring(h uint64, weighted bool) int {
	var starts [ringProbes]uint32
	for k := range starts {
		starts[k] = t.index[probe(h, k)>>t.shift] // independent loads, which the processor can overlap
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

// probe returns the k-th point on the ring that is probed for flow hash h.
func probe(h uint64, k int) uint64 {
	return mix(h + uint64(k+1)*golden)
}

// successor returns the index of the first agent at or after point p, searching
// from index start.
func (t *Table) successor(p uint64, start int) int {
	for i := start; i < len(t.entries); i++ {
		if t.entries[i].hash >= p {
			return i
		}
	}
	return 0
}

// participant returns the index of the first agent from i on that participates
// for flow hash h, or None if ringMaxSkips agents do not.
func (t *Table) participant(i int, h uint64) int {
	for range ringMaxSkips {
		if t.participates(i, h) {
			return i
		}
		i++
		if i == len(t.entries) {
			i = 0
		}
	}
	return None
}

// participates reports whether the agent with index i takes part for flow hash h, which
// it does with probability weight/maxWeight.
func (t *Table) participates(i int, h uint64) bool {
	e := t.entries[i]
	if e.weight() == t.maxWeight {
		return true
	}
	draw := mix(h^e.hash) >> 32 * uint64(t.maxWeight) >> 32
	return draw < uint64(e.weight())
}
