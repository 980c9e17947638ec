package catalogue

import (
	"net/netip"
	"time"
)

// Tick sends digests and repeats pulls that are due. Call it several times per
// Interval.
func (r *Replica) Tick(now time.Time) {
	if r.state.revision < r.newest.Revision && !now.Before(r.lastPull.Add(r.cfg.Interval/2)) {
		r.retryPull(now)
	}
	if now.Before(r.nextDigest) {
		return
	}
	r.nextDigest = now.Add(r.cfg.Interval)
	n := 1
	if r.changed { // a second round soon after a change reaches most peers that missed the first one
		n = r.cfg.Fanout
	}
	r.changed = false
	for _, peer := range r.cfg.Peers(n) {
		r.send(peer, Message{})
	}
}

// retryPull pulls again, because the pull or its answer was lost or the peer has
// failed. After an Interval it pulls from a random peer, which may have the
// changes too.
func (r *Replica) retryPull(now time.Time) {
	source := r.newestPeer
	if peers := r.cfg.Peers(1); len(peers) > 0 && now.After(r.lastPull.Add(r.cfg.Interval)) {
		source = peers[0]
	}
	r.sendPull(now, source)
}

func (r *Replica) send(to netip.AddrPort, m Message) {
	m.Digest = r.Digest()
	r.stats.Sent++
	r.out = append(r.out, Packet{to, m})
}

// handleDigest compares a peer's digest with the replica's and starts the
// exchange that it calls for.
func (r *Replica) handleDigest(now time.Time, from netip.AddrPort, d Digest) {
	own := r.Digest()
	switch {
	case d.sameState(own):
		r.confirmed = r.confirmed || d.Confirmed
	case d.Revision == own.Revision:
		r.handleDivergence(now, from, d)
	case d.Revision > own.Revision:
		r.catchUp(now, from, d)
	default:
		r.sendMissing(now, from, d)
	}
}

// catchUp requests the changes that a peer of a higher revision has, by a pull or
// by a bulk load.
func (r *Replica) catchUp(now time.Time, from netip.AddrPort, d Digest) {
	if d.Revision-r.state.revision > r.cfg.BulkGap {
		r.requestBulk(now, from)
		return
	}
	pending := r.newest.Revision > r.state.revision && now.Before(r.lastPull.Add(r.cfg.Interval/2))
	if d.Revision > r.newest.Revision {
		r.newest = d
		r.newestPeer = from
	}
	if !pending {
		r.sendPull(now, from)
	}
}

func (r *Replica) sendPull(now time.Time, from netip.AddrPort) {
	r.lastPull = now
	r.send(from, Message{Pull: true})
}

// sendMissing sends a peer of a lower revision the changes that it lacks if they
// fit in one message. Otherwise it sends only the digest, and the peer requests
// the changes at its own pace.
func (r *Replica) sendMissing(now time.Time, to netip.AddrPort, d Digest) {
	changes, ok := r.changesAfter(d)
	n, size := fitMessage(changes)
	if !ok || n < len(changes) || !r.takeTokens(now, size) {
		r.send(to, Message{})
		return
	}
	r.send(to, Message{Changes: changes})
}

// push sends the changes after a revision to Fanout peers immediately.
func (r *Replica) push(now time.Time, from netip.AddrPort, after uint64) {
	var m Message
	gap := r.state.revision - after
	var size int
	if gap <= uint64(len(r.kept)) {
		changes := r.kept[uint64(len(r.kept))-gap:]
		var n int
		if n, size = fitMessage(changes); n == len(changes) {
			m.Changes = changes
		}
	}
	for _, peer := range r.cfg.Peers(r.cfg.Fanout) {
		if peer == from {
			continue
		}
		if len(m.Changes) > 0 && !r.takeTokens(now, size) {
			m.Changes = nil
		}
		r.send(peer, m)
	}
}

// answerPull sends the changes after d, in at most maxPullMessages messages.
func (r *Replica) answerPull(now time.Time, to netip.AddrPort, d Digest) {
	changes, ok := r.changesAfter(d)
	if !ok {
		r.send(to, Message{Denied: true})
		return
	}
	for i := 0; i < maxPullMessages && len(changes) > 0; i++ {
		n, size := fitMessage(changes)
		if !r.takeTokens(now, size) {
			return
		}
		more := i == maxPullMessages-1 && n < len(changes)
		r.send(to, Message{Changes: changes[:n], More: more})
		changes = changes[n:]
	}
}

// takeTokens deducts bytes from the token bucket of changes sent. It returns
// false if the bucket holds too few.
func (r *Replica) takeTokens(now time.Time, bytes int) bool {
	if !r.lastRefill.IsZero() {
		r.tokens += now.Sub(r.lastRefill).Seconds() * float64(r.cfg.Rate)
	}
	r.tokens = min(r.tokens, float64(r.cfg.Burst))
	r.lastRefill = now
	if r.tokens < float64(bytes) {
		r.stats.Limited++
		return false
	}
	r.tokens -= float64(bytes)
	return true
}

// sendEntry answers an agent's request for an entry.
func (r *Replica) sendEntry(to netip.AddrPort, q EntryRequest) {
	e, ok := r.state.EntryByNumber(q.Number)
	if q.Service != "" {
		e, ok = r.state.Entry(q.Service)
	}
	reply := &EntryReply{Service: q.Service, Number: q.Number, Found: ok}
	if ok && (e.Number != q.KnownNumber || e.Version != q.Known) {
		reply.Entry = &e
	}
	r.send(to, Message{Reply: reply})
}
