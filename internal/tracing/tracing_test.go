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
		setting  string // that is refused, empty for none
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
		err := Config{Exporter: c.exporter, Sample: c.sample}.Check()
		var e *Error
		switch {
		case c.setting == "" && err != nil:
			t.Errorf("%+v: %v", c, err)
		case c.setting != "" && (!errors.As(err, &e) || e.Setting != c.setting):
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// blocked is an exporter whose collector does not answer until it is let go.
type blocked struct {
	entered chan struct{}
	letGo   chan struct{}
}

func (b *blocked) ExportSpans(context.Context, []sdk.ReadOnlySpan) error {
	select {
	case b.entered <- struct{}{}:
	default:
	}
	<-b.letGo
	return nil
}

func (b *blocked) Shutdown(context.Context) error { return nil }

// TestSlowCollectorDropsAndCounts.
//
// Symptom: requests wait, or memory grows, while the collector is slow.
// Sequence: the collector takes a batch and does not answer; spans go on
// ending. Cause: a queue that blocks or has no bound. What does not fit is
// dropped and counted instead, and nothing waits.
func TestSlowCollectorDropsAndCounts(t *testing.T) {
	e := &blocked{entered: make(chan struct{}, 1), letGo: make(chan struct{})}
	p := New(Config{Sample: 1}, e, prometheus.NewRegistry())
	q := newQueue(e, prometheus.NewRegistry())
	for range batchLen {
		q.OnEnd(endedSpan(p))
	}
	<-e.entered
	const over = 10
	for range queueLen + over {
		q.OnEnd(endedSpan(p))
	}
	if n := counted(t, q.dropped); n != over {
		t.Errorf("%v spans dropped, want %d", n, over)
	}
	close(e.letGo)
	if err := q.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if n := counted(t, q.exported); n != batchLen+queueLen {
		t.Errorf("%v spans exported, want %d", n, batchLen+queueLen)
	}
	p.Close(context.Background())
}

func endedSpan(p *Provider) sdk.ReadOnlySpan {
	_, s := p.Tracer().Start(context.Background(), "x")
	return s.(sdk.ReadOnlySpan)
}

func testFlows(t testing.TB, sample float64) *Flows {
	t.Helper()
	ring, err := fleetkey.Parse("1:000102030405060708090a0b0c0d0e0f")
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFlows(ring, sample)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestFlowsAgree: balancers and agents work out one identity without talking.
func TestFlowsAgree(t *testing.T) {
	a, b := testFlows(t, 1), testFlows(t, 0.1)
	one, two := netip.MustParseAddrPort("10.0.0.1:7700"), netip.MustParseAddrPort("10.0.0.2:7700")
	id := []byte("first-id")
	if a.Of(id, one) != b.Of(id, one) {
		t.Error("two processes differ")
	}
	if a.Of(id, one).Span == a.Of(id, two).Span {
		t.Error("two balancers share a span")
	}
	if a.Of(id, one).Trace != a.Of(id, two).Trace {
		t.Error("one flow has two traces")
	}
	if a.Of(id, one).Trace == a.Of(append(id, 0), one).Trace {
		t.Error("two flows share a trace")
	}
}

func TestSampledShare(t *testing.T) {
	const flows = 100_000
	for _, share := range []float64{0, 0.01, 0.5, 1} {
		f, n := testFlows(t, share), 0
		for i := range flows {
			if f.Sampled([]byte{byte(i), byte(i >> 8), byte(i >> 16), 0, 0, 0, 0, 0}) {
				n++
			}
		}
		if got := float64(n) / flows; got < share*0.9 || got > share*1.1 {
			t.Errorf("share %v: sampled %v", share, got)
		}
	}
}

func TestPicks(t *testing.T) {
	p := &Provider{sample: 0.5}
	parent := func(high byte, flags trace.TraceFlags) trace.SpanContext {
		return trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{0: 1, 8: high}, SpanID: trace.SpanID{1}, TraceFlags: flags})
	}
	if !p.Picks(parent(0x10, trace.FlagsSampled)) || p.Picks(parent(0xf0, trace.FlagsSampled)) {
		t.Error("the share of the trace IDs is not kept")
	}
	if p.Picks(parent(0x10, 0)) {
		t.Error("traced although the caller refused")
	}
	if (*Provider)(nil).Picks(parent(0x10, trace.FlagsSampled)) {
		t.Error("traced although off")
	}
}

func BenchmarkSampled(b *testing.B) {
	f, id := testFlows(b, 0.01), []byte("a-first-id-18bytes")
	b.ReportAllocs()
	for b.Loop() {
		f.Sampled(id)
	}
}

// counted returns the value of a counter.
func counted(t testing.TB, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// TestOTLP sends spans to a collector over HTTP.
func TestOTLP(t *testing.T) {
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths <- r.URL.Path
	}))
	defer collector.Close()
	p, err := Open(Config{Exporter: collector.URL, Sample: 1, Role: "agent"}, prometheus.NewRegistry())
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

// TestCollectorDown: the process runs on, and the loss is counted.
func TestCollectorDown(t *testing.T) {
	collector := httptest.NewServer(http.NotFoundHandler())
	collector.Close()
	e, err := newExporter(collector.URL)
	if err != nil {
		t.Fatal(err)
	}
	q := newQueue(e, prometheus.NewRegistry())
	p := New(Config{Sample: 1}, e, prometheus.NewRegistry())
	q.OnEnd(endedSpan(p))
	q.Shutdown(context.Background())
	if n := counted(t, q.failed); n != 1 {
		t.Errorf("%v spans counted as failed, want 1", n)
	}
	p.Close(context.Background())
}

func TestOffIsNil(t *testing.T) {
	p, err := Open(Config{Exporter: Off}, prometheus.NewRegistry())
	if p != nil || err != nil {
		t.Fatalf("%v %v", p, err)
	}
	h := http.NotFoundHandler()
	if p.On() || p.Sample() != 0 || p.Close(context.Background()) != nil {
		t.Error("off does something")
	}
	_, span := p.Tracer().Start(context.Background(), "x")
	if span.IsRecording() {
		t.Error("a span is recorded while off")
	}
	if p.Wrap(h, nil) == nil {
		t.Error("no handler")
	}
}
