// Package idempotency lets a request with an idempotency key run at most once
// within its repeat window, also when the caller repeats it on a new
// connection at another agent, after the first agent was killed, or frozen and
// resumed, and while rosters differ.
//
// Each key has a few homes: the first [Config.Homes] processes of the
// electorate by rendezvous hash. Before the first byte of a request goes to
// the backend server, a [Requester] asks all homes of its key for their vote,
// and runs the request only with votes of more than half of them. A [Voter]
// gives its vote on a key to one claim only, and remembers it for
// [Config.VoteRetention]. Two claims would need two majorities, which share a home.
//
// What makes majorities of differing rosters share a home is one rule: a
// process votes only while every requester counts it, from Keep before to Keep
// after its vote. So a process that has just started doesn't vote yet (its
// start fence, [Config.Fence]), and an [Electorate] goes on counting a process
// that is gone. docs/design/idempotency.md has the proof, the assumptions and
// what isn't guaranteed.
//
// When the votes don't suffice the request isn't started. The answer is NotRun
// only if the votes prove that no other claim can have run, and Unknown
// otherwise.
//
// Everything here is a pure state machine: the time and messages are passed
// in, and effects come out. Nothing is safe for concurrent use.
package idempotency
