package catalogue

import (
	"net/netip"
	"time"
)

// Tick does what is due. Call it several times within an Interval.
func (r *Replica) Tick(now time.Time) {
	if r.state.revision < r.target.Revision && !now.Before(r.pulled.Add(r.cfg.Interval/2)) {
		r.retry(now)
	}
	if now.Before(r.digest) {
		return
	}
	r.digest = now.Add(r.cfg.Interval)
	n := 1
	if r.fresh { // a second round soon after a change reaches most of those whose first was lost
		n = r.cfg.Fanout
	}
	r.fresh = false
	for _, peer := range r.cfg.Peers(n) {
		r.send(peer, Message{})
	}
}

// retry pulls again: the first pull or its answer was lost, or the source is
// gone. Another peer may know as much.
func (r *Replica) retry(now time.Time) {
	source := r.source
	if peers := r.cfg.Peers(1); len(peers) > 0 && now.After(r.pulled.Add(r.cfg.Interval)) {
		source = peers[0]
	}
	r.pull(now, source)
}

func (r *Replica) send(to netip.AddrPort, m Message) {
	m.Digest = r.Digest()
	r.stats.Sent++
	r.out = append(r.out, Packet{to, m})
}

// compare acts on a peer's digest.
func (r *Replica) compare(now time.Time, from netip.AddrPort, d Digest) {
	own := r.Digest()
	switch {
	case d.same(own):
		r.confirmed = r.confirmed || d.Confirmed
	case d.Revision == own.Revision:
		r.diverge(now, from, d)
	case d.Revision > own.Revision:
		r.behind(now, from, d)
	default:
		r.help(now, from, d)
	}
}

// behind fetches what a peer has more of, by changes or by a bulk load.
func (r *Replica) behind(now time.Time, from netip.AddrPort, d Digest) {
	if d.Revision-r.state.revision > r.cfg.BulkGap {
		r.askBulk(now, from)
		return
	}
	pending := r.target.Revision > r.state.revision && now.Before(r.pulled.Add(r.cfg.Interval/2))
	if d.Revision > r.target.Revision {
		r.target = d
		r.source = from
	}
	if !pending {
		r.pull(now, from)
	}
}

func (r *Replica) pull(now time.Time, from netip.AddrPort) {
	r.pulled = now
	r.send(from, Message{Pull: true})
}

// help sends a peer that is behind the changes that it lacks if one message
// holds them, else only the digest, and the peer asks as it can take it.
func (r *Replica) help(now time.Time, to netip.AddrPort, d Digest) {
	changes, ok := r.changesAfter(d)
	n, size := fit(changes)
	if !ok || n < len(changes) || !r.spend(now, size) {
		r.send(to, Message{})
		return
	}
	r.send(to, Message{Changes: changes})
}

// push tells Fanout peers of the changes after a revision at once.
func (r *Replica) push(now time.Time, from netip.AddrPort, after uint64) {
	var m Message
	gap := r.state.revision - after
	var size int
	if gap <= uint64(len(r.kept)) {
		changes := r.kept[uint64(len(r.kept))-gap:]
		var n int
		if n, size = fit(changes); n == len(changes) {
			m.Changes = changes
		}
	}
	for _, peer := range r.cfg.Peers(r.cfg.Fanout) {
		if peer == from {
			continue
		}
		if len(m.Changes) > 0 && !r.spend(now, size) {
			m.Changes = nil
		}
		r.send(peer, m)
	}
}

// answerPull sends the changes after d, at most pullMessages messages.
func (r *Replica) answerPull(now time.Time, to netip.AddrPort, d Digest) {
	changes, ok := r.changesAfter(d)
	if !ok {
		r.send(to, Message{Denied: true})
		return
	}
	for i := 0; i < pullMessages && len(changes) > 0; i++ {
		n, size := fit(changes)
		if !r.spend(now, size) {
			return
		}
		more := i == pullMessages-1 && n < len(changes)
		r.send(to, Message{Changes: changes[:n], More: more})
		changes = changes[n:]
	}
}

// spend takes bytes from the allowance of changes sent.
func (r *Replica) spend(now time.Time, bytes int) bool {
	if !r.filled.IsZero() {
		r.tokens += now.Sub(r.filled).Seconds() * float64(r.cfg.Rate)
	}
	r.tokens = min(r.tokens, float64(r.cfg.Burst))
	r.filled = now
	if r.tokens < float64(bytes) {
		r.stats.Limited++
		return false
	}
	r.tokens -= float64(bytes)
	return true
}

// answer replies to an agent's request for one entry.
func (r *Replica) answer(to netip.AddrPort, q EntryRequest) {
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
