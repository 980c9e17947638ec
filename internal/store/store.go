// Package store defines the interface of the key-value store, with compare-and-swap writes,
// leases and blocking watches. Client implements Interface over HTTP/1.1 with JSON bodies.
package store

import (
	"context"
	"time"
)

// MaxValue is the size of the largest value that the store accepts, in bytes.
const MaxValue = 1 << 20

// LeaseID identifies a lease. A value written with the empty ID has no lease and stays until
// it is deleted.
type LeaseID string

// Value is the value of a key. Version is the store's version at the write of the value. It
// grows with every write to any key, so a key that is deleted and written again never has
// the same version twice. VersionAt describes its parts.
type Value struct {
	Data    []byte
	Version uint64
}

// Interface is a key-value store. Every method may return an *UnavailableError; the other
// errors are listed at each method.
type Interface interface {
	// Get reads a key. Errors: *NotFoundError.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is at version expect, where 0 means that the
	// key must not exist, and returns the new version. A value with a lease is removed when
	// the lease ends. The call is sent at most once. Errors: *ConflictError,
	// *LeaseExpiredError, *RestoredError, *ValueTooLargeError and *UnknownOutcomeError.
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease LeaseID) (uint64, error)
	// Delete removes a key that is at version expect, or at any version if
	// expect is 0. Errors: *NotFoundError, *ConflictError and
	// *UnknownOutcomeError.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant creates a lease that ends ttl after its grant or its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its ttl from now. Errors: *LeaseExpiredError and
	// *RestoredError.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch waits until the key's version is above after and returns the key's value.
	// Errors: *WatchTimeoutError if the store's wait ends first, *NotFoundError if after is
	// not 0 and the key has been removed.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Item is a key with its value.
type Item struct {
	Key string
	Value
	Lease LeaseID // the key is removed when this lease ends; empty: no lease
}

// Snapshot is the items whose keys begin with a prefix, at one version of the store.
type Snapshot struct {
	Items   []Item
	Version uint64 // of the store, as returned by VersionAt
}

// Change is a write or a removal of a key.
type Change struct {
	Key     string
	Value        // with the version of the change
	Removed bool // the key was removed
}

// PrefixWatcher is the part of a store with which a process reads and watches all keys with
// a common prefix as one state.
type PrefixWatcher interface {
	// Snapshot reads the items whose keys begin with prefix, all at the same version.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Changes waits for changes after a version of keys that begin with prefix. It returns
	// them in the order in which they were made, with the version up to which the list is
	// complete. The list is empty if nothing changed while the store waited. Errors:
	// *HistoryLostError, also if the store has been restored from an older copy, and
	// *ResponseTooLargeError if all changes together are longer than the largest value.
	Changes(ctx context.Context, prefix string, after uint64) (list []Change, upTo uint64, err error)
}

// Registry is the part of a store in which processes register: each keeps its own key and
// lists the keys of the others.
type Registry interface {
	// List returns the items whose keys begin with prefix. If stale is true, the list may
	// be some seconds old.
	List(ctx context.Context, prefix string, stale bool) ([]Item, error)
	// Put writes data without a check of the key's version, so it may be repeated. Errors:
	// *LeaseExpiredError, *RestoredError and *UnknownOutcomeError.
	Put(ctx context.Context, key string, data []byte, lease LeaseID) error
	// Revoke ends a lease, which removes its keys. Errors: *RestoredError.
	Revoke(ctx context.Context, lease LeaseID) error
}
