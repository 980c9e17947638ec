// Package flowagent implements the agent of packet flows, the process beside a backend
// server. It connects a flow.Gate to sockets, the store, logs and metrics.
//
// Each loop runs in its own goroutine: one reads balancers' messages, one reads the
// server's packets, one runs the Gate's timers, one serves the server's heartbeats and one
// keeps the process registered in the store. A mutex guards the Gate; its effects are
// copied into the output of the calling loop before the mutex is released.
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

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Settings node.Settings
	Gate     flow.GateConfig // New sets Zone, Incarnation, Service, Server, MaxAge, StateTTL and HeartbeatInterval
	Codec    node.PacketCodec
	Store    node.Store
	// Control returns the handler of the pages that the backend server calls, Readiness
	// the handler of readiness checks.
	Control   func(node.ServerEvents) http.Handler
	Readiness func(ready func() bool) http.Handler
	// CheckServer requests the server's status.
	CheckServer func(ctx context.Context, server netip.AddrPort) (flow.StatusCheckResult, error)
	Traces      *tracing.Provider // nil turns tracing off
}

const (
	// checkTimeout bounds a status check, and finalCheckTimeout the last one before the
	// process ends.
	checkTimeout      = 500 * time.Millisecond
	finalCheckTimeout = 100 * time.Millisecond
	// reuseMargin is how long before the end of the address reuse delay the server's state
	// expires.
	reuseMargin = 100 * time.Millisecond
	// invalidLogInterval is the minimum time between two log lines about invalid heartbeats.
	invalidLogInterval = time.Second
	// readHeaderTimeout bounds the time in which a client must send its request header.
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
	era  store.Era // latest store era known

	registrar         *node.Registrar
	heartbeatTime     prometheus.Histogram
	invalidHeartbeats prometheus.Counter // hemlock_heartbeats_wrong_total
	statusChecks      prometheus.Counter // hemlock_status_checks_total
	lastCheck         atomic.Pointer[flow.StatusCheckResult]

	eventOutput     *node.Output // guarded by eventMu
	invalidLoggedAt time.Time    // when an invalid heartbeat was last logged; guarded by eventMu
	eventMu         sync.Mutex
	wakeup          chan struct{}
	sleepUntil      atomic.Int64 // node.Now until which the timer loop sleeps, in ns
	ctx             context.Context
	cancel          context.CancelFunc
}

// New returns an agent with open sockets.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Agent, error) {
	s := &cfg.Settings
	cfg.Gate.Zone = s.Zone
	cfg.Gate.Incarnation = rand.Uint64()
	cfg.Gate.Service = flow.IDOf(s.Service)
	cfg.Gate.Server = s.Server
	cfg.Gate.Introduce = true
	cfg.Gate.MaxAge = s.MaxFlowAge
	cfg.Gate.StateTTL = stateTTL(s)
	cfg.Gate.HeartbeatInterval = s.HeartbeatInterval
	a := &Agent{cfg: cfg, log: log, wakeup: make(chan struct{}, 1)}
	spans, err := node.NewSpans(cfg.Traces)
	if err != nil {
		return nil, err
	}
	a.gate = flow.NewGate(node.Now(), cfg.Gate, newTracer(log, spans, reg))
	a.heartbeatTime = node.NewLatency(reg, "hemlock_heartbeat_answer_seconds", "time to process and answer a heartbeat of the server")
	a.invalidHeartbeats = prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_heartbeats_wrong_total", Help: "heartbeats rejected as invalid: fields missing or of the wrong type, or an unknown state"})
	a.statusChecks = prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_status_checks_total", Help: "status checks of the server"})
	reg.MustRegister(a.invalidHeartbeats, a.statusChecks)
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

		Instance:         a.instance,
		PreviousInstance: a.previousInstance,
		StoreRestored:    a.storeRestored,
	}
	registerMetrics(reg, a)
	return a, nil
}

// stateTTL returns how long the server's state stays valid after it was last confirmed; 0
// means the default.
func stateTTL(s *node.Settings) time.Duration { return max(s.AddressReuseDelay-reuseMargin, 0) }

// addSeeds introduces the agent to the balancers named in the settings, which then announce
// it to others even if the store is not available. The caller holds a.mu, except in New.
func (a *Agent) addSeeds(seeds []netip.Addr) {
	for _, seed := range seeds {
		a.gate.AddBalancer(node.Now(), netip.AddrPortFrom(seed, a.cfg.Settings.InternalPort))
	}
}

// Apply implements process.Part.
func (a *Agent) Apply(s node.Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetLimits(node.Now(), s.MaxFlowAge, stateTTL(&s), s.HeartbeatInterval)
	a.addSeeds(s.Seeds)
}

// Snapshot implements process.Part.
func (a *Agent) Snapshot() node.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	snapshot := a.gate.Snapshot(node.Now())
	return node.Snapshot{VM: a.cfg.Settings.Name, Role: node.RoleAgent, Zone: a.cfg.Settings.Zone, Agent: &snapshot}
}

// Ready reports whether the server accepts new flows.
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
	a.addStatusChecks(&g)
	return g.Run()
}

// Close implements daemon.Part.
func (a *Agent) Close() { a.cancel() }

// Drain implements daemon.Part. The platform stops an agent after its server has ended, or
// restarts it beside a running server. A status check shows which, if the server has not
// deregistered. The agent reports it to balancers at once, and removes its key from the
// store for balancers that start later: if the key stayed until its lease expires, up to
// 45 s (the lease's TTL), the lookups of every balancer that starts in that time would wait
// for an agent that never answers.
func (a *Agent) Drain(ctx context.Context) {
	if !a.serverEnded() {
		a.checkStatus(ctx, finalCheckTimeout)
	}
	a.handleEvent(func(now time.Time) { a.gate.Close(now) })
	a.registrar.Deregister(ctx)
}

// output returns an output for one loop.
func (a *Agent) output() *node.Output {
	return node.NewOutput(a.messages, a.cfg.Codec, a.cfg.Settings.Packets.Port(), a.cfg.Settings.Server)
}

// update runs f on the Gate and copies the Gate's effects to out. The timer loop is woken if
// a timer is now due earlier.
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

// handleEvent runs f, which calls the Gate, outside the packet loops and sends the effects.
func (a *Agent) handleEvent(f func(now time.Time)) {
	a.eventMu.Lock()
	defer a.eventMu.Unlock()
	a.update(a.eventOutput, func(_ *flow.Gate, now time.Time) { f(now) })
	a.eventOutput.Flush()
}

// Heartbeat implements node.ServerEvents.
func (a *Agent) Heartbeat(heartbeat flow.Heartbeat) (accepted bool) {
	start := time.Now()
	defer func() { a.heartbeatTime.Observe(time.Since(start).Seconds()) }()
	a.handleEvent(func(now time.Time) { accepted = a.gate.Heartbeat(now, heartbeat) })
	return accepted
}

// InvalidHeartbeat implements node.ServerEvents. A program that sends invalid heartbeats
// may send many: at most one per second is logged, and all are counted.
func (a *Agent) InvalidHeartbeat(err error) {
	a.invalidHeartbeats.Inc()
	a.eventMu.Lock()
	defer a.eventMu.Unlock()
	now := node.Now()
	if now.Sub(a.invalidLoggedAt) < invalidLogInterval {
		return
	}
	a.invalidLoggedAt = now
	a.log.Warn("invalid heartbeat rejected; check which program sends it to the control address", zap.Error(err))
}

// Deregister implements node.ServerEvents.
func (a *Agent) Deregister(instance string, startTimeMs int64) {
	a.handleEvent(func(now time.Time) { a.gate.Deregister(now, instance, startTimeMs) })
}

// readBalancers is the loop that receives balancers' messages.
func (a *Agent) readBalancers() error {
	r, out := udp.NewReader(a.messages), a.output()
	for {
		if _, err := a.receiveBalancerBatch(r, out); err != nil {
			return udp.IgnoreClosed(err)
		}
	}
}

// receiveBalancerBatch reads and processes one batch of messages and returns their number.
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

// receiveMessage processes one datagram of a balancer. The caller holds a.mu.
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

// observeEra processes the number of the orders that a message carries. If it is the first
// of a store era, the store was restored from an older copy, and this agent's key and the
// operator's latest orders may be missing from it. The caller holds a.mu.
func (a *Agent) observeEra(g *flow.Gate, now time.Time, number uint64) {
	era := store.EraOf(number)
	if era <= a.era {
		return
	}
	a.era = era
	g.StoreRestored(now, store.VersionAt(era, 0))
	a.registrar.ObserveVersion(number)
}

// storeRestored processes a later store era that a response of the store to the registrar
// shows. The agent's next messages report the era to balancers.
func (a *Agent) storeRestored(version uint64) {
	a.handleEvent(func(now time.Time) { a.observeEra(a.gate, now, version) })
}

// readServer is the loop that receives the server's packets.
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

// tick is the timer loop: it runs the Gate's timers.
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

// addPeers introduces the agent to balancers registered in the store. Each agent tries them
// in another order, since it reports to a few of them only.
func (a *Agent) addPeers(peers []node.Peer) {
	a.handleEvent(func(now time.Time) {
		for _, i := range rand.Perm(len(peers)) {
			if p := peers[i]; p.Role == node.RoleBalancer {
				a.gate.AddBalancer(now, p.Addr)
			}
		}
	})
}

// instance returns the server's identity, empty while it is not known.
func (a *Agent) instance() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Instance()
}

// previousInstance processes the identity of the server that an earlier agent at this address
// has left in the store.
func (a *Agent) previousInstance(instance string) {
	a.handleEvent(func(now time.Time) { a.gate.PreviousInstance(now, instance) })
}

// addStatusChecks adds the goroutine that checks the server's status whenever that is due.
func (a *Agent) addStatusChecks(g *run.Group) {
	g.Add(func() error {
		for {
			wait := a.untilStatusCheck()
			if wait <= 0 {
				a.checkStatus(a.ctx, checkTimeout)
				continue
			}
			select {
			case <-a.ctx.Done():
				return nil
			case <-time.After(wait):
			}
		}
	}, func(error) { a.cancel() })
}

// untilStatusCheck returns the time until the server's status has to be checked.
func (a *Agent) untilStatusCheck() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := node.Now()
	return a.gate.NextStatusCheck(now).Sub(now)
}

// checkStatus checks the server's status. A result that differs from the last one is logged.
func (a *Agent) checkStatus(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	check, err := a.cfg.CheckServer(ctx, a.cfg.Settings.Server)
	a.statusChecks.Inc()
	if last := a.lastCheck.Swap(&check); last == nil || *last != check {
		a.log.Info("server status checked", zap.String("instance", check.Instance), zap.Bool("answered", check.Answered), zap.Bool("absent", check.Absent), zap.Error(err))
	}
	a.handleEvent(func(now time.Time) { a.gate.StatusCheck(now, check) })
}

// serverEnded reports whether the server has deregistered.
func (a *Agent) serverEnded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.State(node.Now()) == flow.ServerEnded
}
