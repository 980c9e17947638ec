package catalogue

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Defaults of FollowerConfig.
const (
	DefaultCheck       = 2 * time.Second
	DefaultWatchEnd    = 15 * time.Second
	DefaultBackoffBase = 250 * time.Millisecond
	DefaultBackoffMax  = 2 * time.Second
)

// FollowerConfig sets up a Follower. Zero fields mean the defaults.
type FollowerConfig struct {
	Check       time.Duration // between two plain reads of the head
	WatchEnd    time.Duration // a watch without an answer for so long has stopped; above the store's own wait
	BackoffBase time.Duration // after the first failed call
	BackoffMax  time.Duration // longest wait between failed calls
	Rand        *rand.Rand    // jitter; must be set
}

// CallKind says what a Call asks of the store.
type CallKind uint8

// The calls of a Follower. At most one of each is under way.
const (
	CallWatch CallKind = iota // wait for a head above Version
	CallCheck                 // read the head
	CallLoad                  // load what leads from Digest to the head
	callKinds
)

// Call is one call of the store that a Follower wants made.
type Call struct {
	Kind    CallKind
	ID      uint64
	Version uint64 // of the head
	Digest  Digest
	// Timeout bounds the call; 0 for one whose answer is as long as the catalogue makes
	// it. The Store ends its reads when they stall.
	Timeout time.Duration
}

// Result is the outcome of a Call.
type Result struct {
	Call  Call
	Value Stored // of CallWatch and CallCheck
	Bulk  Bulk   // of CallLoad
	Err   error
}

// FollowerStats counts what happened to a follower.
type FollowerStats struct {
	Calls   [callKinds]uint64 // by CallKind
	Failed  uint64            // calls without a usable answer
	Stopped uint64            // watches that stopped silently
}

// Follower keeps a replica up to date from the store. It is a state machine:
// the caller makes the calls that Next returns and gives the results to Done.
// While the store is down the replica keeps what it has. It is not safe for
// concurrent use.
type Follower struct {
	cfg     FollowerConfig
	replica *Replica
	version uint64 // of the newest head read
	calls   [callKinds]duty
	load    bool // a load is wanted
	id      uint64
	stats   FollowerStats
}

// duty is the state of one kind of call.
type duty struct {
	id       uint64 // of the call under way, 0 if none
	version  uint64 // that the call waits behind
	suspect  bool   // a plain read knew more
	started  time.Time
	due      time.Time // earliest next call
	failures int
}

// NewFollower returns a follower that feeds r.
func NewFollower(cfg FollowerConfig, r *Replica) *Follower {
	orDefault(&cfg.Check, DefaultCheck)
	orDefault(&cfg.WatchEnd, DefaultWatchEnd)
	orDefault(&cfg.BackoffBase, DefaultBackoffBase)
	orDefault(&cfg.BackoffMax, DefaultBackoffMax)
	return &Follower{cfg: cfg, replica: r}
}

// Stats returns the counts so far.
func (f *Follower) Stats() FollowerStats { return f.stats }

// Next returns the calls to be made now. Call it after Done and several times
// a second.
func (f *Follower) Next(now time.Time) []Call {
	var calls []Call
	if f.ready(CallCheck, now) {
		calls = append(calls, f.start(CallCheck, now, 0))
	}
	if f.load && f.ready(CallLoad, now) {
		calls = append(calls, f.start(CallLoad, now, 0))
	}
	// Nothing to wait behind until the head has been read once.
	if f.version > 0 && f.ready(CallWatch, now) {
		calls = append(calls, f.start(CallWatch, now, f.cfg.WatchEnd))
	}
	return calls
}

func (f *Follower) ready(k CallKind, now time.Time) bool {
	return f.calls[k].id == 0 && !now.Before(f.calls[k].due)
}

func (f *Follower) start(k CallKind, now time.Time, timeout time.Duration) Call {
	f.id++
	d := &f.calls[k]
	d.id, d.version, d.suspect, d.started = f.id, f.version, false, now
	f.stats.Calls[k]++
	return Call{Kind: k, ID: f.id, Version: f.version, Digest: f.replica.Digest(), Timeout: timeout}
}

// Done takes the result of a call. A late result of a call that was given up
// still counts for what it says: a revision only grows.
func (f *Follower) Done(now time.Time, r Result) {
	d := &f.calls[r.Call.Kind]
	current := d.id == r.Call.ID
	if current {
		d.id = 0
	}
	quiet := isKind(r.Err, KindWatchTimeout) // nothing new
	empty := r.Call.Kind == CallCheck && isKind(r.Err, KindNotFound)
	if quiet || empty {
		f.succeed(now, r.Call.Kind, current)
		return
	}
	if r.Err != nil || !f.take(now, r) {
		f.fail(now, r, current)
		return
	}
	f.succeed(now, r.Call.Kind, current)
}

// take feeds the replica and reports whether the result was usable.
func (f *Follower) take(now time.Time, r Result) bool {
	if r.Call.Kind == CallLoad {
		err := f.replica.ReceiveLoad(now, r.Bulk)
		f.load = err != nil && !errors.Is(err, ErrNoProgress)
		return !f.load
	}
	h, err := DecodeHead(r.Value.Data)
	if err != nil {
		return false
	}
	if r.Call.Kind == CallCheck {
		f.suspect(r.Value.Version)
	}
	f.version = max(f.version, r.Value.Version)
	f.load = f.replica.ReceiveHead(now, h) || f.load
	return true
}

// suspect gives up a watch that should have answered: a plain read and the
// one before it both knew a version above the one that it waits behind. A
// watch can stop silently when a process in between drops it or the store
// forgets it; the sign is a plain read that knows more. Without the check,
// changes would never reach this process again while it believes to be up to
// date.
func (f *Follower) suspect(version uint64) {
	w := &f.calls[CallWatch]
	switch {
	case w.id == 0 || version <= w.version:
		return
	case !w.suspect: // the answer may be on its way
		w.suspect = true
	default:
		w.id = 0
		f.stats.Stopped++
	}
}

func (f *Follower) succeed(now time.Time, k CallKind, current bool) {
	if !current {
		return
	}
	d := &f.calls[k]
	d.failures = 0
	d.due = now
	if k == CallCheck {
		d.due = now.Add(f.cfg.Check)
	}
}

// fail waits a random time that doubles with each failure in a row, so that
// the followers that lost the store together do not return together.
func (f *Follower) fail(now time.Time, r Result, current bool) {
	f.stats.Failed++
	if !current {
		return
	}
	if r.Call.Kind == CallWatch && now.Sub(f.calls[CallWatch].started) >= f.cfg.WatchEnd {
		f.stats.Stopped++
	}
	d := &f.calls[r.Call.Kind]
	wait := f.cfg.BackoffBase << min(d.failures, 16)
	wait = min(wait, f.cfg.BackoffMax)
	d.failures++
	d.due = now.Add(wait/2 + time.Duration(f.cfg.Rand.Int64N(int64(wait/2)+1)))
}

// MakeCall carries out a call. It blocks until the answer or the call's timeout.
func MakeCall(ctx context.Context, st Store, c Call) Result {
	if c.Timeout > 0 {
		limited, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		ctx = limited
	}
	r := Result{Call: c}
	switch c.Kind {
	case CallWatch:
		r.Value, r.Err = st.Watch(ctx, HeadKey, c.Version)
	case CallCheck:
		r.Value, r.Err = st.Get(ctx, HeadKey)
	case CallLoad:
		r.Bulk, r.Err = LoadSince(ctx, st, c.Digest)
	}
	return r
}

// LoadSince reads what leads from d to the head: the changes if the store
// still keeps them and d is on its chain, else the whole catalogue.
func LoadSince(ctx context.Context, st Store, d Digest) (Bulk, error) {
	h, _, err := ReadHead(ctx, st)
	if err != nil {
		return Bulk{}, err
	}
	if d.Revision > 0 && d.Revision < h.Revision && d.Revision >= h.oldest() {
		changes, err := h.changesAfter(ctx, st, d.Revision)
		if err == nil && len(changes) > 0 && changes[0].Previous == d.Checksum {
			return Bulk{Changes: changes}, nil
		}
	}
	c, _, _, err := Load(ctx, st)
	if err != nil {
		return Bulk{}, err
	}
	s := c.Snapshot()
	return Bulk{Snapshot: &s}, nil
}
