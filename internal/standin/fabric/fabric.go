// Package fabric simulates the platform's network fabric: it receives
// callers' datagrams to service addresses and sends each to a balancer chosen
// at random. It can lose, duplicate and delay datagrams, and cut off balancers.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/udp"
)

// Faults holds the faults of the fabric. The zero value has none.
type Faults struct {
	Loss         float64       // ratio of datagrams lost, in each direction
	Duplicate    float64       // ratio of datagrams sent twice
	Reorder      float64       // ratio of datagrams delayed by ReorderDelay
	ReorderDelay time.Duration // additional delay of a reordered datagram
	Delay        time.Duration // of every datagram, in each direction
	// LoseAfterIdle is the idle time of a caller after which its next datagram is lost, 0
	// for none.
	LoseAfterIdle time.Duration
	// CutTo and CutFrom list the ports of balancers that receive no datagrams,
	// and from which no datagrams are delivered.
	CutTo, CutFrom []uint16
}

// Counts holds numbers of datagrams.
type Counts struct {
	ToBalancers, ToCallers, Lost uint64
}

// Config holds the settings of a fabric.
type Config struct {
	Listen    netip.AddrPort // wildcard address and port that callers send to
	Balancers []uint16       // balancers' service ports
	Seed      uint64
}

// Fabric is a running fabric.
type Fabric struct {
	public    *udp.Conn
	balancers atomic.Pointer[[]uint16]
	faults    atomic.Pointer[Faults]
	writers   sync.Pool // of *udp.Writer to public
	wg        sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	sessions map[sessionKey]*session
	closed   bool
	counts   Counts
}

// sessionKey identifies a caller's socket at one service address.
type sessionKey struct {
	caller  netip.AddrPort
	service [4]byte
}

// session forwards the datagrams of one caller. Balancers see the address of its socket
// as the caller's address.
type session struct {
	key    sessionKey
	socket *net.UDPConn
	sentAt time.Time // last datagram of the caller; accessed only by the goroutine of receiveFromCallers
}

// firstAfterIdle records a datagram of the caller, and reports whether the caller was idle
// for at least d before it. It returns false if d is 0.
func (s *session) firstAfterIdle(d time.Duration) bool {
	now := time.Now()
	idle := now.Sub(s.sentAt) >= d
	s.sentAt = now
	return idle && d > 0
}

// Start starts a fabric.
func Start(cfg Config) (*Fabric, error) {
	c, err := udp.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		public:   c,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		sessions: make(map[sessionKey]*session),
	}
	f.writers.New = func() any { return udp.NewWriter(c) }
	f.SetBalancers(cfg.Balancers)
	f.SetFaults(Faults{})
	f.wg.Go(f.receiveFromCallers)
	return f, nil
}

// Port returns the port that callers send to.
func (f *Fabric) Port() uint16 { return f.public.LocalAddr().Port() }

// SetBalancers replaces the balancers, given by port, that datagrams are sent to.
func (f *Fabric) SetBalancers(ports []uint16) {
	ports = append([]uint16(nil), ports...)
	f.balancers.Store(&ports)
}

// SetFaults replaces the current faults.
func (f *Fabric) SetFaults(x Faults) { f.faults.Store(&x) }

// Counts returns the numbers of datagrams so far.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Close stops the fabric and waits for its goroutines.
func (f *Fabric) Close() {
	f.public.Close()
	f.mu.Lock()
	f.closed = true
	for _, s := range f.sessions {
		s.socket.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Fabric) receiveFromCallers() {
	r := udp.NewReader(f.public)
	for {
		n, err := r.Read()
		if err != nil {
			return
		}
		for i := range n {
			service, ok := r.Destination(i)
			if !ok {
				continue
			}
			s := f.session(sessionKey{caller: r.Source(i), service: service})
			if s != nil {
				f.sendToBalancer(s, r.Datagram(i))
			}
		}
	}
}

// session returns the session with the key k, and starts it if it does not exist. It
// returns nil if the fabric is closed or has no free socket.
func (f *Fabric) session(k sessionKey) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sessions[k]; s != nil {
		return s
	}
	if f.closed {
		return nil
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	s := &session{key: k, socket: socket}
	f.sessions[k] = s
	f.wg.Go(func() { f.receiveFromBalancers(s) })
	return s
}

// sendToBalancer sends b from the session's socket to a random balancer, subject to the current
// faults.
func (f *Fabric) sendToBalancer(s *session, b []byte) {
	ports := *f.balancers.Load()
	if len(ports) == 0 {
		return
	}
	faults := f.faults.Load()
	f.mu.Lock()
	port := ports[f.rng.IntN(len(ports))]
	plan := f.plan(faults, faults.CutTo, port)
	if s.firstAfterIdle(faults.LoseAfterIdle) {
		plan = delivery{}
		f.counts.Lost++
	}
	f.counts.ToBalancers++
	f.mu.Unlock()
	to := netip.AddrPortFrom(netip.AddrFrom4(s.key.service), port)
	plan.send(b, func(b []byte) { s.socket.WriteToUDPAddrPort(b, to) })
}

func (f *Fabric) receiveFromBalancers(s *session) {
	b := make([]byte, udp.MaxDatagram)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		faults := f.faults.Load()
		f.mu.Lock()
		plan := f.plan(faults, faults.CutFrom, from.Port())
		f.counts.ToCallers++
		f.mu.Unlock()
		plan.send(b[:n], func(b []byte) { f.sendToCaller(s, b) })
	}
}

// sendToCaller sends b to the session's caller from the service address.
func (f *Fabric) sendToCaller(s *session, b []byte) {
	w := f.writers.Get().(*udp.Writer)
	defer f.writers.Put(w)
	w.Add(b, s.key.caller, netip.AddrFrom4(s.key.service))
	w.Flush()
}

// delivery describes how one datagram is delivered.
type delivery struct {
	copies int // 0 if the datagram is lost
	after  time.Duration
}

// plan applies the faults to a datagram to or from the balancer at port. f.mu must be held.
func (f *Fabric) plan(x *Faults, cut []uint16, port uint16) delivery {
	for _, p := range cut {
		if p == port {
			f.counts.Lost++
			return delivery{}
		}
	}
	if x.Loss > 0 && f.rng.Float64() < x.Loss {
		f.counts.Lost++
		return delivery{}
	}
	d := delivery{copies: 1, after: x.Delay}
	if x.Duplicate > 0 && f.rng.Float64() < x.Duplicate {
		d.copies = 2
	}
	if x.Reorder > 0 && f.rng.Float64() < x.Reorder {
		d.after += x.ReorderDelay
	}
	return d
}

func (d delivery) send(b []byte, send func([]byte)) {
	if d.after == 0 {
		for range d.copies {
			send(b)
		}
		return
	}
	copied := append([]byte(nil), b...)
	for range d.copies {
		time.AfterFunc(d.after, func() { send(copied) })
	}
}
