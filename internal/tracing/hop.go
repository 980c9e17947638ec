package tracing

import (
	"context"
	"crypto/aes"
	"math"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// NewUnkeyedFlowHasher returns a hasher with an all-zero key, for processes that share
// no secret. Callers can then choose connection IDs that are sampled; the only
// effect is more spans in the export queue.
func NewUnkeyedFlowHasher(sampleRatio float64) (*FlowHasher, error) {
	b, err := aes.NewCipher(make([]byte, aes.BlockSize))
	if err != nil {
		return nil, err
	}
	f := &FlowHasher{block: b}
	f.setSampleRatio(sampleRatio)
	return f, nil
}

func (f *FlowHasher) setSampleRatio(ratio float64) {
	switch {
	case ratio >= 1:
		f.limit = math.MaxUint64
	case ratio > 0:
		f.limit = uint64(ratio * math.MaxUint64)
	}
}

// Hop describes what one process did to open a flow; it is recorded when that is
// done. Packets of the flow can't carry a trace context, so all processes derive
// the trace from the flow's identity.
type Hop struct {
	Name     string
	Flow     []byte         // identity of the flow, up to 20 bytes
	Via      netip.AddrPort // address of the balancer whose span is the trace's root
	Root     bool           // whether this is the balancer's span
	Duration time.Duration  // the hop ends when it is recorded
	// FailureReason is why the flow was not opened, empty if it was opened.
	FailureReason string
	Attrs         []attribute.KeyValue
}

// Record records the hop's span if the flow is sampled. It does nothing when tracing
// is off.
func (p *Provider) Record(f *FlowHasher, h Hop) {
	if !p.Enabled() || !f.Sampled(h.Flow) {
		return
	}
	root := f.Identity(h.Flow, h.Via)
	ctx := context.Background()
	if h.Root {
		ctx = WithFlowSpan(ctx, root)
	} else {
		ctx = trace.ContextWithSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: root.Trace, SpanID: root.Span, TraceFlags: trace.FlagsSampled, Remote: true}))
	}
	end := time.Now()
	_, span := p.tracer.Start(ctx, h.Name, trace.WithTimestamp(end.Add(-h.Duration)), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(h.Attrs...))
	if h.FailureReason != "" {
		span.SetStatus(codes.Error, h.FailureReason)
	}
	span.End(trace.WithTimestamp(end))
}
