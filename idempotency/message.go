package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"time"
)

// KeyLen is the length of a Key in bytes.
const KeyLen = 16

// Key identifies a request that must not run twice.
type Key [KeyLen]byte

// KeyOf returns the Key for the idempotency key that a caller of owner gave to
// a service. Keys of different services or owners never meet, so that no owner
// can use up another's keys.
func KeyOf(service uint32, owner, key string) Key {
	b := make([]byte, 0, 8+len(owner)+len(key))
	b = binary.BigEndian.AppendUint32(b, service)
	b = binary.BigEndian.AppendUint32(b, uint32(len(owner)))
	b = append(b, owner...)
	b = append(b, key...)
	sum := sha256.Sum256(b)
	return Key(sum[:KeyLen])
}

// ClaimID identifies one attempt to run a key. No two attempts share one.
type ClaimID struct {
	Agent       netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"` // of the agent's process; never used again
	Seq         uint64         `cbor:"3,keyasint"`
}

// State is what is known of a claim.
type State uint8

// The states of a claim.
const (
	Claimed  State = iota + 1 // it may run or have run; its agent didn't say
	Running                   // its first byte went out
	Done                      // it ran and the backend server answered
	Lost                      // it ran and its answer was lost
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

// ran reports whether a claim in state s was started for sure.
func (s State) ran() bool { return s == Running || s == Done || s == Lost }

// Claim asks a home for its vote. All messages encode to less than 200 bytes.
type Claim struct {
	Key Key     `cbor:"1,keyasint"`
	ID  ClaimID `cbor:"2,keyasint"`
}

// Report tells a home what became of a claim.
type Report struct {
	Key    Key     `cbor:"1,keyasint"`
	ID     ClaimID `cbor:"2,keyasint"`
	State  State   `cbor:"3,keyasint"`
	Status int     `cbor:"4,keyasint,omitempty"` // HTTP status with Done
}

// VoteKind is a home's answer to a claim.
type VoteKind uint8

// The kinds of votes.
const (
	Granted VoteKind = iota + 1 // the home's vote goes to the claim
	Held                        // another claim has it
	Fenced                      // the home can't know of older claims yet
	Full                        // the home has no room for another key
)

// Vote is a home's answer to a claim.
type Vote struct {
	Key        Key           `cbor:"1,keyasint"`
	ID         ClaimID       `cbor:"2,keyasint"` // of the claim that is answered
	Kind       VoteKind      `cbor:"3,keyasint"`
	Holder     ClaimID       `cbor:"4,keyasint,omitempty"` // with Held: the claim that has the vote
	State      State         `cbor:"5,keyasint,omitempty"` // with Held: what is known of it
	Status     int           `cbor:"6,keyasint,omitempty"` // with Held and Done: its HTTP status
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"` // with Fenced and Full
}
