package balancer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

var testAgent = netip.MustParseAddrPort("10.0.0.1:7700")

// testTracer returns a tracer that samples every flow, without its loop, and a function that
// closes it and returns the exported spans.
func testTracer(t testing.TB) (*flowTracer, func() tracetest.SpanStubs) {
	t.Helper()
	e := tracetest.NewInMemoryExporter()
	p := tracing.New(tracing.Config{SampleRatio: 1}, retainingExporter{e}, prometheus.NewRegistry())
	tracer, err := newFlowTracer(p, benchRing(t), netip.MustParseAddrPort("10.0.0.9:7700"), &batchClock{}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return tracer, func() tracetest.SpanStubs {
		p.Close(context.Background())
		return e.GetSpans()
	}
}

// retainingExporter is an exporter that retains its spans after Shutdown.
type retainingExporter struct{ *tracetest.InMemoryExporter }

func (retainingExporter) Shutdown(context.Context) error { return nil }

// The packets of a caller's first flight must share one span, which belongs to the trace
// that the agent's claim names.
func TestClaimedSpanJoinsTheTraceOfTheCall(t *testing.T) {
	tracer, spans := testTracer(t)
	id := []byte("first-id")
	tracer.recordFirstPacket(id, benchService, testAgent)
	tracer.recordFirstPacket(id, benchService, testAgent)
	claim := tracing.Claim{Span: tracer.flows.Identity(id, tracer.via).Span, Trace: trace.TraceID{1}, Parent: trace.SpanID{2}}
	b, err := cbor.Marshal(claim)
	if err != nil || !tracer.receiveClaim(b) {
		t.Fatalf("valid claim not accepted: %v", err)
	}
	tracer.exportClaimed(<-tracer.claims)
	tracer.exportUnclaimed(time.Now(), 0)
	got := spans()
	if len(got) != 1 {
		t.Fatalf("got %d spans, want 1", len(got))
	}
	s := got[0]
	if s.SpanContext.SpanID() != claim.Span || s.SpanContext.TraceID() != claim.Trace || s.Parent.SpanID() != claim.Parent {
		t.Errorf("span %v of trace %v with parent %v does not match the claim", s.SpanContext.SpanID(), s.SpanContext.TraceID(), s.Parent.SpanID())
	}
}

// Guards against failed handshakes that leave no trace: a first packet is forwarded, the
// agent fails, and its claim never arrives. After claimTimeout the span must be exported as
// the root of a trace.
func TestUnclaimedSpanIsExported(t *testing.T) {
	tracer, spans := testTracer(t)
	tracer.recordFirstPacket([]byte("first-id"), benchService, testAgent)
	tracer.addPending(<-tracer.firstPackets)
	tracer.exportUnclaimed(time.Now().Add(-claimTimeout), maxPendingSpans)
	if len(tracer.pending) != 1 {
		t.Error("span was exported before claimTimeout")
	}
	tracer.exportUnclaimed(time.Now(), maxPendingSpans)
	got := spans()
	if len(got) != 1 || got[0].Parent.IsValid() {
		t.Errorf("got spans %v, want one without a parent", got)
	}
	if n := counterValue(t, tracer.unclaimed); n != 1 {
		t.Errorf("counted %v unclaimed spans, want 1", n)
	}
}

// Guards against a flood of first packets that blocks the packet path or grows the memory
// without bound: first packets beyond the limits must be dropped and counted.
func TestTracesAreBounded(t *testing.T) {
	tracer, spans := testTracer(t)
	id := func(i int) []byte { return []byte{byte(i), byte(i >> 8), 0, 0, 0, 0, 0, 0} }
	for i := range traceQueueSize + 3 {
		tracer.recordFirstPacket(id(i), benchService, testAgent)
	}
	if n := counterValue(t, tracer.dropped); n != 3 {
		t.Errorf("dropped %v first packets, want 3", n)
	}
	for i := range maxPendingSpans + 5 {
		tracer.addPending(firstPacket{flow: tracer.flows.Identity(id(i), tracer.via), began: time.Now()})
	}
	if len(tracer.pending) != maxPendingSpans || len(tracer.order) != maxPendingSpans {
		t.Errorf("%d spans are pending and %d keys are in order, want %d", len(tracer.pending), len(tracer.order), maxPendingSpans)
	}
	spans()
}

// Claims that can't be decoded or name no trace must be rejected.
func TestInvalidClaims(t *testing.T) {
	tracer, spans := testTracer(t)
	empty, _ := cbor.Marshal(tracing.Claim{})
	for _, b := range [][]byte{nil, {0xff}, empty} {
		if tracer.receiveClaim(b) {
			t.Errorf("invalid claim %x was accepted", b)
		}
	}
	if (*flowTracer)(nil).recordFirstPacket([]byte("first-id"), benchService, testAgent) {
		t.Error("a flow was sampled although tracing is off")
	}
	spans()
}

func counterValue(t testing.TB, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}
