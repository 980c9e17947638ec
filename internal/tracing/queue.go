package tracing

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// queueCapacity is the number of ended spans that may wait for the exporter. When
	// the queue is full, the newest span is dropped and counted, because blocking
	// would delay requests.
	queueCapacity  = 2048
	maxBatchLen    = 256
	exportInterval = time.Second
	exportTimeout  = 5 * time.Second
)

// queue is a span processor with a bounded queue in front of an exporter.
//
// It replaces the SDK's batch processor, which does not expose how many spans it
// drops: without that count, a dropped span looks like a hop that the call did not pass.
type queue struct {
	exporter sdk.SpanExporter
	pending  chan sdk.ReadOnlySpan
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	dropped  prometheus.Counter
	failed   prometheus.Counter
	exported prometheus.Counter
}

func newQueue(e sdk.SpanExporter, reg prometheus.Registerer) *queue {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "hemlock", Subsystem: "trace", Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	q := &queue{
		exporter: e,
		pending:  make(chan sdk.ReadOnlySpan, queueCapacity),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		dropped:  counter("spans_dropped_total", "Spans dropped because the queue was full."),
		failed:   counter("spans_failed_total", "Spans that could not be exported."),
		exported: counter("spans_exported_total", "Spans exported."),
	}
	go q.run()
	return q
}

// OnStart implements sdk.SpanProcessor.
func (q *queue) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd implements sdk.SpanProcessor.
func (q *queue) OnEnd(s sdk.ReadOnlySpan) {
	select {
	case q.pending <- s:
	default:
		q.dropped.Inc()
	}
}

// run exports the queued spans in batches until Shutdown.
func (q *queue) run() {
	defer close(q.done)
	tick := time.NewTicker(exportInterval)
	defer tick.Stop()
	batch := make([]sdk.ReadOnlySpan, 0, maxBatchLen)
	for {
		select {
		case s := <-q.pending:
			batch = append(batch, s)
			if len(batch) < maxBatchLen {
				continue
			}
		case <-tick.C:
		case <-q.stop:
			q.drain(batch)
			return
		}
		q.export(batch)
		batch = batch[:0]
	}
}

func (q *queue) drain(batch []sdk.ReadOnlySpan) {
	for {
		select {
		case s := <-q.pending:
			batch = append(batch, s)
		default:
			q.export(batch)
			return
		}
	}
}

func (q *queue) export(batch []sdk.ReadOnlySpan) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if q.exporter.ExportSpans(ctx, batch) != nil {
		q.failed.Add(float64(len(batch)))
		return
	}
	q.exported.Add(float64(len(batch)))
}

// Shutdown implements sdk.SpanProcessor. It exports the queued spans.
func (q *queue) Shutdown(ctx context.Context) error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ForceFlush implements sdk.SpanProcessor. It does nothing, since run exports
// every exportInterval.
func (q *queue) ForceFlush(context.Context) error { return nil }
