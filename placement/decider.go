package placement

import (
	"net/netip"
	"time"
)

// DeciderOptions configures a Decider. A zero field means its default.
type DeciderOptions struct {
	// Margin is the difference between the agent's own occupancy and the
	// estimated occupancy of the alternate from which a flow is forwarded;
	// default DefaultMargin.
	Margin int
	// TTL is how long a decision is kept; it must cover the Initial packets of
	// one handshake and their retransmissions; default DefaultTTL.
	TTL time.Duration
	// Decisions is the maximum number of decisions kept, of 24 bytes each,
	// rounded up to a power of two; default DefaultDecisions.
	Decisions int
}

// Defaults of DeciderOptions.
const (
	DefaultMargin    = 5
	DefaultTTL       = 5 * time.Second
	DefaultDecisions = 2048
)

// retransmitAfter is the age of a decision from which another Initial packet
// counts as a retransmission: a caller without an answer retransmits after
// about a second (RFC 9002, 6.2.2), and a caller with an answer uses the
// agent's connection ID from then on.
const retransmitAfter = 900 * time.Millisecond

// decisionWays is the number of decisions in one set of the set-associative
// cache.
const decisionWays = 4

// Decision is what an agent does with the Initial packets of one flow.
type Decision struct {
	Forward bool
	To      netip.AddrPort // agent to forward to; valid if Forward is set
}

// decisionRecord is a cached decision, 24 bytes.
type decisionRecord struct {
	id        uint64 // hash of the connection ID
	expiresAt int64  // Unix time in milliseconds; 0 marks a free record
	to        uint64 // packed address to forward to; 0 means that the flow stays
}

// Decider decides, at the primary agent, whether a new flow stays there. It
// keeps each decision for TTL, because later Initial packets of the flow may
// arrive through balancers that chose another alternate and must follow the
// first packet. When more flows arrive within TTL than fit, the decision
// closest to its expiry is evicted and counted in Evicted. If the handshake of
// an evicted decision is still in progress, the flow may be decided differently
// and the handshake fails.
//
// The agent that a flow is forwarded to decides by the same rule, with the
// primary as its alternate: the balancer's estimate may be stale, and comparing
// the two agents' own occupancies determines which is busier. The primary keeps
// a flow that is sent back ([Decider.Keep]).
//
// A Decider is not safe for concurrent use.
type Decider struct {
	// Evicted counts decisions that were dropped before they expired.
	Evicted uint64
	// Unanswered counts forwarded flows whose Initial was retransmitted.
	Unanswered uint64

	seed   uint64
	margin int
	ttl    int64
	sets   [][decisionWays]decisionRecord
}

// NewDecider returns a Decider. The seed should be random, so that callers
// can't choose connection IDs that fall into a single set.
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
	d.sets = make([][decisionWays]decisionRecord, sets)
	return d
}

// Decide returns what to do with an Initial packet that carries cid. own is the
// agent's own occupancy. At the primary, alt is the alternate in the packet's
// header, if any; at the agent that the flow was forwarded to, alt is the
// primary.
func (d *Decider) Decide(now time.Time, cid []byte, own Occupancy, alt Alternate, hasAlternate bool) Decision {
	at := now.UnixMilli()
	r, known := d.lookupOrAdd(cid, at)
	if known {
		d.resetUnanswered(r, at)
		return r.decision()
	}
	if hasAlternate && d.shouldForward(own, alt.Occupancy) {
		r.to, _ = pack(alt.Addr)
	}
	return r.decision()
}

// Keep records that the flow stays at this agent, because the agent that it was
// forwarded to sent it back.
func (d *Decider) Keep(now time.Time, cid []byte) {
	r, _ := d.lookupOrAdd(cid, now.UnixMilli())
	r.to = 0
}

// lookupOrAdd returns the record of the decision on cid and whether it existed. If it did
// not, it adds a record, which replaces the one of its set that is closest to its expiry.
func (d *Decider) lookupOrAdd(cid []byte, at int64) (r *decisionRecord, known bool) {
	id := hashID(cid, d.seed)
	set := &d.sets[id&uint64(len(d.sets)-1)]
	soonest := &set[0]
	for i := range set {
		r := &set[i]
		if r.id == id && at < r.expiresAt {
			return r, true
		}
		if r.expiresAt < soonest.expiresAt {
			soonest = r
		}
	}
	if at < soonest.expiresAt {
		d.Evicted++
	}
	*soonest = decisionRecord{id: id, expiresAt: at + d.ttl}
	return soonest, false
}

// resetUnanswered lets a forwarded flow stay at this agent once its Initial is
// retransmitted. The agent that it was forwarded to may have failed; every
// retransmission would otherwise be forwarded to it, and the caller would wait
// until the decision expires.
func (d *Decider) resetUnanswered(r *decisionRecord, at int64) {
	made := r.expiresAt - d.ttl
	if r.to != 0 && at >= made+retransmitAfter.Milliseconds() {
		r.to = 0
		d.Unanswered++
	}
}

func (r *decisionRecord) decision() Decision {
	if r.to == 0 {
		return Decision{}
	}
	return Decision{Forward: true, To: unpack(r.to)}
}

func (d *Decider) shouldForward(own, alternate Occupancy) bool {
	if alternate == Full {
		return false
	}
	return own == Full || int(own) >= int(alternate)+d.margin
}
