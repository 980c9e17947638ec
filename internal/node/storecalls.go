package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// StoreCalls counts and logs the calls to the platform's store.
type StoreCalls struct {
	log     *zap.Logger
	seconds *prometheus.HistogramVec
}

// callSecondsBuckets range from a fast response of the store to the end of a watch.
var callSecondsBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 12}

// NewStoreCalls registers the metrics with reg.
func NewStoreCalls(log *zap.Logger, reg prometheus.Registerer) *StoreCalls {
	c := &StoreCalls{log: log, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "hemlock_store_call_seconds", Help: "duration of calls to the platform's store", Buckets: callSecondsBuckets,
	}, []string{"op", "outcome"})}
	reg.MustRegister(c.seconds)
	return c
}

// Record counts and logs one call with its duration and result.
func (c *StoreCalls) Record(op string, took time.Duration, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	c.seconds.WithLabelValues(op, outcome).Observe(took.Seconds())
	c.log.Debug("store call", zap.String("op", op), zap.Duration("took", took), zap.Error(err))
}
