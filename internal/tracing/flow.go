package tracing

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"crypto/subtle"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
)

// FlowSpan identifies the span that a balancer records for a flow's first
// packet. Balancer and agent derive it in the same way, so that the forwarding
// header need not carry it.
type FlowSpan struct {
	Trace trace.TraceID // used only if no Claim assigns the span to the trace of a call
	Span  trace.SpanID
}

// Layout of the hash input, in bytes. All inputs have the same length, for which
// CBC-MAC is a pseudorandom function.
const (
	flowInput  = 2 * aes.BlockSize
	maxIDLen   = 20
	viaOffset  = maxIDLen
	lenOffset  = viaOffset + 6
	kindOffset = lenOffset + 1

	kindTrace = 1
	kindSpan  = 2
)

// FlowHasher derives the span identity of a flow, and whether the flow is sampled,
// from the connection ID that the caller chose for its first packet. The hash is
// keyed with the fleet key, so that callers can't choose an ID that is sampled.
// It is not safe for concurrent use.
type FlowHasher struct {
	block cipher.Block
	in    [flowInput]byte
	mac   [aes.BlockSize]byte
	limit uint64 // flows whose hash is at most limit are sampled
}

// NewFlowHasher returns a hasher with the ring's first key that samples the given
// ratio of flows, from 0 to 1. During a key rotation, processes with different
// first keys derive different spans, and traces across them are incomplete.
func NewFlowHasher(ring fleetkey.Ring, sampleRatio float64) (*FlowHasher, error) {
	b, err := aes.NewCipher(ring[0].Derive("trace", aes.BlockSize))
	if err != nil {
		return nil, err
	}
	f := &FlowHasher{block: b}
	f.setSampleRatio(sampleRatio)
	return f, nil
}

// Sampled reports whether the flow with the connection ID is traced. All hashers
// with the same key and sample ratio give the same result. It does not allocate.
func (f *FlowHasher) Sampled(id []byte) bool {
	f.computeMAC(id, netip.AddrPort{}, kindTrace)
	return f.limit > 0 && binary.BigEndian.Uint64(f.mac[8:]) <= f.limit
}

// Identity returns the span of the balancer at via, which received the flow's first
// packet from the caller.
func (f *FlowHasher) Identity(id []byte, via netip.AddrPort) (span FlowSpan) {
	f.computeMAC(id, netip.AddrPort{}, kindTrace)
	span.Trace = f.mac
	f.computeMAC(id, via, kindSpan)
	copy(span.Span[:], f.mac[:])
	return span
}

// computeMAC sets f.mac to the CBC-MAC of id, via and kind, which fill two blocks at fixed
// offsets.
func (f *FlowHasher) computeMAC(id []byte, via netip.AddrPort, kind byte) {
	clear(f.in[:])
	n := copy(f.in[:maxIDLen], id)
	if via.IsValid() {
		ip := via.Addr().As4()
		copy(f.in[viaOffset:], ip[:])
		binary.BigEndian.PutUint16(f.in[viaOffset+len(ip):], via.Port())
	}
	f.in[lenOffset] = byte(n)
	f.in[kindOffset] = kind
	f.block.Encrypt(f.mac[:], f.in[:aes.BlockSize])
	subtle.XORBytes(f.mac[:], f.mac[:], f.in[aes.BlockSize:])
	f.block.Encrypt(f.mac[:], f.mac[:])
}

// Claim is the control message in which an agent reports to a balancer which
// call's trace the span of a flow's first packet belongs to. The balancer can't
// derive this from the packet, which is encrypted.
type Claim struct {
	Span   trace.SpanID  `cbor:"1,keyasint"`
	Trace  trace.TraceID `cbor:"2,keyasint"`
	Parent trace.SpanID  `cbor:"3,keyasint"` // the caller's span
}

// idGenerator returns random IDs, except for spans begun under WithFlowSpan.
type idGenerator struct{}

type flowKey struct{}

// WithFlowSpan returns a context in which the next span is started with the identity
// given by span. The trace ID of span is used only if the started span has no parent.
func WithFlowSpan(ctx context.Context, span FlowSpan) context.Context {
	return context.WithValue(ctx, flowKey{}, span)
}

// NewIDs implements sdk.IDGenerator.
func (g idGenerator) NewIDs(ctx context.Context) (t trace.TraceID, s trace.SpanID) {
	if span, ok := ctx.Value(flowKey{}).(FlowSpan); ok {
		return span.Trace, span.Span
	}
	for !t.IsValid() {
		binary.BigEndian.PutUint64(t[:8], rand.Uint64())
		binary.BigEndian.PutUint64(t[8:], rand.Uint64())
	}
	return t, g.NewSpanID(ctx, t)
}

// NewSpanID implements sdk.IDGenerator.
func (idGenerator) NewSpanID(ctx context.Context, _ trace.TraceID) (s trace.SpanID) {
	if span, ok := ctx.Value(flowKey{}).(FlowSpan); ok {
		return span.Span
	}
	for !s.IsValid() {
		binary.BigEndian.PutUint64(s[:], rand.Uint64())
	}
	return s
}
