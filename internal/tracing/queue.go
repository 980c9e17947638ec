package tracing

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// queueLen is how many ended spans may wait for the exporter. When it is
	// full the newest is dropped and counted: waiting would hold up requests.
	queueLen      = 2048
	batchLen      = 256
	exportEvery   = time.Second
	exportTimeout = 5 * time.Second
)

// queue is the span processor: a bounded ring in front of an exporter.
//
// The SDK's own batch processor drops without a count that can be seen, and a
// trace with a missing hop would be taken for a hop that wasn't passed.
type queue struct {
	exporter sdk.SpanExporter
	ring     chan sdk.ReadOnlySpan
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
		ring:     make(chan sdk.ReadOnlySpan, queueLen),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		dropped:  counter("spans_dropped_total", "Spans dropped because the queue was full."),
		failed:   counter("spans_failed_total", "Spans that the exporter could not hand over."),
		exported: counter("spans_exported_total", "Spans handed over by the exporter."),
	}
	go q.run()
	return q
}

// OnStart implements sdk.SpanProcessor.
func (q *queue) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd implements sdk.SpanProcessor.
func (q *queue) OnEnd(s sdk.ReadOnlySpan) {
	select {
	case q.ring <- s:
	default:
		q.dropped.Inc()
	}
}

// run is the exporting duty.
func (q *queue) run() {
	defer close(q.done)
	tick := time.NewTicker(exportEvery)
	defer tick.Stop()
	batch := make([]sdk.ReadOnlySpan, 0, batchLen)
	for {
		select {
		case s := <-q.ring:
			batch = append(batch, s)
			if len(batch) < batchLen {
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
		case s := <-q.ring:
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

// Shutdown implements sdk.SpanProcessor: it exports what waits.
func (q *queue) Shutdown(ctx context.Context) error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ForceFlush implements sdk.SpanProcessor. The queue exports by itself.
func (q *queue) ForceFlush(context.Context) error { return nil }
