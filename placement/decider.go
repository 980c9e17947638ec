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

// repeatAfter is the age of a decision from which another Initial packet is a
// repeat: a caller that got no answer repeats after about a second (RFC 9002,
// 6.2.2), one that got an answer uses the agent's connection ID from then on.
const repeatAfter = 900 * time.Millisecond

// decisionWays is the number of decisions that share one set.
const decisionWays = 4

// Decision is what an agent does with the Initial packets of one flow.
type Decision struct {
	Forward bool
	To      netip.AddrPort // the agent to hand on to; set with Forward
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
// to its end is forgotten and counted in Evicted. A forgotten flow whose
// handshake is still under way may be decided anew, which costs that handshake.
//
// The agent that a flow is handed on to decides by the same rule, with the
// primary as its alternate: belief is stale, and the two agents' own counts
// settle which is busier. The primary keeps what comes back ([Decider.Keep]).
type Decider struct {
	// Evicted counts decisions that were dropped before their time.
	Evicted uint64
	// Unanswered counts flows handed on that came back as a repeat.
	Unanswered uint64

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
// agent's own occupancy. At the primary, alt is the alternate in the packet's
// header, if any; at the agent that it was handed on to, alt is the primary.
func (d *Decider) Decide(now time.Time, cid []byte, own Occupancy, alt Alternate, hasAlternate bool) Decision {
	at := now.UnixMilli()
	r, known := d.find(cid, at)
	if known {
		d.dropUnanswered(r, at)
		return r.decision()
	}
	if hasAlternate && d.handsOn(own, alt.Occupancy) {
		r.to, _ = pack(alt.Addr)
	}
	return r.decision()
}

// Keep notes that the flow stays: the agent that it was handed on to sent it
// back.
func (d *Decider) Keep(now time.Time, cid []byte) {
	r, _ := d.find(cid, now.UnixMilli())
	r.to = 0
}

// find returns the place of the decision on cid, and whether it was made. A new
// place takes the one closest to its end.
func (d *Decider) find(cid []byte, at int64) (r *remembered, known bool) {
	id := hashID(cid, d.seed)
	set := &d.sets[id&uint64(len(d.sets)-1)]
	oldest := &set[0]
	for i := range set {
		r := &set[i]
		if r.id == id && at < r.until {
			return r, true
		}
		if r.until < oldest.until {
			oldest = r
		}
	}
	if at < oldest.until {
		d.Evicted++
	}
	*oldest = remembered{id: id, until: at + d.ttl}
	return oldest, false
}

// dropUnanswered keeps a flow that was handed on when its Initial is repeated.
// The agent it was handed on to may have died a moment ago: without this every
// repeat would follow it, and the caller would wait until the decision ends.
func (d *Decider) dropUnanswered(r *remembered, at int64) {
	made := r.until - d.ttl
	if r.to != 0 && at >= made+repeatAfter.Milliseconds() {
		r.to = 0
		d.Unanswered++
	}
}

func (r *remembered) decision() Decision {
	if r.to == 0 {
		return Decision{}
	}
	return Decision{Forward: true, To: unpack(r.to)}
}

func (d *Decider) handsOn(own, alternate Occupancy) bool {
	if alternate == Full {
		return false
	}
	return own == Full || int(own) >= int(alternate)+d.margin
}
