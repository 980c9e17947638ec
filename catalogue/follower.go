package catalogue

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Defaults of FollowerConfig.
const (
	DefaultCheckInterval = 2 * time.Second
	DefaultWatchTimeout  = 15 * time.Second
	DefaultBackoffBase   = 250 * time.Millisecond
	DefaultBackoffMax    = 2 * time.Second
)

// FollowerConfig configures a Follower. A zero field means its default.
type FollowerConfig struct {
	CheckInterval time.Duration // between reads of the head; default DefaultCheckInterval
	WatchTimeout  time.Duration // of a watch, longer than the store's own; default DefaultWatchTimeout
	BackoffBase   time.Duration // backoff after the first failed call; default DefaultBackoffBase
	BackoffMax    time.Duration // maximum backoff; default DefaultBackoffMax
	Rand          *rand.Rand    // jitter; must be set
}

// CallKind is the kind of a Call.
type CallKind uint8

// The calls of a Follower. At most one of each kind is in progress.
const (
	CallWatch CallKind = iota // wait for a version of the head above Version
	CallCheck                 // read the head
	CallLoad                  // load the changes from Digest to the head, or the whole catalogue
	callKinds
)

// Call is a call of the store requested by a Follower.
type Call struct {
	Kind    CallKind
	ID      uint64
	Version uint64 // of the newest head read
	Digest  Digest // of the replica
	// Timeout is the timeout of the call. It is 0 for calls whose answer grows with the
	// catalogue; the Store ends such reads when they stall.
	Timeout time.Duration
}

// Result is the outcome of a Call.
type Result struct {
	Call  Call
	Value Stored // of CallWatch and CallCheck
	Bulk  Bulk   // of CallLoad
	Err   error
}

// FollowerStats holds the counters of a Follower.
type FollowerStats struct {
	Calls   [callKinds]uint64 // by CallKind
	Failed  uint64            // calls without a usable answer
	Stopped uint64            // watches that stopped without an error
}

// Follower keeps a replica up to date with the store. It is a state machine: the
// caller makes the calls returned by Next and passes the results to Done. While
// the store is down, the replica keeps its state. A Follower is not safe for
// concurrent use.
type Follower struct {
	cfg        FollowerConfig
	replica    *Replica
	version    uint64 // of the newest head read
	calls      [callKinds]callState
	loadNeeded bool   // a load from the store is needed
	id         uint64 // of the last call
	stats      FollowerStats
}

// callState is the state of one kind of call.
type callState struct {
	id           uint64 // of the call in progress, 0 if none
	version      uint64 // newest version of the head when the call began
	missedUpdate bool   // a read has returned a newer version than the watch
	started      time.Time
	due          time.Time // time from which the next call may be made
	failures     int       // in a row
}

// NewFollower returns a Follower that updates r.
func NewFollower(cfg FollowerConfig, r *Replica) *Follower {
	orDefault(&cfg.CheckInterval, DefaultCheckInterval)
	orDefault(&cfg.WatchTimeout, DefaultWatchTimeout)
	orDefault(&cfg.BackoffBase, DefaultBackoffBase)
	orDefault(&cfg.BackoffMax, DefaultBackoffMax)
	return &Follower{cfg: cfg, replica: r}
}

// Stats returns the counters.
func (f *Follower) Stats() FollowerStats { return f.stats }

// Next returns the calls to be made now. Call it after Done and several times
// per second.
func (f *Follower) Next(now time.Time) []Call {
	var calls []Call
	if f.due(CallCheck, now) {
		calls = append(calls, f.start(CallCheck, now, 0))
	}
	if f.loadNeeded && f.due(CallLoad, now) {
		calls = append(calls, f.start(CallLoad, now, 0))
	}
	// A watch needs a version to wait for, so the head must have been read once.
	if f.version > 0 && f.due(CallWatch, now) {
		calls = append(calls, f.start(CallWatch, now, f.cfg.WatchTimeout))
	}
	return calls
}

func (f *Follower) due(k CallKind, now time.Time) bool {
	return f.calls[k].id == 0 && !now.Before(f.calls[k].due)
}

func (f *Follower) start(k CallKind, now time.Time, timeout time.Duration) Call {
	f.id++
	d := &f.calls[k]
	d.id, d.version, d.missedUpdate, d.started = f.id, f.version, false, now
	f.stats.Calls[k]++
	return Call{Kind: k, ID: f.id, Version: f.version, Digest: f.replica.Digest(), Timeout: timeout}
}

// Done processes the result of a call. The result of a call that was abandoned is
// still applied, because revisions never decrease.
func (f *Follower) Done(now time.Time, r Result) {
	d := &f.calls[r.Call.Kind]
	current := d.id == r.Call.ID
	if current {
		d.id = 0
	}
	unchanged := isKind(r.Err, KindWatchTimeout)
	noHead := r.Call.Kind == CallCheck && isKind(r.Err, KindNotFound)
	if unchanged || noHead {
		f.recordSuccess(now, r.Call.Kind, current)
		return
	}
	if r.Err != nil || !f.applyResult(now, r) {
		f.recordFailure(now, r, current)
		return
	}
	f.recordSuccess(now, r.Call.Kind, current)
}

// applyResult passes the result to the replica and reports whether it was usable.
func (f *Follower) applyResult(now time.Time, r Result) bool {
	if r.Call.Kind == CallLoad {
		err := f.replica.ReceiveLoad(now, r.Bulk)
		f.loadNeeded = err != nil && !errors.Is(err, ErrNoProgress)
		return !f.loadNeeded
	}
	h, err := DecodeHead(r.Value.Data)
	if err != nil {
		return false
	}
	if r.Call.Kind == CallCheck {
		f.checkWatch(r.Value.Version)
	}
	f.version = max(f.version, r.Value.Version)
	f.loadNeeded = f.replica.ReceiveHead(now, h) || f.loadNeeded
	return true
}

// checkWatch abandons the watch if two reads in a row have returned a version
// above the one that the watch waits for. A watch can stop without an error when
// an intermediary drops it or the store loses it; it is detected by reads that
// return a newer version. Without this check, changes would no longer reach this
// process, although it would seem up to date.
func (f *Follower) checkWatch(version uint64) {
	w := &f.calls[CallWatch]
	switch {
	case w.id == 0 || version <= w.version:
		return
	case !w.missedUpdate: // the answer of the watch may still arrive
		w.missedUpdate = true
	default:
		w.id = 0
		f.stats.Stopped++
	}
}

func (f *Follower) recordSuccess(now time.Time, k CallKind, current bool) {
	if !current {
		return
	}
	d := &f.calls[k]
	d.failures = 0
	d.due = now
	if k == CallCheck {
		d.due = now.Add(f.cfg.CheckInterval)
	}
}

// recordFailure schedules the next call by exponential backoff with jitter, so
// that followers that lost the store at the same time don't retry at the same
// time.
func (f *Follower) recordFailure(now time.Time, r Result, current bool) {
	f.stats.Failed++
	if !current {
		return
	}
	if r.Call.Kind == CallWatch && now.Sub(f.calls[CallWatch].started) >= f.cfg.WatchTimeout {
		f.stats.Stopped++
	}
	d := &f.calls[r.Call.Kind]
	wait := f.cfg.BackoffBase << min(d.failures, 16)
	wait = min(wait, f.cfg.BackoffMax)
	d.failures++
	d.due = now.Add(wait/2 + time.Duration(f.cfg.Rand.Int64N(int64(wait/2)+1)))
}

// MakeCall makes a call of the store. It blocks until the answer or the call's
// timeout. Errors are returned in Result.Err.
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

// LoadSince returns a bulk that leads from d to the head: the changes if the
// store still keeps them and d belongs to its history, otherwise the whole
// catalogue. It returns the errors of ReadHead and Load.
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
