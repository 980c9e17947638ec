// Package lab compares placement policies on a small model of one service.
//
// The model has backend servers with slots, queues and connections, several
// balancers with their own load reports and member lists, and flows whose
// lengths are drawn from a seed, so that every policy receives the same flows.
// Network latency is not modelled, except for the caller's retransmission of a
// lost Initial. The policy under test is the package placement itself, called in
// the same way as by the daemons.
package lab
