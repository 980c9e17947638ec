package catalogue

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Checksum is a running checksum: the checksum of a revision covers the checksum
// of the previous revision and the change between them. Two nodes with equal
// revision and checksum hold the same catalogue.
type Checksum uint64

// String returns 16 hexadecimal digits.
func (c Checksum) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// MarshalText implements encoding.TextMarshaler. The value is written as text
// because JSON numbers lose digits.
func (c Checksum) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Checksum) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("catalogue: checksum %q is malformed; copy its 16 hexadecimal digits", text)
	}
	*c = Checksum(v)
	return nil
}

// Op is the operation of a change.
type Op uint8

// The operations of a change.
const (
	OpPut    Op = 1 // create or replace the entry
	OpDelete Op = 2
)

// String returns "put" or "delete".
func (o Op) String() string {
	switch o {
	case OpPut:
		return "put"
	case OpDelete:
		return "delete"
	}
	return fmt.Sprintf("op %d", uint8(o))
}

// MarshalText implements encoding.TextMarshaler.
func (o Op) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// EditID identifies one attempt to edit the catalogue. It holds the revision
// that the edit is based on, in its first 8 bytes, and a random part. Only the
// change of the next revision can carry it, which determines the outcome of an
// edit whose answer was lost.
type EditID [16]byte

// NewEditID returns a new ID for an edit based on revision base.
func NewEditID(base uint64) EditID {
	var id EditID
	binary.BigEndian.PutUint64(id[:8], base)
	_, _ = rand.Read(id[8:]) // never fails
	return id
}

// Base returns the revision that the edit is based on.
func (id EditID) Base() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// String returns 32 hexadecimal digits.
func (id EditID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id EditID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// ParseEditID parses the 32 hexadecimal digits returned by EditID.String.
func ParseEditID(s string) (EditID, error) {
	var id EditID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("catalogue: edit ID %q is malformed; copy its 32 hexadecimal digits", s)
	}
	copy(id[:], b)
	return id, nil
}

// Change is an accepted change of one entry. An edit of several entries results
// in several changes with consecutive revisions and the same edit ID.
type Change struct {
	Revision uint64   `cbor:"1,keyasint" json:"revision"`
	Op       Op       `cbor:"2,keyasint" json:"op"`
	Entry    Entry    `cbor:"3,keyasint" json:"entry"` // without addresses, class and limits if Op is OpDelete
	Edit     EditID   `cbor:"4,keyasint" json:"edit"`
	Editor   string   `cbor:"5,keyasint" json:"editor"`
	Time     int64    `cbor:"6,keyasint" json:"time_ms"` // of the editor's clock, Unix milliseconds
	Previous Checksum `cbor:"7,keyasint" json:"previous"`
	Checksum Checksum `cbor:"8,keyasint,omitempty" json:"checksum"`
}

// When returns the time of the change by the editor's clock.
func (c Change) When() time.Time { return time.UnixMilli(c.Time) }

// computeChecksum returns the checksum that the change must carry.
func (c Change) computeChecksum() Checksum {
	c.Checksum = 0
	return Checksum(xxhash.Sum64(encode(c)))
}

// encMode is the Core Deterministic Encoding of CBOR (RFC 8949, 4.2.1), so that
// every process computes the same checksum of a change.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // options are constant
	}
	return m
}()

// encode returns the CBOR encoding of a value of this package. It panics on an
// error, which such values can't cause.
func encode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("catalogue: encode %T: %v", v, err))
	}
	return data
}
