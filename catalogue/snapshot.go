package catalogue

import (
	"bufio"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// snapshotFormat is the format version of a snapshot. It is incremented when
// older processes can't read the stream.
const snapshotFormat = 1

// Limits of ReadSnapshot and ReadBulk, so that a damaged stream can't exhaust the
// memory of a process.
const (
	maxSnapshotEntries = 4_000_000
	maxSnapshotBytes   = 1 << 30
)

// SnapshotError reports a stream that is not a complete and valid snapshot or
// bulk.
type SnapshotError struct{ Err error }

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("catalogue: snapshot: %v; fetch it again, from another peer if it repeats", e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

type snapshotHeader struct {
	Format   uint     `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	Checksum Checksum `cbor:"3,keyasint"`
	Next     uint32   `cbor:"4,keyasint"`
	Entries  int      `cbor:"5,keyasint"`
}

// Snapshot is an immutable copy of a complete state, for streaming.
type Snapshot struct {
	Digest  Digest
	Next    uint32  // next service number
	Entries []Entry // in ascending order of number
}

// Snapshot returns a copy of the state.
func (c *Catalogue) Snapshot() Snapshot {
	return Snapshot{c.Digest(), c.next, c.Entries()}
}

// Catalogue returns a new Catalogue with the state of the snapshot.
func (s Snapshot) Catalogue() *Catalogue {
	c := New()
	for _, e := range s.Entries {
		c.put(e)
	}
	c.revision, c.checksum, c.next = s.Digest.Revision, s.Digest.Checksum, max(c.next, s.Next)
	return c
}

// Write writes the snapshot to w: a header, the entries and an xxHash64 over
// both, as CBOR items under DEFLATE. Equal states yield equal bytes. It returns
// the errors of w.
func (s Snapshot) Write(w io.Writer) error {
	z, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		return err
	}
	buf := bufio.NewWriter(z)
	hash := xxhash.New()
	enc := encMode.NewEncoder(io.MultiWriter(buf, hash))
	header := snapshotHeader{snapshotFormat, s.Digest.Revision, s.Digest.Checksum, s.Next, len(s.Entries)}
	if err := enc.Encode(header); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	if err := encMode.NewEncoder(buf).Encode(hash.Sum64()); err != nil {
		return err
	}
	if err := buf.Flush(); err != nil {
		return err
	}
	return z.Close()
}

// ReadSnapshot reads a snapshot written by Snapshot.Write. It returns a
// *SnapshotError if the stream is truncated, damaged or of another format.
func ReadSnapshot(r io.Reader) (Snapshot, error) {
	z := flate.NewReader(r)
	defer z.Close()
	s, err := readSnapshot(cbor.NewDecoder(io.LimitReader(z, maxSnapshotBytes)))
	if err != nil {
		return Snapshot{}, &SnapshotError{err}
	}
	return s, nil
}

func readSnapshot(dec *cbor.Decoder) (Snapshot, error) {
	hash := xxhash.New()
	var h snapshotHeader
	if err := decodeHashed(dec, hash, &h); err != nil {
		return Snapshot{}, err
	}
	if h.Format != snapshotFormat {
		return Snapshot{}, fmt.Errorf("unsupported format %d, want %d", h.Format, snapshotFormat)
	}
	if h.Entries < 0 || h.Entries > maxSnapshotEntries {
		return Snapshot{}, fmt.Errorf("%d entries exceed the limit", h.Entries)
	}
	s := Snapshot{Digest: Digest{Revision: h.Revision, Checksum: h.Checksum}, Next: h.Next}
	for range h.Entries {
		var e Entry
		if err := decodeHashed(dec, hash, &e); err != nil {
			return Snapshot{}, err
		}
		s.Entries = append(s.Entries, e)
	}
	var sum uint64
	if err := dec.Decode(&sum); err != nil {
		return Snapshot{}, err
	}
	if sum != hash.Sum64() {
		return Snapshot{}, errors.New("damaged")
	}
	return s, nil
}

// decodeHashed decodes one item into v and adds its bytes to hash.
func decodeHashed(dec *cbor.Decoder, hash io.Writer, v any) error {
	var raw cbor.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return err
	}
	_, _ = hash.Write(raw)
	return cbor.Unmarshal(raw, v)
}
