package balancer

import (
	"net/netip"

	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

// controlQueueSize is the number of control datagrams that may wait for the control loop.
// When the queue is full, the newest datagram is dropped and counted: the protocols of all
// control messages recover from losses, while blocking would stop the packets of all flows.
const controlQueueSize = 1024

// LoadObserver receives the occupancy that agents report in return datagrams.
type LoadObserver interface {
	Observe(service uint32, agent netip.AddrPort, load byte)
}

// dataplane forwards packets between the public socket, which receives callers' packets
// from the fabric, and the internal socket, which receives agents' datagrams.
type dataplane struct {
	public    *udp.Conn
	internal  *udp.Conn
	forwarder *Forwarder
	codec     *frame.Codec // used only by receiveFromAgents
	observer  LoadObserver
	control   chan control.Datagram
	metrics   *metrics
	clock     *batchClock
}

func newDataplane(ring fleetkey.Ring, public, internal *udp.Conn, f *Forwarder, o LoadObserver, m *metrics) (*dataplane, error) {
	codec, err := frame.NewCodec(ring)
	if err != nil {
		return nil, err
	}
	return &dataplane{
		public:    public,
		internal:  internal,
		forwarder: f,
		codec:     codec,
		observer:  o,
		control:   make(chan control.Datagram, controlQueueSize),
		metrics:   m,
		clock:     &batchClock{},
	}, nil
}

// receiveFromCallers is the loop that forwards callers' packets to agents. It returns when
// the public socket is closed.
func (d *dataplane) receiveFromCallers() error {
	r := udp.NewReader(d.public)
	w := udp.NewWriter(d.internal)
	for {
		if _, err := d.forwardBatch(r, w); err != nil {
			return udp.IgnoreClosed(err)
		}
	}
}

// forwardBatch forwards one batch of callers' packets and returns the number of packets.
func (d *dataplane) forwardBatch(r *udp.Reader, w *udp.Writer) (n int, err error) {
	n, err = r.Read()
	if err != nil {
		return 0, err
	}
	d.clock.update()
	for i := range n {
		d.forward(r, w, i)
	}
	d.metrics.sendErrors.Add(float64(w.Flush()))
	return n, nil
}

// forward queues the i-th packet of the batch for its agent, or drops and counts it.
func (d *dataplane) forward(r *udp.Reader, w *udp.Writer, i int) {
	address, ok := r.Destination(i)
	if !ok || r.Truncated(i) {
		d.metrics.packets[DropOversize].Inc()
		return
	}
	b := r.WithHeadroom(i, frame.Len)
	agent, v := d.forwarder.Forward(b, r.Source(i), address)
	d.metrics.packets[v].Inc()
	if v != Forwarded {
		return
	}
	w.Add(b, agent, netip.Addr{})
}

// receiveFromAgents is the loop that forwards agents' packets to callers and passes control
// datagrams to the control loop. It returns when the internal socket is closed.
func (d *dataplane) receiveFromAgents() error {
	r := udp.NewReader(d.internal)
	w := udp.NewWriter(d.public)
	var h frame.Header
	for {
		n, err := r.Read()
		if err != nil {
			return udp.IgnoreClosed(err)
		}
		d.clock.update()
		for i := range n {
			d.receiveDatagram(r, w, i, &h)
		}
		d.metrics.sendErrors.Add(float64(w.Flush()))
	}
}

// receiveDatagram handles the i-th datagram of the batch: an agent's packet for a caller or a
// control datagram.
func (d *dataplane) receiveDatagram(r *udp.Reader, w *udp.Writer, i int, h *frame.Header) {
	b := r.Datagram(i)
	if len(b) > 0 && frame.Kind(b[0]) == frame.KindControl {
		d.queueControl(r.Source(i), b)
		return
	}
	if r.Truncated(i) || !d.codec.Get(b, h) || h.Kind != frame.KindReturn || len(b) == frame.Len {
		d.metrics.unknownDatagrams.Inc()
		return
	}
	agent := r.Source(i)
	d.forwarder.sequences.record(agent, h.Seq)
	d.observer.Observe(h.Service, agent, h.Load)
	d.metrics.returned.Inc()
	w.Add(b[frame.Len:], h.Caller, h.Address)
}

// queueControl copies a control datagram into the queue of the control loop.
func (d *dataplane) queueControl(from netip.AddrPort, b []byte) {
	data := append([]byte(nil), b...)
	select {
	case d.control <- control.Datagram{From: from, Data: data}:
	default:
		d.metrics.controlOverflow.Inc()
	}
}
