package tracing

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		exporter string
		sample   float64
		setting  string // reported as invalid, empty for none
	}{
		{Off, 0, ""},
		{Stderr, 1, ""},
		{"http://127.0.0.1:4318", 0.5, ""},
		{"127.0.0.1:4318", 0.5, "trace"},
		{"", 0.5, "trace"},
		{"http://", 0.5, "trace"},
		{Off, 1.1, "trace-sample"},
		{Off, -0.1, "trace-sample"},
	} {
		err := Config{Exporter: c.exporter, SampleRatio: c.sample}.Check()
		var e *Error
		switch {
		case c.setting == "" && err != nil:
			t.Errorf("%+v: %v", c, err)
		case c.setting != "" && (!errors.As(err, &e) || e.Setting != c.setting):
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// blockedExporter is an exporter whose collector does not respond until release is
// closed.
type blockedExporter struct {
	entered chan struct{}
	release chan struct{}
}

func (b *blockedExporter) ExportSpans(context.Context, []sdk.ReadOnlySpan) error {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.release
	return nil
}

func (b *blockedExporter) Shutdown(context.Context) error { return nil }

// TestSlowCollectorDropsAndCounts guards against requests that block, or memory that
// grows without bound, while the collector does not respond to a batch. Spans that do
// not fit into the queue are dropped and counted.
func TestSlowCollectorDropsAndCounts(t *testing.T) {
	e := &blockedExporter{entered: make(chan struct{}, 1), release: make(chan struct{})}
	p := New(Config{SampleRatio: 1}, e, prometheus.NewRegistry())
	q := newQueue(e, prometheus.NewRegistry())
	for range maxBatchLen {
		q.OnEnd(endedSpan(p))
	}
	<-e.entered
	const over = 10
	for range queueCapacity + over {
		q.OnEnd(endedSpan(p))
	}
	if n := counterValue(t, q.dropped); n != over {
		t.Errorf("%v spans dropped, want %d", n, over)
	}
	close(e.release)
	if err := q.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if n := counterValue(t, q.exported); n != maxBatchLen+queueCapacity {
		t.Errorf("%v spans exported, want %d", n, maxBatchLen+queueCapacity)
	}
	p.Close(context.Background())
}

func endedSpan(p *Provider) sdk.ReadOnlySpan {
	_, s := p.Tracer().Start(context.Background(), "x")
	return s.(sdk.ReadOnlySpan)
}

func newTestHasher(t testing.TB, sampleRatio float64) *FlowHasher {
	t.Helper()
	ring, err := fleetkey.Parse("1:000102030405060708090a0b0c0d0e0f")
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFlowHasher(ring, sampleRatio)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestFlowsAgree checks that processes with the same key derive the same span for a flow.
func TestFlowsAgree(t *testing.T) {
	a, b := newTestHasher(t, 1), newTestHasher(t, 0.1)
	one, two := netip.MustParseAddrPort("10.0.0.1:7700"), netip.MustParseAddrPort("10.0.0.2:7700")
	id := []byte("first-id")
	if a.Identity(id, one) != b.Identity(id, one) {
		t.Error("two processes derive different spans")
	}
	if a.Identity(id, one).Span == a.Identity(id, two).Span {
		t.Error("two balancers share a span")
	}
	if a.Identity(id, one).Trace != a.Identity(id, two).Trace {
		t.Error("one flow has two traces")
	}
	if a.Identity(id, one).Trace == a.Identity(append(id, 0), one).Trace {
		t.Error("two flows share a trace")
	}
}

func TestSampledShare(t *testing.T) {
	const flows = 100_000
	for _, share := range []float64{0, 0.01, 0.5, 1} {
		f, n := newTestHasher(t, share), 0
		for i := range flows {
			if f.Sampled([]byte{byte(i), byte(i >> 8), byte(i >> 16), 0, 0, 0, 0, 0}) {
				n++
			}
		}
		if got := float64(n) / flows; got < share*0.9 || got > share*1.1 {
			t.Errorf("sample ratio %v: sampled %v", share, got)
		}
	}
}

func TestPicks(t *testing.T) {
	p := &Provider{sampleRatio: 0.5}
	parent := func(high byte, flags trace.TraceFlags) trace.SpanContext {
		return trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{0: 1, 8: high}, SpanID: trace.SpanID{1}, TraceFlags: flags})
	}
	if !p.ShouldSample(parent(0x10, trace.FlagsSampled)) || p.ShouldSample(parent(0xf0, trace.FlagsSampled)) {
		t.Error("the sample ratio is not applied to the trace ID")
	}
	if p.ShouldSample(parent(0x10, 0)) {
		t.Error("traced although the caller cleared the sampled flag")
	}
	if (*Provider)(nil).ShouldSample(parent(0x10, trace.FlagsSampled)) {
		t.Error("traced although tracing is off")
	}
}

func BenchmarkSampled(b *testing.B) {
	f, id := newTestHasher(b, 0.01), []byte("a-first-id-18bytes")
	b.ReportAllocs()
	for b.Loop() {
		f.Sampled(id)
	}
}

func counterValue(t testing.TB, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// TestOTLP checks the path to which spans are sent over HTTP.
func TestOTLP(t *testing.T) {
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
	}))
	defer collector.Close()
	p, err := Open(Config{Exporter: collector.URL, SampleRatio: 1, Role: "agent"}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	_, span := p.Tracer().Start(context.Background(), "x")
	span.End()
	if err := p.Close(context.Background()); err != nil {
		t.Error(err)
	}
	if got := <-paths; got != otlpPath {
		t.Errorf("spans sent to %s, want %s", got, otlpPath)
	}
}

// TestCollectorDown checks that spans are counted as failed, and that nothing blocks,
// when the collector can't be reached.
func TestCollectorDown(t *testing.T) {
	collector := httptest.NewServer(http.NotFoundHandler())
	collector.Close()
	e, err := newExporter(collector.URL)
	if err != nil {
		t.Fatal(err)
	}
	q := newQueue(e, prometheus.NewRegistry())
	p := New(Config{SampleRatio: 1}, e, prometheus.NewRegistry())
	q.OnEnd(endedSpan(p))
	q.Shutdown(context.Background())
	if n := counterValue(t, q.failed); n != 1 {
		t.Errorf("%v spans counted as failed, want 1", n)
	}
	p.Close(context.Background())
}

func TestTracingOff(t *testing.T) {
	p, err := Open(Config{Exporter: Off}, prometheus.NewRegistry())
	if p != nil || err != nil {
		t.Fatalf("%v %v", p, err)
	}
	h := http.NotFoundHandler()
	if p.Enabled() || p.SampleRatio() != 0 || p.Close(context.Background()) != nil {
		t.Error("a provider that is off reports that it is on, samples, or fails to close")
	}
	_, span := p.Tracer().Start(context.Background(), "x")
	if span.IsRecording() {
		t.Error("a span is recorded although tracing is off")
	}
	if p.Wrap(h, nil) == nil {
		t.Error("Wrap returned no handler")
	}
}
