// Package lab measures the propagation of catalogue changes. It runs many
// replicas in one process, which exchange messages in memory and in simulated
// time, with loss, duplication, random delay and partitions.
//
// The replicas are those of package catalogue; only the network is simulated. A
// bulk stream is modelled by a setup time and a rate. All results depend only on
// the seed.
package lab
