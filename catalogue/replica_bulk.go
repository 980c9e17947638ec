package catalogue

import (
	"errors"
	"net/netip"
	"time"
)

// handleDenied handles the answer of a peer that doesn't keep the changes after
// this replica's revision. The peer may have started recently, so a bulk load is
// requested only at the second denial at the same revision; until then, another
// peer may supply the changes.
func (r *Replica) handleDenied(now time.Time, from netip.AddrPort, d Digest) {
	if d.Revision <= r.state.revision {
		return
	}
	if r.deniedAt == r.state.revision+1 {
		r.requestBulk(now, from)
	}
	r.deniedAt = r.state.revision + 1
}

// requestBulk selects a peer for a bulk load unless one is in progress.
func (r *Replica) requestBulk(now time.Time, from netip.AddrPort) {
	if now.Before(r.bulkDeadline) {
		return
	}
	r.bulkPeer = from
	r.bulkDeadline = now.Add(bulkTimeout)
}

// BulkSource returns the peer to load a Bulk from, and false if no bulk load is
// needed. Each request is returned once. The caller sends this replica's Digest
// to the peer over a stream and passes the answer to ReceiveBulk.
func (r *Replica) BulkSource() (netip.AddrPort, bool) {
	peer := r.bulkPeer
	r.bulkPeer = netip.AddrPort{}
	return peer, peer.IsValid()
}

// BulkFailed records that a bulk load failed, so that another peer may be
// selected at the next digest.
func (r *Replica) BulkFailed() { r.bulkDeadline = time.Time{} }

// Bulk returns the Bulk that leads from a peer's digest d to the current state.
func (r *Replica) Bulk(d Digest) Bulk {
	if changes, ok := r.changesAfter(d); ok && len(changes) > 0 {
		return Bulk{Changes: changes, Confirmed: r.confirmed}
	}
	s := r.state.Snapshot()
	return Bulk{Snapshot: &s, Confirmed: r.confirmed}
}

// ErrNoProgress is returned for a bulk that doesn't lead to a newer state.
var ErrNoProgress = errors.New("catalogue: bulk leads to no newer state; keep the present one")

// ReceiveBulk adopts a bulk received from a peer. It returns ErrNoProgress if
// the bulk is not newer than the state, which is then kept, and a *GapError or
// *ChecksumError for changes that don't follow the state.
func (r *Replica) ReceiveBulk(now time.Time, from netip.AddrPort, b Bulk) error {
	r.bulkDeadline = time.Time{}
	before := r.state.revision
	err := r.adopt(b)
	if r.state.revision > before {
		r.push(now, from, before)
	}
	return err
}

func (r *Replica) adopt(b Bulk) error {
	d := b.Digest()
	newer := d.Revision > r.state.revision
	corrects := d.Revision == r.state.revision && d.Checksum != r.state.checksum && b.Confirmed && !r.confirmed
	if !newer && !corrects {
		return ErrNoProgress
	}
	if b.Snapshot == nil {
		return r.applyAll(b)
	}
	r.state = b.Snapshot.Catalogue()
	r.kept = nil
	r.stats.Loaded++
	r.stateChanged()
	r.confirmed = b.Confirmed
	clear(r.early)
	return nil
}

func (r *Replica) applyAll(b Bulk) error {
	for _, ch := range b.Changes {
		if ch.Revision <= r.state.revision {
			continue
		}
		if err := r.apply(ch); err != nil {
			return err
		}
	}
	r.confirmed = b.Confirmed
	clear(r.early)
	return nil
}
