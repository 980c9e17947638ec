package idempotency

import (
	"net/netip"
	"slices"
	"time"
)

// RecordBytes bounds the memory in bytes that a voter uses for one key, including
// its map and expiry queue.
const RecordBytes = 400

// Voter votes on claims. Every agent has one.
type Voter struct {
	cfg        Config
	self       netip.AddrPort
	records    map[Key]record
	expiry     []expiryEntry // in the order in which the keys are checked for expiry
	nextExpiry int           // first element of expiry that is still due

	listed      bool      // whether the member list contains self
	confirmedAt time.Time // when the member list was last known to be current
	fencedUntil time.Time // no vote before; zero before the first member list

	closed        bool         // handed over: no more votes
	voted         bool         // has granted a vote: too late to accept a handover
	inheritUntil  time.Time    // a member list with self before this time starts no fence
	transferFrom  uint64       // incarnation of the accepted handover
	acceptedParts map[int]bool // parts of the handover accepted so far
}

// record is what a voter remembers of a key.
type record struct {
	id      ClaimID
	expires time.Time
	status  int32
	state   State
}

type expiryEntry struct {
	key Key
	at  time.Time
}

// NewVoter returns a voter without any records. It grants no vote before its start
// fence has passed, because a former process at its address may have voted.
func NewVoter(self netip.AddrPort, cfg Config) *Voter {
	return &Voter{
		cfg:     cfg.withDefaults(),
		self:    self,
		records: make(map[Key]record),
	}
}

// Update applies the member list as known at now. A voter that is not in the
// member list doesn't vote, since requesters may no longer count it. When it is
// added again, its fence starts again.
func (h *Voter) Update(now time.Time, r MemberList) {
	listed := slices.Contains(r.Live, h.self)
	if listed && !h.listed && !now.Before(h.inheritUntil) {
		h.fencedUntil = now.Add(h.cfg.Fence())
	}
	h.listed = listed
}

// Confirm is like Electorate.Confirm.
func (h *Voter) Confirm(at time.Time) {
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// fenceLeft is how long the voter grants no votes; zero if it does.
func (h *Voter) fenceLeft(now time.Time) time.Duration {
	// A paused voter still has the member list from before the pause. Its clock
	// shows the pause, so it waits for a current member list.
	if h.closed || !h.listed || now.Sub(h.confirmedAt) > h.cfg.Freshness {
		return h.cfg.Freshness
	}
	return max(0, h.fencedUntil.Sub(now))
}

// Claim returns the vote on a claim.
func (h *Voter) Claim(now time.Time, c Claim) Vote {
	v := Vote{Key: c.Key, ID: c.ID}
	r, known := h.records[c.Key]
	known = known && now.Before(r.expires)
	if known && !r.mayGrantTo(c.ID) {
		v.Kind, v.Holder, v.State, v.Status = Held, r.id, r.state, int(r.status)
		return v
	}
	if wait := h.fenceLeft(now); wait > 0 {
		v.Kind, v.RetryAfter = Fenced, wait
		return v
	}
	if !known && h.full(now) {
		v.Kind, v.RetryAfter = Full, h.capacityIn(now)
		return v
	}
	h.put(now, c.Key, record{id: c.ID, state: Claimed})
	h.voted = true
	v.Kind = Granted
	return v
}

// mayGrantTo reports whether id may get the vote that r records: it has the vote
// already, or the claim that had it released it. A copy of a claim that arrives
// after the claim's own report gets no vote.
func (r record) mayGrantTo(id ClaimID) bool {
	if r.id == id {
		return r.state == Claimed
	}
	return r.state == Released
}

// Report records the state of a claim. A report of a claim that doesn't have this
// voter's vote is ignored, unless the voter has no record of the key. It then
// stores the report: this is how a fenced voter learns of the claims that others
// voted for.
func (h *Voter) Report(now time.Time, r Report) {
	old, known := h.records[r.Key]
	known = known && now.Before(old.expires)
	if !known && h.full(now) {
		return
	}
	if known && !r.replaces(old) {
		return
	}
	h.put(now, r.Key, record{id: r.ID, state: r.State, status: int32(r.Status)})
}

// replaces reports whether r replaces old. A report of a claim that is known to
// have run replaces a vote for another claim that isn't: the latter had no majority.
func (r Report) replaces(old record) bool {
	if old.id == r.ID {
		return r.State >= old.state
	}
	return r.State.ran() && !old.state.ran()
}

// put stores r for the vote retention time. A later report starts that time again,
// so that the window counts from the end of the run.
func (h *Voter) put(now time.Time, key Key, r record) {
	_, queued := h.records[key]
	r.expires = now.Add(h.cfg.VoteRetention())
	h.records[key] = r
	if !queued {
		h.expiry = append(h.expiry, expiryEntry{key, r.expires})
	}
}

// Tick removes expired keys. Call it every second.
func (h *Voter) Tick(now time.Time) {
	for h.nextExpiry < len(h.expiry) && !now.Before(h.expiry[h.nextExpiry].at) {
		key := h.expiry[h.nextExpiry].key
		h.nextExpiry++
		if r := h.records[key]; now.Before(r.expires) {
			h.expiry = append(h.expiry, expiryEntry{key, r.expires})
			continue
		}
		delete(h.records, key)
	}
	if h.nextExpiry > len(h.expiry)/2 {
		h.expiry = slices.Delete(h.expiry, 0, h.nextExpiry)
		h.nextExpiry = 0
	}
}

// full reports whether there is no capacity for another key. A voter never removes
// a key early: the key could run twice without being noticed.
func (h *Voter) full(now time.Time) bool {
	if len(h.records) < h.cfg.MaxKeys {
		return false
	}
	h.Tick(now)
	return len(h.records) >= h.cfg.MaxKeys
}

// capacityIn is the time until the oldest key is due to be removed.
func (h *Voter) capacityIn(now time.Time) time.Duration {
	return max(time.Second, h.expiry[h.nextExpiry].at.Sub(now))
}

// Len returns the number of keys that the voter remembers.
func (h *Voter) Len() int { return len(h.records) }
