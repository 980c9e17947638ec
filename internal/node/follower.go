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

// Plan decides when a Follower calls the store and when it fetches the value from other
// processes. Its methods are safe for concurrent use.
type Plan interface {
	// StoreCall returns the call that is due now. A call other than None counts as
	// started, and StoreCalled has to be called when it has ended.
	StoreCall() propagation.Call
	StoreCalled(c propagation.Call, begun time.Time, o propagation.Outcome)
	// Fetch returns the processes from which the value is to be fetched. ok is false if
	// no fetch is due; otherwise the fetch counts as started until Fetched is called.
	// Receiving is called when a process starts to send the value.
	Fetch() (from []netip.AddrPort, ok bool)
	Receiving()
	Fetched()
}

// ValueSource reads one value from the store. It returns the known version for a value
// that equals the known one.
type ValueSource interface {
	// Name returns the key or key prefix of the value, for logs.
	Name() string
	Read(ctx context.Context, known store.Value) (store.Value, error)
	// Watch waits for a value that differs from the known one. It returns the known one
	// if there is no change within the store's watch time. Errors: *store.HistoryLostError.
	Watch(ctx context.Context, known store.Value) (store.Value, error)
	// Merge combines the known value with another one, read from the store or received
	// from a process. The result has the higher version of the two.
	Merge(known, other store.Value) store.Value
	// ContentNumber returns the number that the writer gave to a value's content, 0 if
	// there is none. A higher number is newer, regardless of the version.
	ContentNumber(data []byte) uint64
}

// Follower keeps one value up to date from the store or from other processes, as its Plan
// decides.
type Follower struct {
	Source ValueSource
	Plan   Plan
	// Changed applies a new value and reports whether it is valid.
	Changed func(store.Value) bool
	// Due is signalled when a call or a fetch may be due.
	Due <-chan struct{}
	Log *zap.Logger

	served encodings // latest valid value, as served to other processes

	takeMu         sync.Mutex  // held during take, so that calls of Changed do not overlap
	mu             sync.Mutex  // guards the fields below
	latest         store.Value // latest value taken, whether valid or not
	content        uint64      // content number of latest
	storeFailing   bool
	initFirstValue sync.Once
	firstValue     chan struct{} // closed when the first value has been taken
}

// Run keeps the value up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	client := NewValueClient()
	client.BodyStarted, client.ContentNumber = f.Plan.Receiving, f.Source.ContentNumber
	calls, fetches := make(chan struct{}, 1), make(chan struct{}, 1)
	loops.Go(func() { f.storeLoop(ctx, calls) })
	loops.Go(func() { f.fetchLoop(ctx, client, fetches) })
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

// storeLoop makes the calls to the store that are due.
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
	var missing *store.NotFoundError
	switch {
	case err == nil:
		return propagation.Answered
	case errors.As(err, &lost):
		return propagation.HistoryLost
	case errors.As(err, &missing):
		return propagation.Absent
	}
	return propagation.Failed
}

func (f *Follower) callStore(ctx context.Context, c propagation.Call) error {
	if c == propagation.Watch {
		return f.watch(ctx)
	}
	return f.read(ctx)
}

// fetchLoop makes the fetches from other processes that are due.
func (f *Follower) fetchLoop(ctx context.Context, client *ValueClient, due <-chan struct{}) {
	for ctx.Err() == nil {
		from, ok := f.Plan.Fetch()
		if !ok {
			select {
			case <-ctx.Done():
			case <-due:
			}
			continue
		}
		f.fetch(ctx, client, from)
		f.Plan.Fetched()
	}
}

func (f *Follower) fetch(ctx context.Context, client *ValueClient, from []netip.AddrPort) {
	known, begun := f.known(), Now()
	v, err := client.Fetch(ctx, from, known)
	took := Now().Sub(begun)
	if err != nil {
		f.Log.Info("no newer value from other processes", zap.String("key", f.Source.Name()), zap.Duration("took", took), zap.Error(err))
		return
	}
	f.Log.Info("value received from another process", zap.String("key", f.Source.Name()), VersionField("version", v.Version), VersionField("known", known.Version),
		zap.Stringer("process", v.Process), zap.Int64("bytes", v.Bytes), zap.Duration("took", took))
	f.take(v.Value)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// known returns the latest value taken. Its version is 0 if there is none.
func (f *Follower) known() store.Value {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// logStoreState logs when calls to the store begin to fail and when they succeed again.
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
		f.Log.Warn("store not available, retrying", zap.String("task", "follow"), zap.String("key", f.Source.Name()), zap.Error(err))
	} else {
		f.Log.Info("store available again", zap.String("task", "follow"), zap.String("key", f.Source.Name()))
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

// awaitPeerValue waits until a value has been received from another process, for at most
// propagation.PeerQueryTimeout. The store has been restored from an older copy, so its value may be
// older than that of the other processes, and a process that starts must not revert to it.
func (f *Follower) awaitPeerValue(ctx context.Context, found store.Value) {
	begun := Now()
	select {
	case <-ctx.Done():
	case <-f.hasValue():
	case <-time.After(propagation.PeerQueryTimeout):
	}
	f.Log.Info("waited for other processes' value before using the restored store's value", zap.String("key", f.Source.Name()), VersionField("version", found.Version),
		zap.Bool("received", f.known().Version != 0), zap.Duration("took", Now().Sub(begun)))
}

// hasValue returns the channel that is closed when the first value has been taken.
func (f *Follower) hasValue() chan struct{} {
	f.initFirstValue.Do(func() { f.firstValue = make(chan struct{}) })
	return f.firstValue
}

// watch waits for the next change in the store.
func (f *Follower) watch(ctx context.Context) error {
	v, err := f.Source.Watch(ctx, f.known())
	if err != nil {
		return err
	}
	f.take(v)
	return nil
}

// take merges v with the known value and puts the result in force if it is newer.
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
		f.Log.Warn("store was restored from an older copy", zap.String("key", f.Source.Name()), VersionField("version", v.Version), VersionField("known", known.Version), zap.Uint64("content", content))
	}
	f.setLatest(v, content)
	if f.Changed(v) {
		f.served.set(v, content)
	}
	if known.Version == 0 {
		close(f.hasValue())
	}
}

// setLatest records a value and its content number.
func (f *Follower) setLatest(v store.Value, content uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest, f.content = v, content
}

// knownContent returns the content number of the latest value taken.
func (f *Follower) knownContent() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content
}
