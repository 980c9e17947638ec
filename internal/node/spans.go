package node

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// Spans makes the span of this process for each flow that is traced. A nil
// *Spans is tracing that is off.
type Spans struct {
	provider *tracing.Provider
	flows    *tracing.Flows
	id       []byte
}

// NewSpans returns nil if p is off.
func NewSpans(p *tracing.Provider) (*Spans, error) {
	if !p.On() {
		return nil, nil
	}
	flows, err := tracing.NewOpenFlows(p.Sample())
	if err != nil {
		return nil, err
	}
	return &Spans{provider: p, flows: flows}, nil
}

// Balancer records what the balancer at self did with a new flow. failed is
// empty if an agent took it. One goroutine at a time calls it.
func (s *Spans) Balancer(id flow.ID, self netip.AddrPort, took time.Duration, failed string, attrs ...attribute.KeyValue) {
	if s == nil {
		return
	}
	s.id = id.Append(s.id[:0])
	s.provider.Record(s.flows, tracing.Hop{Name: "offer", Flow: s.id, Via: self, Root: true, Took: took, Failed: failed, Attrs: attrs})
}

// Agent records what an agent did with a flow that the balancer at via offered.
// One goroutine at a time calls it.
func (s *Spans) Agent(id flow.ID, via netip.AddrPort, took time.Duration, attrs ...attribute.KeyValue) {
	if s == nil || !via.IsValid() {
		return
	}
	s.id = id.Append(s.id[:0])
	s.provider.Record(s.flows, tracing.Hop{Name: "open", Flow: s.id, Via: via, Took: took, Attrs: attrs})
}
