package waiting

import (
	"cmp"
	"net/netip"
	"time"
)

// sourceLimitDivisor is the divisor of the queue's limit that gives the number of entries
// that one source may have once the queue is half full.
const sourceLimitDivisor = 8

// Entry is a request, or something that needs a request's capacity, that waits in a Queue.
// Its fields must not be changed while it waits, except AlarmAt and Value.
type Entry[K comparable, V any] struct {
	Key      K
	Priority uint8      // the share, 0 is the most urgent; see PriorityWeight
	Source   netip.Addr // the caller's address
	// InTimeUntil is the latest time at which its answer is in time; zero if it is late
	// already.
	InTimeUntil time.Time
	// RefuseAt is the time at which it is refused.
	RefuseAt time.Time
	// AnswerBy is the latest time at which its answer is of use at all; zero if not known.
	AnswerBy time.Time
	// AlarmAt is a time before RefuseAt at which Due reports the entry once; zero for none.
	AlarmAt time.Time
	// Timeliness is whether the request may be older than InTimeUntil assumes. It has no
	// effect on an entry that is late.
	Timeliness Timeliness
	// Required is whether the entry leaves the queue only when it is served, removed or
	// expires: it is neither displaced nor refused as not servable.
	Required bool
	Value    V

	addedAt time.Time
	number  uint64 // order of arrival
}

// Timeliness says whether a request can be answered in time, as far as its age is known.
type Timeliness uint8

// The values of Timeliness, in the order in which requests are served.
const (
	Timely     Timeliness = iota // its age is known
	MayBeRetry                   // its caller may have tried before, with packets that no process received
	MayBeCopy                    // its packet may be a copy of one from before the process started
	late                         // it can't be answered in time any more
)

// Refusal says why a queue refuses an entry.
type Refusal uint8

// The reasons of refusals.
const (
	Accepted    Refusal = iota
	Expired             // its time to wait is over
	NotServable         // it can't be answered in its time, given the work ahead of it
	Displaced           // the queue is full
	SourceLimit         // its source has too many entries

	// Refusals is the number of reasons.
	Refusals = iota
)

var refusals = [Refusals]string{"accepted", "expired", "not_servable", "displaced", "source_limit"}

// String returns the name of the reason, as in metrics.
func (r Refusal) String() string {
	if int(r) < len(refusals) {
		return refusals[r]
	}
	return "invalid"
}

// Work is what a queue assumes about the server.
type Work struct {
	// Margin is the time from a request's start within which it is expected to be answered
	// (Estimate.High).
	Margin time.Duration
	// Mean is the mean time from a request's start to its answer; 0 if not known.
	Mean time.Duration
	// Parallel is the number of requests in progress at once.
	Parallel int
}

// QueueStats holds the counters of a Queue.
type QueueStats struct {
	Added, Served uint64
	Refused       [Refusals]uint64 // by reason, including entries that were not added
}

// Queue holds the entries that wait for a server and decides which is served next and which
// are refused. It holds at most as many entries as its limit. Create it with NewQueue.
//
// Entries that can be in time are served before those that may be older than assumed, in the
// order of Timeliness, and those before late ones, each by shares. Within a share, those that can be
// in time are served FIFO, except that the latest of those that may be copies is served first.
// Late ones are served in the order of the time until which their answer is of use.
type Queue[K comparable, V any] struct {
	limit   int
	work    Work
	entries []*Entry[K, V] // in order of arrival
	byKey   map[K]*Entry[K, V]
	sources map[netip.Addr]int   // number of entries by source
	waiting [maxPriority + 1]int // number of entries by share
	shares  *Shares[uint8]       // by priority
	due     time.Time            // no entry expires or has its alarm before then
	expired []*Entry[K, V]       // buffer of Due
	alarms  []*Entry[K, V]       // buffer of Due
	number  uint64               // entries added so far
	stats   QueueStats
}

// NewQueue returns an empty queue that holds at most limit entries, at least one.
func NewQueue[K comparable, V any](limit int) *Queue[K, V] {
	return &Queue[K, V]{
		limit: max(limit, 1), byKey: map[K]*Entry[K, V]{}, sources: map[netip.Addr]int{}, shares: NewShares[uint8](maxPriority + 1),
	}
}

// SetLimit changes the limit, at least one. Entries beyond a lower limit stay.
func (q *Queue[K, V]) SetLimit(limit int) { q.limit = max(limit, 1) }

// SetWork sets what is assumed about the server.
func (q *Queue[K, V]) SetWork(w Work) { q.work = w }

// Len returns the number of entries.
func (q *Queue[K, V]) Len() int { return len(q.entries) }

// Find returns the entry with the given key, or nil.
func (q *Queue[K, V]) Find(key K) *Entry[K, V] { return q.byKey[key] }

// Entries returns the entries in order of arrival. The slice is valid until the next change.
func (q *Queue[K, V]) Entries() []*Entry[K, V] { return q.entries }

// Stats returns the counters.
func (q *Queue[K, V]) Stats() QueueStats { return q.stats }

// LongestWait returns how long the oldest entry has waited.
func (q *Queue[K, V]) LongestWait(now time.Time) time.Duration {
	if len(q.entries) == 0 {
		return 0
	}
	return now.Sub(q.entries[0].addedAt)
}

// share returns the share of an entry.
func (e *Entry[K, V]) share() uint8 { return min(e.Priority, maxPriority) }

// timeliness returns the timeliness of an entry that is served at now.
func (q *Queue[K, V]) timeliness(now time.Time, e *Entry[K, V]) Timeliness {
	if !q.InTime(now, e) {
		return late
	}
	return min(e.Timeliness, MayBeCopy)
}

// usefulUntil returns the time after which serving a late entry is of no use. A flow that is
// opened before it would be refused is of use for longer.
func (e *Entry[K, V]) usefulUntil() time.Time {
	if e.AnswerBy.After(e.RefuseAt) {
		return e.AnswerBy
	}
	return e.RefuseAt
}

// InTime reports whether e can still be answered in time if it is served at now and is as old
// as InTimeUntil assumes.
func (q *Queue[K, V]) InTime(now time.Time, e *Entry[K, V]) bool {
	return !e.InTimeUntil.IsZero() && e.InTimeUntil.Sub(now) >= q.work.Margin
}

// before reports whether a is served before b at now. Of entries that may be copies the
// latest one is served first, because it is the least likely to be older than assumed.
func (q *Queue[K, V]) before(now time.Time, a, b *Entry[K, V]) bool {
	timeliness, other := q.timeliness(now, a), q.timeliness(now, b)
	if timeliness != other {
		return timeliness < other
	}
	if s, o := a.share(), b.share(); s != o {
		if q.shares.Less(s, o) || q.shares.Less(o, s) {
			return q.shares.Less(s, o)
		}
		return s < o
	}
	switch {
	case timeliness == MayBeCopy && !a.InTimeUntil.Equal(b.InTimeUntil):
		return a.InTimeUntil.After(b.InTimeUntil)
	case timeliness == late && !a.usefulUntil().Equal(b.usefulUntil()):
		return a.usefulUntil().Before(b.usefulUntil())
	}
	return a.number < b.number
}

// Next returns the entry that is served next, nil if the queue is empty.
func (q *Queue[K, V]) Next(now time.Time) *Entry[K, V] {
	var first *Entry[K, V]
	for _, e := range q.entries {
		if first == nil || q.before(now, e, first) {
			first = e
		}
	}
	return first
}

// Precedes reports whether an entry of the queue is served before a new entry e.
func (q *Queue[K, V]) Precedes(now time.Time, e *Entry[K, V]) bool {
	e.number = q.number + 1
	next := q.Next(now)
	return next != nil && q.before(now, next, e)
}

// Add adds e unless the queue is full, its source has too many entries, or it can't be
// answered in its time. atMost lowers the limit of the queue for this entry; with as many
// entries ahead of it, it can't be served in its time and displaces none. If another entry is
// refused in favour of e, displaced is that entry, which is no longer in the queue; reason
// says why it, or e, is refused. The queue must not have an entry with e's key.
func (q *Queue[K, V]) Add(now time.Time, e *Entry[K, V], atMost int) (displaced *Entry[K, V], reason Refusal) {
	q.number++
	e.number, e.addedAt = q.number, now
	if !e.Required && !q.servable(now, e) {
		return q.refuse(e, NotServable), NotServable
	}
	if victim, reason := q.victim(now, e, min(atMost, q.limit)); victim != nil {
		if victim != e && !e.Required && q.ahead(now, e, victim) >= atMost {
			victim, reason = e, NotServable // it would be refused too, after the victim
		}
		q.refuse(victim, reason)
		if victim == e {
			return e, reason
		}
		q.add(e)
		return victim, reason
	}
	q.add(e)
	return nil, Accepted
}

func (q *Queue[K, V]) add(e *Entry[K, V]) {
	if q.waiting[e.share()] == 0 {
		q.shares.Activate(e.share(), PriorityWeight(e.Priority))
	}
	q.waiting[e.share()]++
	q.sources[e.Source]++
	q.entries = append(q.entries, e)
	q.byKey[e.Key] = e
	q.stats.Added++
	if at := e.dueAt(); len(q.entries) == 1 || at.Before(q.due) {
		q.due = at
	}
}

// victim returns the entry that is refused when e is added, e itself if it is not added, and
// nil if there is space for it.
func (q *Queue[K, V]) victim(now time.Time, e *Entry[K, V], limit int) (*Entry[K, V], Refusal) {
	if q.sourceLimited(e) {
		return q.last(now, e, func(o *Entry[K, V]) bool { return o.Source == e.Source }), SourceLimit
	}
	if len(q.entries) < limit {
		return nil, Accepted
	}
	fullest := NewEviction(e.Source, q.sources[e.Source], 1)
	for _, o := range q.entries {
		if !o.Required {
			fullest.Add(o.Source, q.sources[o.Source], 1)
		}
	}
	if source, ok := fullest.From(); ok {
		return q.last(now, nil, func(o *Entry[K, V]) bool { return o.Source == source }), Displaced
	}
	return q.last(now, e, func(*Entry[K, V]) bool { return true }), Displaced
}

// sourceLimited reports whether the source of e has as many entries as it may have.
func (q *Queue[K, V]) sourceLimited(e *Entry[K, V]) bool {
	return !e.Required && 2*len(q.entries) >= q.limit && q.sources[e.Source] >= max(1, q.limit/sourceLimitDivisor)
}

// last returns the entry that is served last of the new entry e, if it is not nil, and those
// of the queue for which may returns true. Required entries are passed over, but e is
// returned if no other entry can be refused.
func (q *Queue[K, V]) last(now time.Time, e *Entry[K, V], may func(*Entry[K, V]) bool) *Entry[K, V] {
	var last *Entry[K, V]
	if e != nil && !e.Required {
		last = e
	}
	for _, o := range q.entries {
		if !o.Required && may(o) && (last == nil || q.before(now, last, o)) {
			last = o
		}
	}
	if last == nil {
		return e
	}
	return last
}

// servable reports whether a new entry can be answered in its time if the entries that are
// served before it are.
func (q *Queue[K, V]) servable(now time.Time, e *Entry[K, V]) bool {
	if e.AnswerBy.IsZero() || q.work.Mean == 0 || q.work.Parallel <= 0 {
		return true
	}
	left := e.AnswerBy.Sub(now) - q.work.Mean
	if left < 0 {
		return false
	}
	atMost := left.Seconds() / q.work.Mean.Seconds() * float64(q.work.Parallel)
	if float64(len(q.entries)) <= atMost {
		return true
	}
	return float64(q.ahead(now, e, nil)) <= atMost
}

// ahead returns the number of entries other than except that are served before the new
// entry e.
func (q *Queue[K, V]) ahead(now time.Time, e, except *Entry[K, V]) (n int) {
	for _, o := range q.entries {
		if o != except && q.before(now, o, e) {
			n++
		}
	}
	return n
}

// refuse counts the refusal of an entry, removes it if it is in the queue, and returns it.
func (q *Queue[K, V]) refuse(e *Entry[K, V], reason Refusal) *Entry[K, V] {
	q.stats.Refused[reason]++
	if q.byKey[e.Key] == e {
		q.remove(e)
	}
	return e
}

func (q *Queue[K, V]) remove(e *Entry[K, V]) {
	delete(q.byKey, e.Key)
	q.waiting[e.share()]--
	if q.sources[e.Source]--; q.sources[e.Source] == 0 {
		delete(q.sources, e.Source)
	}
	for i, o := range q.entries {
		if o == e {
			n := copy(q.entries[i:], q.entries[i+1:])
			q.entries[i+n] = nil
			q.entries = q.entries[:i+n]
			return
		}
	}
}

// Serve removes an entry that is served, and charges its share the mean time of a request.
func (q *Queue[K, V]) Serve(e *Entry[K, V]) {
	q.remove(e)
	q.stats.Served++
	q.shares.Start(e.share(), PriorityWeight(e.Priority), cmp.Or(q.work.Mean, q.work.Margin, time.Millisecond))
}

// Remove removes the entry with the given key and returns it, nil if there is none.
func (q *Queue[K, V]) Remove(key K) *Entry[K, V] {
	e := q.byKey[key]
	if e != nil {
		q.remove(e)
	}
	return e
}

// Due removes the entries whose RefuseAt has come and returns them, and returns those whose
// AlarmAt has come, which stay in the queue and lose their AlarmAt. The slices are valid
// until the next call.
func (q *Queue[K, V]) Due(now time.Time) (expired, alarms []*Entry[K, V]) {
	q.expired, q.alarms = q.expired[:0], q.alarms[:0]
	if len(q.entries) == 0 || now.Before(q.due) {
		return nil, nil
	}
	for _, e := range q.entries {
		switch {
		case !e.RefuseAt.After(now):
			q.expired = append(q.expired, e)
		case !e.AlarmAt.IsZero() && !e.AlarmAt.After(now):
			e.AlarmAt = time.Time{}
			q.alarms = append(q.alarms, e)
		}
	}
	for _, e := range q.expired {
		q.refuse(e, Expired)
	}
	q.setDue()
	return q.expired, q.alarms
}

// setDue sets the time of the next expiry or alarm.
func (q *Queue[K, V]) setDue() {
	for i, e := range q.entries {
		if at := e.dueAt(); i == 0 || at.Before(q.due) {
			q.due = at
		}
	}
}

// SetAlarm changes an entry's AlarmAt.
func (q *Queue[K, V]) SetAlarm(e *Entry[K, V], at time.Time) {
	e.AlarmAt = at
	if d := e.dueAt(); d.Before(q.due) {
		q.due = d
	}
}

func (e *Entry[K, V]) dueAt() time.Time {
	if !e.AlarmAt.IsZero() && e.AlarmAt.Before(e.RefuseAt) {
		return e.AlarmAt
	}
	return e.RefuseAt
}

// NextDue returns a time before which Due returns nothing; ok is false if the queue is
// empty.
func (q *Queue[K, V]) NextDue() (at time.Time, ok bool) { return q.due, len(q.entries) > 0 }
