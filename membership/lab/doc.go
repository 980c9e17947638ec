// Package lab measures membership: it drives many state machines in one
// process through an in-memory exchange of messages in simulated time, with
// loss, duplication, delay, cuts, pauses and restarts.
//
// The exchange is a fake at the interface of Machine and Announcer: there are
// no sockets, no kernel and no seal. Everything follows from the seed.
package lab
