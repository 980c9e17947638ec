package node

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// spanRecorder is an exporter that sends the spans of a process to a channel.
type spanRecorder struct{ spans chan sdk.ReadOnlySpan }

func (k spanRecorder) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	for _, s := range spans {
		k.spans <- s
	}
	return nil
}

func (spanRecorder) Shutdown(context.Context) error { return nil }

// newTestSpans returns the spans of a process; end closes the tracing
// provider and returns the exported spans.
func newTestSpans(t *testing.T, sample float64) (s *Spans, end func() []sdk.ReadOnlySpan) {
	t.Helper()
	k := spanRecorder{spans: make(chan sdk.ReadOnlySpan, 100)}
	p := tracing.New(tracing.Config{SampleRatio: sample}, k, prometheus.NewRegistry())
	s, err := NewSpans(p)
	if err != nil {
		t.Fatal(err)
	}
	return s, func() []sdk.ReadOnlySpan {
		if err := p.Close(context.Background()); err != nil {
			t.Fatal(err)
		}
		close(k.spans)
		var list []sdk.ReadOnlySpan
		for span := range k.spans {
			list = append(list, span)
		}
		return list
	}
}

// Guards against spans of one flow in different traces. A balancer offers a flow to an agent,
// which opens it; the packets carry no trace ID, so both have to derive the same one.
func TestHopsOfAFlowAreOneTrace(t *testing.T) {
	id := flow.ID{Key: flow.Key{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 40001}, Opener: 77}
	via := netip.MustParseAddrPort("10.0.0.1:7720")
	balancer, endBalancer := newTestSpans(t, 1)
	agent, endAgent := newTestSpans(t, 1)
	balancer.RecordOffer(id, via, 20*time.Millisecond, "")
	agent.RecordOpen(id, via, 10*time.Millisecond)
	id.Opener++
	balancer.RecordOffer(id, via, time.Millisecond, "busy")
	offers, opens := endBalancer(), endAgent()
	if len(offers) != 2 || len(opens) != 1 {
		t.Fatalf("%d spans of the balancer, %d of the agent, want 2 and 1", len(offers), len(opens))
	}
	root, child := offers[0].SpanContext(), opens[0]
	if child.Parent().SpanID() != root.SpanID() || child.SpanContext().TraceID() != root.TraceID() {
		t.Errorf("agent's span has parent %v in trace %v, want the balancer's span %v", child.Parent().SpanID(), child.SpanContext().TraceID(), root.SpanID())
	}
	if took := offers[0].EndTime().Sub(offers[0].StartTime()); took != 20*time.Millisecond {
		t.Errorf("span lasts %v, want 20ms", took)
	}
	if offers[1].SpanContext().TraceID() == root.TraceID() || offers[1].Status().Description != "busy" {
		t.Errorf("second flow from the same port has trace %v and status %v, want another trace and status busy", offers[1].SpanContext().TraceID(), offers[1].Status())
	}
}

func TestSpansAreOffByDefault(t *testing.T) {
	s, err := NewSpans(nil)
	if s != nil || err != nil {
		t.Fatalf("spans without a provider: %v, %v", s, err)
	}
	s.RecordOffer(flow.ID{}, netip.AddrPort{}, 0, "")
	s.RecordOpen(flow.ID{}, netip.AddrPort{}, 0)
	none, end := newTestSpans(t, 0)
	none.RecordOffer(flow.ID{}, netip.MustParseAddrPort("10.0.0.1:7720"), 0, "")
	if got := end(); len(got) != 0 {
		t.Errorf("%d spans at a sample rate of 0", len(got))
	}
}

func BenchmarkSpans(b *testing.B) {
	via := netip.MustParseAddrPort("10.0.0.1:7720")
	for _, c := range []struct {
		name   string
		sample float64
	}{{"share=0.01", 0.01}, {"share=1", 1}} {
		b.Run(c.name, func(b *testing.B) {
			k := spanRecorder{spans: make(chan sdk.ReadOnlySpan, 100)}
			go func() {
				for range k.spans {
				}
			}()
			p := tracing.New(tracing.Config{SampleRatio: c.sample}, k, prometheus.NewRegistry())
			defer p.CloseWithTimeout()
			s, err := NewSpans(p)
			if err != nil {
				b.Fatal(err)
			}
			id := flow.ID{}
			b.ReportAllocs()
			for b.Loop() {
				id.Opener++
				s.RecordOffer(id, via, time.Millisecond, "")
			}
		})
	}
	b.Run("off", func(b *testing.B) {
		var s *Spans
		for b.Loop() {
			s.RecordOffer(flow.ID{}, via, time.Millisecond, "")
		}
	})
}
