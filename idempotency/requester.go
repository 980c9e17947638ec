package idempotency

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// reportCopies is how often the end of an attempt is reported, so that a lost
	// datagram seldom leaves a voter without the report.
	reportCopies = 2
	// runningReportsPerWindow is how often a running request is reported within a
	// window, so that voters don't remove the key of a request that runs longer than
	// the window.
	runningReportsPerWindow = 4
)

// Requester collects votes before a request with a key is started. Every agent has
// one.
type Requester struct {
	cfg        Config
	id         ClaimID // of the latest claim
	electorate *Electorate
	rng        *rand.Rand

	byID    map[uint64]*attempt
	byKey   map[Key]*attempt
	open    []*attempt // in order of Begin; finished ones are removed at the next Tick
	ended   []*attempt // finished, with the end still being reported
	effects []Effect
}

// phase is the phase of an attempt.
type phase uint8

const (
	awaitingVotes phase = iota
	granted             // has the votes; may start before expires
	started
	finished
)

// attempt is one request with a key that is open, or whose end is still being
// reported.
type attempt struct {
	id      uint64
	key     Key
	claim   ClaimID
	phase   phase
	expires time.Time // the first byte must be sent before this time
	nextAt  time.Time // when a claim or report is sent again

	voters     []netip.AddrPort
	votes      [maxVoters]VoteKind // by voter, zero while it hasn't answered
	retryAfter time.Duration       // longest RetryAfter of a vote
	end        Report
	copies     int
}

// NewRequester returns the requester of the agent self. incarnation must differ
// from that of each earlier process at the same address. The caller updates
// electorate. rng randomizes the retry times that callers get.
func NewRequester(self netip.AddrPort, incarnation uint64, electorate *Electorate, cfg Config, rng *rand.Rand) *Requester {
	return &Requester{
		cfg:        cfg.withDefaults(),
		id:         ClaimID{Agent: self, Incarnation: incarnation},
		electorate: electorate,
		rng:        rng,
		byID:       make(map[uint64]*attempt),
		byKey:      make(map[Key]*attempt),
	}
}

// Begin asks for votes on key for the request id, which must be unique among the
// open requests of this agent. The answer is an effect.
func (q *Requester) Begin(now time.Time, id uint64, key Key) {
	if a := q.byKey[key]; a != nil {
		q.emit(Effect{Kind: Duplicate, ID: id, Holder: a.claim, State: Claimed})
		return
	}
	if wait := q.electorate.waitTime(now); wait > 0 {
		q.emit(Effect{Kind: Unknown, ID: id, RetryAfter: q.jitter(wait)})
		return
	}
	q.id.Seq++
	a := &attempt{
		id:      id,
		key:     key,
		claim:   q.id,
		expires: now.Add(q.cfg.Expiry),
		voters:  q.electorate.voters(key),
	}
	q.byID[id] = a
	q.byKey[key] = a
	q.open = append(q.open, a)
	q.sendClaims(now, a)
}

// sendClaims sends the claim to the voters that haven't answered.
func (q *Requester) sendClaims(now time.Time, a *attempt) {
	a.nextAt = now.Add(q.cfg.Resend)
	for i, to := range a.voters {
		if a.votes[i] == 0 {
			q.emit(Effect{Kind: SendClaim, To: to, Claim: Claim{Key: a.key, ID: a.claim}})
		}
	}
}

// Receive processes the vote of a voter.
func (q *Requester) Receive(now time.Time, from netip.AddrPort, v Vote) {
	a := q.byKey[v.Key]
	if a == nil || a.claim != v.ID || a.phase != awaitingVotes {
		return
	}
	for i, voter := range a.voters {
		if voter == from && a.votes[i] == 0 {
			a.votes[i] = v.Kind
			a.retryAfter = max(a.retryAfter, v.RetryAfter)
			q.evaluate(now, a, v)
			return
		}
	}
}

// evaluate decides whether a runs, fails or waits, after the vote v.
func (q *Requester) evaluate(now time.Time, a *attempt, v Vote) {
	// A late vote is void: the voter may have removed it by the time at which the
	// request would run.
	if !now.Before(a.expires) {
		q.fail(now, a)
		return
	}
	if v.Kind == Held && v.State.ran() {
		q.emit(Effect{Kind: Duplicate, ID: a.id, Holder: v.Holder, State: v.State, Status: v.Status})
		q.finish(now, a, Released, 0)
		return
	}
	need := quorum(len(a.voters))
	if a.count(Granted) >= need {
		a.phase = granted
		q.emit(Effect{Kind: Run, ID: a.id})
		return
	}
	if a.count(Granted)+a.count(0) < need {
		q.fail(now, a)
	}
}

func (a *attempt) count(kind VoteKind) int {
	n := 0
	for i := range a.voters {
		if a.votes[i] == kind {
			n++
		}
	}
	return n
}

// fail ends a, which didn't get enough votes in time. If the voters that didn't
// grant it their vote are no majority, no other claim can have had one.
func (q *Requester) fail(now time.Time, a *attempt) {
	kind := Unknown
	n := len(a.voters)
	if n-a.count(Granted) < quorum(n) {
		kind = NotRun
	}
	wait := max(a.retryAfter, q.cfg.Expiry)
	q.emit(Effect{Kind: kind, ID: a.id, RetryAfter: q.jitter(wait)})
	q.finish(now, a, Released, 0)
}

// jitter returns wait plus up to half of it at random, so that callers that were
// refused together don't retry together.
func (q *Requester) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(q.rng.Int64N(int64(wait)/2+1))
}

// Start reports whether the request may be sent to the backend server. Call it
// once after the effect Run, right before the first byte, with the current time:
// after a pause of the process the votes may have expired. In that case it returns
// false and adds the effect NotRun or Unknown. It returns false without an effect
// for a request that has no majority of the votes or was started already. After
// true, the request must be ended with Finish.
func (q *Requester) Start(now time.Time, id uint64) bool {
	a := q.byID[id]
	if a == nil || a.phase != granted {
		return false
	}
	if !now.Before(a.expires) {
		q.expireGranted(now, a)
		return false
	}
	a.phase = started
	a.nextAt = now.Add(q.cfg.Window / runningReportsPerWindow)
	return true
}

// expireGranted ends an attempt that had its votes but wasn't started in time. The
// votes proved that no other claim had run, but after a long pause the voters may
// have removed them, and another claim may have run since.
func (q *Requester) expireGranted(now time.Time, a *attempt) {
	kind := NotRun
	if now.Sub(a.expires) >= q.cfg.Window {
		kind = Unknown
	}
	q.emit(Effect{Kind: kind, ID: a.id, RetryAfter: q.jitter(q.cfg.Expiry)})
	q.finish(now, a, Released, 0)
}

// Finish records the end of a started request: Done with its HTTP status, or Lost
// if the answer of the backend server was lost.
func (q *Requester) Finish(now time.Time, id uint64, state State, status int) {
	a := q.byID[id]
	if a == nil || a.phase != started {
		return
	}
	q.finish(now, a, state, status)
}

// Abandon records that the request won't be started, for example because its
// caller closed the connection. For a started request it does nothing.
func (q *Requester) Abandon(now time.Time, id uint64) {
	a := q.byID[id]
	if a == nil || a.phase == started {
		return
	}
	q.finish(now, a, Released, 0)
}

// finish ends a and reports its end to the voters.
func (q *Requester) finish(now time.Time, a *attempt, state State, status int) {
	delete(q.byID, a.id)
	delete(q.byKey, a.key)
	a.phase = finished
	a.end = Report{Key: a.key, ID: a.claim, State: state, Status: status}
	a.copies = reportCopies
	q.report(now, a)
	q.ended = append(q.ended, a)
}

// report sends one copy of the end of a.
func (q *Requester) report(now time.Time, a *attempt) {
	a.copies--
	a.nextAt = now.Add(q.cfg.Resend)
	q.sendReport(a, a.end)
}

func (q *Requester) sendReport(a *attempt, r Report) {
	for _, to := range a.voters {
		q.emit(Effect{Kind: SendReport, To: to, Report: r})
	}
}

// Tick sends claims and reports again and fails expired attempts. Call it every 10
// to 100 ms while requests with a key are open.
func (q *Requester) Tick(now time.Time) {
	for _, a := range q.open {
		q.advance(now, a)
	}
	q.open = slices.DeleteFunc(q.open, func(a *attempt) bool { return a.phase == finished })
	for _, a := range q.ended {
		if !now.Before(a.nextAt) {
			q.report(now, a)
		}
	}
	q.ended = slices.DeleteFunc(q.ended, func(a *attempt) bool { return a.copies == 0 })
}

// advance handles the timeouts of an open attempt.
func (q *Requester) advance(now time.Time, a *attempt) {
	switch a.phase {
	case awaitingVotes:
		if !now.Before(a.expires) {
			q.fail(now, a)
		} else if !now.Before(a.nextAt) {
			q.sendClaims(now, a)
		}
	case started:
		if !now.Before(a.nextAt) {
			a.nextAt = now.Add(q.cfg.Window / runningReportsPerWindow)
			q.sendReport(a, Report{Key: a.key, ID: a.claim, State: Running})
		}
	}
}

func (q *Requester) emit(e Effect) { q.effects = append(q.effects, e) }

// Effects appends the effects since its last call to buf and returns the extended
// slice. Call it after each call of another method.
func (q *Requester) Effects(buf []Effect) []Effect {
	buf = append(buf, q.effects...)
	q.effects = q.effects[:0]
	return buf
}
