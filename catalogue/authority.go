package catalogue

import (
	"net/netip"
	"time"
)

// ReceiveHead takes the store's head. It reports whether a load from the
// store is needed: the head alone does not lead on from here, or the store's
// chain is another one.
func (r *Replica) ReceiveHead(now time.Time, h Head) (load bool) {
	switch {
	case h.Revision < r.state.revision:
		// An answer overtaken by gossip, or a store that lost accepted edits.
		// Neither may revert what is in force.
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

// ReceiveLoad adopts what was loaded from the store itself.
func (r *Replica) ReceiveLoad(now time.Time, b Bulk) error {
	b.Confirmed = true
	d := b.Digest()
	if d.Revision == r.state.revision && d.Checksum != r.state.checksum {
		r.confirmed = false // whatever vouched for the other chain, the store no longer does
	}
	return r.ReceiveBulk(now, netip.AddrPort{}, b)
}
