// Package flowframe encodes the messages between balancers and agents that
// forward packet flows: a header of fixed length, optionally followed by a packet.
//
// Frames are not authenticated, because callers can't reach the system's internal
// ports on the platform's network.
package flowframe

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

// Size is the length of the header in bytes.
const Size = 56

// version is the first byte of a frame. It distinguishes frames of this layout from other
// layouts and from unrelated datagrams.
const version = 0xb2

const (
	atKind         = 1
	atReason       = 2
	atState        = 3
	atPriority     = 4
	atOccupancy    = 5
	atReadAge      = 6
	atService      = 8
	atRevision     = 16
	atIncarnation  = 24
	atZone         = 32
	atKey          = 36
	atOnTime       = 48 // milliseconds
	atWait         = 50 // milliseconds
	atLastReceived = 52 // milliseconds
	atColdRate     = 54
)

// Fields that share bytes with others, depending on the kind of message.
const (
	atHealth      = atPriority        // sent by agents
	atResetSeq    = atOnTime          // NotHeld, 4 bytes: a sequence number
	atAnswerTime  = atOnTime          // Report: milliseconds
	atTarget      = atIncarnation     // Open: milliseconds
	atTimeout     = atIncarnation + 2 // Open: milliseconds
	atOfferFlags  = atIncarnation + 4 // Open
	atRound       = atKey             // Report, QueryAnswer, Introduced
	atIntroduce   = atKey + 2         // Report: 1 if set
	atListVersion = atColdRate        // Lookup, Query, NotHeld, QueryAnswer, Introductions
)

// The bits at atOfferFlags.
const (
	flagRepeatable = 1 << iota
	flagTrial
)

// The byte at atState holds a server's state in its lower half, sent by agents, and the
// order for an availability zone in its upper half, sent by balancers.
const (
	stateMask      = 0x0f
	zoneOrderShift = 4
)

// Append appends the header of m to b.
func Append(b []byte, m *flow.Message) []byte {
	var h [Size]byte
	h[0] = version
	h[atKind] = byte(m.Kind)
	h[atReason] = byte(m.Reason)
	h[atState] = byte(m.State) | byte(m.ZoneOrder)<<zoneOrderShift
	h[atOccupancy] = byte(m.Occupancy)
	le := binary.LittleEndian
	le.PutUint16(h[atReadAge:], uint16(m.ReadAge))
	le.PutUint64(h[atService:], uint64(m.Service))
	le.PutUint64(h[atRevision:], m.Revision)
	le.PutUint32(h[atZone:], m.Zone)
	m.Key.Append(h[atKey:atKey])
	le.PutUint16(h[atWait:], millis(m.Wait))
	le.PutUint16(h[atLastReceived:], millis(m.LastReceived))
	le.PutUint16(h[atColdRate:], uint16(m.ColdRate))
	putKindFields(&h, m)
	return append(b, h[:]...)
}

// putKindFields encodes the fields whose bytes hold other fields in other kinds of messages.
func putKindFields(h *[Size]byte, m *flow.Message) {
	le := binary.LittleEndian
	h[atPriority] = m.Priority
	if m.Kind.FromAgent() {
		h[atHealth] = byte(m.Health)
	}
	le.PutUint16(h[atOnTime:], millis(m.OnTime))
	switch m.Kind {
	case flow.Report:
		le.PutUint16(h[atAnswerTime:], millis(m.AnswerTime))
	case flow.NotHeld:
		le.PutUint32(h[atResetSeq:], m.ResetSeq)
	}
	switch m.Kind {
	case flow.Report, flow.QueryAnswer, flow.Introduced:
		le.PutUint16(h[atRound:], m.Round)
		if m.Introduce {
			h[atIntroduce] = 1
		}
	}
	if hasListVersion(m.Kind) {
		le.PutUint16(h[atListVersion:], m.ListVersion)
	}
	if m.Kind != flow.Open {
		le.PutUint64(h[atIncarnation:], m.Incarnation)
		return
	}
	le.PutUint16(h[atTarget:], millis(m.Target))
	le.PutUint16(h[atTimeout:], millis(m.Timeout))
	if m.Repeatable {
		h[atOfferFlags] |= flagRepeatable
	}
	if m.Trial {
		h[atOfferFlags] |= flagTrial
	}
}

// hasListVersion reports whether messages of a kind carry the version of an agent's list of
// introduced agents.
func hasListVersion(k flow.MessageKind) bool {
	switch k {
	case flow.Lookup, flow.Query, flow.NotHeld, flow.QueryAnswer, flow.Introductions:
		return true
	}
	return false
}

// getKindFields decodes what putKindFields encoded. Unknown flags are ignored.
func getKindFields(b []byte, m *flow.Message) {
	if m.Kind.FromAgent() {
		m.Health = health.Report(b[atHealth])
	} else {
		m.Priority = b[atPriority]
	}
	m.Wait = duration(b[atWait:])
	switch m.Kind {
	case flow.Report:
		m.AnswerTime = duration(b[atAnswerTime:])
	case flow.NotHeld:
		m.ResetSeq, m.Wait = binary.LittleEndian.Uint32(b[atResetSeq:]), 0
	default:
		m.OnTime = duration(b[atOnTime:])
	}
	switch m.Kind {
	case flow.Report, flow.QueryAnswer, flow.Introduced:
		m.Round, m.Introduce = binary.LittleEndian.Uint16(b[atRound:]), b[atIntroduce] == 1
		m.Key = flow.Key{}
	}
	if hasListVersion(m.Kind) {
		m.ListVersion, m.ColdRate = binary.LittleEndian.Uint16(b[atListVersion:]), 0
	}
	if m.Kind != flow.Open {
		m.Incarnation = binary.LittleEndian.Uint64(b[atIncarnation:])
		return
	}
	m.Target, m.Timeout = duration(b[atTarget:]), duration(b[atTimeout:])
	m.Repeatable = b[atOfferFlags]&flagRepeatable != 0
	m.Trial = b[atOfferFlags]&flagTrial != 0
}

// duration decodes what millis returned.
func duration(b []byte) time.Duration {
	return time.Duration(binary.LittleEndian.Uint16(b)) * time.Millisecond
}

// millis returns d in milliseconds, limited to the range of uint16.
func millis(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// Decode decodes a frame and returns the packet after the header, empty if there
// is none. ok is false if b is not a valid frame.
func Decode(b []byte) (m flow.Message, packet []byte, ok bool) {
	if len(b) < Size || b[0] != version {
		return m, nil, false
	}
	m.Kind = flow.MessageKind(b[atKind])
	if !m.Kind.Valid() {
		return m, nil, false
	}
	m.Reason = flow.Reason(b[atReason])
	if int(m.Reason) >= flow.Reasons {
		return m, nil, false
	}
	m.State = flow.ServerState(b[atState] & stateMask)
	m.ZoneOrder = flow.ZoneOrder(b[atState] >> zoneOrderShift)
	if !m.ZoneOrder.Valid() {
		return m, nil, false
	}
	m.Occupancy = placement.Occupancy(b[atOccupancy])
	le := binary.LittleEndian
	m.ReadAge = flow.ReadAge(le.Uint16(b[atReadAge:]))
	m.Service = flow.ServiceID(le.Uint64(b[atService:]))
	m.Revision = le.Uint64(b[atRevision:])
	m.Zone = le.Uint32(b[atZone:])
	m.Key, _ = flow.DecodeKey(b[atKey:])
	m.LastReceived = duration(b[atLastReceived:])
	m.ColdRate = flow.ColdRate(le.Uint16(b[atColdRate:]))
	getKindFields(b, &m)
	return m, b[Size:], true
}
