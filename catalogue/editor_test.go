package catalogue

import (
	"context"
	"errors"
	"testing"
)

// put applies an edit of the entries, which must be accepted.
func put(t *testing.T, ed *Editor, entries ...Entry) Accepted {
	t.Helper()
	a, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: entries})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestEditAcceptsAndRefuses(t *testing.T) {
	ed := &Editor{Store: newMemStore(1)}
	put(t, ed, entry("listing", "kanatpar", "10.0.0.1"), entry("records", "kanatpar", "10.0.0.2"))
	tests := []struct {
		name string
		edit Edit
		want any
	}{
		{"address conflict", Edit{Put: []Entry{entry("catalogo", "bocina", "10.0.0.1")}}, new(*AddressConflictError)},
		{"address conflict within the edit", Edit{Put: []Entry{entry("a", "b", "10.0.0.9"), entry("c", "b", "10.0.0.9")}}, new(*AddressConflictError)},
		{"other owner", Edit{Put: []Entry{entry("listing", "bocina", "10.0.0.1")}}, new(*OwnerError)},
		{"other owner deletes", Edit{Owner: "bocina", Delete: []string{"listing"}}, new(*OwnerError)},
		{"missing", Edit{Owner: "bocina", Delete: []string{"paquetes"}}, new(*EntryNotFoundError)},
		{"twice", Edit{Put: []Entry{entry("a", "b", "10.0.0.8"), entry("a", "b", "10.0.0.9")}}, new(*DuplicateError)},
		{"base ahead", Edit{Base: 9, Put: []Entry{entry("a", "b", "10.0.0.8")}}, new(*BaseError)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.edit.Editor = "ayse"
			_, err := ed.Apply(context.Background(), tt.edit)
			var refused *RefusedError
			if !errors.As(err, &refused) || !errors.As(err, tt.want) {
				t.Fatalf("got %v", err)
			}
		})
	}
	// One edit may move an address, regardless of the order of its entries.
	a := put(t, ed, entry("listing", "kanatpar", "10.0.0.2"), entry("records", "kanatpar", "10.0.0.1"))
	if a.Revision != 4 {
		t.Fatalf("revision %d, want 4", a.Revision)
	}
	c, _, _, err := Load(context.Background(), ed.Store)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := c.Entry("listing")
	if c.Table().NumberOf(e.Addresses[0]) != e.Number || e.Version != 2 {
		t.Fatalf("the table does not contain the moved address of %+v", e)
	}
	if b := put(t, ed, e); b.Revision != 4 || len(b.Changes) != 0 {
		t.Fatalf("an edit that changes nothing returned %+v", b)
	}
}

func TestNumberIsNeverUsedAgain(t *testing.T) {
	ed := &Editor{Store: newMemStore(1)}
	put(t, ed, entry("listing", "kanatpar", "10.0.0.1"))
	for range 2 {
		if _, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Owner: "kanatpar", Delete: []string{"listing"}}); err != nil {
			t.Fatal(err)
		}
		put(t, ed, entry("listing", "kanatpar", "10.0.0.1"))
	}
	c, _, _, err := Load(context.Background(), ed.Store)
	if err != nil {
		t.Fatal(err)
	}
	if e, _ := c.Entry("listing"); e.Number != 3 {
		t.Fatalf("number %d, want 3", e.Number)
	}
}

// Guards against an edit silently overwriting another one: two operators read
// revision 1 and edit the same entry. If the second compare-and-swap were simply
// repeated on top of the first edit, it would undo it.
func TestStaleEditReportsConflictingChanges(t *testing.T) {
	ed := &Editor{Store: newMemStore(1)}
	put(t, ed, entry("listing", "kanatpar", "10.0.0.1"))
	put(t, ed, entry("listing", "kanatpar", "10.0.0.2"))
	put(t, ed, entry("records", "kanatpar", "10.0.0.3"))
	_, err := ed.Apply(context.Background(), Edit{Editor: "mehmet", Base: 1, Put: []Entry{entry("listing", "kanatpar", "10.0.0.4")}})
	var refused *RefusedError
	var stale *StaleError
	if !errors.As(err, &refused) || !errors.As(err, &stale) || len(refused.Changes) != 1 || stale.Revision != 2 {
		t.Fatalf("got %v", err)
	}
	if _, err := ed.Apply(context.Background(), Edit{Editor: "mehmet", Base: 1, Put: []Entry{entry("other", "kanatpar", "10.0.0.4")}}); err != nil {
		t.Fatalf("edit of a service that has not changed: %v", err)
	}
}

// Guards against an accepted edit being reported as failed or applied twice: the
// store accepts the write, but the answer is lost, and the editor must read the
// head back before it writes again.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st}
	st.set(0, 1, 0)
	a := put(t, ed, entry("listing", "kanatpar", "10.0.0.1"))
	if a.Revision != 1 {
		t.Fatalf("revision %d, want 1", a.Revision)
	}
	// Each request is lost before it reaches the store, but the editor can't
	// know that it won't arrive later.
	st.set(0, 0, 1)
	_, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{entry("records", "kanatpar", "10.0.0.2")}})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v, want an UnknownOutcomeError", err)
	}
	st.set(0, 0, 0)
	if _, err := ed.Resolve(context.Background(), unknown.Edit); !errors.As(err, &unknown) {
		t.Fatalf("resolve before a later edit: %v, want an UnknownOutcomeError", err)
	}
	put(t, ed, entry("other", "kanatpar", "10.0.0.3"))
	var notApplied *NotAppliedError
	if _, err := ed.Resolve(context.Background(), unknown.Edit); !errors.As(err, &notApplied) {
		t.Fatalf("resolve after a later edit: %v, want a NotAppliedError", err)
	}
	if got, err := ed.Resolve(context.Background(), a.Edit); err != nil || got.Revision != 1 {
		t.Fatalf("resolve of the first edit: %+v, %v", got, err)
	}
}
