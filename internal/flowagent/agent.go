// Package flowagent is the agent of packet flows beside a backend server: it
// carries out what a flow.Gate decides.
//
// Its duties are goroutines: one reads balancers' messages, one reads the
// server's packets, one ticks, one serves the server's heartbeats and one
// introduces the process in the store. A mutex guards the Gate; what it decides
// is copied into a duty's own output before the mutex is released.
package flowagent

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
)

// Config sets up an Agent.
type Config struct {
	Settings node.Settings
	Gate     flow.GateConfig // Zone, Incarnation and Service are filled in
	Codec    node.PacketCodec
	Store    node.Store
	// Control builds the pages that the backend server calls, and Readiness
	// the page that routers ask.
	Control   func(node.ServerEvents) http.Handler
	Readiness func(ready func() bool) http.Handler
	// CheckServer asks the server for its status.
	CheckServer func(ctx context.Context, server netip.AddrPort) (flow.StatusCheckResult, error)
	Traces      *tracing.Provider // nil is off
}

const (
	// checkTimeout bounds the status check at the start: a server that answers
	// later will have sent a heartbeat.
	checkTimeout = 500 * time.Millisecond
	// checkDelay leaves a server that starts together with its agent the time
	// for its first heartbeat, which makes the check needless.
	checkDelay = 10 * time.Millisecond
	// reuseMargin is how much earlier than the end of an address's rest the
	// server counts as unknown.
	reuseMargin = 100 * time.Millisecond
	// invalidLogInterval is the time between two log lines on wrong heartbeats.
	invalidLogInterval = time.Second
	// readHeaderTimeout bounds how long a caller of a page may take.
	readHeaderTimeout = 5 * time.Second
)

// Agent is one agent process.
type Agent struct {
	cfg               Config
	log               *zap.Logger
	messages          *udp.Conn
	server            *udp.Conn
	controlListener   net.Listener
	readinessListener net.Listener

	mu   sync.Mutex // guards gate and era
	gate *flow.Gate
	era  store.Era // of the store, as far as balancers have told

	registrar         *node.Registrar
	heartbeatTime     prometheus.Histogram
	invalidHeartbeats prometheus.Counter

	eventOutput     *node.Output // used under beatMu
	invalidLoggedAt time.Time    // when a wrong heartbeat was logged last; used under beatMu
	eventMu         sync.Mutex
	wakeup          chan struct{}
	sleepUntil      atomic.Int64 // node.Now until which the ticking duty sleeps, in ns
	ctx             context.Context
	cancel          context.CancelFunc
}

// New opens the sockets of an agent.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Agent, error) {
	s := &cfg.Settings
	cfg.Gate.Zone = s.Zone
	cfg.Gate.Incarnation = rand.Uint64()
	cfg.Gate.Service = flow.IDOf(s.Service)
	cfg.Gate.Server = s.Server
	cfg.Gate.MaxAge = s.MaxFlowAge
	cfg.Gate.HeartbeatTTL = heartbeatTTL(s)
	a := &Agent{cfg: cfg, log: log, wakeup: make(chan struct{}, 1)}
	spans, err := node.NewSpans(cfg.Traces)
	if err != nil {
		return nil, err
	}
	a.gate = flow.NewGate(node.Now(), cfg.Gate, newTracer(log, spans, reg))
	a.heartbeatTime = node.NewLatency(reg, "hemlock_heartbeat_answer_seconds", "time in which a heartbeat of the server is answered")
	a.invalidHeartbeats = prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_heartbeats_wrong_total", Help: "heartbeats that no backend server sends: fields missing or of another type, an unknown state"})
	reg.MustRegister(a.invalidHeartbeats)
	a.addSeeds(s.Seeds)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	if a.controlListener, err = net.Listen("tcp4", s.Control.String()); err != nil {
		return nil, err
	}
	if a.messages, err = udp.Listen(s.Packets); err != nil {
		return nil, err
	}
	if a.server, err = udp.Listen(s.FromServer); err != nil {
		return nil, err
	}
	if a.readinessListener, err = net.Listen("tcp4", s.Readiness.String()); err != nil {
		return nil, err
	}
	a.eventOutput = a.output()
	a.registrar = &node.Registrar{
		Self:        node.Peer{Role: node.RoleAgent, Addr: s.Packets, Zone: s.Zone, Service: s.Service},
		Store:       cfg.Store,
		PeersListed: a.addPeers,
		InvalidKeys: node.NewInvalidKeys(reg),
		Log:         log,

		StoreRestored: a.storeRestored,
	}
	registerMetrics(reg, a)
	return a, nil
}

// heartbeatTTL returns how long the server counts as ready after a heartbeat, 0 for the
// default.
func heartbeatTTL(s *node.Settings) time.Duration { return max(s.AddressReuseDelay-reuseMargin, 0) }

// addSeeds reports to the balancers that the settings name, with a.mu held.
// They have the agent in their rosters then, whatever the store does.
func (a *Agent) addSeeds(seeds []netip.Addr) {
	for _, seed := range seeds {
		a.gate.AddBalancer(node.Now(), netip.AddrPortFrom(seed, a.cfg.Settings.InternalPort))
	}
}

// Apply implements process.Part.
func (a *Agent) Apply(s node.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetLimits(s.MaxFlowAge, heartbeatTTL(&s))
	a.addSeeds(s.Seeds)
}

// Beliefs implements process.Part.
func (a *Agent) Beliefs() node.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.gate.Snapshot(node.Now())
	return node.Snapshot{VM: a.cfg.Settings.Name, Role: node.RoleAgent, Zone: a.cfg.Settings.Zone, Agent: &now}
}

// Ready reports whether the server takes new flows.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.State(node.Now()) == flow.ServerReady
}

// Run implements daemon.Part.
func (a *Agent) Run() error {
	var g run.Group
	g.Add(a.readBalancers, func(error) { a.messages.Close() })
	g.Add(a.readServer, func(error) { a.server.Close() })
	g.Add(a.tick, func(error) { a.cancel() })
	a.addHTTPServers(&g)
	a.addRegistrar(&g)
	a.addStatusCheck(&g)
	return g.Run()
}

// Close implements daemon.Part.
func (a *Agent) Close() { a.cancel() }

// Drain implements daemon.Part. The platform stops an agent after its server
// has ended; balancers learn it at once, and those that start later don't find it
// in the store. A key that stayed for its lease held up the searches of every
// balancer that started within 45 s, since the agent never answered.
func (a *Agent) Drain(ctx context.Context) {
	a.handleEvent(func(now time.Time) { a.gate.Close(now) })
	a.registrar.Deregister(ctx)
}

func (a *Agent) output() *node.Output {
	return node.NewOutput(a.messages, a.cfg.Codec, a.cfg.Settings.Packets.Port(), a.cfg.Settings.Server)
}

// update runs f on the Gate and copies what it decided to out.
func (a *Agent) update(out *node.Output, f func(g *flow.Gate, now time.Time)) {
	now := node.Now()
	a.mu.Lock()
	f(a.gate, now)
	out.Add(a.gate.Effects())
	next := a.gate.NextTick(now)
	a.mu.Unlock()
	if next.UnixNano() < a.sleepUntil.Load() {
		select {
		case a.wakeup <- struct{}{}:
		default:
		}
	}
}

// handleEvent runs f for a call of the server, outside the packet duties.
func (a *Agent) handleEvent(f func(now time.Time)) {
	a.eventMu.Lock()
	defer a.eventMu.Unlock()
	a.update(a.eventOutput, func(_ *flow.Gate, now time.Time) { f(now) })
	a.eventOutput.Flush()
}

// Heartbeat implements node.ServerEvents.
func (a *Agent) Heartbeat(b flow.Heartbeat) (taken bool) {
	start := time.Now()
	defer func() { a.heartbeatTime.Observe(time.Since(start).Seconds()) }()
	a.handleEvent(func(now time.Time) { taken = a.gate.Heartbeat(now, b) })
	return taken
}

// InvalidHeartbeat implements node.ServerEvents. Whoever sends such heartbeats may
// send many: one line a second says so, the counter tells how many there are.
func (a *Agent) InvalidHeartbeat(err error) {
	a.invalidHeartbeats.Inc()
	a.eventMu.Lock()
	defer a.eventMu.Unlock()
	now := node.Now()
	if now.Sub(a.invalidLoggedAt) < invalidLogInterval {
		return
	}
	a.invalidLoggedAt = now
	a.log.Warn("heartbeat of no server", zap.Error(err))
}

// Deregister implements node.ServerEvents.
func (a *Agent) Deregister(instance string, born int64) {
	a.handleEvent(func(now time.Time) { a.gate.Deregister(now, instance, born) })
}

// readBalancers is the duty that takes balancers' messages.
func (a *Agent) readBalancers() error {
	r, out := udp.NewReader(a.messages), a.output()
	for {
		if _, err := a.receiveBalancerBatch(r, out); err != nil {
			return udp.IgnoreClosed(err)
		}
	}
}

// receiveBalancerBatch takes what one read brings and returns the number of messages.
func (a *Agent) receiveBalancerBatch(r *udp.Reader, out *node.Output) (int, error) {
	n, err := r.Read()
	if err != nil {
		return 0, err
	}
	a.update(out, func(g *flow.Gate, now time.Time) {
		for i := range n {
			a.receiveMessage(g, now, r.Source(i), r.Datagram(i))
			out.Add(g.Effects())
		}
	})
	out.Flush()
	return n, nil
}

func (a *Agent) receiveMessage(g *flow.Gate, now time.Time, from netip.AddrPort, datagram []byte) {
	m, packet, ok := flowframe.Decode(datagram)
	if !ok {
		return
	}
	a.observeEra(g, now, m.Revision)
	if len(packet) == 0 || !m.Kind.CarriesPacket() {
		g.FromBalancer(now, from, &m, nil, packet)
		return
	}
	if s, ok := a.cfg.Codec.FromCaller(packet); ok {
		g.FromBalancer(now, from, &m, &s, packet)
	}
}

// observeEra takes the number of the orders that a message told, with a.mu held. If it is
// the first one of an era, the store has come back from an older copy: what lies there of
// this agent, and of the operator, may be missing.
func (a *Agent) observeEra(g *flow.Gate, now time.Time, number uint64) {
	era := store.EraOf(number)
	if era <= a.era {
		return
	}
	a.era = era
	g.StoreRestored(now, store.VersionAt(era, 0))
	a.registrar.ObserveVersion(number)
}

// storeRestored notes what an answer of the store told this agent itself. Balancers hear of
// it with the agent's next messages.
func (a *Agent) storeRestored(version uint64) {
	a.handleEvent(func(now time.Time) { a.observeEra(a.gate, now, version) })
}

// readServer is the duty that takes the server's packets.
func (a *Agent) readServer() error {
	r, out := udp.NewReader(a.server), a.output()
	for {
		n, err := r.Read()
		if err != nil {
			return udp.IgnoreClosed(err)
		}
		a.update(out, func(g *flow.Gate, now time.Time) {
			for i := range n {
				packet := r.Datagram(i)
				s, ok := a.cfg.Codec.FromServer(packet)
				if !ok {
					continue
				}
				if s.Bounced {
					a.cfg.Codec.Restore(packet)
				}
				g.FromServer(now, s, packet)
				out.Add(g.Effects())
			}
		})
		out.Flush()
	}
}

// tick is the duty that does what is due by time alone.
func (a *Agent) tick() error {
	out := a.output()
	for {
		var next time.Time
		a.update(out, func(g *flow.Gate, now time.Time) {
			g.Tick(now)
			next = g.NextTick(now)
		})
		out.Flush()
		a.sleepUntil.Store(next.UnixNano())
		select {
		case <-a.ctx.Done():
			return nil
		case <-a.wakeup:
		case <-time.After(next.Sub(node.Now())):
		}
	}
}

func (a *Agent) addHTTPServers(g *run.Group) {
	control := &http.Server{Handler: a.cfg.Control(a), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(control.Serve(a.controlListener)) }, func(error) { control.Close() })
	pages := &http.Server{Handler: a.cfg.Readiness(a.Ready), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(pages.Serve(a.readinessListener)) }, func(error) { pages.Close() })
}

func (a *Agent) addRegistrar(g *run.Group) {
	g.Add(func() error { return a.registrar.Run(a.ctx) }, func(error) { a.cancel() })
}

// addPeers makes the balancers known that the store names, and those of the
// settings.
func (a *Agent) addPeers(peers []node.Peer) {
	a.handleEvent(func(now time.Time) {
		for _, p := range peers {
			if p.Role == node.RoleBalancer {
				a.gate.AddBalancer(now, p.Addr)
			}
		}
	})
}

// addStatusCheck asks the server for its status once, if it has not sent a heartbeat
// by then: after a restart of the agent alone the next one may be a second away.
func (a *Agent) addStatusCheck(g *run.Group) {
	g.Add(func() error {
		select {
		case <-a.ctx.Done():
			return nil
		case <-time.After(checkDelay):
		}
		if a.serverKnown() {
			<-a.ctx.Done()
			return nil
		}
		ctx, cancel := context.WithTimeout(a.ctx, checkTimeout)
		defer cancel()
		check, err := a.cfg.CheckServer(ctx, a.cfg.Settings.Server)
		a.log.Info("status check", zap.String("instance", check.Instance), zap.Bool("answered", check.Answered), zap.Bool("absent", check.Absent), zap.Error(err))
		a.handleEvent(func(now time.Time) { a.gate.StatusCheck(now, check) })
		<-a.ctx.Done()
		return nil
	}, func(error) { a.cancel() })
}

func (a *Agent) serverKnown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.State(node.Now()) != flow.ServerUnknown
}
