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
	// maxTracedFlows bounds the traced flows whose handshake is under way. Further
	// ones stay untraced.
	maxTracedFlows = 4096
	// maxBalancersPerFlow bounds the balancers that one flow's first packets came by.
	maxBalancersPerFlow = 4
)

// tracedFlow is what the forwarding headers told of a traced flow.
type tracedFlow struct {
	at  time.Time
	via []netip.AddrPort // balancers that forwarded first packets
	ids []tracing.Flow   // of their spans, in the same order

	mu      sync.Mutex // guards claimed and ids once the flow is connected
	claimed bool       // the first traced request claims the spans
}

// tracedFlows joins requests to the spans of the balancers that forwarded their
// flow's first packets. A nil *tracedFlows is tracing that is off.
type tracedFlows struct {
	spans  *tracing.Provider
	link   *control.Link
	hash   *tracing.Flows // of the receive duty
	packet quicwire.Packet

	mu    sync.Mutex // guards marks and what they point to until connected
	byKey map[pathKey]*tracedFlow
}

// newTracedFlows returns nil when tracing is off.
func newTracedFlows(p *tracing.Provider, ring fleetkey.Ring, link *control.Link) (*tracedFlows, error) {
	if !p.On() {
		return nil, nil
	}
	hash, err := tracing.NewFlows(ring, p.Sample())
	if err != nil {
		return nil, err
	}
	return &tracedFlows{spans: p, link: link, hash: hash, byKey: make(map[pathKey]*tracedFlow)}, nil
}

// recordFirstPacket takes in a first packet of a traced flow. The receive duty calls it.
func (m *tracedFlows) recordFirstPacket(h *frame.Header, packet []byte, now time.Time) {
	if m == nil || h.Flags&frame.FlagSampled == 0 || !quicwire.Parse(packet, connid.Len, &m.packet) {
		return
	}
	flow := m.hash.Of(m.packet.ID, h.Via)
	key := pathKey{caller: h.Caller, address: h.Address}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.byKey[key]
	// A caller's socket may open another flow: its marks are its own.
	if f == nil || f.ids[0].Trace != flow.Trace {
		if f == nil && !m.makeRoom(now) {
			return
		}
		f = &tracedFlow{at: now}
		m.byKey[key] = f
	}
	if len(f.via) < maxBalancersPerFlow && !slices.Contains(f.via, h.Via) {
		f.via = append(f.via, h.Via)
		f.ids = append(f.ids, flow)
	}
}

// makeRoom forgets flows that never connected when there are many. m.mu is held.
func (m *tracedFlows) makeRoom(now time.Time) bool {
	if len(m.byKey) < maxTracedFlows {
		return true
	}
	for k, f := range m.byKey {
		if now.Sub(f.at) > idleTimeout {
			delete(m.byKey, k)
		}
	}
	return len(m.byKey) < maxTracedFlows
}

type tracedFlowKey struct{}

// attach puts a connection's mark into its context. Packets that come later
// change it no more.
func (m *tracedFlows) attach(ctx context.Context, remote net.Addr) context.Context {
	if m == nil {
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
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.byKey[key]
	if f == nil {
		return ctx
	}
	delete(m.byKey, key)
	return context.WithValue(ctx, tracedFlowKey{}, f)
}

// wrap returns h with a span around each request of a traced flow.
func (m *tracedFlows) wrap(h http.Handler) http.Handler {
	if m == nil {
		return h
	}
	return m.spans.Wrap(h, m.spanLinks)
}

// spanLinks picks the requests of flows that a balancer marked, unless the caller
// wants no trace. The agent's span is the child of the caller's and linked to
// the balancers': the first request claims those for its own trace, later ones
// of the connection were forwarded without a first packet.
func (m *tracedFlows) spanLinks(r *http.Request, parent trace.SpanContext) (links []trace.Link, ok bool) {
	f, ok := r.Context().Value(tracedFlowKey{}).(*tracedFlow)
	if !ok || !m.spans.Picks(parent) {
		return nil, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if parent.IsValid() && !f.claimed {
		f.claimed = true
		m.claimSpans(f, parent)
	}
	for _, id := range f.ids {
		links = append(links, trace.Link{SpanContext: trace.NewSpanContext(trace.SpanContextConfig{
			TraceID: id.Trace, SpanID: id.Span, TraceFlags: trace.FlagsSampled, Remote: true,
		})})
	}
	return links, true
}

// claimSpans tells the balancers whose trace their spans belong to. A lost claimSpans
// leaves such a span the root of a trace of its own. f.mu is held.
func (m *tracedFlows) claimSpans(f *tracedFlow, parent trace.SpanContext) {
	for i, via := range f.via {
		m.link.Send(seal.TopicTrace, via, tracing.Claim{Span: f.ids[i].Span, Trace: parent.TraceID(), Parent: parent.SpanID()})
		f.ids[i].Trace = parent.TraceID()
	}
}
