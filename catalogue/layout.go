package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// HeadKey is the one key whose compare-and-swap orders every edit.
const HeadKey = "catalogue/head"

// sizes bounds the parts of the layout. The head is read once a change by
// every reader, so its tail stays small; pages are read only when a reader
// starts or has fallen behind.
type sizes struct {
	tail int // bytes of changes in the head
	logs int // bytes of log pages behind the base before a new base is written
	page int // bytes of one page of the base
	kept int // log pages that stay readable for the history
}

var defaultSizes = sizes{tail: 4 << 10, logs: 256 << 10, page: 768 << 10, kept: 64}

// headFormat changes when older processes cannot read the head.
const headFormat = 1

// baseRef names the pages that together hold a snapshot. Page keys contain
// the checksum that an attempt to edit leads to, which covers the random part
// of its edit ID: no two attempts write the same key.
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

// logRef names a page of consecutive changes.
type logRef struct {
	First uint64   `cbor:"1,keyasint"`
	Last  uint64   `cbor:"2,keyasint"`
	Stamp Checksum `cbor:"3,keyasint"` // of the state that the attempt led to
	Size  int      `cbor:"4,keyasint"` // bytes of the page
}

func (l logRef) key() string { return fmt.Sprintf("catalogue/log/%d-%s", l.Last, l.Stamp) }

// Head is the value of HeadKey: the current revision and where to find the
// changes that led to it.
type Head struct {
	Format   uint     `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Checksum Checksum `cbor:"3,keyasint"`
	Next     uint32   `cbor:"4,keyasint"` // next service number
	Base     baseRef  `cbor:"5,keyasint"`
	Logs     []logRef `cbor:"6,keyasint"`
	Tail     []Change `cbor:"7,keyasint"`
	// What the base before still named; removed with the next base.
	OldBase baseRef  `cbor:"8,keyasint"`
	OldLogs []logRef `cbor:"9,keyasint"`
}

// LayoutError reports a value of the store that is not a part of a catalogue.
type LayoutError struct {
	Key string
	Err error
}

func (e *LayoutError) Error() string {
	return fmt.Sprintf("catalogue: value of key %q: %v; use the release of the program that wrote it, or restore the key", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *LayoutError) Unwrap() error { return e.Err }

// DecodeHead reads the value of HeadKey.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := cbor.Unmarshal(data, &h); err != nil {
		return Head{}, &LayoutError{HeadKey, err}
	}
	if h.Format != headFormat {
		return Head{}, &LayoutError{HeadKey, fmt.Errorf("format %d is not %d", h.Format, headFormat)}
	}
	return h, nil
}

// Digest returns revision and checksum.
func (h Head) Digest() Digest { return Digest{Revision: h.Revision, Checksum: h.Checksum} }

// oldest returns the revision before the first change that the head can
// still reach.
func (h Head) oldest() uint64 {
	switch {
	case len(h.Logs) > 0:
		return h.Logs[0].First - 1
	case len(h.Tail) > 0:
		return h.Tail[0].Revision - 1
	}
	return h.Revision
}

// ReadHead returns the head and its version, an empty head at version 0 if
// the store holds none.
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

// changesAfter returns the kept changes above revision, reading no more log
// pages than it needs.
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
		return nil, &LayoutError{key, fmt.Errorf("%d bytes instead of %d", len(v.Data), size)}
	}
	return v.Data, nil
}

func readBase(ctx context.Context, st Store, b baseRef) (*Catalogue, error) {
	if b.Revision == 0 {
		return New(), nil
	}
	var whole bytes.Buffer
	for i, size := range b.Sizes {
		data, err := readPage(ctx, st, b.key(i), size)
		if err != nil {
			return nil, err
		}
		whole.Write(data)
	}
	s, err := ReadSnapshot(&whole)
	if err != nil {
		return nil, err
	}
	return s.Catalogue(), nil
}

// writePage writes an immutable page. A conflict means that an answer to the
// same write was lost before.
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
	var whole bytes.Buffer
	if err := c.Snapshot().Write(&whole); err != nil {
		return baseRef{}, err
	}
	b := baseRef{Revision: c.revision, Checksum: c.checksum}
	for part := range slices.Chunk(whole.Bytes(), page) {
		if err := writePage(ctx, st, b.key(len(b.Sizes)), part); err != nil {
			return baseRef{}, err
		}
		b.Sizes = append(b.Sizes, len(part))
	}
	return b, nil
}

// pages returns the keys of all pages that readers of the head need.
func (h Head) pages() []string {
	keys := h.Base.keys()
	for _, l := range h.Logs {
		keys = append(keys, l.key())
	}
	return keys
}

// garbage returns the keys of the pages that only older heads name.
func (h Head) garbage() []string {
	keys := h.OldBase.keys()
	for _, l := range h.OldLogs {
		keys = append(keys, l.key())
	}
	return keys
}

// Load reads the whole catalogue. It returns the head it was read from and
// the head's version, 0 if the store holds no catalogue.
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
		// An editor may have replaced the pages since the head was read. The
		// newer head names the new ones; a page that is missing under the
		// same head is lost.
		if !isKind(err, KindNotFound) {
			return nil, Head{}, 0, err
		}
		if _, now, again := ReadHead(ctx, st); again != nil || now == version {
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
		return nil, &LayoutError{HeadKey, fmt.Errorf("changes lead to revision %d, checksum %s, not to %d, %s", c.revision, c.checksum, h.Revision, h.Checksum)}
	}
	return c, nil
}
