package idempotency

import (
	"net/netip"
	"time"
)

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects. Run, Duplicate, NotRun and Unknown answer a Begin.
const (
	SendClaim  EffectKind = iota + 1 // send Claim to To; if To is self, pass it to the agent's own voter
	SendReport                       // send Report to To; if To is self, pass it to the agent's own voter
	Run                              // enough votes: call Start right before the first byte
	Duplicate                        // another attempt with this key ran or is running; don't start this one
	NotRun                           // not started, and no other attempt ran within the window
	Unknown                          // not started; whether another attempt ran isn't known
)

func (k EffectKind) String() string {
	names := [...]string{"none", "send_claim", "send_report", "run", "duplicate", "not_run", "unknown"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Effect is an action that the adapter of a Requester must carry out.
type Effect struct {
	Kind   EffectKind
	To     netip.AddrPort // with SendClaim and SendReport
	Claim  Claim          // with SendClaim
	Report Report         // with SendReport

	ID         uint64        // of the request, as given to Begin
	Holder     ClaimID       // with Duplicate: the attempt that came first
	State      State         // with Duplicate: Running, Done, Lost, or Claimed if the attempt is open at this agent
	Status     int           // with Duplicate and Done: its HTTP status
	RetryAfter time.Duration // with NotRun and Unknown
}
