package store

import (
	"fmt"
	"time"
)

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store: key %q does not exist; create it by a write with expected version 0", e.Key)
}

// ConflictError reports a key that was not changed because its version is not the expected
// one. Current is 0 if the key does not exist or its version is not known.
type ConflictError struct {
	Key      string
	Expected uint64
	Current  uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q not changed: it is at version %d, expected %d; read it again and repeat the change on the value read", e.Key, e.Current, e.Expected)
}

// UnavailableError reports a call without effect, because the store could not be reached,
// refused the call, limited its rate, or gave no usable response to a read.
type UnavailableError struct {
	Op         string
	RetryAfter time.Duration // 0 if the store sent no Retry-After
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s failed without effect: %v; retry it with backoff", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a write without a usable response. The write may have taken
// effect.
type UnknownOutcomeError struct {
	Op  string
	Key string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: no usable response to %s of key %q, its outcome is unknown: %v; read the key to see whether it took effect before writing again", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// LeaseExpiredError reports a lease that has expired, was revoked or never existed.
type LeaseExpiredError struct{ Lease LeaseID }

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("store: lease %q has expired or does not exist; stop acting as the holder of its keys, request a new lease and acquire the keys again", e.Lease)
}

// ValueTooLargeError reports a value that was not written because it is larger than
// MaxValue. Size is in bytes, 0 if the store refused the value.
type ValueTooLargeError struct {
	Key  string
	Size int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: value of %d bytes for key %q not written, the limit is %d bytes; split it over several keys", e.Size, e.Key, MaxValue)
}

// ResponseTooLargeError reports a response that was not read because it exceeds the limit.
// The response to a watch contains all changes since the last one, each with its whole value.
type ResponseTooLargeError struct {
	Op    string
	Limit int64 // in bytes
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("store: response to %s not read, it exceeds the limit of %d bytes; read the current values of the keys instead", e.Op, e.Limit)
}

// WatchTimeoutError reports a watch that ended without a newer version.
type WatchTimeoutError struct {
	Key   string
	After uint64
}

func (e *WatchTimeoutError) Error() string {
	return fmt.Sprintf("store: watch of key %q ended without a version above %d; watch it again", e.Key, e.After)
}

// HistoryLostError reports a watch from a version after which the store no longer has the
// full history. Key is a prefix if keys with a common prefix were watched.
type HistoryLostError struct {
	Key   string
	After uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: can't watch key %q: the store no longer has its history after version %d; read the key and watch it from the version read", e.Key, e.After)
}

// RestoredError reports that the store has been restored from an older copy since it granted
// a lease or reported a version. The lease or the version may be lost, or may have been
// reissued to another process.
type RestoredError struct{ Op string }

func (e *RestoredError) Error() string {
	return fmt.Sprintf("store: %s not confirmed: the store was restored from an older copy, so the lease or version used may be invalid; read the key again and continue from its current value", e.Op)
}
