package node

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// processStart is when this package was initialized, which approximates the process's start.
var processStart = time.Now()

// latencySecondsBuckets range from the time of a response from memory to the time after
// which a caller retransmits.
var latencySecondsBuckets = []float64{0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1}

// NewLatency registers a histogram of latencies from 0.2 ms to 1 s, in seconds.
func NewLatency(reg prometheus.Registerer, name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencySecondsBuckets})
	reg.MustRegister(h)
	return h
}

// Readiness measures the time from the start of a process until it is first ready.
type Readiness struct {
	once  sync.Once
	gauge prometheus.Gauge
}

// NewReadiness registers the metric, which is 0 until Reached is called.
func NewReadiness(reg prometheus.Registerer) *Readiness {
	r := &Readiness{gauge: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "hemlock_start_to_ready_seconds", Help: "time from the start of the process until it was first ready; 0 before that",
	})}
	reg.MustRegister(r.gauge)
	return r
}

// Reached records that the process is ready. Only the first call has an effect: it
// returns the time since the process's start and true.
func (r *Readiness) Reached() (after time.Duration, first bool) {
	r.once.Do(func() {
		after, first = time.Since(processStart), true
		r.gauge.Set(after.Seconds())
	})
	return after, first
}
