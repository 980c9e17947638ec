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
	return t.alternate(t.hash(cid), primary, load, ticks(now))
}

// Choice is what a balancer puts into the header of an Initial packet.
type Choice struct {
	Primary      netip.AddrPort
	Alternate    Alternate
	HasAlternate bool
}

// Choose returns the primary and the alternate for cid. ok is false when the
// service has no agent that takes new flows.
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

// maxNearest bounds the agents that Pick and AppendRanked look at.
const maxNearest = 16

// Pick returns the agent believed least loaded among the first Config.Samples
// and one more in the flow's rendezvous order, passing over those that skip
// names: agents that have refused this flow already. ok is false when none is
// left. It is for callers that offer a flow to one agent after the other and
// need no primary. Whoever knows about the same agents finds a flow placed so
// among the first of the same order, see AppendRanked.
func (t *Table) Pick(id uint64, load *Load, now time.Time, skip func(netip.AddrPort) bool) (alt Alternate, ok bool) {
	var order [maxNearest]int
	best, bestCost, bestOccupancy := None, 0, Full
	at := ticks(now)
	for _, i := range t.nearest(id, order[:min(int(t.samples)+1, maxNearest)]) {
		if skip(t.Addr(i)) {
			continue
		}
		o, worth := load.believed(t.entries[i].addr(), at)
		cost := int(o) + t.handicap(i, worth)
		if best == None || cost < bestCost {
			best, bestCost, bestOccupancy = i, cost, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// AppendRanked appends the first n agents of the flow's rendezvous order to list.
func (t *Table) AppendRanked(id uint64, n int, list []netip.AddrPort) []netip.AddrPort {
	var order [maxNearest]int
	for _, i := range t.nearest(id, order[:min(n, maxNearest)]) {
		list = append(list, t.Addr(i))
	}
	return list
}

// nearest fills order with the indices of the agents with the highest
// rendezvous scores, best first, and returns the part that was filled.
func (t *Table) nearest(id uint64, order []int) []int {
	var scores [maxNearest]uint64
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
		o, worth := load.believed(t.entries[i].addr(), at)
		cost := int(o) + t.handicap(i, worth)
		if best == None || cost < bestCost {
			best, bestCost, bestOccupancy = i, cost, o
		}
	}
	if best == None {
		return Alternate{}, false
	}
	return Alternate{Addr: t.Addr(best), Occupancy: bestOccupancy}, true
}

// rampShift turns lacking weight into occupancy: an agent that has just begun
// its cold start counts as three to four requests busier than it is. Without
// this the ramp would be undone: its idle slots make it the alternate of all.
const rampShift = 3

// handicap returns what counts against agent i besides its occupancy. The zone
// counts as far as the belief is worth something: among agents that nothing is
// known about, only the balancer's own zone would be named, however few agents
// it has.
func (t *Table) handicap(i int, worth int64) int {
	e := t.entries[i]
	cost := int(FullWeight-e.weight()) >> rampShift
	if !e.local() {
		cost += int(int64(t.remote) * worth / worthUnit)
	}
	return cost
}

// alternateSalt parts the hashes that sample alternates from those that choose
// the primary.
const alternateSalt = 0xd6e8feb86659fd93

// sample returns the k-th index of n for flow h: all indices in turn, from a
// random one on, when the table is small, else a random one.
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

// scale maps a hash evenly to 0 to n-1 without a division.
func scale(h uint64, n int) int {
	return int((h >> 32) * uint64(n) >> 32)
}
