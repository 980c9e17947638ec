package catalogue

import (
	"bufio"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Bulk brings a replica that is far behind up to date. It holds either the
// missing changes or a complete snapshot.
type Bulk struct {
	Changes  []Change // consecutive
	Snapshot *Snapshot
	// Confirmed means that the store has confirmed the resulting state to the
	// sender.
	Confirmed bool
}

// bulkHeader is the first item of the stream of a Bulk, after a byte with its
// encoded size.
type bulkHeader struct {
	Changes   int  `cbor:"1,keyasint,omitempty"` // 0: a snapshot follows
	Confirmed bool `cbor:"2,keyasint,omitempty"`
}

// maxBulkChanges is the maximum number of changes that ReadBulk accepts.
const maxBulkChanges = 1_000_000

// Write writes the bulk to w: a header, then the changes as CBOR items under
// DEFLATE, or the snapshot in the format of Snapshot.Write. It returns the
// errors of w.
func (b Bulk) Write(w io.Writer) error {
	header := encode(bulkHeader{len(b.Changes), b.Confirmed})
	if _, err := w.Write(append([]byte{byte(len(header))}, header...)); err != nil {
		return err
	}
	if b.Snapshot != nil {
		return b.Snapshot.Write(w)
	}
	z, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		return err
	}
	buf := bufio.NewWriter(z)
	enc := encMode.NewEncoder(buf)
	for _, ch := range b.Changes {
		if err := enc.Encode(ch); err != nil {
			return err
		}
	}
	if err := buf.Flush(); err != nil {
		return err
	}
	return z.Close()
}

// ReadBulk reads a bulk written by Bulk.Write. It returns a *SnapshotError if
// the stream is truncated, damaged or malformed.
func ReadBulk(r io.Reader) (Bulk, error) {
	b, err := readBulk(r)
	var s *SnapshotError
	if err != nil && !errors.As(err, &s) {
		err = &SnapshotError{err}
	}
	return b, err
}

func readBulk(r io.Reader) (Bulk, error) {
	var size [1]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return Bulk{}, err
	}
	raw := make([]byte, size[0])
	if _, err := io.ReadFull(r, raw); err != nil {
		return Bulk{}, err
	}
	var h bulkHeader
	if err := cbor.Unmarshal(raw, &h); err != nil {
		return Bulk{}, err
	}
	if h.Changes < 0 || h.Changes > maxBulkChanges {
		return Bulk{}, fmt.Errorf("%d changes exceed the limit", h.Changes)
	}
	if h.Changes == 0 {
		s, err := ReadSnapshot(r)
		return Bulk{Snapshot: &s, Confirmed: h.Confirmed}, err
	}
	z := flate.NewReader(r)
	defer z.Close()
	dec := cbor.NewDecoder(io.LimitReader(z, maxSnapshotBytes))
	b := Bulk{Confirmed: h.Confirmed}
	for range h.Changes {
		var ch Change
		if err := dec.Decode(&ch); err != nil {
			return Bulk{}, err
		}
		b.Changes = append(b.Changes, ch)
	}
	return b, nil
}

// Digest returns the digest of the state that results from the bulk, the zero
// Digest for an empty one.
func (b Bulk) Digest() Digest {
	if b.Snapshot != nil {
		return b.Snapshot.Digest
	}
	if len(b.Changes) == 0 {
		return Digest{}
	}
	last := b.Changes[len(b.Changes)-1]
	return Digest{Revision: last.Revision, Checksum: last.Checksum}
}
