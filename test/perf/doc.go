// Package perf measures the whole data path. It has benchmarks only, which a plain go test does
// not run.
package perf
