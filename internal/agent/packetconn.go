package agent

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const (
	// dataQueueSize is how many caller packets may wait for QUIC. When the queue
	// is full, the newest packet is dropped and counted. QUIC recovers from the loss
	// and slows its sender down, while blocking would delay control datagrams.
	dataQueueSize = 4096
	// controlQueueSize is how many control datagrams may wait. Further ones are
	// dropped, since their protocols retransmit.
	controlQueueSize = 256
)

// callerPacket is a caller's packet that waits for QUIC.
type callerPacket struct {
	data *[udp.MaxDatagram]byte
	n    int
	from *net.UDPAddr
}

// firstPacketPolicy decides which agent receives a flow's first packet.
type firstPacketPolicy interface {
	// place returns the agent to forward the packet to, with forward true and the
	// header's flags set, or forward false if the flow stays at this agent.
	place(h *frame.Header, packet []byte) (to netip.AddrPort, forward bool)
	// load returns the occupancy that return datagrams report.
	load() byte
}

// packetConn carries QUIC packets inside frames over the internal socket. It implements
// net.PacketConn with virtual addresses, see pathKey.
type packetConn struct {
	socket  *udp.Conn
	paths   *paths
	policy  firstPacketPolicy
	service atomic.Uint32 // 0 until the catalogue entry is known
	metrics *metrics
	traced  *tracedFlows // nil when tracing is off

	decoder *frame.Codec // used by receive only
	data    chan callerPacket
	control chan control.Datagram
	buffers sync.Pool
	writers sync.Pool

	closed    chan struct{}
	closeOnce sync.Once

	expired    chan struct{}
	expireOnce sync.Once
}

// outBuffer is the buffer in which a return datagram is built.
type outBuffer struct {
	codec  *frame.Codec
	header frame.Header
	b      [frame.Len + udp.MaxDatagram]byte
}

func newPacketConn(ring fleetkey.Ring, socket *udp.Conn, policy firstPacketPolicy, m *metrics) (*packetConn, error) {
	decoder, err := frame.NewCodec(ring)
	if err != nil {
		return nil, err
	}
	c := &packetConn{
		socket:  socket,
		paths:   newPaths(),
		policy:  policy,
		metrics: m,
		decoder: decoder,
		data:    make(chan callerPacket, dataQueueSize),
		control: make(chan control.Datagram, controlQueueSize),
		closed:  make(chan struct{}),
		expired: make(chan struct{}),
	}
	c.buffers.New = func() any { return new([udp.MaxDatagram]byte) }
	c.writers.New = func() any {
		codec, _ := frame.NewCodec(ring) // the same call succeeded above
		return &outBuffer{codec: codec}
	}
	return c, nil
}

// receive reads the internal socket until it is closed.
func (c *packetConn) receive() error {
	r := udp.NewReader(c.socket)
	w := udp.NewWriter(c.socket)
	var h frame.Header
	for {
		n, err := r.Read()
		if err != nil {
			return udp.IgnoreClosed(err)
		}
		now := time.Now()
		for i := range n {
			c.receiveDatagram(r, w, i, &h, now)
		}
		w.Flush()
	}
}

func (c *packetConn) receiveDatagram(r *udp.Reader, w *udp.Writer, i int, h *frame.Header, now time.Time) {
	b := r.Datagram(i)
	if len(b) > 0 && frame.Kind(b[0]) == frame.KindControl {
		c.queueControl(r.Source(i), b)
		return
	}
	if r.Truncated(i) || !c.decoder.Get(b, h) || h.Kind != frame.KindForward {
		c.metrics.unknownDatagrams.Inc()
		return
	}
	// After a restart an agent of another service may have this address. A balancer with an
	// outdated member list may then send packets here that are for the previous service.
	if h.Service != c.service.Load() {
		c.metrics.foreignPackets.Inc()
		return
	}
	packet := b[frame.Len:]
	if h.Flags&frame.FlagFirst != 0 {
		if to, forward := c.policy.place(h, packet); forward {
			c.decoder.Put(b, h)
			w.Add(b, to, netip.Addr{})
			c.metrics.forwarded.Inc()
			return
		}
	}
	c.traced.recordFirstPacket(h, packet, now)
	c.queuePacket(packet, c.paths.received(h, now))
}

func (c *packetConn) queuePacket(packet []byte, from *net.UDPAddr) {
	buf := c.buffers.Get().(*[udp.MaxDatagram]byte)
	p := callerPacket{data: buf, n: copy(buf[:], packet), from: from}
	select {
	case c.data <- p:
	default:
		c.buffers.Put(buf)
		c.metrics.dataOverflow.Inc()
	}
}

func (c *packetConn) queueControl(from netip.AddrPort, b []byte) {
	data := append([]byte(nil), b...)
	select {
	case c.control <- control.Datagram{From: from, Data: data}:
	default:
		c.metrics.controlOverflow.Inc()
	}
}

// ReadFrom returns the next caller packet.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case a := <-c.data:
		n := copy(p, a.data[:a.n])
		c.buffers.Put(a.data)
		return n, a.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	case <-c.expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// WriteTo sends a packet to the caller that the virtual address identifies.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.ErrClosed
	}
	key, ok := keyOf(u)
	if !ok {
		return len(p), nil
	}
	now := time.Now()
	before, held := c.paths.holdPacket(key, p, now)
	if before != nil {
		c.send(key, before.packet(), now)
	}
	if held != nil {
		time.AfterFunc(ackSpacing, func() { c.sendHeld(key, held) })
		return len(p), nil
	}
	c.send(key, p, now)
	return len(p), nil
}

// sendHeld sends a held packet unless a later packet has already caused it to be sent.
func (c *packetConn) sendHeld(key pathKey, h *heldPacket) {
	if now := time.Now(); c.paths.release(key, h, now) {
		c.send(key, h.packet(), now)
	}
}

// send sends a packet through the return paths selected for the caller. It drops the packet
// if there is none, since any datagram may be lost.
func (c *packetConn) send(key pathKey, p []byte, now time.Time) {
	var routes [maxReturnPaths]route
	n := c.paths.routes(key, now, &routes)
	if n == 0 {
		c.metrics.noReturnPath.Inc()
		return
	}
	o := c.writers.Get().(*outBuffer)
	defer c.writers.Put(o)
	size := frame.Len + copy(o.b[frame.Len:], p)
	for _, r := range routes[:n] {
		o.header = frame.Header{
			Kind:    frame.KindReturn,
			Load:    c.policy.load(),
			Service: c.service.Load(),
			Caller:  key.caller,
			Address: key.address,
			Via:     r.balancer,
			Seq:     r.seq,
		}
		o.codec.Put(o.b[:], &o.header)
		if c.socket.WriteTo(o.b[:size], r.balancer) != nil {
			c.metrics.sendErrors.Inc()
		}
	}
}

// Close makes ReadFrom return net.ErrClosed. The agent closes the socket.
func (c *packetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the internal socket.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.socket.LocalAddr())
}

// SetDeadline calls SetReadDeadline, since writes never block.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing, since writes never block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline makes ReadFrom fail permanently if t is not zero. QUIC sets a deadline
// only to unblock its reader when it closes.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.expireOnce.Do(func() { close(c.expired) })
	}
	return nil
}
