package catalogue

import (
	"context"
	"errors"
	"fmt"
)

// Stored is the value of a key in the store.
type Stored struct {
	Data    []byte
	Version uint64 // increases with every write of the key
}

// Store is the interface of the key-value service that holds the catalogue. Its
// errors are *StoreError; any other error is treated as KindUnavailable.
type Store interface {
	// Get returns the value of a key, or an error of KindNotFound.
	Get(ctx context.Context, key string) (Stored, error)
	// CompareAndSwap writes data if the key is at version expect and returns the
	// new version. An expect of 0 means that the key must not exist. It returns
	// an error of KindConflict if the key is at another version, and of
	// KindUnknown if the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error)
	// Delete removes a key, whatever its version.
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's version is above after and returns the value,
	// or an error of KindWatchTimeout.
	Watch(ctx context.Context, key string, after uint64) (Stored, error)
}

// StoreKind is the kind of a StoreError.
type StoreKind uint8

// The kinds of StoreError.
const (
	KindUnavailable  StoreKind = iota // the call had no effect
	KindNotFound                      // the key does not exist
	KindConflict                      // the key is at another version; nothing was written
	KindUnknown                       // the write may have taken effect
	KindWatchTimeout                  // no newer version before the store's watch timeout
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
