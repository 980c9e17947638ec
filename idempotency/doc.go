// Package idempotency lets a request with an idempotency key run at most once
// within its repeat window. This holds even if the caller repeats the request on a
// new connection at another agent, if the first agent was killed, or paused and
// resumed, and while the voter lists of processes differ.
//
// Each key has a few voters: the [Config.Voters] processes of the electorate with
// the highest rendezvous hash scores. Before the first byte of a request goes to
// the backend server, a [Requester] asks all voters of its key for their vote, and
// runs the request only with the votes of more than half of them. A [Voter] grants
// its vote on a key to one claim only, and keeps it for
// [Config.VoteRetention]. Two claims would need two majorities, which share a
// voter.
//
// Majorities of differing voter lists share a voter because of one rule: a
// process votes only if every requester counts it from VoteRetention before to
// VoteRetention after its vote. So a recently started process doesn't vote yet
// (its start fence, [Config.Fence]), and an [Electorate] continues to count a
// process that has departed. docs/design/idempotency.md has the proof, the
// assumptions and what isn't guaranteed.
//
// Without enough votes the request isn't started. The answer is NotRun only if the
// votes prove that no other claim can have run, and Unknown otherwise.
//
// All types are state machines without I/O: the caller passes in the time and
// messages, and carries out the returned effects. None is safe for concurrent use.
package idempotency
