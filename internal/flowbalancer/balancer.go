// Package flowbalancer implements the balancer of packet flows. It connects a
// flow.Director to sockets, the store, logs and metrics.
//
// Each loop runs in its own goroutine: one reads callers' packets, one reads messages
// of agents and other balancers, one runs the Director's timers, one follows the
// operator's orders, one serves them to other balancers, one answers the routers'
// readiness checks and one keeps the process registered in the store. A mutex guards the
// Director; its effects are copied into the output of the calling loop before the mutex
// is released.
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

// Config holds the settings and dependencies of a Balancer.
type Config struct {
	Settings node.Settings
	Director flow.DirectorConfig // New sets Zone, Regions, MaxAge and Link
	Codec    node.PacketCodec
	Store    node.Store
	// Orders holds the store keys of the operator's orders. ParseConfig decodes the
	// configuration, which is part of them. Parts that can't be decoded are returned as errors.
	Orders      node.OrderKeys
	ParseConfig func([]byte) (*flow.Routes, []error)
	// Readiness returns the handler of the routers' readiness checks.
	Readiness func(ready func() bool) http.Handler
	Traces    *tracing.Provider // nil turns tracing off
}

const (
	// drainQuietTime is the time without a packet from a caller after which a draining
	// balancer assumes that the routers no longer send it packets.
	drainQuietTime = 400 * time.Millisecond
	// minDrainTime is the time that routers need to detect that a balancer is not
	// ready: they check twice, half a second apart, plus one check as a margin.
	minDrainTime = 1500 * time.Millisecond
	// readHeaderTimeout bounds the time in which a client must send its request header.
	readHeaderTimeout = 5 * time.Second
)

// Balancer is one balancer process.
type Balancer struct {
	cfg               Config
	log               *zap.Logger
	callers           *udp.Conn
	internal          *udp.Conn
	readinessListener net.Listener
	ordersListener    net.Listener // on which other balancers fetch the operator's orders
	follower          *node.Follower
	registrar         *node.Registrar
	lastOrders        node.Orders // orders for which applyOrders last returned true, in force or not; only the follower's goroutine uses it
	readiness         *node.Readiness
	tracer            *tracer // guarded by mu
	invalidKeys       prometheus.Counter

	mu         sync.Mutex
	era        store.Era // store era of the orders in force
	director   *flow.Director
	propagator *propagation.Node // decides when the orders are read, fetched and announced

	stopping         atomic.Bool
	loggedReady      atomic.Bool   // readiness as last logged
	loggedWatcher    atomic.Bool   // whether this process was the watcher when that was last logged
	lastCallerPacket atomic.Int64  // node.Now of the latest packet from a caller, in ns
	followerDue      chan struct{} // signalled when the follower may have a call or fetch to make
	wakeup           chan struct{}
	sleepUntil       atomic.Int64 // node.Now until which the timer loop sleeps, in ns
	ctx              context.Context
	cancel           context.CancelFunc
}

// New returns a balancer with open sockets.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Balancer, error) {
	cfg.Director.Zone = cfg.Settings.Zone
	cfg.Director.Regions = cfg.Settings.Zones
	cfg.Director.MaxAge = cfg.Settings.MaxFlowAge
	cfg.Director.Link = cfg.Settings.LinkRate
	cfg.Director.Addr = netip.AddrPortFrom(cfg.Settings.IP, cfg.Settings.InternalPort)
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

// Ready reports whether routers should send packets to this process.
func (b *Balancer) Ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	ready, stats := b.director.Ready(), b.director.Stats()
	b.mu.Unlock()
	if b.loggedReady.Swap(ready) != ready {
		b.log.Info("readiness", zap.Bool("ready", ready), zap.Int("agents", stats.Agents), zap.Int("agents_ready", stats.Ready))
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

// Snapshot implements process.Part.
func (b *Balancer) Snapshot() node.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	snapshot := b.director.Snapshot(node.Now())
	return node.Snapshot{VM: b.cfg.Settings.Name, Role: node.RoleBalancer, Zone: b.cfg.Settings.Zone, Balancer: &snapshot}
}

// addSeeds adds the balancers named in the settings. The caller holds b.mu, except in New.
func (b *Balancer) addSeeds(seeds []netip.Addr) {
	for _, seed := range seeds {
		if seed != b.cfg.Settings.IP {
			b.director.AddBalancer(netip.AddrPortFrom(seed, b.cfg.Settings.InternalPort))
		}
	}
}

// Close implements daemon.Part.
func (b *Balancer) Close() { b.cancel() }

// Drain implements daemon.Part. The balancer reports at once that it is not ready, and
// forwards packets until the routers send it none.
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

// output returns an output for one loop.
func (b *Balancer) output() *node.Output {
	return node.NewOutput(b.internal, b.cfg.Codec, b.cfg.Settings.Packets.Port(), netip.AddrPort{})
}

// update runs f on the Director and copies the Director's effects to out. The timer loop
// is woken if a timer is now due earlier.
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

// wake makes the timer loop run the due timers at once.
func (b *Balancer) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// readCallers is the loop that receives callers' packets.
func (b *Balancer) readCallers() error {
	r, out := udp.NewReader(b.callers), b.output()
	for {
		if _, err := b.receiveCallerBatch(r, out); err != nil {
			return udp.IgnoreClosed(err)
		}
	}
}

// receiveCallerBatch reads and processes one batch of packets and returns their number.
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

// readInternal is the loop that receives messages of agents and other balancers.
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

// receiveMessage processes one datagram of an agent or another balancer and adds effects to
// out. The caller holds b.mu.
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

// tick is the timer loop: it runs the Director's timers and writes the bundled log lines.
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

// storeRestored records that a response of the store to the registrar shows a later store
// era: there is a version of the operator's orders that is newer than the known one.
func (b *Balancer) storeRestored(version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.propagator.ObserveRevision(node.Now(), version)
}

func (b *Balancer) addRegistrar(g *run.Group) {
	g.Add(func() error { return b.registrar.Run(b.ctx) }, func(error) { b.cancel() })
}

// addPeers adds the processes registered in the store. The Director sends hello messages to
// new agents.
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
	b.propagate(out) // a pending fetch may have waited for a first known balancer
}

func (b *Balancer) addReadinessServer(g *run.Group) {
	s := &http.Server{Handler: b.cfg.Readiness(b.Ready), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(s.Serve(b.readinessListener)) }, func(error) { s.Close() })
}
