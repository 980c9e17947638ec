// Package lab measures how catalogue changes spread: it drives many replicas
// in one process through an in-memory exchange in simulated time, with loss,
// duplication, random delay and cuts.
//
// The replicas are the real state machines; the exchange is a fake at their
// interface, and bulk streams are modelled as a setup time and a rate.
// Everything follows from the seed.
package lab
