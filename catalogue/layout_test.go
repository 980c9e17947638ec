package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var small = sizes{tail: 400, logs: 1500, page: 60, kept: 5}

// grow makes n edits of ten services in turn.
func grow(t *testing.T, ed *Editor, n int) {
	t.Helper()
	for i := range n {
		e := entry(fmt.Sprintf("s%d", i%10), "kanatpar", fmt.Sprintf("10.0.%d.%d", i/200, 1+i%200))
		put(t, ed, e)
	}
}

func TestPagesAreWrittenAndRemoved(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st, sizes: small}
	grow(t, ed, 200)
	c, h, _, err := Load(context.Background(), st)
	if err != nil {
		t.Fatal(err)
	}
	if c.Revision() != 200 || len(h.Base.Sizes) < 2 || len(h.Logs) == 0 {
		t.Fatalf("revision %d, head %+v", c.Revision(), h)
	}
	if want := 1 + len(h.pages()) + len(h.garbage()); len(st.values) != want {
		t.Errorf("%d keys in the store, the head accounts for %d", len(st.values), want)
	}
	if _, err := ed.Resolve(context.Background(), NewEditID(3)); !errors.Is(err, errForgotten) {
		t.Errorf("settle of an old edit: %v", err)
	}
	changes, oldest, err := ed.History(context.Background(), 0)
	if err != nil || uint64(len(changes)) != 200-oldest {
		t.Errorf("history of %d changes above %d: %v", len(changes), oldest, err)
	}
}

// Symptom: the store fills with pages that nobody reads.
// Events: two editors write pages on top of the same head; one loses.
// Cause: the loser leaves the pages of its attempt behind.
func TestLoserRemovesItsPages(t *testing.T) {
	st := newMemStore(1)
	grow(t, &Editor{Store: st, sizes: small}, 30)
	racing := &raceStore{memStore: st, t: t}
	put(t, &Editor{Store: racing, sizes: sizes{tail: 1, logs: 1, page: 60, kept: 5}}, entry("mine", "kanatpar", "10.9.0.1"))
	if !racing.raced {
		t.Fatal("nothing raced")
	}
	_, h, _, err := Load(context.Background(), st)
	if err != nil {
		t.Fatal(err)
	}
	if want := 1 + len(h.pages()) + len(h.garbage()); len(st.values) != want {
		t.Errorf("%d keys in the store, the head accounts for %d", len(st.values), want)
	}
}

// raceStore lets another editor in just before the first swap of the head.
type raceStore struct {
	*memStore
	t     *testing.T
	raced bool
}

func (r *raceStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	if key == HeadKey && !r.raced {
		r.raced = true
		put(r.t, &Editor{Store: r.memStore, sizes: small}, entry("other", "kanatpar", "10.9.0.2"))
	}
	return r.memStore.CompareAndSwap(ctx, key, expect, data)
}

// Symptom: every read of the catalogue fails after an operator's command died.
// Events: the command is killed between writing pages and swapping the head.
// Cause: a head that names pages before they are whole.
func TestCrashBeforeSwapLeavesOldState(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st, sizes: small}
	grow(t, ed, 60)
	for left := range 8 {
		dying := &Editor{Store: &dyingStore{memStore: st, writes: left}, sizes: sizes{tail: 1, logs: 1, page: 60, kept: 5}}
		_, err := dying.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{entry("new", "kanatpar", "10.9.0.1")}})
		if err == nil {
			return // it lived through the swap
		}
		c, _, _, err := Load(context.Background(), st)
		if err != nil || c.Revision() != 60 {
			t.Fatalf("after %d writes: revision %d, %v", left, c.Revision(), err)
		}
	}
	t.Fatal("the swap was never reached")
}

// dyingStore takes a number of writes and fails all later ones.
type dyingStore struct {
	*memStore
	writes int
}

func (d *dyingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	if d.writes == 0 {
		return 0, &StoreError{KindUnavailable, errDown}
	}
	d.writes--
	return d.memStore.CompareAndSwap(ctx, key, expect, data)
}

func TestSnapshotRefusesDamage(t *testing.T) {
	w := newWriter()
	w.edit(200, 200)
	var buf bytes.Buffer
	if err := w.state.Snapshot().Write(&buf); err != nil {
		t.Fatal(err)
	}
	whole := buf.Bytes()
	s, err := ReadSnapshot(bytes.NewReader(whole))
	if err != nil || s.Catalogue().Digest() != w.state.Digest() || s.Catalogue().Len() != 200 {
		t.Fatalf("round trip: %+v, %v", s.Digest, err)
	}
	var damaged *SnapshotError
	if _, err := ReadSnapshot(bytes.NewReader(whole[:len(whole)/2])); !errors.As(err, &damaged) {
		t.Errorf("half a stream: %v", err)
	}
	for i := 5; i < len(whole); i += 97 {
		bad := append([]byte(nil), whole...)
		bad[i] ^= 1
		if s, err := ReadSnapshot(bytes.NewReader(bad)); err == nil && s.Catalogue().Digest() == w.state.Digest() {
			t.Errorf("a flipped bit at %d goes unnoticed", i)
		}
	}
}

func TestHeadRefusesOtherFormat(t *testing.T) {
	_, err := DecodeHead(encode(Head{Format: headFormat + 1}))
	var layout *LayoutError
	if !errors.As(err, &layout) || !strings.Contains(err.Error(), "release") {
		t.Fatalf("got %v", err)
	}
}
