package placement

import (
	"net/netip"
	"time"
)

// DeciderOptions tunes a Decider. A zero field means the default beside it.
type DeciderOptions struct {
	// Margin is how much busier than the alternate's believed occupancy the
	// agent must be to hand a flow on; default DefaultMargin.
	Margin int
	// TTL is how long a decision is remembered; it must cover the Initial
	// packets of one handshake and their repeats; default DefaultTTL.
	TTL time.Duration
	// Decisions is the number of decisions remembered at most, 24 bytes each,
	// rounded up to a power of two; default DefaultDecisions.
	Decisions int
}

// Defaults of DeciderOptions.
const (
	DefaultMargin    = 5
	DefaultTTL       = 5 * time.Second
	DefaultDecisions = 2048
)

// decisionWays is the number of decisions that share one set.
const decisionWays = 4

// Decision is what an agent does with the Initial packets of one flow.
type Decision struct {
	HandOn bool
	To     netip.AddrPort // the agent to hand on to; set with HandOn
}

// remembered is one decision in 24 bytes.
type remembered struct {
	id    uint64 // hash of the connection ID
	until int64  // milliseconds of Unix time; 0 is an empty place
	to    uint64 // packed address to hand on to; 0 is keep
}

// Decider decides, at the primary agent, whether a new flow stays. It remembers
// each decision for a few seconds: the other Initial packets of the flow may
// come by balancers that name another alternate, and must follow the first.
// When more flows arrive within TTL than it can remember, the decision closest
// to its end is forgotten and counted in Forgotten. A forgotten flow whose
// handshake is still under way may be decided anew, which costs that handshake.
type Decider struct {
	// Forgotten counts decisions that were dropped before their time.
	Forgotten uint64

	seed   uint64
	margin int
	ttl    int64
	sets   [][decisionWays]remembered
}

// NewDecider returns a decider. The seed should be random, so that callers
// can't aim at one set.
func NewDecider(seed uint64, o DeciderOptions) *Decider {
	d := &Decider{seed: seed, margin: o.Margin, ttl: o.TTL.Milliseconds()}
	if d.margin == 0 {
		d.margin = DefaultMargin
	}
	if d.ttl == 0 {
		d.ttl = DefaultTTL.Milliseconds()
	}
	decisions := o.Decisions
	if decisions == 0 {
		decisions = DefaultDecisions
	}
	sets := 1
	for sets*decisionWays < decisions {
		sets *= 2
	}
	d.sets = make([][decisionWays]remembered, sets)
	return d
}

// Decide returns what to do with an Initial packet that carries cid. own is the
// agent's own occupancy; alt is the alternate in the packet's header, if any.
func (d *Decider) Decide(now time.Time, cid []byte, own Occupancy, alt Alternate, hasAlternate bool) Decision {
	id := hashID(cid, d.seed)
	at := now.UnixMilli()
	set := &d.sets[id&uint64(len(d.sets)-1)]
	oldest := &set[0]
	for i := range set {
		r := &set[i]
		if r.id == id && at < r.until {
			return r.decision()
		}
		if r.until < oldest.until {
			oldest = r
		}
	}
	if at < oldest.until {
		d.Forgotten++
	}
	*oldest = remembered{id: id, until: at + d.ttl}
	if hasAlternate && d.handsOn(own, alt.Occupancy) {
		oldest.to, _ = pack(alt.Addr)
	}
	return oldest.decision()
}

func (r *remembered) decision() Decision {
	if r.to == 0 {
		return Decision{}
	}
	return Decision{HandOn: true, To: unpack(r.to)}
}

func (d *Decider) handsOn(own, alternate Occupancy) bool {
	if alternate == Full {
		return false
	}
	return own == Full || int(own) >= int(alternate)+d.margin
}
