package catalogue

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
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

var defaultSizes = sizes{tail: 16 << 10, logs: 512 << 10, page: 768 << 10, kept: 64}

// headFormat changes when older processes cannot read the head.
const headFormat = 1

// pageRef names an immutable page. Its key contains the revision and checksum
// that the page leads to and the hash of its bytes. The checksum covers the
// random part of an edit ID, so no two attempts to edit write the same key.
type pageRef struct {
	Key  string `cbor:"1,keyasint"`
	Size int    `cbor:"2,keyasint"`
}

// baseRef names the pages that together hold a snapshot.
type baseRef struct {
	Revision uint64    `cbor:"1,keyasint"`
	Pages    []pageRef `cbor:"2,keyasint"`
}

// logRef names a page of consecutive changes.
type logRef struct {
	First uint64  `cbor:"1,keyasint"`
	Last  uint64  `cbor:"2,keyasint"`
	Page  pageRef `cbor:"3,keyasint"`
}

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
	Garbage  []string `cbor:"8,keyasint"` // pages that the head before still named
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
	data, err := readPage(ctx, st, l.Page)
	if err != nil {
		return nil, err
	}
	var changes []Change
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return nil, &LayoutError{l.Page.Key, err}
	}
	return changes, nil
}

func readPage(ctx context.Context, st Store, p pageRef) ([]byte, error) {
	v, err := st.Get(ctx, p.Key)
	if err != nil {
		return nil, err
	}
	if len(v.Data) != p.Size {
		return nil, &LayoutError{p.Key, fmt.Errorf("%d bytes instead of %d", len(v.Data), p.Size)}
	}
	return v.Data, nil
}

func readBase(ctx context.Context, st Store, b baseRef) (*Catalogue, error) {
	if b.Revision == 0 {
		return New(), nil
	}
	var whole bytes.Buffer
	for _, p := range b.Pages {
		data, err := readPage(ctx, st, p)
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

// writePage writes an immutable page. A conflict means that the page is
// already there, byte for byte, so a repeat after a lost answer is harmless.
func writePage(ctx context.Context, st Store, kind string, c *Catalogue, data []byte) (pageRef, error) {
	key := fmt.Sprintf("catalogue/%s/%d-%s-%016x", kind, c.revision, c.checksum, xxhash.Sum64(data))
	_, err := st.CompareAndSwap(ctx, key, 0, data)
	if isKind(err, KindUnknown) {
		_, err = st.CompareAndSwap(ctx, key, 0, data)
	}
	if err != nil && !isKind(err, KindConflict) {
		return pageRef{}, err
	}
	return pageRef{key, len(data)}, nil
}

func writeBase(ctx context.Context, st Store, c *Catalogue, page int) (baseRef, error) {
	var whole bytes.Buffer
	if err := c.Snapshot().Write(&whole); err != nil {
		return baseRef{}, err
	}
	b := baseRef{Revision: c.revision}
	for part := range slices.Chunk(whole.Bytes(), page) {
		p, err := writePage(ctx, st, "base", c, part)
		if err != nil {
			return baseRef{}, err
		}
		b.Pages = append(b.Pages, p)
	}
	return b, nil
}

// pages returns the keys of all pages that the head names.
func (h Head) pages() []string {
	var keys []string
	for _, p := range h.Base.Pages {
		keys = append(keys, p.Key)
	}
	for _, l := range h.Logs {
		keys = append(keys, l.Page.Key)
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
