package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// HeadKey is the key whose compare-and-swap serializes all edits.
const HeadKey = "catalogue/head"

// layoutSizes holds the size limits of the layout. Every reader reads the head
// once per change, so its tail is small; pages are read only by a reader that
// starts or has fallen behind.
type layoutSizes struct {
	tail     int // bytes of changes in the head
	logs     int // bytes of log pages after the base from which a new base is written
	page     int // bytes of one page of the base
	keptLogs int // log pages kept for the history
}

var defaultSizes = layoutSizes{tail: 4 << 10, logs: 256 << 10, page: 768 << 10, keptLogs: 64}

// headFormat is the format version of the head. It is incremented when older
// processes can't read the head.
const headFormat = 1

// baseRef refers to the pages that together hold a snapshot. Page keys contain
// the checksum of the state that an edit attempt leads to, which covers the
// random part of its edit ID, so that no two attempts write the same key.
type baseRef struct {
	Revision uint64   `cbor:"1,keyasint"`
	Checksum Checksum `cbor:"2,keyasint"`
	Sizes    []int    `cbor:"3,keyasint"` // bytes of each page
}

func (b baseRef) key(page int) string {
	return fmt.Sprintf("catalogue/base/%d-%s-%d", b.Revision, b.Checksum, page)
}

func (b baseRef) keys() []string {
	keys := make([]string, len(b.Sizes))
	for i := range b.Sizes {
		keys[i] = b.key(i)
	}
	return keys
}

// logRef refers to a page of consecutive changes.
type logRef struct {
	First uint64   `cbor:"1,keyasint"`
	Last  uint64   `cbor:"2,keyasint"`
	Stamp Checksum `cbor:"3,keyasint"` // of the state that the edit attempt leads to
	Size  int      `cbor:"4,keyasint"` // bytes of the page
}

func (l logRef) key() string { return fmt.Sprintf("catalogue/log/%d-%s", l.Last, l.Stamp) }

// Head is the value of HeadKey: the current revision and references to the
// pages with the base and the changes that led to it.
type Head struct {
	Format   uint     `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Checksum Checksum `cbor:"3,keyasint"`
	Next     uint32   `cbor:"4,keyasint"` // next service number
	Base     baseRef  `cbor:"5,keyasint"`
	Logs     []logRef `cbor:"6,keyasint"`
	Tail     []Change `cbor:"7,keyasint"`
	// Pages referenced only by older heads; removed when the next base is
	// written.
	OldBase baseRef  `cbor:"8,keyasint"`
	OldLogs []logRef `cbor:"9,keyasint"`
}

// LayoutError reports a value in the store that is not a valid part of a
// catalogue.
type LayoutError struct {
	Key string
	Err error
}

func (e *LayoutError) Error() string {
	return fmt.Sprintf("catalogue: value of key %q: %v; use the release of the program that wrote it, or restore the key", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *LayoutError) Unwrap() error { return e.Err }

// DecodeHead decodes the value of HeadKey. It returns a *LayoutError if the
// value is malformed or of another format.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, &LayoutError{HeadKey, err}
	}
	if h.Format != headFormat {
		return Head{}, &LayoutError{HeadKey, fmt.Errorf("unsupported format %d, want %d", h.Format, headFormat)}
	}
	return h, nil
}

// Digest returns the revision and checksum.
func (h Head) Digest() Digest { return Digest{Revision: h.Revision, Checksum: h.Checksum} }

// oldest returns the revision before the first change that is still in the
// head or its log pages.
func (h Head) oldest() uint64 {
	switch {
	case len(h.Logs) > 0:
		return h.Logs[0].First - 1
	case len(h.Tail) > 0:
		return h.Tail[0].Revision - 1
	}
	return h.Revision
}

// ReadHead returns the head and its version in the store, or an empty head and
// version 0 if the store holds none. It returns the errors of the store and a
// *LayoutError.
func ReadHead(ctx context.Context, st Store) (Head, uint64, error) {
	v, err := st.Get(ctx, HeadKey)
	if isKind(err, KindNotFound) {
		return Head{Format: headFormat, Next: 1}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(v.Data)
	return h, v.Version, err
}

// changesAfter returns the kept changes after revision. It reads only the log
// pages that contain them.
func (h Head) changesAfter(ctx context.Context, st Store, revision uint64) ([]Change, error) {
	var all []Change
	for _, l := range h.Logs {
		if l.Last <= revision {
			continue
		}
		changes, err := readLog(ctx, st, l)
		if err != nil {
			return nil, err
		}
		all = append(all, changes...)
	}
	all = append(all, h.Tail...)
	i := slices.IndexFunc(all, func(c Change) bool { return c.Revision > revision })
	if i < 0 {
		return nil, nil
	}
	return all[i:], nil
}

func readLog(ctx context.Context, st Store, l logRef) ([]Change, error) {
	data, err := readPage(ctx, st, l.key(), l.Size)
	if err != nil {
		return nil, err
	}
	var changes []Change
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return nil, &LayoutError{l.key(), err}
	}
	return changes, nil
}

func readPage(ctx context.Context, st Store, key string, size int) ([]byte, error) {
	v, err := st.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if len(v.Data) != size {
		return nil, &LayoutError{key, fmt.Errorf("got %d bytes, want %d", len(v.Data), size)}
	}
	return v.Data, nil
}

func readBase(ctx context.Context, st Store, b baseRef) (*Catalogue, error) {
	if b.Revision == 0 {
		return New(), nil
	}
	var snapshot bytes.Buffer
	for i, size := range b.Sizes {
		data, err := readPage(ctx, st, b.key(i), size)
		if err != nil {
			return nil, err
		}
		snapshot.Write(data)
	}
	s, err := ReadSnapshot(&snapshot)
	if err != nil {
		return nil, err
	}
	return s.Catalogue(), nil
}

// writePage writes an immutable page. A conflict means that an earlier attempt
// wrote the same page and its answer was lost.
func writePage(ctx context.Context, st Store, key string, data []byte) error {
	_, err := st.CompareAndSwap(ctx, key, 0, data)
	if isKind(err, KindUnknown) {
		_, err = st.CompareAndSwap(ctx, key, 0, data)
	}
	if isKind(err, KindConflict) {
		return nil
	}
	return err
}

func writeBase(ctx context.Context, st Store, c *Catalogue, page int) (baseRef, error) {
	var snapshot bytes.Buffer
	if err := c.Snapshot().Write(&snapshot); err != nil {
		return baseRef{}, err
	}
	b := baseRef{Revision: c.revision, Checksum: c.checksum}
	for part := range slices.Chunk(snapshot.Bytes(), page) {
		if err := writePage(ctx, st, b.key(len(b.Sizes)), part); err != nil {
			return baseRef{}, err
		}
		b.Sizes = append(b.Sizes, len(part))
	}
	return b, nil
}

// pages returns the keys of all pages that the head refers to.
func (h Head) pages() []string {
	keys := h.Base.keys()
	for _, l := range h.Logs {
		keys = append(keys, l.key())
	}
	return keys
}

// garbage returns the keys of the pages that only older heads refer to.
func (h Head) garbage() []string {
	keys := h.OldBase.keys()
	for _, l := range h.OldLogs {
		keys = append(keys, l.key())
	}
	return keys
}

// Load reads the whole catalogue. It also returns the head that it was read from
// and the head's version, 0 if the store holds no catalogue. Errors are those of
// the store, *LayoutError, and *SnapshotError, *GapError or *ChecksumError for
// damaged pages.
func Load(ctx context.Context, st Store) (*Catalogue, Head, uint64, error) {
	for {
		h, version, err := ReadHead(ctx, st)
		if err != nil {
			return nil, Head{}, 0, err
		}
		c, err := h.load(ctx, st)
		if err == nil {
			return c, h, version, nil
		}
		// An editor may have replaced the pages since the head was read; the
		// load is then repeated with the new head. If the head is unchanged,
		// the page is lost.
		if !isKind(err, KindNotFound) {
			return nil, Head{}, 0, err
		}
		if _, newVersion, rereadErr := ReadHead(ctx, st); rereadErr != nil || newVersion == version {
			return nil, Head{}, 0, &LayoutError{HeadKey, errors.Join(errors.New("a page is missing"), err)}
		}
	}
}

func (h Head) load(ctx context.Context, st Store) (*Catalogue, error) {
	c, err := readBase(ctx, st, h.Base)
	if err != nil {
		return nil, err
	}
	changes, err := h.changesAfter(ctx, st, c.revision)
	if err != nil {
		return nil, err
	}
	for _, ch := range changes {
		if err := c.Apply(ch); err != nil {
			return nil, err
		}
	}
	if c.revision != h.Revision || c.checksum != h.Checksum {
		return nil, &LayoutError{HeadKey, fmt.Errorf("pages lead to revision %d, checksum %s; the head has revision %d, checksum %s", c.revision, c.checksum, h.Revision, h.Checksum)}
	}
	return c, nil
}
