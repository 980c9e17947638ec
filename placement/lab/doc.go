// Package lab compares placement policies on a small model of one service.
//
// The model has backend servers with slots, queues and connections, several
// balancers with their own beliefs and rosters, and flows whose lengths are
// drawn from a seed: every policy meets the same flows. Latencies on the
// network are not modelled, except the caller's repeat after a lost Initial.
// The policy under test is the package placement itself, called as the
// daemons call it.
package lab
