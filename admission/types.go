package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Request is what a caller asks for.
type Request struct {
	ID         uint64          // unique among the requests that are not done
	Owner      string          // who is charged for it; fairness is between owners
	Class      catalogue.Class // empty means ClassInteractive
	Deadline   time.Time       // when the caller stops waiting; zero means never
	Idempotent bool            // whether Budget.Retry may grant another attempt
}

// long reports whether requests of class c hold the backend server for long.
func long(c catalogue.Class) bool {
	return c == catalogue.ClassStream || c == catalogue.ClassDownload
}

// Verdict says what became of an offered request.
type Verdict uint8

// The verdicts of Offer.
const (
	Admitted Verdict = iota + 1 // start it now
	Queued                      // an Effect will start or refuse it
	Refused                     // not run; answer the caller now
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

// Decision is the answer to Offer. Refusal is set if Verdict is Refused.
type Decision struct {
	Verdict Verdict
	Refusal Refusal
}

// Reason says why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonLimit     Reason = iota + 1 // a limit of the entry or of its owner is reached
	ReasonQueueFull                   // no place left to wait for a slot
	ReasonDeadline                    // it can't end before its deadline
	ReasonDraining                    // the agent is stopping
	ReasonShed                        // the backend server asked for less work
	ReasonNoBackend                   // the backend server can't be reached
	ReasonDuplicate                   // the request ID is in use (a fault of the adapter)
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
	}
	return "unknown"
}

// remedy names what the caller or operator can do about r.
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
	RetryAfter time.Duration // when to come back, counted from the refusal
}

func (r Refusal) Error() string {
	return fmt.Sprintf("request not run: %s; %s (after %s)", r.Reason, r.Reason.remedy(), r.RetryAfter)
}

// Seconds is RetryAfter for the HTTP header of that name, which holds whole
// seconds: rounded up, at least 1.
func (r Refusal) Seconds() int {
	return max(1, int(math.Ceil(r.RetryAfter.Seconds())))
}

// EffectKind says what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	Start  EffectKind = iota + 1 // start the queued request
	Refuse                       // refuse the queued request; it was not run
)

// Effect is a decision about a request that was Queued before.
type Effect struct {
	Kind    EffectKind
	ID      uint64
	Refusal Refusal // set if Kind is Refuse
}

// Outcome says how an admitted request ended.
type Outcome uint8

// The outcomes that Done takes.
const (
	OK       Outcome = iota + 1 // the backend server answered, also with an error of the request
	Failed                      // the connection failed or broke
	Shed                        // the backend server answered 503 or 429
	TimedOut                    // the deadline passed before the answer
	Canceled                    // the caller went away
)

// Result is how an admitted request ended.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // what the backend server asked for with Shed; zero if nothing
}
