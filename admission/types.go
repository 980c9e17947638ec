package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Request is a request of a caller.
type Request struct {
	ID         uint64          // unique among the requests that are not done
	Owner      string          // charged for the slot time; slots are shared fairly between owners
	Class      catalogue.Class // empty means ClassInteractive
	Deadline   time.Time       // when the caller stops waiting; zero means never
	Idempotent bool            // whether Budget.Retry may allow another attempt
}

// isLongClass reports whether requests of class c are long flows.
func isLongClass(c catalogue.Class) bool {
	return c == catalogue.ClassStream || c == catalogue.ClassDownload
}

// Verdict is the decision on an offered request.
type Verdict uint8

// The verdicts of Offer.
const (
	Admitted Verdict = iota + 1 // start the request now
	Queued                      // a later Effect starts or refuses the request
	Refused                     // the request is not run; answer the caller now
)

func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// Decision is the result of Offer. Refusal is set if Verdict is Refused.
type Decision struct {
	Verdict Verdict
	Refusal Refusal
}

// Reason is the reason of a refusal.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonLimit     Reason = iota + 1 // a limit of the entry or of the request's owner is reached
	ReasonQueueFull                   // the queue is full
	ReasonDeadline                    // the request can't end before its deadline
	ReasonDraining                    // the agent is draining
	ReasonShed                        // the backend server is shedding load
	ReasonNoBackend                   // the backend server can't be reached
	ReasonDuplicate                   // the request ID is in use, a fault of the code that calls Offer
	ReasonOnTrial                     // the backend server has failed and gets single requests only; decided by the caller of Offer
)

func (r Reason) String() string {
	switch r {
	case ReasonLimit:
		return "limit"
	case ReasonQueueFull:
		return "queue_full"
	case ReasonDeadline:
		return "deadline"
	case ReasonDraining:
		return "draining"
	case ReasonShed:
		return "shed"
	case ReasonNoBackend:
		return "no_backend_server"
	case ReasonDuplicate:
		return "duplicate_id"
	case ReasonOnTrial:
		return "on_trial"
	}
	return "unknown"
}

// remedy returns what the caller or the operator can do about r.
func (r Reason) remedy() string {
	switch r {
	case ReasonLimit:
		return "come back later, or raise the entry's limits"
	case ReasonDeadline:
		return "come back later, or allow more time"
	case ReasonDraining:
		return "repeat it on a new connection"
	case ReasonDuplicate:
		return "give each open request its own ID"
	}
	return "come back later"
}

// Refusal is the error of a request that was not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // time from the refusal after which to retry
}

func (r Refusal) Error() string {
	return fmt.Sprintf("request not run: %s; %s (after %s)", r.Reason, r.Reason.remedy(), r.RetryAfter)
}

// Seconds returns RetryAfter for the HTTP header Retry-After, in whole seconds:
// rounded up, at least 1.
func (r Refusal) Seconds() int {
	return max(1, int(math.Ceil(r.RetryAfter.Seconds())))
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	Start  EffectKind = iota + 1 // start the queued request
	Refuse                       // refuse the queued request; it was not run
)

// Effect is a decision on a request that was Queued.
type Effect struct {
	Kind    EffectKind
	ID      uint64
	Refusal Refusal // set if Kind is Refuse
}

// Outcome is how an admitted request ended.
type Outcome uint8

// The outcomes that Done takes.
const (
	OK       Outcome = iota + 1 // the backend server answered, possibly with an error caused by the request
	Failed                      // the connection to the backend server failed
	Shed                        // the backend server answered 503 or 429
	TimedOut                    // the deadline passed before the answer
	Canceled                    // the caller no longer waits for the answer
)

// Result is the argument of Done: the outcome of an admitted request.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // Retry-After of the backend server's answer if Outcome is Shed; 0 if absent
}
