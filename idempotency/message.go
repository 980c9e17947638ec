package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"time"
)

// KeyLen is the length of a Key in bytes.
const KeyLen = 16

// Key identifies a request that must not run twice. It is a truncated SHA-256.
type Key [KeyLen]byte

// KeyOf returns the Key for the idempotency key that a caller of owner sent to a
// service. Keys of different services or owners differ, so no owner can use up
// another's keys.
func KeyOf(service uint32, owner, key string) Key {
	b := make([]byte, 0, 8+len(owner)+len(key))
	b = binary.BigEndian.AppendUint32(b, service)
	b = binary.BigEndian.AppendUint32(b, uint32(len(owner)))
	b = append(b, owner...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return Key(sum[:KeyLen])
}

// ClaimID identifies one attempt to run a request with a key and is never reused.
type ClaimID struct {
	Agent       netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"` // of the agent's process; never reused
	Seq         uint64         `cbor:"3,keyasint"`
}

// State is the known state of a claim.
type State uint8

// The states of a claim.
const (
	Claimed  State = iota + 1 // it may run or have run; its agent has reported nothing
	Running                   // the first byte was sent
	Done                      // it ran and the backend server answered
	Lost                      // it ran and the answer was lost
	Released                  // it didn't run and never will
)

func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Running:
		return "running"
	case Done:
		return "done"
	case Lost:
		return "lost"
	case Released:
		return "released"
	}
	return "unknown"
}

// ran reports whether a claim in state s is known to have started.
func (s State) ran() bool { return s == Running || s == Done || s == Lost }

// Claim asks a voter for its vote. All messages encode to at most 200 bytes.
type Claim struct {
	Key Key     `cbor:"1,keyasint"`
	ID  ClaimID `cbor:"2,keyasint"`
}

// Report informs a voter of the state of a claim.
type Report struct {
	Key    Key     `cbor:"1,keyasint"`
	ID     ClaimID `cbor:"2,keyasint"`
	State  State   `cbor:"3,keyasint"`
	Status int     `cbor:"4,keyasint,omitempty"` // HTTP status with Done
}

// VoteKind is the kind of a Vote.
type VoteKind uint8

// The kinds of votes.
const (
	Granted VoteKind = iota + 1 // the claim gets the voter's vote
	Held                        // another claim has the voter's vote
	Fenced                      // the voter may not know older claims yet
	Full                        // the voter has no capacity for another key
)

// Vote is a voter's answer to a claim.
type Vote struct {
	Key        Key           `cbor:"1,keyasint"`
	ID         ClaimID       `cbor:"2,keyasint"` // of the answered claim
	Kind       VoteKind      `cbor:"3,keyasint"`
	Holder     ClaimID       `cbor:"4,keyasint,omitempty"` // with Held: the claim that has the vote
	State      State         `cbor:"5,keyasint,omitempty"` // with Held: the known state of Holder
	Status     int           `cbor:"6,keyasint,omitempty"` // with Held and Done: the HTTP status of Holder
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"` // with Fenced and Full
}
