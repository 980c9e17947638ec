package node

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// processStart is the start of the process, as far as the program can tell.
var processStart = time.Now()

// latencySecondsBuckets reach from what an answer from memory takes to the time after
// which a caller repeats itself, in seconds.
var latencySecondsBuckets = []float64{0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1}

// NewLatency registers a histogram of short times.
func NewLatency(reg prometheus.Registerer, name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencySecondsBuckets})
	reg.MustRegister(h)
	return h
}

// Readiness tells how long after its start a process was ready first.
type Readiness struct {
	once  sync.Once
	gauge prometheus.Gauge
}

// NewReadiness registers the metric; it is 0 until the process is ready.
func NewReadiness(reg prometheus.Registerer) *Readiness {
	r := &Readiness{gauge: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "hemlock_start_to_ready_seconds", Help: "time from the start of the process until it was ready first; 0 before",
	})}
	reg.MustRegister(r.gauge)
	return r
}

// Reached notes that the process is ready. Only the first call counts; it
// returns the time since the start and true.
func (r *Readiness) Reached() (after time.Duration, first bool) {
	r.once.Do(func() {
		after, first = time.Since(processStart), true
		r.gauge.Set(after.Seconds())
	})
	return after, first
}
