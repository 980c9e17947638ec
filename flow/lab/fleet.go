package lab

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

var service = flow.IDOf("register")

// fleet is one run of the model.
type fleet struct {
	*simtime.Clock
	c              Config
	seed           uint64
	rng            *rand.Rand
	routes         *flow.Routes
	balancers      []*balancer
	balancerByAddr map[netip.AddrPort]*balancer
	agents         []*agent
	agentByAddr    map[netip.AddrPort]*agent
	callers        callers
	zones          int // availability zones, to which the VMs are assigned in turn
}

// balancer is the VM of a balancer.
type balancer struct {
	addr   netip.AddrPort
	in     link
	out    link
	d      *flow.Director // nil while the process is down
	tickAt time.Time
}

// agent is the VM of an agent and its backend server.
type agent struct {
	addr     netip.AddrPort
	g        *flow.Gate // nil while the process is down
	tickAt   time.Time
	server   *server
	instance int
	speed    float64 // factor on the work of its server

	newFlows []time.Time // when the server got the first packet of a flow
	// arrived is when first packets and requests reached the agent that it has not
	// passed on.
	arrived  map[packetID]time.Time
	waited   time.Duration // total time that requests waited at the agent and its server
	requests int           // that the server has begun
}

// packetID identifies a packet of a caller and its copies.
type packetID struct {
	key flow.Key
	seq uint32
}

// countArrival counts a packet that reaches the server.
func (a *agent) countArrival(now time.Time, s flow.Segment) {
	if s.Syn && a.server.flows[s.Key] == nil {
		a.newFlows = append(a.newFlows, now)
	}
	id := packetID{s.Key, s.Seq}
	if at, ok := a.arrived[id]; ok {
		a.waited += now.Sub(at) - serverDelay
		delete(a.arrived, id)
	}
}

func vmAddr(kind, n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind, 0, n}), 7700)
}

// balancerRandom returns the source of random choices of a balancer that starts now.
func balancerRandom(seed uint64, addr netip.AddrPort, now time.Time) *rand.Rand {
	ip := addr.Addr().As4()
	return rand.New(rand.NewPCG(seed^uint64(now.UnixNano()), uint64(binary.BigEndian.Uint32(ip[:]))))
}

// serviceAddr returns the service address of the n-th kind of request.
func serviceAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n + 1)}), 443)
}

func newFleet(c Config, seed uint64) *fleet {
	f := &fleet{
		zones: 1,
		Clock: simtime.New(), c: c, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)),
		balancerByAddr: map[netip.AddrPort]*balancer{}, agentByAddr: map[netip.AddrPort]*agent{},
	}
	routes := map[netip.AddrPort]flow.Route{}
	for n, k := range c.kinds() {
		routes[serviceAddr(n)] = flow.Route{Name: k.Name, Service: service, Priority: k.Priority, Repeatable: k.Repeatable, Target: c.Target, Timeout: c.Deadline}
	}
	f.routes = flow.NewRoutes(1, 15000, routes)
	for n := range c.Balancers {
		b := &balancer{addr: vmAddr(1, byte(n+1)), in: link{rate: c.Link}, out: link{rate: c.Link}}
		f.balancers = append(f.balancers, b)
		f.balancerByAddr[b.addr] = b
	}
	for n := range c.Agents {
		a := &agent{addr: vmAddr(2, byte(n+1)), speed: c.speed(n), arrived: map[packetID]time.Time{}}
		f.agents = append(f.agents, a)
		f.agentByAddr[a.addr] = a
	}
	f.callers.init(f)
	f.start(true)
	return f
}

// start starts all processes at slightly different times, and the servers as well after
// a power loss.
func (f *fleet) start(servers bool) {
	for n, b := range f.balancers {
		f.After(f.startTime(), func() { f.startBalancer(b, f.zone(n)) })
	}
	for n, a := range f.agents {
		after := f.startTime()
		if servers {
			f.After(after, func() { f.startServer(a) })
		}
		f.After(after+time.Duration(f.rng.Int64N(int64(100*time.Millisecond))), func() { f.startAgent(a, f.zone(n)) })
	}
}

func (f *fleet) startTime() time.Duration {
	return minStartTime + time.Duration(f.rng.Int64N(int64(startTimeSpread)))
}

// zone returns the availability zone of the n-th VM of a role.
func (f *fleet) zone(n int) string { return string(rune('a' + n%f.zones)) }

func (f *fleet) startBalancer(b *balancer, zone string) {
	b.d = flow.NewDirector(f.Now(), flow.DirectorConfig{Zone: zone, Addr: b.addr, Link: f.c.Link, Random: balancerRandom(f.seed, b.addr, f.Now())}, nil)
	b.d.SetRoutes(f.routes)
	for _, other := range f.balancers {
		if other != b {
			b.d.AddBalancer(other.addr)
		}
	}
	for n, a := range f.agents {
		b.d.AddAgent(f.Now(), a.addr, service, f.zone(n))
	}
	b.d.StoreListed()
	f.runBalancer(b)
}

// order puts operator's orders in force, under which the named zones are evacuated. They
// reach the balancers at slightly different times.
func (f *fleet) order(number uint64, evacuated ...string) {
	o := flow.NewOrders(number, nil, evacuated)
	for _, b := range f.balancers {
		f.After(time.Duration(f.rng.Int64N(int64(orderSpread))), func() {
			if b.d != nil {
				b.d.SetOrders(f.Now(), o)
				f.runBalancer(b)
			}
		})
	}
}

func (f *fleet) startAgent(a *agent, zone string) {
	a.g = flow.NewGate(f.Now(), flow.GateConfig{Zone: zone, Incarnation: f.rng.Uint64(), Service: service, Introduce: true}, nil)
	for _, b := range f.balancers {
		a.g.AddBalancer(f.Now(), b.addr)
	}
	if a.server != nil {
		a.g.StatusCheck(f.Now(), flow.StatusCheckResult{Answered: true, Instance: a.server.instance})
	}
	f.runAgent(a)
}

// stop ends all processes, and in a power loss also the servers with their flows.
func (f *fleet) stop(servers bool) {
	for _, b := range f.balancers {
		b.d = nil
	}
	for _, a := range f.agents {
		a.g = nil
		if servers {
			a.server = nil
		}
	}
}

// fromCaller delivers a caller's packet to the balancer of its flow (see balancerFor). It
// drops the packet if no balancer is ready or the queue of the balancer's link is full.
func (f *fleet) fromCaller(s flow.Segment) {
	b := f.balancerFor(s.Key)
	if b == nil {
		return
	}
	packet := encode(s)
	at, ok := b.in.send(f.Now(), 28+32+s.Data)
	if !ok {
		return
	}
	f.After(callerDelay+at.Sub(f.Now()), func() {
		if b.d != nil {
			b.d.FromCaller(f.Now(), s, packet)
			f.runBalancer(b)
		}
	})
}

// balancerFor returns the balancer of a flow among those that are ready, by rendezvous
// hashing, or nil if none is. While the same balancers are ready, all packets of a flow go
// to the same one.
func (f *fleet) balancerFor(key flow.Key) *balancer {
	var best *balancer
	var bestScore uint64
	for n, b := range f.balancers {
		if b.d == nil || !b.d.Ready() {
			continue
		}
		score := (uint64(key.CallerPort)<<16 | uint64(key.Caller[3])<<8 | uint64(n)) * 0x9e3779b97f4a7c15
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		if best == nil || score > bestScore {
			best, bestScore = b, score
		}
	}
	return best
}

// runBalancer carries out a balancer's effects and schedules its next tick.
func (f *fleet) runBalancer(b *balancer) {
	now := f.Now()
	for _, e := range b.d.Effects() {
		packet := bytes.Clone(e.Packet)
		at, ok := b.out.send(now, size(packet))
		if !ok {
			continue
		}
		m, to := e.Message, e.To
		switch e.Kind {
		case flow.SendReset:
			f.After(callerDelay+at.Sub(now), func() { f.callers.reset(m.Key) })
		case flow.SendMessage:
			f.After(vmDelay+at.Sub(now), func() { f.toVM(b.addr, to, m, packet) })
		}
	}
	if next := b.d.NextTick(now); b.tickAt.Before(now) || next.Before(b.tickAt) {
		b.tickAt = next
		d := b.d
		f.After(max(next.Sub(now), time.Millisecond), func() {
			if b.d == d && !f.Now().Before(b.tickAt) {
				d.Tick(f.Now())
				f.runBalancer(b)
			}
		})
	}
}

// toVM delivers a message of a balancer.
func (f *fleet) toVM(from, to netip.AddrPort, m flow.Message, packet []byte) {
	if a := f.agentByAddr[to]; a != nil && a.g != nil {
		var s *flow.Segment
		if m.Kind.CarriesPacket() {
			s = decode(packet)
		}
		if s != nil && (s.Syn || s.Data > 0) {
			id := packetID{s.Key, s.Seq}
			if _, ok := a.arrived[id]; !ok {
				a.arrived[id] = f.Now()
			}
		}
		a.g.FromBalancer(f.Now(), from, &m, s, packet)
		f.runAgent(a)
	}
	if b := f.balancerByAddr[to]; b != nil && b.d != nil {
		b.d.FromBalancer(f.Now(), from, &m, packet)
		f.runBalancer(b)
	}
}

// runAgent carries out an agent's effects and schedules its next tick.
func (f *fleet) runAgent(a *agent) {
	now := f.Now()
	for _, e := range a.g.Effects() {
		packet := bytes.Clone(e.Packet)
		m, to := e.Message, e.To
		switch e.Kind {
		case flow.SendServer:
			if a.server != nil {
				v := a.server
				f.After(serverDelay, func() { v.receive(*decode(packet)) })
			}
		case flow.SendCaller:
			f.After(callerDelay, func() { f.callers.receive(*decode(packet)) })
		case flow.SendMessage:
			f.toBalancer(a.addr, to, m, packet)
		}
	}
	if next := a.g.NextTick(now); a.tickAt.Before(now) || next.Before(a.tickAt) {
		a.tickAt = next
		g := a.g
		f.After(max(next.Sub(now), time.Millisecond), func() {
			if a.g == g && !f.Now().Before(a.tickAt) {
				g.Tick(f.Now())
				f.runAgent(a)
			}
		})
	}
}

func (f *fleet) toBalancer(from, to netip.AddrPort, m flow.Message, packet []byte) {
	b := f.balancerByAddr[to]
	if b == nil {
		return
	}
	at, ok := b.in.send(f.Now(), size(packet))
	if !ok {
		return
	}
	f.After(vmDelay+at.Sub(f.Now()), func() {
		if b.d == nil {
			return
		}
		var s *flow.Segment
		if m.Kind.CarriesPacket() {
			s = decode(packet)
		}
		b.d.FromAgent(f.Now(), from, &m, s, packet)
		f.runBalancer(b)
	})
}
