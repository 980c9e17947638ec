package membership

import "time"

// Op is an operation on the platform's store.
type Op uint8

// The operations that Slots uses.
const (
	OpGet   Op = 1 // read Key
	OpGrant Op = 2 // grant a lease for TTL; Result.Lease names it
	OpClaim Op = 3 // write Value to Key under Lease, only if Key is absent
	OpRenew Op = 4 // renew Lease
)

// Call is the next call to make. ID is copied to the Result.
type Call struct {
	ID    uint64
	Op    Op
	Key   string
	Value string
	Lease uint64
	TTL   time.Duration
}

// Outcome is the outcome of a call.
type Outcome uint8

// The outcomes of a call.
const (
	OutcomeOK      Outcome = 1 // succeeded; for OpGet, Value is the value read
	OutcomeAbsent  Outcome = 2 // OpGet: Key does not exist; OpRenew: the lease has lapsed
	OutcomeTaken   Outcome = 3 // OpClaim: Key exists
	OutcomeRefused Outcome = 4 // the store is over its rate limit or down: nothing was done
	OutcomeUnknown Outcome = 5 // the answer was lost: the call may have taken effect
)

// Result is the outcome of the call with the same ID.
type Result struct {
	ID      uint64
	Outcome Outcome
	Value   string
	Lease   uint64
}
