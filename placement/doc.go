// Package placement decides which agent serves a new flow.
//
// A balancer holds a [Table] per service and chooses two agents for each
// Initial packet. The primary depends only on the caller's first connection ID
// and on the roster, so that the packets of one handshake meet one agent
// whichever balancers they reach. The alternate is the agent that this balancer
// believes least loaded among a few ([Load]). The primary knows its own load
// and decides once per connection ID, by a [Decider], whether it keeps the flow
// or hands it on to the alternate.
//
// The package does no I/O, starts no goroutine and reads no clock: the time
// comes in with each call. [Table], [Tables] and [Load] are safe for concurrent
// use; a [Decider] belongs to one goroutine.
package placement
