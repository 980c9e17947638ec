package catalogue

import (
	"context"
	"errors"
	"fmt"
)

// Stored is the value of a key of the store.
type Stored struct {
	Data    []byte
	Version uint64 // grows with every write of the key
}

// Store is what the package needs of a key-value service. Its errors are
// *StoreError; any other error counts as KindUnavailable.
type Store interface {
	Get(ctx context.Context, key string) (Stored, error)
	// CompareAndSwap writes data if the key is at version expect, where 0
	// means that it must not exist, and returns the new version.
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error)
	// Delete removes a key at any version.
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's version is above after.
	Watch(ctx context.Context, key string, after uint64) (Stored, error)
}

// StoreKind says what a failed call of the store means for the caller.
type StoreKind uint8

// The kinds of StoreError.
const (
	KindUnavailable  StoreKind = iota // the call had no effect
	KindNotFound                      // the key holds no value
	KindConflict                      // the key is at another version; nothing was written
	KindUnknown                       // the write may have taken effect
	KindWatchTimeout                  // no newer version within the store's wait
)

// StoreError reports a failed call of the store.
type StoreError struct {
	Kind StoreKind
	Err  error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("catalogue: %v", e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

func kindOf(err error) StoreKind {
	var s *StoreError
	if errors.As(err, &s) {
		return s.Kind
	}
	return KindUnavailable
}

func isKind(err error, k StoreKind) bool { return err != nil && kindOf(err) == k }
