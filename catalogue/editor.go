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

	sizes sizes // defaultSizes if zero
}

// Accepted reports an edit that is in the store. Every node will have it in
// force within seconds and none will revert it.
type Accepted struct {
	Revision uint64 // of the edit's last change, or the revision read if it changed nothing
	Edit     EditID
	Changes  []Change // empty if the catalogue already said so
}

// RefusedError reports an edit that has had no effect and will have none.
type RefusedError struct {
	Err     error    // why, with the remedy
	Changes []Change // what changed since the operator read, if that is why
}

func (e *RefusedError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// StaleError reports an edit of an entry that changed since it was read.
type StaleError struct {
	Service  string
	Base     uint64
	Revision uint64 // of the newest change of the service
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("catalogue: service %q changed in revision %d after you read revision %d; read it again, merge and apply", e.Service, e.Revision, e.Base)
}

// BaseError reports an edit whose base cannot be compared with the head.
type BaseError struct{ Base, Oldest, Revision uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("catalogue: base revision %d is outside of the kept history, %d to %d; read the catalogue again and redo the edit", e.Base, e.Oldest, e.Revision)
}

// NotAppliedError reports an edit that lost to another one.
type NotAppliedError struct {
	Edit     EditID
	Revision uint64
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("catalogue: edit %s did not take effect and never will, revision %d is another edit's; apply it again", e.Edit, e.Revision)
}

// UnknownOutcomeError reports an edit that may be in force. Editor.Resolve with Edit
// finds out.
type UnknownOutcomeError struct {
	Edit EditID
	Err  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("unknown whether edit %s took effect: %v; ask again with this edit ID before you edit the same entries", e.Edit, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// errInFlight tells why Resolve cannot refuse an edit on top of the head.
var errInFlight = errors.New("it is not in the store, but no later edit rules out that it still arrives")

// errForgotten tells why Resolve cannot find an old edit.
var errForgotten = errors.New("it is older than the kept history; compare the entries themselves")

// Apply carries out an edit as a whole. It returns a *RefusedError or an
// *UnknownOutcomeError; Accepted is valid only without an error. Edits of other
// services that win the race are no reason to refuse: the edit is checked
// again on top of them.
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

// attempt reads the head, plans the edit on top of it and swaps the head. It
// returns a KindConflict when another edit came first.
func (ed *Editor) attempt(ctx context.Context, e *Edit) (Accepted, error) {
	c, h, version, err := Load(ctx, ed.Store)
	if err != nil {
		return Accepted{}, refused(err)
	}
	if e.Base == 0 {
		e.Base = h.Revision
	}
	if err := ed.fresh(ctx, h, *e); err != nil {
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

func (ed *Editor) limits() sizes {
	if ed.sizes == (sizes{}) {
		return defaultSizes
	}
	return ed.sizes
}

// fresh refuses an edit of a service that changed after the edit's base.
// Without it the slower of two operators would silently undo the other.
func (ed *Editor) fresh(ctx context.Context, h Head, e Edit) error {
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
	var hit []Change
	for _, ch := range changes {
		if services[ch.Entry.Service] {
			hit = append(hit, ch)
		}
	}
	if len(hit) == 0 {
		return nil
	}
	last := hit[len(hit)-1]
	return &RefusedError{Err: &StaleError{last.Entry.Service, e.Base, last.Revision}, Changes: hit}
}

// settleAttempts bounds how often one call asks for and repeats a swap whose
// answer was lost before it leaves that to the operator.
const settleAttempts = 5

// swap writes the head and settles a lost answer by reading back. While the
// head is still at the revision that the edit was based on, the same
// compare-and-swap may be sent again: at most one of the two can succeed.
func (ed *Editor) swap(ctx context.Context, id EditID, version uint64, next Head) error {
	data := encode(next)
	_, err := ed.Store.CompareAndSwap(ctx, HeadKey, version, data)
	if err == nil || isKind(err, KindConflict) {
		return err
	}
	if !isKind(err, KindUnknown) {
		return refused(err)
	}
	for range settleAttempts {
		_, settled := ed.Resolve(ctx, id)
		var lost *NotAppliedError
		switch {
		case settled == nil:
			return nil
		case errors.As(settled, &lost):
			return &StoreError{KindConflict, settled}
		case !errors.Is(settled, errInFlight):
			return &UnknownOutcomeError{id, err}
		}
		if _, err = ed.Store.CompareAndSwap(ctx, HeadKey, version, data); err == nil {
			return nil
		}
	}
	return &UnknownOutcomeError{id, err}
}

// Resolve finds out what became of an edit whose answer was lost. It returns a
// *RefusedError once the edit can no longer take effect, and an *UnknownOutcomeError
// while it still can or when it is older than the kept history.
func (ed *Editor) Resolve(ctx context.Context, id EditID) (Accepted, error) {
	h, _, err := ReadHead(ctx, ed.Store)
	if err != nil {
		return Accepted{}, &UnknownOutcomeError{id, err}
	}
	if h.Revision <= id.Base() {
		return Accepted{}, &UnknownOutcomeError{id, errInFlight}
	}
	if id.Base() < h.oldest() {
		return Accepted{}, &UnknownOutcomeError{id, errForgotten}
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

// History returns the kept changes above a revision, and the oldest revision
// that it could have been asked for.
func (ed *Editor) History(ctx context.Context, after uint64) ([]Change, uint64, error) {
	h, _, err := ReadHead(ctx, ed.Store)
	if err != nil {
		return nil, 0, err
	}
	changes, err := h.changesAfter(ctx, ed.Store, after)
	return changes, h.oldest(), err
}
