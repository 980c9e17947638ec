package membership

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// maxBuckets bounds Message.Buckets.
const maxBuckets = 64

// MaxMessage is the largest encoded message in bytes. With the seal and the
// UDP and IP headers it still fits an unfragmented datagram.
const MaxMessage = 1200

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages and the fields that each of them uses.
const (
	KindAnnounce      Kind = 1  // subject to observer: Records[0], Hash of the subject's observers
	KindHeartbeat     Kind = 2  // subject to observer: Incarnation, Version, Hash of the subject's observers
	KindAck           Kind = 3  // observer to subject: Incarnation, Version, Flags, EntryVersion, Peers
	KindGossip        Kind = 4  // balancer to balancer: Records, Deltas, Zones
	KindLivenessQuery Kind = 5  // observer to observer: Peers[0] does not report to the sender; Incarnation
	KindLivenessReply Kind = 6  // answer to KindLivenessQuery: Peers[0], Incarnation, Flags
	KindRootDigest    Kind = 7  // digest of the whole member list: Hash, Count
	KindGroupDigests  Kind = 8  // digests of the groups of buckets: Hashes
	KindBucketDigests Kind = 9  // digests of the buckets of group Index: Hashes
	KindRecordDigests Kind = 10 // digests of all records of Buckets: Peers, Hashes
	KindRecordRequest Kind = 11 // requests the records of Peers
	KindRepair        Kind = 12 // records that differ according to a comparison: Records
)

// Flags qualify a message.
type Flags uint8

// The flags.
const (
	FlagSendRecord   Flags = 1 << iota // KindAck: the subject is to announce its full record
	FlagSuspected                      // KindAck: Version is suspect or dead, the subject is to announce a higher one
	FlagUnresponsive                   // KindLivenessReply: the subject does not report to the sender either
	FlagResponsive                     // KindLivenessReply: the subject reports to the sender
)

// Message is one control datagram between processes.
type Message struct {
	Kind         Kind             `cbor:"1,keyasint"`
	Flags        Flags            `cbor:"2,keyasint,omitempty"`
	Incarnation  uint64           `cbor:"3,keyasint,omitempty"`
	Version      uint32           `cbor:"4,keyasint,omitempty"`
	Hash         uint64           `cbor:"5,keyasint,omitempty"`
	Count        uint32           `cbor:"6,keyasint,omitempty"`
	Index        uint16           `cbor:"7,keyasint,omitempty"`
	EntryVersion uint64           `cbor:"8,keyasint,omitempty"` // opaque to this package, see Config.EntryVersion
	Hashes       []byte           `cbor:"9,keyasint,omitempty"` // 4 bytes each, big endian
	Peers        []netip.AddrPort `cbor:"10,keyasint,omitempty"`
	Records      []Record         `cbor:"11,keyasint,omitempty"`
	Zones        []ZoneStatus     `cbor:"12,keyasint,omitempty"`
	Buckets      []uint16         `cbor:"13,keyasint,omitempty"`
	Deltas       []Delta          `cbor:"14,keyasint,omitempty"`
}

// Envelope is a message and its destination. Several envelopes may share one
// message: neither sender nor receiver may change it.
type Envelope struct {
	To  netip.AddrPort
	Msg *Message
}

// Encoded sizes in bytes.
const (
	sizeHead       = 60 // upper bound of a Message whose lists are empty
	sizeTypical    = 16 // a Message with the few scalar fields that its kind uses
	sizePeer       = 7
	sizeBucket     = 3
	sizeWitness    = 9
	sizeZoneStatus = 12 // upper bound of a ZoneStatus without its labels and witnesses
	sizeOnWire     = 60 // seal, UDP and IP headers, counted against the byte rate
	sizeRecord     = 11 // the parts of a Record that have a fixed size
	maxRecord      = 50 + 2*MaxLabel
)

// sizeUint returns the encoded size of v.
func sizeUint(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}

func sizeText(s string) int { return sizeUint(uint64(len(s))) + len(s) }

// size returns the encoded size of r.
func (r *Record) size() int {
	n := sizeRecord + sizeUint(uint64(r.Weight)) + sizeUint(uint64(r.Service))
	n += sizeUint(r.Incarnation) + sizeUint(uint64(r.Version))
	n += sizeUint(uint64(r.Bulk)) + sizeUint(uint64(r.Admin))
	return n + sizeText(r.Zone) + sizeText(r.Region)
}

func (s *ZoneStatus) size() int {
	n := sizeZoneStatus + sizeText(s.Zone) + sizeText(s.Region) + sizeText(s.ViewerRegion)
	return n + sizeWitness*len(s.Witnesses)
}

// size returns an upper bound of the encoded size of m.
func (m *Message) size() int {
	n := sizeHead + len(m.Hashes) + sizePeer*len(m.Peers) + sizeBucket*len(m.Buckets)
	for i := range m.Records {
		n += m.Records[i].size()
	}
	for i := range m.Deltas {
		n += m.Deltas[i].size()
	}
	for i := range m.Zones {
		n += m.Zones[i].size()
	}
	return n
}

// MessageError reports why a message can't be encoded or decoded, and what to
// do about it.
type MessageError struct {
	Reason string
	Remedy string
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("membership message: %s; %s", e.Reason, e.Remedy)
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 256,
		MaxMapPairs:      16,
		MaxNestedLevels:  5,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}()

// Encode returns m in CBOR, at most MaxMessage bytes long. A *MessageError
// means a bug in this package.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, &MessageError{err.Error(), "report a bug"}
	}
	if len(b) > MaxMessage {
		return nil, &MessageError{fmt.Sprintf("encoded message has %d bytes", len(b)), "report a bug: messages are built to fit MaxMessage"}
	}
	return b, nil
}

// Decode decodes one message and checks every record in it, so that the result
// can be passed to Receive. It returns a *MessageError for an invalid datagram.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := decMode.Unmarshal(b, m); err != nil {
		return nil, &MessageError{err.Error(), "count and drop the datagram"}
	}
	for i := range m.Records {
		if err := m.Records[i].Check(); err != nil {
			return nil, &MessageError{err.Error(), "count and drop the datagram"}
		}
	}
	for _, p := range m.Peers {
		if !p.Addr().Is4() {
			return nil, &MessageError{"peer address is not IPv4", "count and drop the datagram"}
		}
	}
	for i := range m.Deltas {
		if err := m.Deltas[i].check(); err != nil {
			return nil, err
		}
	}
	for i := range m.Zones {
		if err := m.Zones[i].check(); err != nil {
			return nil, err
		}
	}
	if len(m.Hashes)%hashLen != 0 {
		return nil, &MessageError{"hashes are truncated", "count and drop the datagram"}
	}
	return m, nil
}
