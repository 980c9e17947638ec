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

// Flow is the identity of the span that a balancer makes for a flow's first
// packet. Balancer and agent work it out alike, so it needs no room in the
// forwarding header.
type Flow struct {
	Trace trace.TraceID // used only if no call claims the span
	Span  trace.SpanID
}

// Inputs of a Flows hash, in bytes. All have one length, for which CBC-MAC is
// a pseudorandom function.
const (
	flowInput  = 2 * aes.BlockSize
	maxID      = 20
	viaOffset  = maxID
	lenOffset  = viaOffset + 6
	kindOffset = lenOffset + 1

	kindTrace = 1
	kindSpan  = 2
)

// Flows derives identities of flows from the connection ID that the caller
// chose first, by a hash under the fleet key: a caller can't choose an ID that
// is sampled. It is used by one goroutine at a time.
type Flows struct {
	block cipher.Block
	in    [flowInput]byte
	mac   [aes.BlockSize]byte
	limit uint64
}

// NewFlows returns the hash under the ring's first key. While a key is rotated,
// processes that differ in it miss one another's spans.
func NewFlows(ring fleetkey.Ring, sample float64) (*Flows, error) {
	b, err := aes.NewCipher(ring[0].Derive("trace", aes.BlockSize))
	if err != nil {
		return nil, err
	}
	f := &Flows{block: b}
	f.setSample(sample)
	return f, nil
}

// Sampled reports whether the flow is traced. All balancers with one share
// decide alike. It does not allocate.
func (f *Flows) Sampled(id []byte) bool {
	f.sum(id, netip.AddrPort{}, kindTrace)
	return f.limit > 0 && binary.BigEndian.Uint64(f.mac[8:]) <= f.limit
}

// Of returns the identity of the span of the balancer at via, which took the
// flow's first packet in.
func (f *Flows) Of(id []byte, via netip.AddrPort) (w Flow) {
	f.sum(id, netip.AddrPort{}, kindTrace)
	w.Trace = f.mac
	f.sum(id, via, kindSpan)
	copy(w.Span[:], f.mac[:])
	return w
}

func (f *Flows) sum(id []byte, via netip.AddrPort, kind byte) {
	clear(f.in[:])
	n := copy(f.in[:maxID], id)
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

// Claim is the control message by which an agent tells a balancer to which
// call's trace the span of a flow's first packet belongs. The balancer can't
// read the packet, so it can't know.
type Claim struct {
	Span   trace.SpanID  `cbor:"1,keyasint"`
	Trace  trace.TraceID `cbor:"2,keyasint"`
	Parent trace.SpanID  `cbor:"3,keyasint"` // the caller's span
}

// idGenerator makes random IDs, but for a span whose identity is derived.
type idGenerator struct{}

type flowKey struct{}

// WithFlow makes the next span begun under ctx have the identity w. Its trace
// counts only for a span without parent.
func WithFlow(ctx context.Context, w Flow) context.Context {
	return context.WithValue(ctx, flowKey{}, w)
}

// NewIDs implements sdk.IDGenerator.
func (g idGenerator) NewIDs(ctx context.Context) (t trace.TraceID, s trace.SpanID) {
	if w, ok := ctx.Value(flowKey{}).(Flow); ok {
		return w.Trace, w.Span
	}
	for !t.IsValid() {
		binary.BigEndian.PutUint64(t[:8], rand.Uint64())
		binary.BigEndian.PutUint64(t[8:], rand.Uint64())
	}
	return t, g.NewSpanID(ctx, t)
}

// NewSpanID implements sdk.IDGenerator.
func (idGenerator) NewSpanID(ctx context.Context, _ trace.TraceID) (s trace.SpanID) {
	if w, ok := ctx.Value(flowKey{}).(Flow); ok {
		return w.Span
	}
	for !s.IsValid() {
		binary.BigEndian.PutUint64(s[:], rand.Uint64())
	}
	return s
}
