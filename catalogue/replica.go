package catalogue

import (
	"net/netip"
	"time"
)

// Defaults of ReplicaConfig.
const (
	DefaultFanout   = 4
	DefaultInterval = 500 * time.Millisecond
	DefaultRate     = 4 << 10
	DefaultBurst    = 64 << 10
	DefaultBulkGap  = 128
	DefaultKeep     = 4096
)

// pullMessages is how many messages answer one pull.
const pullMessages = 8

// bulkPatience is how long a bulk load may take before another peer may be
// named for it.
const bulkPatience = 2 * time.Second

// ReplicaConfig sets up a Replica. Zero fields mean the defaults.
type ReplicaConfig struct {
	Fanout   int           // peers told at once of a new change
	Interval time.Duration // between two digests to a random peer
	Rate     int           // bytes a second of changes sent, on average
	Burst    int           // bytes of changes sent at once
	BulkGap  uint64        // changes behind from which a bulk load is asked for
	Keep     int           // changes kept for peers that are behind
	// Peers returns up to n random other replicas.
	Peers func(n int) []netip.AddrPort
}

// ReplicaStats counts what happened to a replica.
type ReplicaStats struct {
	Applied     uint64 // changes applied one by one
	Loaded      uint64 // bulk loads adopted
	Duplicates  uint64 // changes received again
	Gaps        uint64 // changes received too early and dropped
	Diverged    uint64 // states or changes of another chain seen
	StoreBehind uint64 // heads of the store read below the replica's revision
	Limited     uint64 // messages with changes not sent because of Rate
	Sent        uint64 // messages
}

// Replica is a process's copy of the catalogue. It is a state machine: time
// and messages come in, and what it wants sent waits in Outgoing. Its
// revision never decreases. It is not safe for concurrent use.
type Replica struct {
	cfg       ReplicaConfig
	state     *Catalogue
	table     *Table
	confirmed bool // the store vouched for the current digest

	kept    []Change          // latest changes, consecutive, up to the current revision
	early   map[uint64]Change // changes that arrived before their predecessors
	out     []Packet
	tokens  float64 // bytes of changes that may be sent
	filled  time.Time
	fresh   bool // progress since the last digest
	digest  time.Time
	target  Digest // newest state heard of
	source  netip.AddrPort
	pulled  time.Time
	bulk    netip.AddrPort
	bulkEnd time.Time
	refused uint64 // 1 + the revision at which a peer last denied a pull
	stats   ReplicaStats
}

// NewReplica returns a replica with the empty catalogue.
func NewReplica(cfg ReplicaConfig) *Replica {
	orDefault(&cfg.Fanout, DefaultFanout)
	orDefault(&cfg.Interval, DefaultInterval)
	orDefault(&cfg.Rate, DefaultRate)
	orDefault(&cfg.Burst, DefaultBurst)
	orDefault(&cfg.BulkGap, DefaultBulkGap)
	orDefault(&cfg.Keep, DefaultKeep)
	return &Replica{cfg: cfg, state: New(), early: make(map[uint64]Change), tokens: float64(cfg.Burst)}
}

func orDefault[T int | uint64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Catalogue returns the current state, to be read only, and only until the
// next call of the replica.
func (r *Replica) Catalogue() *Catalogue { return r.state }

// Digest returns the current digest.
func (r *Replica) Digest() Digest {
	d := r.state.Digest()
	d.Confirmed = r.confirmed
	return d
}

// Stats returns the counts so far.
func (r *Replica) Stats() ReplicaStats { return r.stats }

// Table returns the address index of the current state. It is built at the
// first call after a change and may be kept and shared between goroutines.
func (r *Replica) Table() *Table {
	if r.table == nil {
		r.table = r.state.Table()
	}
	return r.table
}

// Outgoing returns and forgets the messages to be sent.
func (r *Replica) Outgoing() []Packet {
	out := r.out
	r.out = nil
	return out
}

// Receive takes a message from a peer.
func (r *Replica) Receive(now time.Time, from netip.AddrPort, m Message) {
	if len(m.Changes) > 0 {
		r.receiveChanges(now, from, m)
	}
	if m.Reply != nil {
		return // an agent's offer is for Interim; its digest is no replica's
	}
	if m.Request != nil {
		r.answer(from, *m.Request)
		return
	}
	if m.Pull {
		r.answerPull(now, from, m.Digest)
		return
	}
	if m.Denied {
		r.denied(now, from, m.Digest)
		return
	}
	r.compare(now, from, m.Digest)
}

// receiveChanges applies what follows the state and keeps what is early.
func (r *Replica) receiveChanges(now time.Time, from netip.AddrPort, m Message) {
	before := r.state.revision
	for _, ch := range m.Changes {
		switch {
		case ch.Revision <= r.state.revision:
			r.stats.Duplicates++
		case ch.Revision > r.state.revision+r.cfg.BulkGap:
			r.stats.Gaps++
		default:
			r.early[ch.Revision] = ch
		}
	}
	r.applyEarly(now, from, m.Digest)
	if r.state.revision == before {
		return
	}
	r.push(now, from, before)
	if m.More {
		r.pulled = time.Time{} // the answer is complete; compare pulls again at once
	}
}

// applyEarly applies the changes that now follow the state.
func (r *Replica) applyEarly(now time.Time, from netip.AddrPort, d Digest) {
	for {
		ch, ok := r.early[r.state.revision+1]
		if !ok {
			return
		}
		delete(r.early, ch.Revision)
		if err := r.apply(ch); err != nil {
			r.diverge(now, from, d)
			return
		}
	}
}

func (r *Replica) apply(ch Change) error {
	if err := r.state.Apply(ch); err != nil {
		return err
	}
	r.stats.Applied++
	r.keep(ch)
	r.moved()
	return nil
}

// moved notes that the state is another one.
func (r *Replica) moved() {
	r.confirmed = false
	r.table = nil
	r.fresh = true
}

// keep appends to the kept changes. The slice is never written in place, as
// messages share it.
func (r *Replica) keep(ch Change) {
	r.kept = append(r.kept, ch)
	if len(r.kept) >= 2*r.cfg.Keep {
		r.kept = append([]Change(nil), r.kept[len(r.kept)-r.cfg.Keep:]...)
	}
}

// changesAfter returns the kept changes that lead from d to the current
// state, and false if the way is not kept or d is of another chain.
func (r *Replica) changesAfter(d Digest) ([]Change, bool) {
	gap := r.state.revision - d.Revision
	if d.Revision > r.state.revision || gap > uint64(len(r.kept)) {
		return nil, false
	}
	changes := r.kept[uint64(len(r.kept))-gap:]
	if gap > 0 && changes[0].Previous != d.Checksum {
		return nil, false
	}
	return changes, true
}

// diverge notes that a peer's chain is another one. A chain can only fork if
// the store lost accepted edits (it was wiped, or restored from a copy) or a
// process damaged its state. What the store says now wins, but never at a
// lower revision than the one in force here.
func (r *Replica) diverge(now time.Time, from netip.AddrPort, d Digest) {
	r.stats.Diverged++
	if d.Revision > r.state.revision || d.Revision == r.state.revision && d.Confirmed && !r.confirmed {
		r.askBulk(now, from)
	}
}
