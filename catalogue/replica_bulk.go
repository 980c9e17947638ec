package catalogue

import (
	"errors"
	"net/netip"
	"time"
)

// denied notes that a peer keeps no changes that lead on from here. It may
// only just have started, so a bulk load is asked for at the second denial of
// the same revision; in between another peer may be met that has the changes.
func (r *Replica) denied(now time.Time, from netip.AddrPort, d Digest) {
	if d.Revision <= r.state.revision {
		return
	}
	if r.refused == r.state.revision+1 {
		r.askBulk(now, from)
	}
	r.refused = r.state.revision + 1
}

// askBulk names a peer for a bulk load unless one is under way.
func (r *Replica) askBulk(now time.Time, from netip.AddrPort) {
	if now.Before(r.bulkEnd) {
		return
	}
	r.bulk = from
	r.bulkEnd = now.Add(bulkPatience)
}

// BulkSource returns the peer to load a Bulk from, once for each need. The
// caller sends that peer this replica's Digest over a stream, and gives what
// comes back to ReceiveBulk.
func (r *Replica) BulkSource() (netip.AddrPort, bool) {
	peer := r.bulk
	r.bulk = netip.AddrPort{}
	return peer, peer.IsValid()
}

// BulkFailed tells that a bulk load broke off, so that another peer may be
// named at the next digest.
func (r *Replica) BulkFailed() { r.bulkEnd = time.Time{} }

// Bulk returns what brings a peer with digest d to the current state.
func (r *Replica) Bulk(d Digest) Bulk {
	if changes, ok := r.changesAfter(d); ok && len(changes) > 0 {
		return Bulk{Changes: changes, Confirmed: r.confirmed}
	}
	s := r.state.Snapshot()
	return Bulk{Snapshot: &s, Confirmed: r.confirmed}
}

// ErrNoProgress reports a bulk that leads to no newer state.
var ErrNoProgress = errors.New("catalogue: bulk leads to no newer state; keep the present one")

// ReceiveBulk adopts what a peer sent. It returns an error, and keeps the
// state, if the bulk is not newer or does not fit the state.
func (r *Replica) ReceiveBulk(now time.Time, from netip.AddrPort, b Bulk) error {
	r.bulkEnd = time.Time{}
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
	truer := d.Revision == r.state.revision && d.Checksum != r.state.checksum && b.Confirmed && !r.confirmed
	if !newer && !truer {
		return ErrNoProgress
	}
	if b.Snapshot == nil {
		return r.applyAll(b)
	}
	r.state = b.Snapshot.Catalogue()
	r.kept = nil
	r.stats.Loaded++
	r.moved()
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
