package catalogue

import (
	"net/netip"
	"time"
)

// ReceiveHead processes the head read from the store. It reports whether a load
// from the store is needed, because the changes in the head do not follow the
// replica's revision or the checksums differ.
func (r *Replica) ReceiveHead(now time.Time, h Head) (load bool) {
	switch {
	case h.Revision < r.state.revision:
		// Newer changes arrived by gossip while the head was being read, or the
		// store has lost accepted edits. Neither may revert the replica.
		r.stats.StoreBehind++
		return false
	case h.Revision == r.state.revision:
		r.confirmed = h.Checksum == r.state.checksum
		if !r.confirmed {
			r.stats.Diverged++
		}
		return !r.confirmed
	}
	before := r.state.revision
	for _, ch := range h.Tail {
		if ch.Revision == r.state.revision+1 && r.apply(ch) != nil {
			break
		}
	}
	r.confirmed = r.state.revision == h.Revision && r.state.checksum == h.Checksum
	if r.state.revision > before {
		r.push(now, netip.AddrPort{}, before)
	}
	return !r.confirmed
}

// ReceiveLoad adopts a bulk loaded from the store. It returns the errors of
// ReceiveBulk.
func (r *Replica) ReceiveLoad(now time.Time, b Bulk) error {
	b.Confirmed = true
	d := b.Digest()
	if d.Revision == r.state.revision && d.Checksum != r.state.checksum {
		r.confirmed = false // the store now holds another state of this revision
	}
	return r.ReceiveBulk(now, netip.AddrPort{}, b)
}
