package membership

import "time"

// Op is a call to the platform's store.
type Op uint8

// The calls that Slots makes.
const (
	OpGet   Op = 1 // read Key
	OpGrant Op = 2 // grant a lease for TTL; Result.Lease names it
	OpClaim Op = 3 // write Value at Key under Lease, only if Key is absent
	OpRenew Op = 4 // renew Lease
)

// Call is the next call to make. ID comes back in the Result.
type Call struct {
	ID    uint64
	Op    Op
	Key   string
	Value string
	Lease uint64
	TTL   time.Duration
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	OutcomeOK      Outcome = 1 // done; for OpGet, Value is what was read
	OutcomeAbsent  Outcome = 2 // OpGet: there is no such key; OpRenew: the lease has lapsed
	OutcomeTaken   Outcome = 3 // OpClaim: the key exists
	OutcomeRefused Outcome = 4 // the store is over its rate or down: nothing was done
	OutcomeUnknown Outcome = 5 // the answer was lost: it may have been done
)

// Result is the outcome of the call with the same ID.
type Result struct {
	ID      uint64
	Outcome Outcome
	Value   string
	Lease   uint64
}
