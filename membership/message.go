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

// Kind says what a message is for.
type Kind uint8

// The kinds of messages and the fields that each of them uses.
const (
	KindAnnounce      Kind = 1  // subject to observer: Records[0], Hash of its observers
	KindHeartbeat     Kind = 2  // subject to observer: Incarnation, Version, Hash of its observers
	KindAck           Kind = 3  // observer to subject: Incarnation, Version, Flags, Entry, Peers
	KindGossip        Kind = 4  // balancer to balancer: Records, Deltas, Zones
	KindLivenessQuery Kind = 5  // observer to observer: Peers[0] is silent here, Incarnation
	KindLivenessReply Kind = 6  // answer to KindDoubt: Peers[0], Incarnation, Flags
	KindRootDigest    Kind = 7  // digest of the whole roster: Hash, Count
	KindGroupDigests  Kind = 8  // digests of the groups of buckets: Hashes
	KindBucketDigests Kind = 9  // digests of the buckets of group Index: Hashes
	KindRecordDigests Kind = 10 // all records of Buckets: Peers, Hashes
	KindRecordRequest Kind = 11 // asks for the records of Peers
	KindRepair        Kind = 12 // records that a comparison found to differ: Records
)

// Flags qualify a message.
type Flags uint8

// The flags.
const (
	FlagSendRecord   Flags = 1 << iota // KindAck: announce the full record
	FlagSuspected                      // KindAck: Version is suspected or dead, announce a higher one
	FlagUnresponsive                   // KindOpinion: the subject is silent here too
	FlagResponsive                     // KindOpinion: the subject was heard here
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
	EntryVersion uint64           `cbor:"8,keyasint,omitempty"` // opaque to this package, see Config.Entry
	Hashes       []byte           `cbor:"9,keyasint,omitempty"` // 4 bytes each, big endian
	Peers        []netip.AddrPort `cbor:"10,keyasint,omitempty"`
	Records      []Record         `cbor:"11,keyasint,omitempty"`
	Zones        []ZoneStatus     `cbor:"12,keyasint,omitempty"`
	Buckets      []uint16         `cbor:"13,keyasint,omitempty"`
	Deltas       []Delta          `cbor:"14,keyasint,omitempty"`
}

// Envelope is a message and the process it goes to. Several envelopes may
// share one message: neither sender nor receiver may change it.
type Envelope struct {
	To  netip.AddrPort
	Msg *Message
}

// Encoded sizes in bytes.
const (
	sizeHead    = 60 // upper bound of a Message whose lists are empty
	sizeTypical = 16 // a Message with the few scalars that its kind uses
	sizePeer    = 7
	sizeBucket  = 3
	sizeWitness = 9
	sizeFact    = 12 // upper bound of a ZoneFact without its labels and witnesses
	sizeOnWire  = 60 // seal, UDP and IP headers, counted against the byte rate
	sizeRecord  = 11 // the parts of a Record that always take the same
	maxRecord   = 50 + 2*MaxLabel
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

func (f *ZoneStatus) size() int {
	n := sizeFact + sizeText(f.Zone) + sizeText(f.Region) + sizeText(f.ViewerRegion)
	return n + sizeWitness*len(f.Witnesses)
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

// MessageError tells why a datagram is no message.
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

// Encode returns m in CBOR, at most MaxMessage bytes long.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, &MessageError{err.Error(), "report a bug"}
	}
	if len(b) > MaxMessage {
		return nil, &MessageError{fmt.Sprintf("%d bytes", len(b)), "report a bug: messages are built within the bound"}
	}
	return b, nil
}

// Decode reads one message. It checks every record, so that what it returns
// is safe to hand to Receive.
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
			return nil, &MessageError{"peer without IPv4 address", "count and drop the datagram"}
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
		return nil, &MessageError{"hashes cut short", "count and drop the datagram"}
	}
	return m, nil
}
