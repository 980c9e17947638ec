package placement

import (
	"net/netip"
	"time"
)

// Alternate is the second agent that a balancer chooses for a flow, besides the
// primary.
type Alternate struct {
	Addr      netip.AddrPort
	Occupancy Occupancy // as estimated by the balancer
}

// Alternate returns the agent with the lowest estimated load in a sample of the
// agents, without the one at index primary. ok is false when the service has no
// other agent.
func (t *Table) Alternate(cid []byte, primary int, load *Load, now time.Time) (alt Alternate, ok bool) {
	return t.alternate(t.hash(cid), primary, load, ticks(now))
}

// Choice is the pair of agents that a balancer writes into the header of an
// Initial packet.
type Choice struct {
	Primary      netip.AddrPort
	Alternate    Alternate
	HasAlternate bool
}

// Choose returns the primary and the alternate for cid. ok is false when the
// service has no agent that accepts new flows.
func (t *Table) Choose(cid []byte, load *Load, now time.Time) (c Choice, ok bool) {
	h := t.hash(cid)
	primary := t.primary(h)
	if primary == None {
		return Choice{}, false
	}
	c.Primary = t.Addr(primary)
	c.Alternate, c.HasAlternate = t.alternate(h, primary, load, ticks(now))
	return c, true
}

// maxRanked is the maximum number of agents that Pick and AppendRanked consider.
const maxRanked = 16

// Pick returns the agent with the lowest estimated load among the
// Config.Samples+1 agents that rank highest for the flow by rendezvous score.
// Agents for which skip returns true, such as those that have already refused
// the flow, are left out. ok is false when no agent is left. Pick is used where
// a flow is offered to one agent after another and no primary is needed. A
// balancer with the same agents can locate a flow placed this way among the
// first results of AppendRanked.
func (t *Table) Pick(id uint64, load *Load, now time.Time, skip func(netip.AddrPort) bool) (alt Alternate, ok bool) {
	var order [maxRanked]int
	best, bestCost, bestOccupancy := None, 0, Full
	at := ticks(now)
	for _, i := range t.ranked(id, order[:min(int(t.samples)+1, maxRanked)]) {
		if skip(t.Addr(i)) {
			continue
		}
		o, confidence := load.estimate(t.entries[i].addr(), at)
		cost := int(o) + t.occupancyPenalty(i, confidence)
		if best == None || cost < bestCost {
			best, bestCost, bestOccupancy = i, cost, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// AppendRanked appends to list the addresses of the n agents, at most 16, that
// rank highest for the flow by rendezvous score, best first.
func (t *Table) AppendRanked(id uint64, n int, list []netip.AddrPort) []netip.AddrPort {
	var order [maxRanked]int
	for _, i := range t.ranked(id, order[:min(n, maxRanked)]) {
		list = append(list, t.Addr(i))
	}
	return list
}

// Top returns the agent that ranks highest for the flow by rendezvous score, and its score.
// Scores of tables with the same Config.Seed can be compared. ok is false for an empty
// table.
func (t *Table) Top(id uint64) (addr netip.AddrPort, score uint64, ok bool) {
	var order [1]int
	if len(t.ranked(id, order[:])) == 0 {
		return netip.AddrPort{}, 0, false
	}
	e := t.entries[order[0]]
	return unpack(e.addr()), mix(mix(id^t.seed) ^ e.hash), true
}

// ranked fills order with the indices of the agents with the highest
// rendezvous scores, best first, and returns the filled part.
func (t *Table) ranked(id uint64, order []int) []int {
	var scores [maxRanked]uint64
	h := mix(id ^ t.seed)
	filled := 0
	for i := range t.entries {
		score := mix(h ^ t.entries[i].hash)
		if filled == len(order) && score <= scores[filled-1] {
			continue
		}
		if filled < len(order) {
			filled++
		}
		at := filled - 1
		for at > 0 && scores[at-1] < score {
			scores[at], order[at] = scores[at-1], order[at-1]
			at--
		}
		scores[at], order[at] = score, i
	}
	return order[:filled]
}

func (t *Table) alternate(h uint64, primary int, load *Load, at uint64) (alt Alternate, ok bool) {
	h = mix(h + alternateSalt)
	best, bestCost, bestOccupancy := None, 0, Full
	n := len(t.entries)
	for k := range min(n, int(t.samples)+1) {
		i := sample(h, k, n, int(t.samples))
		if i == primary {
			continue
		}
		o, confidence := load.estimate(t.entries[i].addr(), at)
		cost := int(o) + t.occupancyPenalty(i, confidence)
		if best == None || cost < bestCost {
			best, bestCost, bestOccupancy = i, cost, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// rampPenaltyShift converts missing weight into occupancy: an agent at the
// beginning of its cold start counts as three to four requests busier than it
// is. Otherwise its idle slots would make every balancer choose it as the
// alternate, which would defeat the ramp.
const rampPenaltyShift = 3

// occupancyPenalty returns what is added to the occupancy of agent i when
// agents are compared: a part for its missing weight and, in another zone, the
// remote penalty scaled by the confidence in the estimate. Without the scaling,
// only agents of the balancer's own zone would be chosen while no occupancy is
// known, however few agents that zone has.
func (t *Table) occupancyPenalty(i int, confidence int64) int {
	e := t.entries[i]
	cost := int(FullWeight-e.weight()) >> rampPenaltyShift
	if !e.local() {
		cost += int(int64(t.remotePenalty) * confidence / fullConfidence)
	}
	return cost
}

// alternateSalt makes the hashes that sample alternates independent of those
// that choose the primary.
const alternateSalt = 0xd6e8feb86659fd93

// sample returns the index below n of the k-th sampled agent for flow hash h.
// If n is at most samples+1, successive k yield all indices, starting at a
// random one; otherwise each k yields a random index.
func sample(h uint64, k, n, samples int) int {
	if n > samples+1 {
		return scale(mix(h+uint64(k)*golden), n)
	}
	i := scale(h, n) + k
	if i >= n {
		i -= n
	}
	return i
}

// scale maps a hash uniformly to the range 0 to n-1 without a division.
func scale(h uint64, n int) int {
	return int((h >> 32) * uint64(n) >> 32)
}
