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

// Checksum is a running checksum: that of a revision covers the checksum of
// the revision before it and the change between them. Two nodes with equal
// revision and checksum hold the same catalogue.
type Checksum uint64

// String returns 16 hexadecimal digits.
func (c Checksum) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// MarshalText implements encoding.TextMarshaler, as JSON numbers lose digits.
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

// Op is what a change does to an entry.
type Op uint8

// The operations of a change.
const (
	OpPut    Op = 1 // create or replace the entry
	OpDelete Op = 2
)

// String returns put or delete.
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

// EditID names one attempt to edit the catalogue: the revision that it was
// based on and a random part. Only the change of the next revision can carry
// it, which settles an edit whose answer was lost.
type EditID [16]byte

// NewEditID returns a fresh ID of an edit on top of revision base.
func NewEditID(base uint64) EditID {
	var id EditID
	binary.BigEndian.PutUint64(id[:8], base)
	_, _ = rand.Read(id[8:]) // never fails
	return id
}

// Base returns the revision that the edit was based on.
func (id EditID) Base() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// String returns 32 hexadecimal digits.
func (id EditID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id EditID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// ParseEditID reads what String wrote.
func ParseEditID(s string) (EditID, error) {
	var id EditID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("catalogue: edit ID %q is malformed; copy its 32 hexadecimal digits", s)
	}
	copy(id[:], b)
	return id, nil
}

// Change is one accepted change of one entry. An edit of several entries
// makes several changes with consecutive revisions and the same edit ID.
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

// When returns the editor's time of the change.
func (c Change) When() time.Time { return time.UnixMilli(c.Time) }

// sum computes the checksum that the change must carry.
func (c Change) sum() Checksum {
	c.Checksum = 0
	return Checksum(xxhash.Sum64(encode(c)))
}

// encMode writes the deterministic form, so that every process computes the
// same checksum over a change.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // options are constant
	}
	return m
}()

// encode writes a value of this package, which cannot fail.
func encode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("catalogue: encode %T: %v", v, err))
	}
	return data
}
