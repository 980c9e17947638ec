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

	listed      bool      // whether the voter list contains self
	confirmedAt time.Time // when the voter list was last known to be current
	fencedUntil time.Time // no vote before; zero before the first voter list

	closed        bool         // handed over: no more votes
	voted         bool         // has granted a vote: too late to accept a handover
	inheritUntil  time.Time    // a voter list with self before this time starts no fence
	transferFrom  uint64       // incarnation of the accepted handover
	acceptedParts map[int]bool // parts of the handover accepted so far
}

// record is a voter's record of a key.
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
// fence has passed or a handover has ended the fence (see Voter.Accept), because a
// former process at its address may have voted.
func NewVoter(self netip.AddrPort, cfg Config) *Voter {
	return &Voter{
		cfg:     cfg.withDefaults(),
		self:    self,
		records: make(map[Key]record),
	}
}

// Update applies the voter list as known at now. A voter that is not in the
// voter list doesn't vote, since requesters may no longer count it. When it is
// added again, its fence starts again.
func (v *Voter) Update(now time.Time, list VoterList) {
	listed := slices.Contains(list.Live, v.self)
	if listed && !v.listed && !now.Before(v.inheritUntil) {
		v.fencedUntil = now.Add(v.cfg.Fence())
	}
	v.listed = listed
}

// Confirm is like Electorate.Confirm.
func (v *Voter) Confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// fenceLeft returns how long the voter will grant no votes, zero if it may grant
// them now.
func (v *Voter) fenceLeft(now time.Time) time.Duration {
	// A paused voter still has the voter list from before the pause. Its clock
	// shows the pause, so it waits for a current voter list.
	if v.closed || !v.listed || now.Sub(v.confirmedAt) > v.cfg.Freshness {
		return v.cfg.Freshness
	}
	return max(0, v.fencedUntil.Sub(now))
}

// Claim votes on c, records a granted vote, and returns the vote.
func (v *Voter) Claim(now time.Time, c Claim) Vote {
	vote := Vote{Key: c.Key, ID: c.ID}
	r, known := v.records[c.Key]
	known = known && now.Before(r.expires)
	if known && !r.mayGrantTo(c.ID) {
		vote.Kind, vote.Holder, vote.State, vote.Status = Held, r.id, r.state, int(r.status)
		return vote
	}
	if wait := v.fenceLeft(now); wait > 0 {
		vote.Kind, vote.RetryAfter = Fenced, wait
		return vote
	}
	if !known && v.full(now) {
		vote.Kind, vote.RetryAfter = Full, v.capacityIn(now)
		return vote
	}
	v.put(now, c.Key, record{id: c.ID, state: Claimed})
	v.voted = true
	vote.Kind = Granted
	return vote
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
// voter's vote is ignored, with two exceptions. If the voter has no record of the
// key, it stores the report: this is how a fenced voter receives the claims that
// others voted for. If the claim has run and the one with the vote isn't known to
// have run, the report replaces the vote.
func (v *Voter) Report(now time.Time, r Report) {
	old, known := v.records[r.Key]
	known = known && now.Before(old.expires)
	if !known && v.full(now) {
		return
	}
	if known && !r.replaces(old) {
		return
	}
	v.put(now, r.Key, record{id: r.ID, state: r.State, status: int32(r.Status)})
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
func (v *Voter) put(now time.Time, key Key, r record) {
	_, queued := v.records[key]
	r.expires = now.Add(v.cfg.VoteRetention())
	v.records[key] = r
	if !queued {
		v.expiry = append(v.expiry, expiryEntry{key, r.expires})
	}
}

// Tick removes expired keys. Call it every second.
func (v *Voter) Tick(now time.Time) {
	for v.nextExpiry < len(v.expiry) && !now.Before(v.expiry[v.nextExpiry].at) {
		key := v.expiry[v.nextExpiry].key
		v.nextExpiry++
		if r := v.records[key]; now.Before(r.expires) {
			v.expiry = append(v.expiry, expiryEntry{key, r.expires})
			continue
		}
		delete(v.records, key)
	}
	if v.nextExpiry > len(v.expiry)/2 {
		v.expiry = slices.Delete(v.expiry, 0, v.nextExpiry)
		v.nextExpiry = 0
	}
}

// full reports whether there is no capacity for another key. A voter never removes
// a key early: a request could run twice for the key without being noticed.
func (v *Voter) full(now time.Time) bool {
	if len(v.records) < v.cfg.MaxKeys {
		return false
	}
	v.Tick(now)
	return len(v.records) >= v.cfg.MaxKeys
}

// capacityIn returns the time until the next key is due to be removed, at least one
// second.
func (v *Voter) capacityIn(now time.Time) time.Duration {
	return max(time.Second, v.expiry[v.nextExpiry].at.Sub(now))
}

// Len returns the number of keys that the voter has a record of.
func (v *Voter) Len() int { return len(v.records) }
