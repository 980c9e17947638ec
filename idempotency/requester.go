package idempotency

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// reportCopies is how often the end of an attempt is reported, so that a
	// lost datagram seldom leaves a home without it.
	reportCopies = 2
	// refreshes is how often a run at work is reported within a window, so
	// that homes don't forget a request that runs for longer than the window.
	refreshes = 4
)

// Requester asks for votes before a request with a key is started. Every agent
// has one.
type Requester struct {
	cfg        Config
	id         ClaimID // of the claim made last
	electorate *Electorate
	rng        *rand.Rand

	byID    map[uint64]*attempt
	byKey   map[Key]*attempt
	open    []*attempt // in order of Begin; those that are over are dropped at the next Tick
	ended   []*attempt // whose end is still being reported
	effects []Effect
}

// phase is where an attempt stands.
type phase uint8

const (
	asking  phase = iota
	granted       // may start before expires
	started
	over
)

// attempt is one request with a key that isn't over, or whose end is still
// being reported.
type attempt struct {
	id      uint64
	key     Key
	claim   ClaimID
	phase   phase
	expires time.Time // no first byte at or after it
	nextAt  time.Time // of the next copy of a claim or report

	voters []netip.AddrPort
	kinds  [maxVoters]VoteKind // by home, zero while it hasn't answered
	retry  time.Duration       // longest wait that a home named
	end    Report
	copies int
}

// NewRequester returns the requester of the agent self. incarnation must differ
// from that of each earlier process at the same address. The caller updates
// elect. rng spreads come-back times.
func NewRequester(self netip.AddrPort, incarnation uint64, elect *Electorate, cfg Config, rng *rand.Rand) *Requester {
	return &Requester{
		cfg:        cfg.withDefaults(),
		id:         ClaimID{Agent: self, Incarnation: incarnation},
		electorate: elect,
		rng:        rng,
		byID:       make(map[uint64]*attempt),
		byKey:      make(map[Key]*attempt),
	}
}

// Begin asks for votes on key for the request id, which is unique among the
// open requests of this agent. The answer comes as an effect.
func (q *Requester) Begin(now time.Time, id uint64, key Key) {
	if a := q.byKey[key]; a != nil {
		q.emit(Effect{Kind: Duplicate, ID: id, Holder: a.claim, State: Claimed})
		return
	}
	if wait := q.electorate.wait(now); wait > 0 {
		q.emit(Effect{Kind: Unknown, ID: id, RetryAfter: q.spread(wait)})
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
	q.ask(now, a)
}

// ask sends the claim to the homes that haven't answered.
func (q *Requester) ask(now time.Time, a *attempt) {
	a.nextAt = now.Add(q.cfg.Resend)
	for i, to := range a.voters {
		if a.kinds[i] == 0 {
			q.emit(Effect{Kind: SendClaim, To: to, Claim: Claim{Key: a.key, ID: a.claim}})
		}
	}
}

// Receive takes in the vote of a home.
func (q *Requester) Receive(now time.Time, from netip.AddrPort, v Vote) {
	a := q.byKey[v.Key]
	if a == nil || a.claim != v.ID || a.phase != asking {
		return
	}
	for i, home := range a.voters {
		if home == from && a.kinds[i] == 0 {
			a.kinds[i] = v.Kind
			a.retry = max(a.retry, v.RetryAfter)
			q.judge(now, a, v)
			return
		}
	}
}

// judge decides about a after the vote v.
func (q *Requester) judge(now time.Time, a *attempt, v Vote) {
	// A vote that comes late is void: the home may have forgotten it by the
	// time at which the request would run.
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
		if a.kinds[i] == kind {
			n++
		}
	}
	return n
}

// fail gives up a, which didn't get enough votes in time. If so many homes
// gave it their vote that the rest is no majority, no other claim had one.
func (q *Requester) fail(now time.Time, a *attempt) {
	kind := Unknown
	n := len(a.voters)
	if n-a.count(Granted) < quorum(n) {
		kind = NotRun
	}
	wait := max(a.retry, q.cfg.Expiry)
	q.emit(Effect{Kind: kind, ID: a.id, RetryAfter: q.spread(wait)})
	q.finish(now, a, Released, 0)
}

// spread returns wait plus up to half of it, so that callers who were refused
// together don't come back together.
func (q *Requester) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(q.rng.Int64N(int64(wait)/2+1))
}

// Start reports whether the request may go to the backend server. Call it right
// before the first byte, with the time read then: after a pause of the process
// the votes may have expired. If it returns false the request wasn't started,
// and NotRun follows as an effect.
func (q *Requester) Start(now time.Time, id uint64) bool {
	a := q.byID[id]
	if a == nil || a.phase != granted {
		return false
	}
	if !now.Before(a.expires) {
		q.lapse(now, a)
		return false
	}
	a.phase = started
	a.nextAt = now.Add(q.cfg.Window / refreshes)
	return true
}

// lapse gives up an attempt that had its votes but wasn't started in time.
// Its votes proved that no other claim had run, but after a long pause they
// may be forgotten and another may have run since.
func (q *Requester) lapse(now time.Time, a *attempt) {
	kind := NotRun
	if now.Sub(a.expires) >= q.cfg.Window {
		kind = Unknown
	}
	q.emit(Effect{Kind: kind, ID: a.id, RetryAfter: q.spread(q.cfg.Expiry)})
	q.finish(now, a, Released, 0)
}

// Finish tells what became of a started request: Done with its HTTP status, or
// Lost if the answer of the backend server was lost.
func (q *Requester) Finish(now time.Time, id uint64, state State, status int) {
	a := q.byID[id]
	if a == nil || a.phase != started {
		return
	}
	q.finish(now, a, state, status)
}

// Abandon tells that the request won't be started after all, for example
// because its caller went away. After Start it does nothing.
func (q *Requester) Abandon(now time.Time, id uint64) {
	a := q.byID[id]
	if a == nil || a.phase == started {
		return
	}
	q.finish(now, a, Released, 0)
}

// finish ends a and reports its end to the homes.
func (q *Requester) finish(now time.Time, a *attempt, state State, status int) {
	delete(q.byID, a.id)
	delete(q.byKey, a.key)
	a.phase = over
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

// Tick asks again, gives up what has expired, and reports. Call it every 10 to
// 100 ms while requests with a key are open.
func (q *Requester) Tick(now time.Time) {
	for _, a := range q.open {
		q.advance(now, a)
	}
	q.open = slices.DeleteFunc(q.open, func(a *attempt) bool { return a.phase == over })
	for _, a := range q.ended {
		if !now.Before(a.nextAt) {
			q.report(now, a)
		}
	}
	q.ended = slices.DeleteFunc(q.ended, func(a *attempt) bool { return a.copies == 0 })
}

// advance does what is due for an open attempt.
func (q *Requester) advance(now time.Time, a *attempt) {
	switch a.phase {
	case asking:
		if !now.Before(a.expires) {
			q.fail(now, a)
		} else if !now.Before(a.nextAt) {
			q.ask(now, a)
		}
	case started:
		if !now.Before(a.nextAt) {
			a.nextAt = now.Add(q.cfg.Window / refreshes)
			q.sendReport(a, Report{Key: a.key, ID: a.claim, State: Running})
		}
	}
}

func (q *Requester) emit(e Effect) { q.effects = append(q.effects, e) }

// Effects appends the effects since the last call to buf, and returns the
// extended slice. Call it after each other method.
func (q *Requester) Effects(buf []Effect) []Effect {
	buf = append(buf, q.effects...)
	q.effects = q.effects[:0]
	return buf
}
