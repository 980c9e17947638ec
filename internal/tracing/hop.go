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

// NewOpenFlows returns a hash without a secret, for a path where processes share
// no key. A caller that knows it can choose flows that are traced, which costs
// the collector's room in the queue and nothing else.
func NewOpenFlows(sample float64) (*Flows, error) {
	b, err := aes.NewCipher(make([]byte, aes.BlockSize))
	if err != nil {
		return nil, err
	}
	f := &Flows{block: b}
	f.setSample(sample)
	return f, nil
}

func (f *Flows) setSample(sample float64) {
	switch {
	case sample >= 1:
		f.limit = math.MaxUint64
	case sample > 0:
		f.limit = uint64(sample * math.MaxUint64)
	}
}

// Hop is what one process did to open a flow, told when it is done. Packets of
// the flow can't carry a trace: processes work its identity out alike.
type Hop struct {
	Name string
	Flow []byte         // identity of the flow, at most 20 bytes
	Via  netip.AddrPort // of the balancer, whose span is the trace's root
	Root bool           // this is the balancer's span
	Took time.Duration  // until now
	// Failed says why the flow was not opened, empty if it was.
	Failed string
	Attrs  []attribute.KeyValue
}

// Record makes the hop's span if the flow is among those that are traced. It
// does nothing when p is off.
func (p *Provider) Record(f *Flows, h Hop) {
	if !p.On() || !f.Sampled(h.Flow) {
		return
	}
	w := f.Of(h.Flow, h.Via)
	ctx := context.Background()
	if h.Root {
		ctx = WithFlow(ctx, w)
	} else {
		ctx = trace.ContextWithSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: w.Trace, SpanID: w.Span, TraceFlags: trace.FlagsSampled, Remote: true}))
	}
	end := time.Now()
	_, span := p.tracer.Start(ctx, h.Name, trace.WithTimestamp(end.Add(-h.Took)), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(h.Attrs...))
	if h.Failed != "" {
		span.SetStatus(codes.Error, h.Failed)
	}
	span.End(trace.WithTimestamp(end))
}
