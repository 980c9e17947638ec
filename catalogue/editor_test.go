package catalogue

import (
	"context"
	"errors"
	"testing"
)

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
		{"clash", Edit{Put: []Entry{entry("catalogo", "bocina", "10.0.0.1")}}, new(*AddressConflictError)},
		{"clash inside", Edit{Put: []Entry{entry("a", "b", "10.0.0.9"), entry("c", "b", "10.0.0.9")}}, new(*AddressConflictError)},
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
	// One edit may move an address, whichever service it names first.
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
		t.Fatalf("table does not follow the move of %+v", e)
	}
	if b := put(t, ed, e); b.Revision != 4 || len(b.Changes) != 0 {
		t.Fatalf("an edit without effect made %+v", b)
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

// Symptom: an operator's edit silently undoes another's.
// Events: both read revision 1; the first applies; the second applies its
// own version of the same entry.
// Cause: a compare-and-swap alone is repeated on top of the first edit.
func TestLoserOfRaceIsToldWhatChanged(t *testing.T) {
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
		t.Fatalf("an edit of an untouched service: %v", err)
	}
}

// Symptom: an accepted edit is reported as lost, or applied twice.
// Events: the store takes the write, the answer never arrives.
// Cause: the editor writes again without reading back.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st}
	st.set(0, 1, 0)
	a := put(t, ed, entry("listing", "kanatpar", "10.0.0.1"))
	if a.Revision != 1 {
		t.Fatalf("revision %d, want 1", a.Revision)
	}
	// The request itself is lost each time: nothing is in the store, but the
	// editor cannot know that a late request will not arrive.
	st.set(0, 0, 1)
	_, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{entry("records", "kanatpar", "10.0.0.2")}})
	var unknown *UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v, want unknown", err)
	}
	st.set(0, 0, 0)
	if _, err := ed.Resolve(context.Background(), unknown.Edit); !errors.As(err, &unknown) {
		t.Fatalf("settle before a later edit: %v, want unknown", err)
	}
	put(t, ed, entry("other", "kanatpar", "10.0.0.3"))
	var lost *NotAppliedError
	if _, err := ed.Resolve(context.Background(), unknown.Edit); !errors.As(err, &lost) {
		t.Fatalf("settle after a later edit: %v, want not applied", err)
	}
	if got, err := ed.Resolve(context.Background(), a.Edit); err != nil || got.Revision != 1 {
		t.Fatalf("settle of the first edit: %+v, %v", got, err)
	}
}
