// Package lab measures the membership package. It runs many state machines in one
// process, in simulated time, and carries their messages in memory, with loss,
// duplication, delay, cuts, pauses and restarts.
//
// The exchange replaces the network at the interface of Machine and Announcer: there
// are no sockets, no kernel and no seal. All results are determined by the seed.
package lab
