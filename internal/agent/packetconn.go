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
	// dataQueueSize is how many caller packets may wait for QUIC. When it is full
	// the newest is dropped and counted: QUIC recovers from loss and slows
	// its sender down, while blocking would hold up control datagrams.
	dataQueueSize = 4096
	// controlQueueSize is the same for control datagrams; their protocols repeat.
	controlQueueSize = 256
)

// callerPacket is a caller packet for QUIC.
type callerPacket struct {
	data *[udp.MaxDatagram]byte
	n    int
	from *net.UDPAddr
}

// firstPacketPolicy decides where a flow's first packet goes.
type firstPacketPolicy interface {
	// place returns the agent that the packet goes on to and marks it in the
	// header, or reports that the flow stays here.
	place(h *frame.Header, packet []byte) (to netip.AddrPort, elsewhere bool)
	// load returns the occupancy that goes with return datagrams.
	load() byte
}

// packetConn carries QUIC's packets inside frames over the internal socket.
// To QUIC it is a net.PacketConn whose addresses are virtual, see pathKey.
type packetConn struct {
	socket  *udp.Conn
	paths   *paths
	policy  firstPacketPolicy
	service atomic.Uint32 // 0 until the catalogue entry is known
	metrics *metrics
	traced  *tracedFlows // nil when tracing is off

	decoder *frame.Codec // of the receive duty
	data    chan callerPacket
	control chan control.Datagram
	buffers sync.Pool
	writers sync.Pool

	closed    chan struct{}
	closeOnce sync.Once

	expired    chan struct{}
	expireOnce sync.Once
}

// outBuffer is the memory that one return datagram is built in.
type outBuffer struct {
	codec  *frame.Codec
	header frame.Header
	b      [frame.Len + udp.MaxDatagram]byte
}

func newPacketConn(ring fleetkey.Ring, socket *udp.Conn, policy firstPacketPolicy, m *metrics) (*packetConn, error) {
	in, err := frame.NewCodec(ring)
	if err != nil {
		return nil, err
	}
	c := &packetConn{
		socket:  socket,
		paths:   newPaths(),
		policy:  policy,
		metrics: m,
		decoder: in,
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

// receive is the duty that reads the internal socket. It returns when the
// socket is closed.
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
	// After a restart another service's agent may hold this address, and a
	// balancer with an old roster still sends here what was meant for it.
	if h.Service != c.service.Load() {
		c.metrics.foreignPackets.Inc()
		return
	}
	packet := b[frame.Len:]
	if h.Flags&frame.FlagFirst != 0 {
		if to, elsewhere := c.policy.place(h, packet); elsewhere {
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
	a := callerPacket{data: buf, n: copy(buf[:], packet), from: from}
	select {
	case c.data <- a:
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

// WriteTo sends a packet to the caller behind the virtual address.
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
	before, kept := c.paths.holdPacket(key, p, now)
	if before != nil {
		c.send(key, before.packet(), now)
	}
	if kept != nil {
		time.AfterFunc(ackSpacing, func() { c.sendHeld(key, kept) })
		return len(p), nil
	}
	c.send(key, p, now)
	return len(p), nil
}

// sendHeld sends a packet that was kept back, if no later one has had it sent.
func (c *packetConn) sendHeld(key pathKey, h *heldPacket) {
	if now := time.Now(); c.paths.release(key, h, now) {
		c.send(key, h.packet(), now)
	}
}

// send sends a packet on the ways of a path. Without any it is lost, as any datagram may be.
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

// Close ends ReadFrom. The socket is closed by the agent.
func (c *packetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns the address of the internal socket.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.socket.LocalAddr())
}

// SetDeadline is SetReadDeadline: writes never wait.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing: writes never wait.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline ends ReadFrom for good when t is set. QUIC sets a deadline
// only when it closes, to wake its reader.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.expireOnce.Do(func() { close(c.expired) })
	}
	return nil
}
