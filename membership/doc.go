// Package membership tells every balancer which balancers and agents exist,
// in which state, and which of them are alive.
//
// Two pure state machines do the work. A Machine runs in each balancer: it
// holds the full roster, spreads changes by gossip with a bounded byte rate,
// repairs what gossip missed by comparing digests, and judges the processes
// that report to it. An Announcer runs in each agent (and inside each Machine):
// it reports its process to a few balancers, its observers, which are chosen
// by rendezvous hashing so that every balancer can work out who observes whom.
//
// Neither does I/O, starts goroutines, reads the clock or uses global
// randomness: time and messages come in, messages and changes go out. The
// caller carries the messages (see Encode and Decode) and calls Tick about
// every 100 ms. Neither is safe for concurrent use: one goroutine owns it.
package membership
