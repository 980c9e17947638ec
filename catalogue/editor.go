package catalogue

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Editor edits the catalogue in the store. It is safe for concurrent use.
type Editor struct {
	Store Store
	Now   func() time.Time // time.Now if nil

	sizes layoutSizes // defaultSizes if zero
}

// Accepted describes an edit that has been written to the store. Every node
// applies it within seconds, and it is not reverted.
type Accepted struct {
	Revision uint64 // of the edit's last change, or the revision read if nothing changed
	Edit     EditID
	Changes  []Change // empty if the catalogue already matched the edit
}

// RefusedError reports an edit that has had no effect and will have none.
type RefusedError struct {
	Err     error    // reason, with the remedy
	Changes []Change // conflicting changes since the edit's base revision, if any
}

func (e *RefusedError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// StaleError reports an edit of an entry that has changed since revision Base,
// which the edit is based on.
type StaleError struct {
	Service  string
	Base     uint64
	Revision uint64 // of the newest change of the service
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("catalogue: service %q changed in revision %d after you read revision %d; read it again, merge and apply", e.Service, e.Revision, e.Base)
}

// BaseError reports an edit whose base revision is outside the kept history,
// from Oldest to Revision.
type BaseError struct{ Base, Oldest, Revision uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("catalogue: base revision %d is outside of the kept history, %d to %d; read the catalogue again and redo the edit", e.Base, e.Oldest, e.Revision)
}

// NotAppliedError reports an edit that did not take effect, because another edit
// took its Revision.
type NotAppliedError struct {
	Edit     EditID
	Revision uint64
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("catalogue: edit %s did not take effect and never will, revision %d is another edit's; apply it again", e.Edit, e.Revision)
}

// UnknownOutcomeError reports an edit that may or may not have taken effect.
// Editor.Resolve with Edit determines the outcome.
type UnknownOutcomeError struct {
	Edit EditID
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown whether edit %s took effect: %v; ask again with this edit ID before you edit the same entries", e.Edit, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// errOutcomePending is the cause of an UnknownOutcomeError for an edit based on
// the current head: its write may still reach the store.
var errOutcomePending = errors.New("it is not in the store yet, but can still arrive until a later edit is accepted")

// errOutsideHistory is the cause of an UnknownOutcomeError for an edit that is
// older than the kept history.
var errOutsideHistory = errors.New("it is older than the kept history; compare the entries themselves")

// Apply applies an edit as a whole. It returns a *RefusedError or an
// *UnknownOutcomeError; Accepted is valid only without an error. If a
// concurrent edit is written first, Apply checks the edit against the new head
// and tries again.
func (ed *Editor) Apply(ctx context.Context, e Edit) (Accepted, error) {
	if n := len(e.Put) + len(e.Delete); n > MaxEdit {
		return Accepted{}, refused(fmt.Errorf("catalogue: edit of %d entries is over the limit of %d; split it", n, MaxEdit))
	}
	for {
		a, err := ed.attempt(ctx, &e)
		if !isKind(err, KindConflict) {
			return a, err
		}
	}
}

func refused(err error) *RefusedError { return &RefusedError{Err: err} }

// attempt reads the head, plans the edit on top of it and replaces the head by
// compare-and-swap. It returns an error of KindConflict if another edit came
// first.
func (ed *Editor) attempt(ctx context.Context, e *Edit) (Accepted, error) {
	c, h, version, err := Load(ctx, ed.Store)
	if err != nil {
		return Accepted{}, refused(err)
	}
	if e.Base == 0 {
		e.Base = h.Revision
	}
	if err := ed.checkStale(ctx, h, *e); err != nil {
		return Accepted{}, err
	}
	id := NewEditID(h.Revision)
	changes, err := c.Plan(*e, id, ed.now())
	if err != nil {
		return Accepted{}, refused(err)
	}
	if len(changes) == 0 {
		return Accepted{Revision: h.Revision, Edit: id}, nil
	}
	next, err := ed.extend(ctx, c, h, changes)
	if err != nil {
		return Accepted{}, refused(err)
	}
	err = ed.swap(ctx, id, version, next)
	if isKind(err, KindConflict) {
		ed.discard(ctx, h, next)
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Revision: next.Revision, Edit: id, Changes: changes}, nil
}

func (ed *Editor) now() time.Time {
	if ed.Now != nil {
		return ed.Now()
	}
	return time.Now()
}

func (ed *Editor) layoutSizes() layoutSizes {
	if ed.sizes == (layoutSizes{}) {
		return defaultSizes
	}
	return ed.sizes
}

// checkStale refuses an edit of a service that has changed since the edit's base
// revision. Otherwise the slower of two operators would silently overwrite the
// other's edit.
func (ed *Editor) checkStale(ctx context.Context, h Head, e Edit) error {
	if e.Base == h.Revision {
		return nil
	}
	if e.Base > h.Revision || e.Base < h.oldest() {
		return refused(&BaseError{e.Base, h.oldest(), h.Revision})
	}
	changes, err := h.changesAfter(ctx, ed.Store, e.Base)
	if err != nil {
		return refused(err)
	}
	services := e.services()
	var conflicting []Change
	for _, ch := range changes {
		if services[ch.Entry.Service] {
			conflicting = append(conflicting, ch)
		}
	}
	if len(conflicting) == 0 {
		return nil
	}
	last := conflicting[len(conflicting)-1]
	return &RefusedError{Err: &StaleError{last.Entry.Service, e.Base, last.Revision}, Changes: conflicting}
}

// resolveAttempts is the number of times that swap resolves and repeats a write
// whose answer was lost before it returns an UnknownOutcomeError.
const resolveAttempts = 5

// swap writes the head and, if the answer is lost, determines the outcome by
// reading the head back. While the head is still at the edit's base revision,
// the same compare-and-swap can be repeated: at most one of the two succeeds.
func (ed *Editor) swap(ctx context.Context, id EditID, version uint64, next Head) error {
	data := encode(next)
	_, err := ed.Store.CompareAndSwap(ctx, HeadKey, version, data)
	if err == nil || isKind(err, KindConflict) {
		return err
	}
	if !isKind(err, KindUnknown) {
		return refused(err)
	}
	for range resolveAttempts {
		_, resolveErr := ed.Resolve(ctx, id)
		var notApplied *NotAppliedError
		switch {
		case resolveErr == nil:
			return nil
		case errors.As(resolveErr, &notApplied):
			return &StoreError{KindConflict, resolveErr}
		case !errors.Is(resolveErr, errOutcomePending):
			return &UnknownOutcomeError{id, err}
		}
		if _, err = ed.Store.CompareAndSwap(ctx, HeadKey, version, data); err == nil {
			return nil
		}
	}
	return &UnknownOutcomeError{id, err}
}

// Resolve determines the outcome of an edit whose answer was lost. It returns a
// *RefusedError if the edit can no longer take effect, and an
// *UnknownOutcomeError if it still can, if it is older than the kept history or
// if the store can't be read.
func (ed *Editor) Resolve(ctx context.Context, id EditID) (Accepted, error) {
	h, _, err := ReadHead(ctx, ed.Store)
	if err != nil {
		return Accepted{}, &UnknownOutcomeError{id, err}
	}
	if h.Revision <= id.Base() {
		return Accepted{}, &UnknownOutcomeError{id, errOutcomePending}
	}
	if id.Base() < h.oldest() {
		return Accepted{}, &UnknownOutcomeError{id, errOutsideHistory}
	}
	changes, err := h.changesAfter(ctx, ed.Store, id.Base())
	if err != nil {
		return Accepted{}, &UnknownOutcomeError{id, err}
	}
	n := slices.IndexFunc(changes, func(c Change) bool { return c.Edit != id })
	if n < 0 {
		n = len(changes)
	}
	if n == 0 {
		return Accepted{}, refused(&NotAppliedError{id, id.Base() + 1})
	}
	return Accepted{Revision: changes[n-1].Revision, Edit: id, Changes: changes[:n]}, nil
}

// History returns the kept changes after a revision, and the oldest revision
// after which all changes are kept.
func (ed *Editor) History(ctx context.Context, after uint64) ([]Change, uint64, error) {
	h, _, err := ReadHead(ctx, ed.Store)
	if err != nil {
		return nil, 0, err
	}
	changes, err := h.changesAfter(ctx, ed.Store, after)
	return changes, h.oldest(), err
}
