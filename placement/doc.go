// Package placement decides which agent serves a new flow.
//
// A balancer holds a [Table] per service and chooses two agents for each
// Initial packet. The primary depends only on the caller's first connection ID
// and on the member list, so that all packets of a handshake reach the same
// agent regardless of the balancer that they arrive at. The alternate is the
// agent with the lowest estimated load ([Load]) among a small sample. The
// primary knows its own load and uses a [Decider] to decide once per connection
// ID whether it keeps the flow or forwards it to the alternate.
//
// The package does no I/O, starts no goroutine and reads no clock: the current
// time is passed to each call. [Table], [Tables] and [Load] are safe for
// concurrent use; a [Decider] and a [Meter] are not.
package placement
