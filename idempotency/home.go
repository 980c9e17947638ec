package idempotency

import (
	"net/netip"
	"slices"
	"time"
)

// RecordBytes bounds the memory that a home uses for one key, map and expiry
// queue included.
const RecordBytes = 400

// Voter votes on claims. Every agent has one.
type Voter struct {
	cfg     Config
	self    netip.AddrPort
	records map[Key]record
	expiry  []expiring // in order of the time when each is due to be looked at
	next    int        // first of expiry that is still due

	listed    bool      // whether the roster names self
	confirmed time.Time // when the roster was last known to be current
	fencedTo  time.Time // no vote before; zero before the first roster

	closed    bool         // handed over: no votes any more
	voted     bool         // gave a vote: too late to take over
	inheritBy time.Time    // a roster that names self before begins no fence
	source    uint64       // incarnation that is being taken over from
	accepted  map[int]bool // parts of it
}

// record is what a home knows of a key.
type record struct {
	id      ClaimID
	expires time.Time
	status  int32
	state   State
}

type expiring struct {
	key Key
	at  time.Time
}

// NewVoter returns a home that remembers nothing. It gives no vote before its
// start fence has passed, because a process at its address may have voted
// before it.
func NewVoter(self netip.AddrPort, cfg Config) *Voter {
	return &Voter{
		cfg:     cfg.withDefaults(),
		self:    self,
		records: make(map[Key]record),
	}
}

// Update takes in the roster as known at now. A home that the roster doesn't
// name doesn't vote: requesters may not count it any more. When it is named
// again, its fence begins anew.
func (h *Voter) Update(now time.Time, r MemberList) {
	listed := slices.Contains(r.Live, h.self)
	if listed && !h.listed && !now.Before(h.inheritBy) {
		h.fencedTo = now.Add(h.cfg.Fence())
	}
	h.listed = listed
}

// Confirm is as Electorate.Confirm.
func (h *Voter) Confirm(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// fence is how long the home gives no votes: zero if it does.
func (h *Voter) fence(now time.Time) time.Duration {
	// A home that was frozen believes in the roster of before. Its clock
	// shows the pause, so it waits for a roster that is current.
	if h.closed || !h.listed || now.Sub(h.confirmed) > h.cfg.Freshness {
		return h.cfg.Freshness
	}
	return max(0, h.fencedTo.Sub(now))
}

// Claim answers a claim.
func (h *Voter) Claim(now time.Time, c Claim) Vote {
	v := Vote{Key: c.Key, ID: c.ID}
	r, known := h.records[c.Key]
	known = known && now.Before(r.expires)
	if known && !r.open(c.ID) {
		v.Kind, v.Holder, v.State, v.Status = Held, r.id, r.state, int(r.status)
		return v
	}
	if wait := h.fence(now); wait > 0 {
		v.Kind, v.RetryAfter = Fenced, wait
		return v
	}
	if !known && h.full(now) {
		v.Kind, v.RetryAfter = Full, h.roomIn(now)
		return v
	}
	h.put(now, c.Key, record{id: c.ID, state: Claimed})
	h.voted = true
	v.Kind = Granted
	return v
}

// open reports whether id may get the vote that r records: it has it already,
// or the claim that had it gave it back. A copy of a claim that comes after its
// own report gets nothing.
func (r record) open(id ClaimID) bool {
	if r.id == id {
		return r.state == Claimed
	}
	return r.state == Released
}

// Report takes in what became of a claim. It is ignored for a claim that
// doesn't have this home's vote, unless the home knows nothing of the key: then
// it remembers the report, which is how a home that was fenced learns of the
// claims that others voted for.
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

// replaces reports whether r tells more than old. A report of a claim that
// surely ran replaces a vote for another of which nothing is known: the latter
// had no majority.
func (r Report) replaces(old record) bool {
	if old.id == r.ID {
		return r.State >= old.state
	}
	return r.State.ran() && !old.state.ran()
}

// put remembers r for the time that a vote must be remembered. A later report
// begins that time anew, so that the window counts from the end of the run.
func (h *Voter) put(now time.Time, key Key, r record) {
	_, queued := h.records[key]
	r.expires = now.Add(h.cfg.VoteRetention())
	h.records[key] = r
	if !queued {
		h.expiry = append(h.expiry, expiring{key, r.expires})
	}
}

// Tick forgets the keys whose time has passed. Call it every second.
func (h *Voter) Tick(now time.Time) {
	for h.next < len(h.expiry) && !now.Before(h.expiry[h.next].at) {
		key := h.expiry[h.next].key
		h.next++
		if r := h.records[key]; now.Before(r.expires) {
			h.expiry = append(h.expiry, expiring{key, r.expires})
			continue
		}
		delete(h.records, key)
	}
	if h.next > len(h.expiry)/2 {
		h.expiry = slices.Delete(h.expiry, 0, h.next)
		h.next = 0
	}
}

// full reports whether there is no room for another key. A home never forgets
// a key early: the key could run twice, and no one would notice.
func (h *Voter) full(now time.Time) bool {
	if len(h.records) < h.cfg.MaxKeys {
		return false
	}
	h.Tick(now)
	return len(h.records) >= h.cfg.MaxKeys
}

// roomIn is the time until the oldest key is due to be forgotten.
func (h *Voter) roomIn(now time.Time) time.Duration {
	return max(time.Second, h.expiry[h.next].at.Sub(now))
}

// Len returns the number of keys that the home remembers.
func (h *Voter) Len() int { return len(h.records) }
