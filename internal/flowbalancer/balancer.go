// Package flowbalancer is the balancer of packet flows: it carries out what a
// flow.Director decides.
//
// Its duties are goroutines: one reads callers' packets, one reads messages of
// agents and other balancers, one ticks, one follows the configuration, one tells
// it to other balancers, one answers the routers and one introduces the process in
// the store. A mutex guards the Director; what it decides is copied
// into a duty's own output before the mutex is released.
package flowbalancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/flowframe"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/propagation"
)

// Config sets up a Balancer.
type Config struct {
	Settings node.Settings
	Director flow.DirectorConfig // Zone, Regions and MaxAge are filled in
	Codec    node.PacketCodec
	Store    node.Store
	// Orders says where the operator's orders lie in the store, and ParseConfig reads
	// the configuration among them. Parts that can't be read are returned as errors.
	Orders      node.OrderKeys
	ParseConfig func([]byte) (*flow.Routes, []error)
	// Readiness builds the page that routers ask.
	Readiness func(ready func() bool) http.Handler
	Traces    *tracing.Provider // nil is off
}

const (
	// drainQuietTime is the time without a caller's packet after which a
	// balancer that stops has been left by the routers.
	drainQuietTime = 400 * time.Millisecond
	// minDrainTime is the time that routers need to notice that a balancer is
	// not ready: two questions half a second apart, and one more.
	minDrainTime = 1500 * time.Millisecond
	// readHeaderTimeout bounds how long a caller of the readiness page may take.
	readHeaderTimeout = 5 * time.Second
)

// Balancer is one balancer process.
type Balancer struct {
	cfg               Config
	log               *zap.Logger
	callers           *udp.Conn
	internal          *udp.Conn
	readinessListener net.Listener
	ordersListener    net.Listener // where other balancers ask for the configuration
	follower          *node.Follower
	registrar         *node.Registrar
	inForce           node.Orders // used by the follower alone, one call at a time
	readiness         *node.Readiness
	tracer            *tracer // used under mu
	invalidKeys       prometheus.Counter

	mu         sync.Mutex
	era        store.Era // of the store, by the orders in force
	director   *flow.Director
	propagator *propagation.Node // how the configuration gets here and on to others

	stopping         atomic.Bool
	loggedReady      atomic.Bool   // what the readiness page said last
	loggedWatcher    atomic.Bool   // whether this process watched the store for all when that was logged
	lastCallerPacket atomic.Int64  // node.Now of the last caller's packet, in ns
	followerDue      chan struct{} // the follower may have something to do
	wakeup           chan struct{}
	sleepUntil       atomic.Int64 // node.Now until which the ticking duty sleeps, in ns
	ctx              context.Context
	cancel           context.CancelFunc
}

// New opens the sockets of a balancer.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Balancer, error) {
	cfg.Director.Zone = cfg.Settings.Zone
	cfg.Director.Regions = cfg.Settings.Zones
	cfg.Director.MaxAge = cfg.Settings.MaxFlowAge
	cfg.Director.Link = cfg.Settings.LinkRate
	b := &Balancer{cfg: cfg, log: log, followerDue: make(chan struct{}, 1), wakeup: make(chan struct{}, 1)}
	spans, err := node.NewSpans(cfg.Traces)
	if err != nil {
		return nil, err
	}
	b.propagator = propagation.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	b.tracer = newTracer(log, b.addr(), spans, reg)
	b.director = flow.NewDirector(node.Now(), cfg.Director, b.tracer)
	b.readiness = node.NewReadiness(reg)
	b.addSeeds(cfg.Settings.Seeds)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if b.callers, err = udp.Listen(cfg.Settings.Packets); err != nil {
		return nil, err
	}
	if b.internal, err = udp.Listen(b.addr()); err != nil {
		return nil, err
	}
	if b.ordersListener, err = net.Listen("tcp4", b.addr().String()); err != nil {
		return nil, err
	}
	if b.readinessListener, err = net.Listen("tcp4", cfg.Settings.Readiness.String()); err != nil {
		return nil, err
	}
	b.follower = b.newFollower()
	b.invalidKeys = node.NewInvalidKeys(reg)
	b.registrar = b.newRegistrar()
	registerMetrics(reg, b)
	return b, nil
}

func (b *Balancer) addr() netip.AddrPort {
	return netip.AddrPortFrom(b.cfg.Settings.IP, b.cfg.Settings.InternalPort)
}

// Ready reports whether the routers should hand packets to this process.
func (b *Balancer) Ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	ready, known := b.director.Ready(), b.director.Stats()
	b.mu.Unlock()
	if b.loggedReady.Swap(ready) != ready {
		b.log.Info("readiness", zap.Bool("ready", ready), zap.Int("agents", known.Agents), zap.Int("agents_ready", known.Ready))
	}
	return ready
}

// Run implements daemon.Part.
func (b *Balancer) Run() error {
	var g run.Group
	g.Add(b.readCallers, func(error) { b.callers.Close() })
	g.Add(b.readInternal, func(error) { b.internal.Close() })
	g.Add(b.tick, func(error) { b.cancel() })
	b.addFollower(&g)
	b.addRegistrar(&g)
	b.addOrdersServer(&g)
	b.addReadinessServer(&g)
	return g.Run()
}

// Apply implements process.Part.
func (b *Balancer) Apply(s node.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.director.SetMaxAge(s.MaxFlowAge)
	b.director.SetRegions(s.Zones)
	b.addSeeds(s.Seeds)
}

// Beliefs implements process.Part.
func (b *Balancer) Beliefs() node.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.director.Snapshot(node.Now())
	return node.Snapshot{VM: b.cfg.Settings.Name, Role: node.RoleBalancer, Zone: b.cfg.Settings.Zone, Balancer: &now}
}

// addSeeds makes the balancers known that the settings name, with b.mu
// held.
func (b *Balancer) addSeeds(seeds []netip.Addr) {
	for _, seed := range seeds {
		if seed != b.cfg.Settings.IP {
			b.director.AddBalancer(netip.AddrPortFrom(seed, b.cfg.Settings.InternalPort))
		}
	}
}

// Close implements daemon.Part.
func (b *Balancer) Close() { b.cancel() }

// Drain implements daemon.Part: the balancer says at once that it is not ready
// and forwards until the routers hand it nothing any more.
func (b *Balancer) Drain(ctx context.Context) {
	b.stopping.Store(true)
	start := node.Now()
	t := time.NewTicker(drainQuietTime / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := node.Now()
		quiet := now.Sub(time.Unix(0, b.lastCallerPacket.Load()))
		if now.Sub(start) >= minDrainTime && quiet >= drainQuietTime {
			return
		}
	}
}

func (b *Balancer) output() *node.Output {
	return node.NewOutput(b.internal, b.cfg.Codec, b.cfg.Settings.Packets.Port(), netip.AddrPort{})
}

// update runs f on the Director and copies what it decided to out.
func (b *Balancer) update(out *node.Output, f func(d *flow.Director, now time.Time)) {
	now := node.Now()
	b.mu.Lock()
	f(b.director, now)
	out.Add(b.director.Effects())
	next := b.director.NextTick(now)
	b.mu.Unlock()
	if next.UnixNano() < b.sleepUntil.Load() {
		b.wake()
	}
}

// wake has the ticking duty look at once what is due.
func (b *Balancer) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// readCallers is the duty that takes callers' packets.
func (b *Balancer) readCallers() error {
	r, out := udp.NewReader(b.callers), b.output()
	for {
		if _, err := b.receiveCallerBatch(r, out); err != nil {
			return udp.IgnoreClosed(err)
		}
	}
}

// receiveCallerBatch takes what one read brings and returns the number of packets.
func (b *Balancer) receiveCallerBatch(r *udp.Reader, out *node.Output) (int, error) {
	n, err := r.Read()
	if err != nil {
		return 0, err
	}
	b.update(out, func(d *flow.Director, now time.Time) {
		b.lastCallerPacket.Store(now.UnixNano())
		for i := range n {
			packet := r.Datagram(i)
			if s, ok := b.cfg.Codec.FromCaller(packet); ok && !r.Truncated(i) {
				d.FromCaller(now, s, packet)
			}
			out.Add(d.Effects())
		}
	})
	out.Flush()
	return n, nil
}

// readInternal is the duty that takes agents' messages.
func (b *Balancer) readInternal() error {
	r, out := udp.NewReader(b.internal), b.output()
	for {
		n, err := r.Read()
		if err != nil {
			return udp.IgnoreClosed(err)
		}
		b.update(out, func(d *flow.Director, now time.Time) {
			for i := range n {
				b.receiveMessage(d, now, r.Source(i), r.Datagram(i), out)
				out.Add(d.Effects())
			}
		})
		out.Flush()
		b.propagate(out)
	}
}

func (b *Balancer) receiveMessage(d *flow.Director, now time.Time, from netip.AddrPort, datagram []byte, out *node.Output) {
	m, packet, ok := flowframe.Decode(datagram)
	if !ok {
		return
	}
	if m.Kind.BetweenBalancers() {
		d.FromBalancer(now, from, &m, packet)
		if m.Kind == flow.Configured {
			b.receiveDigest(now, from, &m, packet, out)
		}
		return
	}
	if len(packet) == 0 || !m.Kind.CarriesPacket() {
		d.FromAgent(now, from, &m, nil, packet)
		return
	}
	if s, ok := b.cfg.Codec.FromCaller(packet); ok {
		d.FromAgent(now, from, &m, &s, packet)
	}
}

// tick is the duty that does what is due by time alone.
func (b *Balancer) tick() error {
	out := b.output()
	for {
		var next time.Time
		b.update(out, func(d *flow.Director, now time.Time) {
			d.Tick(now)
			b.tracer.flush(now)
			next = d.NextTick(now)
		})
		out.Flush()
		b.propagate(out)
		b.sleepUntil.Store(next.UnixNano())
		select {
		case <-b.ctx.Done():
			return nil
		case <-b.wakeup:
		case <-time.After(next.Sub(node.Now())):
		}
	}
}

func (b *Balancer) newRegistrar() *node.Registrar {
	return &node.Registrar{
		Self:        node.Peer{Role: node.RoleBalancer, Addr: b.addr(), Zone: b.cfg.Settings.Zone},
		Store:       b.cfg.Store,
		PeersListed: b.addPeers,
		InvalidKeys: b.invalidKeys,
		Log:         b.log,

		StoreRestored: b.storeRestored,
	}
}

// storeRestored notes what an answer of the store told this balancer beside the operator's
// orders: there is a newer version of them.
func (b *Balancer) storeRestored(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.propagator.ObserveRevision(node.Now(), version)
}

func (b *Balancer) addRegistrar(g *run.Group) {
	g.Add(func() error { return b.registrar.Run(b.ctx) }, func(error) { b.cancel() })
}

// addPeers makes the agents known that the store names, and greets new ones.
func (b *Balancer) addPeers(peers []node.Peer) {
	out := b.output()
	b.update(out, func(d *flow.Director, now time.Time) {
		for _, p := range peers {
			switch p.Role {
			case node.RoleAgent:
				d.AddAgent(now, p.Addr, flow.IDOf(p.Service), p.Zone)
			case node.RoleBalancer:
				d.AddBalancer(p.Addr)
			}
		}
		d.StoreListed()
		d.Tick(now)
	})
	out.Flush()
	b.propagate(out) // there may be somebody to ask only now
}

func (b *Balancer) addReadinessServer(g *run.Group) {
	s := &http.Server{Handler: b.cfg.Readiness(b.Ready), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(s.Serve(b.readinessListener)) }, func(error) { s.Close() })
}
