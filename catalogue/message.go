package catalogue

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessage bounds an encoded Message in bytes, so that it fits a datagram
// of 1200 bytes with the seal and the envelope around it.
const MaxMessage = 1100

// messageFrame bounds what a Message adds to the changes that it carries.
const messageFrame = 64

// Digest identifies a state in a few bytes.
type Digest struct {
	Revision uint64   `cbor:"1,keyasint" json:"revision"`
	Checksum Checksum `cbor:"2,keyasint" json:"checksum"`
	// Confirmed says that the sender learned from the store itself that this
	// revision has this checksum.
	Confirmed bool `cbor:"3,keyasint,omitempty" json:"confirmed"`
}

// same reports whether two digests identify the same state.
func (d Digest) same(o Digest) bool { return d.Revision == o.Revision && d.Checksum == o.Checksum }

// Message is what replicas send each other. Every message carries the
// sender's digest; the other parts are optional.
type Message struct {
	Digest  Digest        `cbor:"1,keyasint"`
	Pull    bool          `cbor:"2,keyasint,omitempty"` // asks for the changes after Digest
	Changes []Change      `cbor:"3,keyasint,omitempty"` // consecutive
	More    bool          `cbor:"4,keyasint,omitempty"` // the sender stopped short of Digest; pull again
	Denied  bool          `cbor:"7,keyasint,omitempty"` // answers a Pull: the sender keeps no changes after that digest
	Request *EntryRequest `cbor:"5,keyasint,omitempty"`
	Reply   *EntryReply   `cbor:"6,keyasint,omitempty"`
}

// EntryRequest asks for one entry, by Service or, if that is empty, Number.
type EntryRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Number  uint32 `cbor:"2,keyasint,omitempty"`
	// Known is the version that the asker holds of the service number
	// KnownNumber; an equal entry is not sent again.
	Known       uint64 `cbor:"3,keyasint,omitempty"`
	KnownNumber uint32 `cbor:"4,keyasint,omitempty"`
}

// EntryReply answers an EntryRequest with the state at the message's digest.
type EntryReply struct {
	Service string `cbor:"1,keyasint,omitempty"` // as asked
	Number  uint32 `cbor:"2,keyasint,omitempty"` // as asked
	Found   bool   `cbor:"3,keyasint,omitempty"`
	Entry   *Entry `cbor:"4,keyasint,omitempty"` // nil if the asker holds it
}

// Packet is a message to be sent.
type Packet struct {
	To      netip.AddrPort
	Message Message
}

// MessageError reports bytes that are no Message.
type MessageError struct{ Err error }

func (e *MessageError) Error() string {
	return fmt.Sprintf("catalogue: message: %v; drop it, the sender repeats what matters", e.Err)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// Encode returns the message as CBOR of at most MaxMessage bytes.
func (m Message) Encode() []byte { return encode(m) }

// DecodeMessage reads what Encode wrote. It returns a *MessageError for
// anything else.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Message{}, &MessageError{err}
	}
	return m, nil
}

// fit returns how many of the first changes fit one message, and their size.
func fit(changes []Change) (n, size int) {
	size = messageFrame
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
