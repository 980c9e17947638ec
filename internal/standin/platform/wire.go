package platform

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// NetworkFault is what is wrong on the way from one VM to another.
type NetworkFault struct {
	Cut       bool          // nothing arrives
	Loss      float64       // share of datagrams that are lost
	Duplicate float64       // share that arrives twice
	Delay     time.Duration // of every datagram
	Jitter    time.Duration // further delay of a random part, so that datagrams overtake each other
}

// Network carries what the system's processes send to each other. Each process is
// known to the others by an address of the wire; what comes there is handed on
// from the wire's address of its sender.
type Network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ends  map[netip.Addr]*networkPeer // by the process's own address
	fault func(from, to netip.Addr) NetworkFault
	done  sync.WaitGroup
}

type networkPeer struct {
	own   netip.AddrPort // where the process listens
	known netip.AddrPort // where others send to
	link  *Link          // of what the process answers on connections; guarded by Wire.mu
	udp   *net.UDPConn
	tcp   net.Listener
}

// NewNetwork returns a sound wire without ends.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 7)), ends: map[netip.Addr]*networkPeer{}, fault: func(_, _ netip.Addr) NetworkFault { return NetworkFault{} }}
}

// Add makes the process that listens at own known to the others at known.
func (w *Network) Add(own netip.AddrPort, known netip.Addr) error {
	e := &networkPeer{own: own, known: netip.AddrPortFrom(known, own.Port())}
	var err error
	if e.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.known)); err != nil {
		return err
	}
	if e.tcp, err = net.Listen("tcp4", e.known.String()); err != nil {
		e.udp.Close()
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[own.Addr()] = e
	w.done.Go(func() { w.datagrams(e) })
	w.done.Go(func() { w.connections(e) })
	return nil
}

// SetFault sets what is wrong, by the own addresses of sender and receiver.
func (w *Network) SetFault(f func(from, to netip.Addr) NetworkFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetLink sets the link of the process with an own address, for what it answers on
// connections opened from now on.
func (w *Network) SetLink(own netip.Addr, l *Link) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[own].link = l
}

// Close ends the wire.
func (w *Network) Close() {
	w.mu.Lock()
	for _, e := range w.ends {
		e.udp.Close()
		e.tcp.Close()
	}
	w.mu.Unlock()
	w.done.Wait()
}

// Translate replaces the own addresses of processes other than reader by those
// that they are known at, in what reader reads in the store.
func (w *Network) Translate(reader netip.Addr, value []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for addr, e := range w.ends {
		if addr != reader {
			value = bytes.ReplaceAll(value, []byte(e.own.String()), []byte(e.known.String()))
		}
	}
	return value
}

func (w *Network) datagrams(to *networkPeer) {
	b := make([]byte, 2048)
	for {
		n, source, err := to.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		from, copies, delay := w.plan(source.Addr().Unmap(), to.own.Addr())
		packet := bytes.Clone(b[:n])
		for range copies {
			time.AfterFunc(delay, func() { from.udp.WriteToUDPAddrPort(packet, to.own) })
		}
	}
}

// plan decides what happens to one datagram.
func (w *Network) plan(source, to netip.Addr) (from *networkPeer, copies int, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = w.ends[source]
	if from == nil {
		return nil, 0, 0
	}
	f := w.fault(source, to)
	if f.Cut || w.rng.Float64() < f.Loss {
		return from, 0, 0
	}
	copies = 1
	if w.rng.Float64() < f.Duplicate {
		copies = 2
	}
	delay = f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(w.rng.Int64N(int64(f.Jitter)))
	}
	return from, copies, delay
}

// connections passes connections on; who connects can't be told on loopback, so
// only a cut of the receiver from everybody stops them.
func (w *Network) connections(to *networkPeer) {
	for {
		c, err := to.tcp.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		cut, link := w.fault(netip.Addr{}, to.own.Addr()).Cut, to.link
		w.mu.Unlock()
		up, err := net.Dial("tcp4", to.own.String())
		if err != nil {
			c.Close()
			continue
		}
		if cut {
			c.Close()
			up.Close()
			continue
		}
		w.done.Go(func() { join(link.Limit(c), up) })
	}
}

// join carries bytes both ways until one end is done.
func join(c, up net.Conn) {
	go func() {
		io.Copy(up, c)
		up.Close()
	}()
	io.Copy(c, up)
	c.Close()
}
