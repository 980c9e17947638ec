package node

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// Spans records this process's span for each traced flow. A nil *Spans means that
// tracing is off.
type Spans struct {
	provider *tracing.Provider
	flows    *tracing.FlowHasher
	id       []byte
}

// NewSpans returns nil if tracing is off in p.
func NewSpans(p *tracing.Provider) (*Spans, error) {
	if !p.Enabled() {
		return nil, nil
	}
	flows, err := tracing.NewUnkeyedFlowHasher(p.SampleRatio())
	if err != nil {
		return nil, err
	}
	return &Spans{provider: p, flows: flows}, nil
}

// RecordOffer records the span in which the balancer at self offered a new flow to agents.
// failed is the reason why no agent accepted it, empty if one did. It is not safe for
// concurrent use.
func (s *Spans) RecordOffer(id flow.ID, self netip.AddrPort, took time.Duration, failed string, attrs ...attribute.KeyValue) {
	if s == nil {
		return
	}
	s.id = id.Append(s.id[:0])
	s.provider.Record(s.flows, tracing.Hop{Name: "offer", Flow: s.id, Via: self, Root: true, Duration: took, FailureReason: failed, Attrs: attrs})
}

// RecordOpen records the span in which an agent opened a flow that the balancer at via offered.
// It is not safe for concurrent use.
func (s *Spans) RecordOpen(id flow.ID, via netip.AddrPort, took time.Duration, attrs ...attribute.KeyValue) {
	if s == nil || !via.IsValid() {
		return
	}
	s.id = id.Append(s.id[:0])
	s.provider.Record(s.flows, tracing.Hop{Name: "open", Flow: s.id, Via: via, Duration: took, Attrs: attrs})
}
