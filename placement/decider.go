package placement

import (
	"net/netip"
	"time"
)

const (
	// handOnMargin is how much busier than the alternate the primary must be.
	handOnMargin = 16
	// decisionTTL covers the Initial packets of one handshake and their repeats.
	decisionTTL = 5 * time.Second
	// decisionSets and decisionWays bound the remembered decisions.
	decisionSets = 512
	decisionWays = 4
)

// Decision is what an agent does with the Initial packets of one flow.
type Decision struct {
	HandOn bool
	To     netip.AddrPort // the agent to hand on to; set with HandOn
}

type remembered struct {
	id    uint64
	until time.Time
	made  Decision
}

// Decider decides, at the primary agent, whether a new flow stays. It remembers
// each decision for a few seconds: the other Initial packets of the flow may
// come by balancers that name another alternate, and must follow the first.
// At most decisionSets*decisionWays decisions are remembered; beyond that the
// one closest to its end is forgotten and counted in Forgotten. A forgotten
// flow whose handshake is still under way may be decided anew, which costs a
// wasted handshake.
type Decider struct {
	// Forgotten counts decisions that were dropped before their time.
	Forgotten uint64

	seed uint64
	sets [decisionSets][decisionWays]remembered
}

// NewDecider returns a decider. The seed should be random, so that callers
// can't aim at one set.
func NewDecider(seed uint64) *Decider {
	return &Decider{seed: seed}
}

// Decide returns what to do with an Initial packet that carries cid. own is the
// agent's own occupancy; alt is the alternate in the packet's header, if any.
func (d *Decider) Decide(now time.Time, cid []byte, own Occupancy, alt Alternate, hasAlternate bool) Decision {
	id := hashID(cid, d.seed)
	set := &d.sets[id%decisionSets]
	oldest := &set[0]
	for i := range set {
		r := &set[i]
		if r.id == id && now.Before(r.until) {
			return r.made
		}
		if r.until.Before(oldest.until) {
			oldest = r
		}
	}
	if now.Before(oldest.until) {
		d.Forgotten++
	}
	*oldest = remembered{id: id, until: now.Add(decisionTTL), made: decide(own, alt, hasAlternate)}
	return oldest.made
}

func decide(own Occupancy, alt Alternate, hasAlternate bool) Decision {
	keep := Decision{}
	if !hasAlternate || alt.Occupancy == Full {
		return keep
	}
	if own != Full && int(own) < int(alt.Occupancy)+handOnMargin {
		return keep
	}
	return Decision{HandOn: true, To: alt.Addr}
}
