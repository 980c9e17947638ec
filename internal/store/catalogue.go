package store

import (
	"context"
	"errors"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// ForCatalogue adapts a store to catalogue.Store, through which the catalogue is read and
// edited. Its methods return *catalogue.StoreError.
func ForCatalogue(s Interface) catalogue.Store { return catalogueStore{s} }

type catalogueStore struct{ s Interface }

func (c catalogueStore) Get(ctx context.Context, key string) (catalogue.Stored, error) {
	v, err := c.s.Get(ctx, key)
	return catalogue.Stored(v), catalogueError(err)
}

func (c catalogueStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	version, err := c.s.CompareAndSwap(ctx, key, expect, data, "")
	return version, catalogueError(err)
}

func (c catalogueStore) Delete(ctx context.Context, key string) error {
	return catalogueError(c.s.Delete(ctx, key, 0))
}

func (c catalogueStore) Watch(ctx context.Context, key string, after uint64) (catalogue.Stored, error) {
	v, err := c.s.Watch(ctx, key, after)
	return catalogue.Stored(v), catalogueError(err)
}

func catalogueError(err error) error {
	if err == nil {
		return nil
	}
	kind := catalogue.KindUnavailable
	var (
		notFound *NotFoundError
		conflict *ConflictError
		unknown  *UnknownOutcomeError
		timeout  *WatchTimeoutError
	)
	switch {
	case errors.As(err, &notFound):
		kind = catalogue.KindNotFound
	case errors.As(err, &conflict):
		kind = catalogue.KindConflict
	case errors.As(err, &unknown):
		kind = catalogue.KindUnknown
	case errors.As(err, &timeout):
		kind = catalogue.KindWatchTimeout
	}
	return &catalogue.StoreError{Kind: kind, Err: err}
}
