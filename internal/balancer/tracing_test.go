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

// testTracer returns a tracer that traces every flow, without its duty.
func testTracer(t testing.TB) (*flowTracer, func() tracetest.SpanStubs) {
	t.Helper()
	e := tracetest.NewInMemoryExporter()
	p := tracing.New(tracing.Config{Sample: 1}, retainingExporter{e}, prometheus.NewRegistry())
	tracer, err := newFlowTracer(p, benchRing(t), netip.MustParseAddrPort("10.0.0.9:7700"), &batchClock{}, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return tracer, func() tracetest.SpanStubs {
		p.Close(context.Background())
		return e.GetSpans()
	}
}

// retainingExporter is an exporter that keeps its spans when it is shut down.
type retainingExporter struct{ *tracetest.InMemoryExporter }

func (retainingExporter) Shutdown(context.Context) error { return nil }

// TestClaimedSpanJoinsTheCall: the packets of a caller's first flight are one
// span, of the trace that the agent names.
func TestClaimedSpanJoinsTheCall(t *testing.T) {
	tracer, spans := testTracer(t)
	id := []byte("first-id")
	tracer.recordFirstPacket(id, benchService, testAgent)
	tracer.recordFirstPacket(id, benchService, testAgent)
	claim := tracing.Claim{Span: tracer.flows.Of(id, tracer.via).Span, Trace: trace.TraceID{1}, Parent: trace.SpanID{2}}
	b, err := cbor.Marshal(claim)
	if err != nil || !tracer.receiveClaim(b) {
		t.Fatalf("claim not taken: %v", err)
	}
	tracer.exportClaimed(<-tracer.claims)
	tracer.exportUnclaimed(time.Now(), 0)
	got := spans()
	if len(got) != 1 {
		t.Fatalf("%d spans, want 1", len(got))
	}
	s := got[0]
	if s.SpanContext.SpanID() != claim.Span || s.SpanContext.TraceID() != claim.Trace || s.Parent.SpanID() != claim.Parent {
		t.Errorf("span %v of trace %v below %v", s.SpanContext.SpanID(), s.SpanContext.TraceID(), s.Parent.SpanID())
	}
}

// TestUnclaimedSpanIsExported.
//
// Symptom: handshakes that fail leave no trace. Sequence: a first packet is
// forwarded, the agent dies, no request comes and so no claim. Cause: the span
// waits for a claim; after claimLimit it is exported as the root of a trace.
func TestUnclaimedSpanIsExported(t *testing.T) {
	tracer, spans := testTracer(t)
	tracer.recordFirstPacket([]byte("first-id"), benchService, testAgent)
	tracer.addPending(<-tracer.firstPackets)
	tracer.exportUnclaimed(time.Now().Add(-claimTimeout), maxPendingSpans)
	if len(tracer.pending) != 1 {
		t.Error("released before its time")
	}
	tracer.exportUnclaimed(time.Now(), maxPendingSpans)
	got := spans()
	if len(got) != 1 || got[0].Parent.IsValid() {
		t.Errorf("spans %v, want one without a parent", got)
	}
	if n := counterValue(t, tracer.unclaimed); n != 1 {
		t.Errorf("%v counted as unclaimed", n)
	}
}

// TestTracesAreBounded: a flood of first packets neither blocks the inward duty
// nor grows the memory; what does not fit is counted.
func TestTracesAreBounded(t *testing.T) {
	tracer, spans := testTracer(t)
	id := func(i int) []byte { return []byte{byte(i), byte(i >> 8), 0, 0, 0, 0, 0, 0} }
	for i := range traceQueueSize + 3 {
		tracer.recordFirstPacket(id(i), benchService, testAgent)
	}
	if n := counterValue(t, tracer.dropped); n != 3 {
		t.Errorf("%v dropped, want 3", n)
	}
	for i := range maxPendingSpans + 5 {
		tracer.addPending(firstPacket{flow: tracer.flows.Of(id(i), tracer.via), began: time.Now()})
	}
	if len(tracer.pending) != maxPendingSpans || len(tracer.order) != maxPendingSpans {
		t.Errorf("%d spans wait in an order of %d, want %d", len(tracer.pending), len(tracer.order), maxPendingSpans)
	}
	spans()
}

// TestBadClaims: what can't be read or names no trace is refused.
func TestBadClaims(t *testing.T) {
	tracer, spans := testTracer(t)
	empty, _ := cbor.Marshal(tracing.Claim{})
	for _, b := range [][]byte{nil, {0xff}, empty} {
		if tracer.receiveClaim(b) {
			t.Errorf("claim %x taken", b)
		}
	}
	if (*flowTracer)(nil).recordFirstPacket([]byte("first-id"), benchService, testAgent) {
		t.Error("traced although off")
	}
	spans()
}

// counterValue returns the value of a counter.
func counterValue(t testing.TB, c prometheus.Counter) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}
