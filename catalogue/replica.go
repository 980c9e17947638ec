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

// maxPullMessages is the maximum number of messages in answer to one pull.
const maxPullMessages = 8

// bulkTimeout is the time after which a bulk load may be requested from another
// peer.
const bulkTimeout = 2 * time.Second

// ReplicaConfig configures a Replica. A zero field means its default.
type ReplicaConfig struct {
	Fanout   int           // peers that a new change is sent to at once; default DefaultFanout
	Interval time.Duration // between digests sent to a random peer; default DefaultInterval
	Rate     int           // average rate of changes sent, in bytes per second; default DefaultRate
	Burst    int           // bytes of changes that may be sent at once; default DefaultBurst
	BulkGap  uint64        // number of missing changes above which a bulk load is requested; default DefaultBulkGap
	Keep     int           // number of changes kept for peers that are behind; default DefaultKeep
	// Peers returns up to n random other replicas.
	Peers func(n int) []netip.AddrPort
}

// ReplicaStats holds the counters of a Replica.
type ReplicaStats struct {
	Applied     uint64 // changes applied one by one
	Loaded      uint64 // snapshots adopted
	Duplicates  uint64 // changes received again
	Gaps        uint64 // changes dropped because they were more than BulkGap ahead
	Diverged    uint64 // digests, heads or changes received that belong to a diverged history
	StoreBehind uint64 // heads read from the store below the replica's revision
	Limited     uint64 // messages for which Rate left no capacity to send their changes
	Sent        uint64 // messages sent
}

// Replica is a node's copy of the catalogue. It is a state machine: time and
// messages are passed in, and the messages to be sent are collected by Outgoing.
// Its revision never decreases. It is not safe for concurrent use.
type Replica struct {
	cfg       ReplicaConfig
	state     *Catalogue
	table     *Table
	confirmed bool // the store has confirmed the current digest

	kept         []Change          // latest changes, consecutive, up to the current revision
	early        map[uint64]Change // changes that arrived before their predecessors
	out          []Packet
	tokens       float64 // bytes of changes that may be sent
	lastRefill   time.Time
	changed      bool // the state has changed since the last digest was sent
	nextDigest   time.Time
	newest       Digest         // of the highest revision received in a digest
	newestPeer   netip.AddrPort // sender of newest
	lastPull     time.Time
	bulkPeer     netip.AddrPort // peer to load a bulk from; invalid if none is needed
	bulkDeadline time.Time      // no other bulk load is requested before
	deniedAt     uint64         // 1 + the revision at which a peer last denied a pull
	stats        ReplicaStats
}

// NewReplica returns a Replica with an empty catalogue.
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

// Catalogue returns the current state. It must not be modified, and it is valid
// only until the next call of a method of the replica.
func (r *Replica) Catalogue() *Catalogue { return r.state }

// Digest returns the current digest.
func (r *Replica) Digest() Digest {
	d := r.state.Digest()
	d.Confirmed = r.confirmed
	return d
}

// Stats returns the counters.
func (r *Replica) Stats() ReplicaStats { return r.stats }

// Table returns the address index of the current state. It is built by the first
// call after a change. It is immutable and may be shared between goroutines.
func (r *Replica) Table() *Table {
	if r.table == nil {
		r.table = r.state.Table()
	}
	return r.table
}

// Outgoing returns the messages to be sent and clears them.
func (r *Replica) Outgoing() []Packet {
	out := r.out
	r.out = nil
	return out
}

// Receive processes a message from a peer.
func (r *Replica) Receive(now time.Time, from netip.AddrPort, m Message) {
	if len(m.Changes) > 0 {
		r.receiveChanges(now, from, m)
	}
	if m.Reply != nil {
		return // an agent's offer, processed by Interim; its digest is not a replica's
	}
	if m.Request != nil {
		r.sendEntry(from, *m.Request)
		return
	}
	if m.Pull {
		r.answerPull(now, from, m.Digest)
		return
	}
	if m.Denied {
		r.handleDenied(now, from, m.Digest)
		return
	}
	r.handleDigest(now, from, m.Digest)
}

// receiveChanges applies the changes that follow the state and keeps those that
// arrived early.
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
		r.lastPull = time.Time{} // the answer to the pull has ended, so handleDigest may pull again at once
	}
}

// applyEarly applies the early changes that now follow the state.
func (r *Replica) applyEarly(now time.Time, from netip.AddrPort, d Digest) {
	for {
		ch, ok := r.early[r.state.revision+1]
		if !ok {
			return
		}
		delete(r.early, ch.Revision)
		if err := r.apply(ch); err != nil {
			r.handleDivergence(now, from, d)
			return
		}
	}
}

func (r *Replica) apply(ch Change) error {
	if err := r.state.Apply(ch); err != nil {
		return err
	}
	r.stats.Applied++
	r.appendKept(ch)
	r.stateChanged()
	return nil
}

// stateChanged resets what depends on the state.
func (r *Replica) stateChanged() {
	r.confirmed = false
	r.table = nil
	r.changed = true
}

// appendKept appends ch to the kept changes and trims them to Keep. Elements are
// never overwritten, because messages share the slice.
func (r *Replica) appendKept(ch Change) {
	r.kept = append(r.kept, ch)
	if len(r.kept) >= 2*r.cfg.Keep {
		r.kept = append([]Change(nil), r.kept[len(r.kept)-r.cfg.Keep:]...)
	}
}

// changesAfter returns the kept changes that lead from d to the current state.
// It returns false if they are not all kept or if d belongs to a diverged
// history.
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

// handleDivergence handles a peer whose history of changes differs. Histories
// can only diverge if the store has lost accepted edits, because it was wiped or
// restored from a copy, or if a process has damaged its state. The state of the
// higher revision takes precedence, even if it is unconfirmed; at the same
// revision, the one that the store has confirmed does.
func (r *Replica) handleDivergence(now time.Time, from netip.AddrPort, d Digest) {
	r.stats.Diverged++
	if d.Revision > r.state.revision || d.Revision == r.state.revision && d.Confirmed && !r.confirmed {
		r.requestBulk(now, from)
	}
}
