// Package waiting decides how requests wait for a server: how long a request is expected to
// take (Estimate), which share of the server's time is served next (Shares), and which share
// or source gives up an entry when the queue is full (Eviction). Queue puts these together
// for the packet path.
//
// The package does no I/O and reads no clock: times and observations come in, decisions go
// out. Its types are not safe for concurrent use.
package waiting
