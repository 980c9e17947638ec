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

// NetworkFault describes the faults of the path from one VM to another.
type NetworkFault struct {
	Cut       bool          // no datagram arrives
	Loss      float64       // ratio of datagrams that are lost
	Duplicate float64       // ratio of datagrams that arrive twice
	Delay     time.Duration // of every datagram
	Jitter    time.Duration // maximum of an additional random delay, which reorders datagrams
}

// Network simulates the network between the system's processes. The other processes
// reach a process at an address of the Network, which forwards each datagram to the
// process from the Network's address of the sender.
type Network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	peers map[netip.Addr]*networkPeer // by the process's own address
	fault func(from, to netip.Addr) NetworkFault
	done  sync.WaitGroup
}

type networkPeer struct {
	own    netip.AddrPort // where the process listens
	public netip.AddrPort // where other processes send to
	link   *Link          // for what the process sends on accepted connections; guarded by Network.mu
	udp    *net.UDPConn
	tcp    net.Listener
}

// NewNetwork returns a network without faults and processes. seed is that of the random
// faults.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 7)), peers: map[netip.Addr]*networkPeer{}, fault: func(_, _ netip.Addr) NetworkFault { return NetworkFault{} }}
}

// Add makes the process that listens at own reachable for the others at public, on
// the same port.
func (nw *Network) Add(own netip.AddrPort, public netip.Addr) error {
	p := &networkPeer{own: own, public: netip.AddrPortFrom(public, own.Port())}
	var err error
	if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.public)); err != nil {
		return err
	}
	if p.tcp, err = net.Listen("tcp4", p.public.String()); err != nil {
		p.udp.Close()
		return err
	}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.peers[own.Addr()] = p
	nw.done.Go(func() { nw.forwardDatagrams(p) })
	nw.done.Go(func() { nw.forwardConnections(p) })
	return nil
}

// SetFault sets the fault by the own addresses of sender and receiver.
func (nw *Network) SetFault(f func(from, to netip.Addr) NetworkFault) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.fault = f
}

// SetLink limits what the process with the given own address sends on connections that
// it accepts from now on.
func (nw *Network) SetLink(own netip.Addr, l *Link) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.peers[own].link = l
}

// Close stops the network.
func (nw *Network) Close() {
	nw.mu.Lock()
	for _, p := range nw.peers {
		p.udp.Close()
		p.tcp.Close()
	}
	nw.mu.Unlock()
	nw.done.Wait()
}

// Translate returns value, which reader reads from the store, with the own addresses of
// the other processes replaced by their addresses on the network.
func (nw *Network) Translate(reader netip.Addr, value []byte) []byte {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for addr, p := range nw.peers {
		if addr != reader {
			value = bytes.ReplaceAll(value, []byte(p.own.String()), []byte(p.public.String()))
		}
	}
	return value
}

// forwardDatagrams forwards datagrams to a process, subject to the current faults.
func (nw *Network) forwardDatagrams(to *networkPeer) {
	b := make([]byte, 2048)
	for {
		n, source, err := to.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		from, copies, delay := nw.plan(source.Addr().Unmap(), to.own.Addr())
		packet := bytes.Clone(b[:n])
		for range copies {
			time.AfterFunc(delay, func() { from.udp.WriteToUDPAddrPort(packet, to.own) })
		}
	}
}

// plan returns the sender of a datagram, how many copies of it to deliver, and after
// which delay.
func (nw *Network) plan(source, to netip.Addr) (from *networkPeer, copies int, delay time.Duration) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	from = nw.peers[source]
	if from == nil {
		return nil, 0, 0
	}
	f := nw.fault(source, to)
	if f.Cut || nw.rng.Float64() < f.Loss {
		return from, 0, 0
	}
	copies = 1
	if nw.rng.Float64() < f.Duplicate {
		copies = 2
	}
	delay = f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(nw.rng.Int64N(int64(f.Jitter)))
	}
	return from, copies, delay
}

// forwardConnections forwards connections to a process. On loopback the client can't be
// identified, so a connection is refused only if the receiver is cut off from all processes.
func (nw *Network) forwardConnections(to *networkPeer) {
	for {
		c, err := to.tcp.Accept()
		if err != nil {
			return
		}
		nw.mu.Lock()
		cut, link := nw.fault(netip.Addr{}, to.own.Addr()).Cut, to.link
		nw.mu.Unlock()
		upstream, err := net.Dial("tcp4", to.own.String())
		if err != nil {
			c.Close()
			continue
		}
		if cut {
			c.Close()
			upstream.Close()
			continue
		}
		nw.done.Go(func() { join(link.Limit(c), upstream) })
	}
}

// join copies data in both directions until one side closes its connection.
func join(c, upstream net.Conn) {
	go func() {
		io.Copy(upstream, c)
		upstream.Close()
	}()
	io.Copy(c, upstream)
	c.Close()
}
