package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var smallSizes = layoutSizes{tail: 400, logs: 1500, page: 60, keptLogs: 5}

// applyEdits applies n edits of one entry each, cycling over ten services.
func applyEdits(t *testing.T, ed *Editor, n int) {
	t.Helper()
	for i := range n {
		e := entry(fmt.Sprintf("s%d", i%10), "kanatpar", fmt.Sprintf("10.0.%d.%d", i/200, 1+i%200))
		put(t, ed, e)
	}
}

func TestPagesAreWrittenAndRemoved(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st, sizes: smallSizes}
	applyEdits(t, ed, 200)
	c, h, _, err := Load(context.Background(), st)
	if err != nil {
		t.Fatal(err)
	}
	if c.Revision() != 200 || len(h.Base.Sizes) < 2 || len(h.Logs) == 0 {
		t.Fatalf("revision %d, head %+v", c.Revision(), h)
	}
	if want := 1 + len(h.pages()) + len(h.garbage()); len(st.values) != want {
		t.Errorf("%d keys in the store, the head refers to %d", len(st.values), want)
	}
	if _, err := ed.Resolve(context.Background(), NewEditID(3)); !errors.Is(err, errOutsideHistory) {
		t.Errorf("resolve of an old edit: %v", err)
	}
	changes, oldest, err := ed.History(context.Background(), 0)
	if err != nil || uint64(len(changes)) != 200-oldest {
		t.Errorf("history of %d changes after revision %d: %v", len(changes), oldest, err)
	}
}

// Guards against the store filling with unreferenced pages: two editors write
// pages on top of the same head, and the one whose head is rejected must remove
// the pages of its attempt.
func TestRejectedEditRemovesItsPages(t *testing.T) {
	st := newMemStore(1)
	applyEdits(t, &Editor{Store: st, sizes: smallSizes}, 30)
	racing := &raceStore{memStore: st, t: t}
	put(t, &Editor{Store: racing, sizes: layoutSizes{tail: 1, logs: 1, page: 60, keptLogs: 5}}, entry("mine", "kanatpar", "10.9.0.1"))
	if !racing.raced {
		t.Fatal("no concurrent edit was made")
	}
	_, h, _, err := Load(context.Background(), st)
	if err != nil {
		t.Fatal(err)
	}
	if want := 1 + len(h.pages()) + len(h.garbage()); len(st.values) != want {
		t.Errorf("%d keys in the store, the head refers to %d", len(st.values), want)
	}
}

// raceStore applies another edit just before the first compare-and-swap of the
// head.
type raceStore struct {
	*memStore
	t     *testing.T
	raced bool
}

func (r *raceStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	if key == HeadKey && !r.raced {
		r.raced = true
		put(r.t, &Editor{Store: r.memStore, sizes: smallSizes}, entry("other", "kanatpar", "10.9.0.2"))
	}
	return r.memStore.CompareAndSwap(ctx, key, expect, data)
}

// Guards against a head that refers to pages before they are complete: every read
// of the catalogue would fail after an operator's command is killed between
// writing pages and replacing the head.
func TestCrashBeforeSwapLeavesOldState(t *testing.T) {
	st := newMemStore(1)
	ed := &Editor{Store: st, sizes: smallSizes}
	applyEdits(t, ed, 60)
	for writes := range 8 {
		failing := &Editor{Store: &failingStore{memStore: st, writes: writes}, sizes: layoutSizes{tail: 1, logs: 1, page: 60, keptLogs: 5}}
		_, err := failing.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{entry("new", "kanatpar", "10.9.0.1")}})
		if err == nil {
			return // the head was replaced
		}
		c, _, _, err := Load(context.Background(), st)
		if err != nil || c.Revision() != 60 {
			t.Fatalf("after %d writes: revision %d, %v", writes, c.Revision(), err)
		}
	}
	t.Fatal("the head was never replaced")
}

// failingStore accepts a number of writes and fails all later ones.
type failingStore struct {
	*memStore
	writes int
}

func (f *failingStore) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte) (uint64, error) {
	if f.writes == 0 {
		return 0, &StoreError{KindUnavailable, errDown}
	}
	f.writes--
	return f.memStore.CompareAndSwap(ctx, key, expect, data)
}

func TestSnapshotRefusesDamage(t *testing.T) {
	w := newWriter()
	w.edit(200, 200)
	var buf bytes.Buffer
	if err := w.state.Snapshot().Write(&buf); err != nil {
		t.Fatal(err)
	}
	stream := buf.Bytes()
	s, err := ReadSnapshot(bytes.NewReader(stream))
	if err != nil || s.Catalogue().Digest() != w.state.Digest() || s.Catalogue().Len() != 200 {
		t.Fatalf("round trip: %+v, %v", s.Digest, err)
	}
	var damaged *SnapshotError
	if _, err := ReadSnapshot(bytes.NewReader(stream[:len(stream)/2])); !errors.As(err, &damaged) {
		t.Errorf("half a stream: %v", err)
	}
	for i := 5; i < len(stream); i += 97 {
		bad := append([]byte(nil), stream...)
		bad[i] ^= 1
		if s, err := ReadSnapshot(bytes.NewReader(bad)); err == nil && s.Catalogue().Digest() == w.state.Digest() {
			t.Errorf("a flipped bit in byte %d is not detected", i)
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
