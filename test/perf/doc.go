// Package perf measures the whole data path. It holds benchmarks only, which a
// plain go test does not run.
package perf
