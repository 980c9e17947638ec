package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const (
	// traceQueueSize is how many traced first packets and claims may wait for the
	// tracing duty. When it is full the newest is dropped and counted: a trace
	// is worth less than the packets behind it.
	traceQueueSize = 256
	// claimTimeout is how long a span waits for the agent to tell which call's
	// trace it belongs to. A handshake and the first request of an ordinary
	// caller take far less.
	claimTimeout = 10 * time.Second
	// maxPendingSpans bounds the spans that wait. More are exported at once,
	// unclaimed.
	maxPendingSpans = 4096
	exportInterval  = time.Second
)

// firstPacket is a traced first packet that was forwarded.
type firstPacket struct {
	flow       tracing.Flow
	service    uint32
	agent      netip.AddrPort
	began, end time.Time
}

// flowTracer makes the spans of flows' first packets.
//
// The balancer can't read a packet, so it can't know the call's trace. It
// holds the span back for claimLimit until the agent, which can, claims it.
type flowTracer struct {
	spans        *tracing.Provider
	flows        *tracing.Flows // of the inward duty
	via          netip.AddrPort
	clock        *batchClock
	firstPackets chan firstPacket
	claims       chan tracing.Claim
	pending      map[trace.SpanID]firstPacket
	order        []trace.SpanID // of pending, oldest first; claimed ones stay until their turn

	dropped   prometheus.Counter
	unclaimed prometheus.Counter
}

// newFlowTracer returns nil when tracing is off.
func newFlowTracer(p *tracing.Provider, ring fleetkey.Ring, via netip.AddrPort, clock *batchClock, reg prometheus.Registerer) (*flowTracer, error) {
	if !p.On() {
		return nil, nil
	}
	hash, err := tracing.NewFlows(ring, p.Sample())
	if err != nil {
		return nil, err
	}
	t := &flowTracer{
		spans:        p,
		flows:        hash,
		via:          via,
		clock:        clock,
		firstPackets: make(chan firstPacket, traceQueueSize),
		claims:       make(chan tracing.Claim, traceQueueSize),
		pending:      make(map[trace.SpanID]firstPacket),
		dropped:      prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_traces_dropped_total", Help: "Traced first packets and claims dropped because the ring was full."}),
		unclaimed:    prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_traces_unclaimed_total", Help: "Spans of first packets that no call claimed."}),
	}
	reg.MustRegister(t.dropped, t.unclaimed)
	return t, nil
}

// recordFirstPacket takes in a first packet that goes to agent, and reports whether its
// flow is traced. The inward duty calls it; t is nil when tracing is off.
func (t *flowTracer) recordFirstPacket(id []byte, service uint32, agent netip.AddrPort) bool {
	if t == nil || !t.flows.Sampled(id) {
		return false
	}
	p := firstPacket{flow: t.flows.Of(id, t.via), service: service, agent: agent, began: t.clock.now(), end: time.Now()}
	select {
	case t.firstPackets <- p:
	default:
		t.dropped.Inc()
	}
	return true
}

// receiveClaim takes in an agent's encoded receiveClaim. ok is false for one that can't be
// read. A balancer that does not trace passes over it.
func (t *flowTracer) receiveClaim(b []byte) (ok bool) {
	if t == nil {
		return true
	}
	var c tracing.Claim
	if cbor.Unmarshal(b, &c) != nil || !c.Trace.IsValid() || !c.Parent.IsValid() {
		return false
	}
	select {
	case t.claims <- c:
	default:
		t.dropped.Inc()
	}
	return true
}

// run is the tracing duty.
func (t *flowTracer) run(ctx context.Context) {
	tick := time.NewTicker(exportInterval)
	defer tick.Stop()
	for {
		select {
		case p := <-t.firstPackets:
			t.addPending(p)
		case c := <-t.claims:
			t.exportClaimed(c)
		case now := <-tick.C:
			t.exportUnclaimed(now.Add(-claimTimeout), maxPendingSpans)
		case <-ctx.Done():
			t.exportUnclaimed(time.Now(), 0)
			return
		}
	}
}

// addPending keeps a span until it is claimed. A caller's first flight is several
// packets with one ID: they are one span.
func (t *flowTracer) addPending(p firstPacket) {
	if old, ok := t.pending[p.flow.Span]; ok {
		old.end = p.end
		t.pending[p.flow.Span] = old
		return
	}
	t.exportUnclaimed(time.Time{}, maxPendingSpans-1)
	t.pending[p.flow.Span] = p
	t.order = append(t.order, p.flow.Span)
}

func (t *flowTracer) exportClaimed(c tracing.Claim) {
	t.addQueued()
	p, ok := t.pending[c.Span]
	if !ok {
		return
	}
	delete(t.pending, c.Span)
	t.export(p, trace.NewSpanContext(trace.SpanContextConfig{TraceID: c.Trace, SpanID: c.Parent, TraceFlags: trace.FlagsSampled, Remote: true}))
}

// addQueued holds the first packets in the ring: a claim may be read before
// the packet that it is about.
func (t *flowTracer) addQueued() {
	for {
		select {
		case p := <-t.firstPackets:
			t.addPending(p)
		default:
			return
		}
	}
}

// exportUnclaimed exports spans that nobody claimed: those from before a time, and the
// oldest ones while more than keep wait. Each is the root of a trace of its
// own, which shows handshakes that came to nothing.
func (t *flowTracer) exportUnclaimed(before time.Time, keep int) {
	for len(t.order) > 0 {
		p, waits := t.pending[t.order[0]]
		if waits && !p.began.Before(before) && len(t.order) <= keep {
			return
		}
		if waits {
			delete(t.pending, t.order[0])
			t.unclaimed.Inc()
			t.export(p, trace.SpanContext{})
		}
		t.order = t.order[1:]
	}
}

func (t *flowTracer) export(p firstPacket, parent trace.SpanContext) {
	ctx := tracing.WithFlow(context.Background(), p.flow)
	if parent.IsValid() {
		ctx = trace.ContextWithRemoteSpanContext(ctx, parent)
	}
	_, span := t.spans.Tracer().Start(ctx, "forward first packet",
		trace.WithTimestamp(p.began),
		trace.WithSpanKind(trace.SpanKindInternal),
		trace.WithAttributes(
			attribute.Int64("hemlock.service", int64(p.service)),
			attribute.String("hemlock.agent", p.agent.String()),
			attribute.String("hemlock.balancer", t.via.String()),
		))
	span.End(trace.WithTimestamp(p.end))
}
