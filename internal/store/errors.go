package store

import (
	"fmt"
	"time"
)

// NotFoundError reports a key that holds no value.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store: key %q holds no value; write it with expected version 0", e.Key)
}

// ConflictError reports a key whose version is not the expected one. Current
// is 0 when the key holds no value.
type ConflictError struct {
	Key      string
	Expected uint64
	Current  uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q is at version %d, not %d; read it again and redo the change on what you read", e.Key, e.Current, e.Expected)
}

// UnavailableError reports a call that had no effect because the service
// could not be reached, refused it or was over its rate.
type UnavailableError struct {
	Op         string
	RetryAfter time.Duration // 0 if the service named none
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s did not run: %v; repeat it after a backoff", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a write whose answer was lost. It may have
// taken effect.
type UnknownOutcomeError struct {
	Op  string
	Key string
	Err error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: the answer to %s of key %q was lost: %v; read the key to learn whether it took effect before writing again", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// LeaseExpiredError reports a lease that has ended or never was.
type LeaseExpiredError struct{ Lease LeaseID }

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("store: lease %q has ended; stop acting as its holder, grant a new lease and compete again", e.Lease)
}

// ValueTooLargeError reports a value over MaxValue.
type ValueTooLargeError struct {
	Key  string
	Size int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: value of %d bytes for key %q is over the limit of %d bytes; split it over several keys", e.Size, e.Key, MaxValue)
}

// ResponseTooLargeError reports an answer that is longer than is taken. A watch's answer holds every
// change that was made meanwhile, each with its whole value.
type ResponseTooLargeError struct {
	Op    string
	Limit int64 // in bytes
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("store: the answer to %s is over the limit of %d bytes; read the keys as they are now", e.Op, e.Limit)
}

// WatchTimeoutError reports a watch that ended without a newer version.
type WatchTimeoutError struct {
	Key   string
	After uint64
}

func (e *WatchTimeoutError) Error() string {
	return fmt.Sprintf("store: key %q has no version above %d yet; watch it again", e.Key, e.After)
}

// HistoryLostError reports a watch from a revision that the service no longer
// has the history of.
type HistoryLostError struct {
	Key   string
	After uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store: the history of key %q after version %d is gone; read the key and watch from there", e.Key, e.After)
}

// RestoredError reports that the service has come back from an older copy since a lease,
// or a version, was learnt of it: both may be gone, or be another writer's by now.
type RestoredError struct{ Op string }

func (e *RestoredError) Error() string {
	return fmt.Sprintf("store: it came back from an older copy, and what %s relied on may be gone; read the key again and go on from what is there", e.Op)
}
