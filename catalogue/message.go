package catalogue

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage is the maximum size of an encoded Message in bytes. With the seal
// and the envelope it fits in a datagram of 1200 bytes.
const MaxMessage = 1100

// messageOverhead is the maximum size in bytes of a Message without its changes.
const messageOverhead = 64

// Digest identifies a state of the catalogue.
type Digest struct {
	Revision uint64   `cbor:"1,keyasint" json:"revision"`
	Checksum Checksum `cbor:"2,keyasint" json:"checksum"`
	// Confirmed means that the store has confirmed the checksum of this
	// revision, to the sender or to a peer that the sender received it from.
	Confirmed bool `cbor:"3,keyasint,omitempty" json:"confirmed"`
}

// sameState reports whether two digests identify the same state.
func (d Digest) sameState(o Digest) bool { return d.Revision == o.Revision && d.Checksum == o.Checksum }

// Message is a message between replicas, or between an agent and a replica.
// Every message carries the sender's digest; the other parts are optional.
type Message struct {
	Digest  Digest        `cbor:"1,keyasint"`
	Pull    bool          `cbor:"2,keyasint,omitempty"` // requests the changes after Digest
	Changes []Change      `cbor:"3,keyasint,omitempty"` // consecutive
	More    bool          `cbor:"4,keyasint,omitempty"` // Changes end before Digest; pull again
	Denied  bool          `cbor:"7,keyasint,omitempty"` // answers a Pull: the sender doesn't keep the changes after its digest
	Request *EntryRequest `cbor:"5,keyasint,omitempty"`
	Reply   *EntryReply   `cbor:"6,keyasint,omitempty"`
}

// EntryRequest requests one entry, by Service or, if that is empty, by Number.
type EntryRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Number  uint32 `cbor:"2,keyasint,omitempty"`
	// Known is the version of the entry that the requester has, and KnownNumber
	// its service number; an entry with both is not sent again.
	Known       uint64 `cbor:"3,keyasint,omitempty"`
	KnownNumber uint32 `cbor:"4,keyasint,omitempty"`
}

// EntryReply answers an EntryRequest with the state at the message's digest.
type EntryReply struct {
	Service string `cbor:"1,keyasint,omitempty"` // as in the request
	Number  uint32 `cbor:"2,keyasint,omitempty"` // as in the request
	Found   bool   `cbor:"3,keyasint,omitempty"`
	Entry   *Entry `cbor:"4,keyasint,omitempty"` // nil if not found or if the requester has it
}

// Packet is a message and its destination.
type Packet struct {
	To      netip.AddrPort
	Message Message
}

// MessageError reports bytes that can't be decoded as a Message.
type MessageError struct{ Err error }

func (e *MessageError) Error() string {
	return fmt.Sprintf("catalogue: message: %v; drop it, the sender repeats what matters", e.Err)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// Encode returns the message as CBOR of at most MaxMessage bytes.
func (m Message) Encode() []byte { return encode(m) }

// DecodeMessage decodes a message encoded by Encode. It returns a *MessageError
// if data is malformed.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, &MessageError{err}
	}
	return m, nil
}

// fitMessage returns the number of leading changes that fit in one message, and
// an upper bound of the size of that message in bytes.
func fitMessage(changes []Change) (n, size int) {
	size = messageOverhead
	for _, ch := range changes {
		s := len(encode(ch))
		if size+s > MaxMessage {
			break
		}
		size += s
		n++
	}
	return n, size
}
