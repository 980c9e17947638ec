package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

const (
	// firstRetry is the wait between reads before the first value is known: until
	// then the process serves nobody.
	firstRetry = 150 * time.Millisecond
	// othersAfter is the time that the store has for its first answer before
	// other processes are asked too: ten times its usual one.
	othersAfter = 50 * time.Millisecond
)

// Follower learns of each change of one key of the store. It watches the key,
// and reads it when Look asks for that.
type Follower struct {
	Key   string
	Store Store
	// Changed takes a new value and reports whether it can be used.
	Changed func(data []byte) bool
	// Confirmed, if not nil, is told when a read began that found nothing newer
	// than what Changed was told.
	Confirmed func(at time.Time)
	// Look asks for a read besides the watch.
	Look <-chan struct{}
	// Others, if not nil, returns the value as another process has it. It is
	// asked for the first value, and while Behind says that a newer one exists
	// and the store does not answer: a store that is away, or turns this process
	// away alone, else keeps it out of service for as long.
	Others func(ctx context.Context) (store.Value, error)
	Behind func() bool
	Log    *zap.Logger

	mu      sync.Mutex  // guards version, usable, failing and calls of Changed
	version uint64      // of the latest value
	usable  store.Value // latest one that could be used
	failing bool
}

// Value returns the latest value that could be used, with version 0 if there is
// none.
func (f *Follower) Value() store.Value {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usable
}

// Run follows the key until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var looking sync.WaitGroup
	defer looking.Wait()
	looking.Go(func() { f.looks(ctx) })
	looking.Go(func() { f.starts(ctx) })
	f.watches(ctx)
	return nil
}

// watches reads the key and then waits for one change after the other.
func (f *Follower) watches(ctx context.Context) {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	read := true
	for ctx.Err() == nil {
		var err error
		if read {
			err = f.read(ctx)
		} else {
			err = f.watch(ctx)
		}
		f.noteStore(err)
		read = err != nil
		var lost *store.HistoryLostError
		if err == nil || errors.As(err, &lost) {
			backoff.Reset()
			continue
		}
		wait := backoff.Next()
		if f.known() == 0 {
			wait = firstRetry
		}
		sleep(ctx, wait)
	}
}

// looks reads the key whenever Look asks for it. It does not touch the watch:
// a watch given up for each look would cost another call.
func (f *Follower) looks(ctx context.Context) {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.Look:
		}
		if err := f.read(ctx); err != nil {
			f.askOthers(ctx)
			sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
	}
}

// starts asks other processes for the first value until there is one.
func (f *Follower) starts(ctx context.Context) {
	sleep(ctx, othersAfter)
	for ctx.Err() == nil && f.known() == 0 {
		f.askOthers(ctx)
		sleep(ctx, firstRetry)
	}
}

// askOthers takes the value as another process has it, if a newer one is missed.
func (f *Follower) askOthers(ctx context.Context) {
	if f.Others == nil || !f.Behind() {
		return
	}
	v, err := f.Others(ctx)
	if err != nil {
		f.Log.Info("no value from other processes", zap.String("key", f.Key), zap.Error(err))
		return
	}
	f.Log.Info("value from another process", zap.String("key", f.Key), zap.Uint64("version", v.Version), zap.Uint64("known", f.known()))
	f.take(v)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// known returns the version of the value last taken, 0 for none.
func (f *Follower) known() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// noteStore logs the store's loss and its return.
func (f *Follower) noteStore(err error) {
	var missing *store.NotFoundError
	failed := err != nil && !errors.As(err, &missing)
	f.mu.Lock()
	defer f.mu.Unlock()
	if failed == f.failing {
		return
	}
	f.failing = failed
	if failed {
		f.Log.Warn("store lost", zap.String("duty", "follow"), zap.String("key", f.Key), zap.Error(err))
	} else {
		f.Log.Info("store regained", zap.String("duty", "follow"), zap.String("key", f.Key))
	}
}

func (f *Follower) read(ctx context.Context) error {
	at := Now()
	v, err := f.Store.Get(ctx, f.Key)
	if err != nil {
		return err
	}
	f.take(v)
	if f.Confirmed != nil {
		f.Confirmed(at)
	}
	return nil
}

// watch waits for the next change.
func (f *Follower) watch(ctx context.Context) error {
	v, err := f.Store.Watch(ctx, f.Key, f.known())
	var timeout *store.WatchTimeoutError
	if errors.As(err, &timeout) {
		return nil
	}
	if err != nil {
		return err
	}
	f.take(v)
	return nil
}

func (f *Follower) take(v store.Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Version <= f.version {
		return
	}
	f.version = v.Version
	if f.Changed(v.Data) {
		f.usable = v
	}
}
