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
	// traceQueueSize is the number of traced first packets, and of claims, that may wait
	// for the tracing loop. When a queue is full, the newest element is dropped and
	// counted: losing a trace is better than delaying packets.
	traceQueueSize = 256
	// claimTimeout is how long a span waits for the agent's claim, which names the trace
	// that the span belongs to. A handshake and the first request of a usual caller take
	// far less.
	claimTimeout = 10 * time.Second
	// maxPendingSpans bounds the spans that wait for a claim. Beyond it, the oldest are
	// exported unclaimed.
	maxPendingSpans = 4096
	// exportInterval is the time between two checks for spans whose claim has timed out.
	exportInterval = time.Second
)

// firstPacket is a forwarded first packet of a traced flow.
type firstPacket struct {
	flow       tracing.FlowSpan
	service    uint32
	agent      netip.AddrPort
	began, end time.Time
}

// flowTracer records a span for the first packet of each sampled flow.
//
// Packets are encrypted, so the balancer does not know the trace that a call belongs to.
// It holds each span back until the agent, which can decrypt the call, claims it, or until
// claimTimeout has passed.
type flowTracer struct {
	spans        *tracing.Provider
	flows        *tracing.FlowHasher // used only by the goroutine that receives from callers
	via          netip.AddrPort
	clock        *batchClock
	firstPackets chan firstPacket
	claims       chan tracing.Claim
	pending      map[trace.SpanID]firstPacket
	order        []trace.SpanID // keys of pending, oldest first; a claimed one is removed when it is the oldest

	dropped   prometheus.Counter
	unclaimed prometheus.Counter
}

// newFlowTracer returns a tracer, or nil if tracing is off.
func newFlowTracer(p *tracing.Provider, ring fleetkey.Ring, via netip.AddrPort, clock *batchClock, reg prometheus.Registerer) (*flowTracer, error) {
	if !p.Enabled() {
		return nil, nil
	}
	flows, err := tracing.NewFlowHasher(ring, p.SampleRatio())
	if err != nil {
		return nil, err
	}
	t := &flowTracer{
		spans:        p,
		flows:        flows,
		via:          via,
		clock:        clock,
		firstPackets: make(chan firstPacket, traceQueueSize),
		claims:       make(chan tracing.Claim, traceQueueSize),
		pending:      make(map[trace.SpanID]firstPacket),
		dropped:      prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_traces_dropped_total", Help: "Traced first packets and claims dropped because their queue was full."}),
		unclaimed:    prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_balancer_traces_unclaimed_total", Help: "Spans of first packets exported without a claim by an agent."}),
	}
	reg.MustRegister(t.dropped, t.unclaimed)
	return t, nil
}

// recordFirstPacket queues the span of a first packet that is forwarded to agent, if its
// flow is sampled, and reports whether it is. It is called by the goroutine that receives
// from callers; t is nil if tracing is off.
func (t *flowTracer) recordFirstPacket(id []byte, service uint32, agent netip.AddrPort) bool {
	if t == nil || !t.flows.Sampled(id) {
		return false
	}
	p := firstPacket{flow: t.flows.Identity(id, t.via), service: service, agent: agent, began: t.clock.now(), end: time.Now()}
	select {
	case t.firstPackets <- p:
	default:
		t.dropped.Inc()
	}
	return true
}

// receiveClaim queues an agent's encoded claim. ok is false if it can't be decoded or is
// invalid. If tracing is off, claims are ignored.
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

// run is the tracing loop: it matches claims with pending spans until ctx ends.
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

// addPending stores a span until it is claimed. The packets of a caller's first flight have
// the same connection ID and share one span.
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

// exportClaimed exports the span that a claim names as part of the claim's trace.
func (t *flowTracer) exportClaimed(c tracing.Claim) {
	t.addQueued()
	p, ok := t.pending[c.Span]
	if !ok {
		return
	}
	delete(t.pending, c.Span)
	t.export(p, trace.NewSpanContext(trace.SpanContextConfig{TraceID: c.Trace, SpanID: c.Parent, TraceFlags: trace.FlagsSampled, Remote: true}))
}

// addQueued adds the queued first packets to the pending spans, since a claim may be
// dequeued before the first packet that it belongs to.
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

// exportUnclaimed exports pending spans that no agent has claimed: those that began before
// the given time, and the oldest ones while more than keep are pending. Each becomes the
// root of a trace of its own, which shows handshakes that failed.
func (t *flowTracer) exportUnclaimed(before time.Time, keep int) {
	for len(t.order) > 0 {
		p, pending := t.pending[t.order[0]]
		if pending && !p.began.Before(before) && len(t.order) <= keep {
			return
		}
		if pending {
			delete(t.pending, t.order[0])
			t.unclaimed.Inc()
			t.export(p, trace.SpanContext{})
		}
		t.order = t.order[1:]
	}
}

// export exports the span of a first packet, as a child of parent if that is valid.
func (t *flowTracer) export(p firstPacket, parent trace.SpanContext) {
	ctx := tracing.WithFlowSpan(context.Background(), p.flow)
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
