// Package membership gives every balancer the list of all balancers and agents,
// their states, and whether they are alive.
//
// It consists of two state machines. A Machine runs in each balancer: it stores
// the full member list, spreads changes by gossip at a bounded byte rate, repairs
// what gossip missed by comparing digests, and detects failures of the processes
// that report to it. An Announcer runs in each agent (and inside each Machine):
// it reports its process to a few balancers, its observers. Observers are chosen
// by rendezvous hashing, so every balancer can compute who observes whom.
//
// Neither does I/O, starts goroutines, reads the clock or uses global
// randomness: the caller passes in the time and received messages, and takes out
// messages and changes. The caller sends and receives the messages (see Encode
// and Decode) and calls Tick about every 100 ms. Neither is safe for concurrent
// use: one goroutine owns each.
package membership
