// Package store reads and writes the platform's key-value service: values
// under compare-and-swap, leases and waiting watches. Interface is what the
// rest of the system sees; Client speaks HTTP/1.1 with JSON bodies.
package store

import (
	"context"
	"time"
)

// MaxValue is the largest value in bytes that the service holds.
const MaxValue = 1 << 20

// LeaseID names a lease. The empty ID is no lease: the value stays until it
// is deleted.
type LeaseID string

// Value is what a key holds. Version grows with every write to any key, so a
// key that is deleted and written again never repeats a version. VersionAt says
// what it is made of.
type Value struct {
	Data    []byte
	Version uint64
}

// Interface is the platform's key-value service. Every method may return an
// *UnavailableError; the other errors are named at each method.
type Interface interface {
	// Get reads a key. Errors: *NotFoundError.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is at version expect, where 0
	// means that it must not exist. A value under a lease is removed when the
	// lease ends. Errors: *ConflictError, *LeaseExpiredError,
	// *ValueTooLargeError and *UnknownOutcomeError. The call is sent at most once.
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease LeaseID) (uint64, error)
	// Delete removes a key that is at version expect, or at any version if
	// expect is 0. Errors: *NotFoundError, *ConflictError and
	// *UnknownOutcomeError.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant starts a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl from now. Errors: *LeaseExpiredError and
	// *RestoredError.
	Renew(ctx context.Context, lease LeaseID) error
	// Watch waits until the key's version is above after and returns its
	// value. Errors: *WatchTimeoutError when the server's wait ends first,
	// *NotFoundError when after is not 0 and the key is gone.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
}

// Item is one key with its value.
type Item struct {
	Key string
	Value
	Lease LeaseID // that the key ends with; empty: none
}

// Snapshot is the items below a prefix as they were at one version of the store.
type Snapshot struct {
	Items    []Item
	Revision uint64 // as VersionAt returns it
}

// Change is one change of a key below a prefix.
type Change struct {
	Key     string
	Value        // Version is that of the change
	Removed bool // the key holds nothing any more
}

// PrefixWatcher is what a store offers beyond Interface to those who follow several keys as
// one.
type PrefixWatcher interface {
	// Snapshot reads the items whose keys begin with prefix, all at the same revision.
	Snapshot(ctx context.Context, prefix string) (Snapshot, error)
	// Changes waits for changes below prefix after a version and returns them in the
	// order in which they were made, with the version up to which there are no others.
	// The list is empty if there was none in the time that the store waits. Errors:
	// *HistoryLostError, also if the store has come back from an older copy, and
	// *ResponseTooLargeError if the changes together are longer than the largest value.
	Changes(ctx context.Context, prefix string, after uint64) (list []Change, upTo uint64, err error)
}

// Registry is what a store offers beyond Interface, for keys that introduce
// processes to each other.
type Registry interface {
	// List returns the items whose keys begin with prefix. stale allows an
	// answer that may be seconds old.
	List(ctx context.Context, prefix string, stale bool) ([]Item, error)
	// Put writes data whatever the key holds. It may be repeated. Errors:
	// *LeaseExpiredError, *RestoredError and *UnknownOutcomeError.
	Put(ctx context.Context, key string, data []byte, lease LeaseID) error
	// Revoke ends a lease; its keys are removed. Errors: *RestoredError.
	Revoke(ctx context.Context, lease LeaseID) error
}
