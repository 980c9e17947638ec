package node

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/propagation"
)

// Plan decides when a Follower calls the store and when it takes the value from other
// processes. Its methods are safe for concurrent use.
type Plan interface {
	// StoreCall returns the call that is due now. One that is not None counts as
	// begun, and StoreCalled is told its end.
	StoreCall() propagation.Call
	StoreCalled(c propagation.Call, begun time.Time, o propagation.Outcome)
	// Fetch returns the processes of which one is to be asked for the value. ok is
	// false if none is; else the question counts as begun, and Fetched ends it.
	// Receiving is told when a process begins to send the value.
	Fetch() (from []netip.AddrPort, ok bool)
	Receiving()
	Fetched()
}

// ValueSource reads one value in the store. A value that is the same as the known one
// keeps its version.
type ValueSource interface {
	// Name tells what is read, for logs.
	Name() string
	Read(ctx context.Context, known store.Value) (store.Value, error)
	// Watch waits for a value other than the known one, and returns that if there is
	// none in the time that the store waits. Errors: *store.HistoryLostError.
	Watch(ctx context.Context, known store.Value) (store.Value, error)
	// Merge returns what holds of a known value and another one, which the store or
	// another process has. It has the higher version of the two.
	Merge(known, other store.Value) store.Value
	// ContentNumber returns the number that the writer gave to a value's content, 0 if none.
	// A higher one is newer, whatever the version.
	ContentNumber(data []byte) uint64
}

// Follower learns of each change of one value, from the store or from other processes,
// as its Plan decides.
type Follower struct {
	Source ValueSource
	Plan   Plan
	// Changed takes a new value and reports whether it can be used.
	Changed func(store.Value) bool
	// Due tells that the Plan may have something to do.
	Due <-chan struct{}
	Log *zap.Logger

	served encodings // latest value that could be used

	takeMu         sync.Mutex  // held while a value is taken: one call of Changed at a time
	mu             sync.Mutex  // guards the fields below
	latest         store.Value // whether it could be used or not
	content        uint64      // its number
	storeFailing   bool
	initFirstValue sync.Once
	firstValue     chan struct{} // closed once there is a value
}

// Run follows the key until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	defer duties.Wait()
	others := NewValueClient()
	others.BodyStarted, others.ContentNumber = f.Plan.Receiving, f.Source.ContentNumber
	calls, fetches := make(chan struct{}, 1), make(chan struct{}, 1)
	duties.Go(func() { f.storeLoop(ctx, calls) })
	duties.Go(func() { f.fetchLoop(ctx, others, fetches) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Due:
			signal(calls)
			signal(fetches)
		}
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// storeLoop is the duty that storeLoop the store.
func (f *Follower) storeLoop(ctx context.Context, due <-chan struct{}) {
	for ctx.Err() == nil {
		c := f.Plan.StoreCall()
		if c == propagation.None {
			select {
			case <-ctx.Done():
			case <-due:
			}
			continue
		}
		begun := Now()
		err := f.callStore(ctx, c)
		f.logStoreState(err)
		f.Plan.StoreCalled(c, begun, outcome(err))
	}
}

func outcome(err error) propagation.Outcome {
	var lost *store.HistoryLostError
	switch {
	case err == nil:
		return propagation.Answered
	case errors.As(err, &lost):
		return propagation.HistoryLost
	}
	return propagation.Failed
}

func (f *Follower) callStore(ctx context.Context, c propagation.Call) error {
	if c == propagation.Watch {
		return f.watch(ctx)
	}
	return f.read(ctx)
}

// fetchLoop is the duty that takes the value from other processes.
func (f *Follower) fetchLoop(ctx context.Context, others *ValueClient, due <-chan struct{}) {
	for ctx.Err() == nil {
		from, ok := f.Plan.Fetch()
		if !ok {
			select {
			case <-ctx.Done():
			case <-due:
			}
			continue
		}
		f.fetch(ctx, others, from)
		f.Plan.Fetched()
	}
}

func (f *Follower) fetch(ctx context.Context, others *ValueClient, from []netip.AddrPort) {
	known, begun := f.known(), Now()
	v, err := others.Fetch(ctx, from, known)
	took := Now().Sub(begun)
	if err != nil {
		f.Log.Info("no value from other processes", zap.String("key", f.Source.Name()), zap.Duration("took", took), zap.Error(err))
		return
	}
	f.Log.Info("value from another process", zap.String("key", f.Source.Name()), VersionField("version", v.Version), VersionField("known", known.Version),
		zap.Stringer("process", v.Process), zap.Int64("bytes", v.Bytes), zap.Duration("took", took))
	f.take(v.Value)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// known returns the value last taken, with version 0 for none.
func (f *Follower) known() store.Value {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// logStoreState logs the store's loss and its return.
func (f *Follower) logStoreState(err error) {
	var missing *store.NotFoundError
	failed := err != nil && !errors.As(err, &missing)
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed == f.storeFailing {
		return
	}
	f.storeFailing = failed
	if failed {
		f.Log.Warn("store lost", zap.String("duty", "follow"), zap.String("key", f.Source.Name()), zap.Error(err))
	} else {
		f.Log.Info("store regained", zap.String("duty", "follow"), zap.String("key", f.Source.Name()))
	}
}

func (f *Follower) read(ctx context.Context) error {
	known := f.known()
	v, err := f.Source.Read(ctx, known)
	if err != nil {
		return err
	}
	if known.Version == 0 && store.EraOf(v.Version) != 0 {
		f.awaitPeerValue(ctx, v)
	}
	f.take(v)
	return nil
}

// awaitPeerValue waits until another process has told its value, for propagation.AskFirst at
// most. The store has come back from an older copy: what it has may be older than what
// other processes have, and must not be undone by a process that starts.
func (f *Follower) awaitPeerValue(ctx context.Context, found store.Value) {
	begun := Now()
	select {
	case <-ctx.Done():
	case <-f.hasValue():
	case <-time.After(propagation.AskFirst):
	}
	f.Log.Info("others asked before the store's value is taken", zap.String("key", f.Source.Name()), VersionField("version", found.Version),
		zap.Bool("told", f.known().Version != 0), zap.Duration("took", Now().Sub(begun)))
}

// hasValue returns the channel that is closed once there is a value.
func (f *Follower) hasValue() chan struct{} {
	f.initFirstValue.Do(func() { f.firstValue = make(chan struct{}) })
	return f.firstValue
}

// watch waits for the next change.
func (f *Follower) watch(ctx context.Context) error {
	v, err := f.Source.Watch(ctx, f.known())
	if err != nil {
		return err
	}
	f.take(v)
	return nil
}

// take puts what holds of the known value and v in force, if that is newer.
func (f *Follower) take(v store.Value) {
	f.takeMu.Lock()
	defer f.takeMu.Unlock()
	known := f.known()
	v = f.Source.Merge(known, v)
	if v.Version <= known.Version && bytes.Equal(v.Data, known.Data) {
		return
	}
	content := f.Source.ContentNumber(v.Data)
	if v.Version <= known.Version && content <= f.knownContent() {
		return
	}
	if known.Version != 0 && store.EraOf(v.Version) != store.EraOf(known.Version) {
		f.Log.Warn("store came back from an older copy", zap.String("key", f.Source.Name()), VersionField("version", v.Version), VersionField("known", known.Version), zap.Uint64("content", content))
	}
	f.setLatest(v, content)
	if f.Changed(v) {
		f.served.set(v, content)
	}
	if known.Version == 0 {
		close(f.hasValue())
	}
}

// setLatest notes a value and the number of its content.
func (f *Follower) setLatest(v store.Value, content uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest, f.content = v, content
}

// knownContent returns the number of the content last taken.
func (f *Follower) knownContent() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content
}
