package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const (
	// maxTracedFlows bounds the traced flows whose handshake is in progress. Further
	// flows are not traced.
	maxTracedFlows = 4096
	// maxBalancersPerFlow bounds the balancers recorded for one flow's first packets.
	maxBalancersPerFlow = 4
)

// tracedFlow holds what the forwarding headers contain about a traced flow.
type tracedFlow struct {
	at  time.Time
	via []netip.AddrPort   // balancers that forwarded first packets
	ids []tracing.FlowSpan // IDs of the spans of via, in the same order

	mu      sync.Mutex // guards claimed and ids after attach
	claimed bool       // a traced request has claimed the spans
}

// tracedFlows links requests to the spans of the balancers that forwarded their flow's
// first packets. A nil *tracedFlows means that tracing is off.
type tracedFlows struct {
	spans  *tracing.Provider
	link   *control.Link
	hash   *tracing.FlowHasher // used by the receive loop only
	packet quicwire.Packet

	mu    sync.Mutex // guards byKey and its flows until attach
	byKey map[pathKey]*tracedFlow
}

// newTracedFlows returns nil if tracing is off.
func newTracedFlows(p *tracing.Provider, ring fleetkey.Ring, link *control.Link) (*tracedFlows, error) {
	if !p.Enabled() {
		return nil, nil
	}
	hash, err := tracing.NewFlowHasher(ring, p.SampleRatio())
	if err != nil {
		return nil, err
	}
	return &tracedFlows{spans: p, link: link, hash: hash, byKey: make(map[pathKey]*tracedFlow)}, nil
}

// recordFirstPacket records a first packet if its flow is traced. Only the receive loop
// calls it.
func (t *tracedFlows) recordFirstPacket(h *frame.Header, packet []byte, now time.Time) {
	if t == nil || h.Flags&frame.FlagSampled == 0 || !quicwire.Parse(packet, connid.Len, &t.packet) {
		return
	}
	flow := t.hash.Identity(t.packet.ID, h.Via)
	key := pathKey{caller: h.Caller, address: h.Address}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.byKey[key]
	// A caller's socket may open another flow, which gets an entry of its own.
	if f == nil || f.ids[0].Trace != flow.Trace {
		if f == nil && !t.ensureCapacity(now) {
			return
		}
		f = &tracedFlow{at: now}
		t.byKey[key] = f
	}
	if len(f.via) < maxBalancersPerFlow && !slices.Contains(f.via, h.Via) {
		f.via = append(f.via, h.Via)
		f.ids = append(f.ids, flow)
	}
}

// ensureCapacity reports whether another flow may be recorded. At the limit it first removes
// flows whose connection was never established. t.mu is held.
func (t *tracedFlows) ensureCapacity(now time.Time) bool {
	if len(t.byKey) < maxTracedFlows {
		return true
	}
	for k, f := range t.byKey {
		if now.Sub(f.at) > idleTimeout {
			delete(t.byKey, k)
		}
	}
	return len(t.byKey) < maxTracedFlows
}

type tracedFlowKey struct{}

// attach moves a connection's traced flow into its context. Later packets do not change it.
func (t *tracedFlows) attach(ctx context.Context, remote net.Addr) context.Context {
	if t == nil {
		return ctx
	}
	u, ok := remote.(*net.UDPAddr)
	if !ok {
		return ctx
	}
	key, ok := keyOf(u)
	if !ok {
		return ctx
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.byKey[key]
	if f == nil {
		return ctx
	}
	delete(t.byKey, key)
	return context.WithValue(ctx, tracedFlowKey{}, f)
}

// wrap returns a handler that records a span for each request of a traced flow.
func (t *tracedFlows) wrap(h http.Handler) http.Handler {
	if t == nil {
		return h
	}
	return t.spans.Wrap(h, t.spanLinks)
}

// spanLinks reports whether a request is traced, which it is if a balancer has selected its
// flow and the caller does not disable tracing. The agent's span is a child of the caller's
// and has links to the balancers' spans. The first traced request of a connection claims
// those for its trace, since later requests were forwarded without a first packet.
func (t *tracedFlows) spanLinks(r *http.Request, parent trace.SpanContext) (links []trace.Link, ok bool) {
	f, ok := r.Context().Value(tracedFlowKey{}).(*tracedFlow)
	if !ok || !t.spans.ShouldSample(parent) {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if parent.IsValid() && !f.claimed {
		f.claimed = true
		t.claimSpans(f, parent)
	}
	for _, id := range f.ids {
		links = append(links, trace.Link{SpanContext: trace.NewSpanContext(trace.SpanContextConfig{
			TraceID: id.Trace, SpanID: id.Span, TraceFlags: trace.FlagsSampled, Remote: true,
		})})
	}
	return links, true
}

// claimSpans notifies the balancers of the trace that their spans belong to. If a claim is
// lost, the span stays the root of a trace of its own. f.mu is held.
func (t *tracedFlows) claimSpans(f *tracedFlow, parent trace.SpanContext) {
	for i, via := range f.via {
		t.link.Send(seal.TopicTrace, via, tracing.Claim{Span: f.ids[i].Span, Trace: parent.TraceID(), Parent: parent.SpanID()})
		f.ids[i].Trace = parent.TraceID()
	}
}
