// Package agent implements the agent, the process beside a backend server. It terminates
// QUIC and TLS for its service, holds all state of its flows, admits or refuses every
// request, and is the only process that sends requests to the backend server.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/idempotency"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// idleTimeout is how long a connection may receive nothing before it is closed.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is the time between keep-alive packets, which hold a connection open
	// while no content is sent.
	keepAlivePeriod = 10 * time.Second
	// packetSize is the size of QUIC packets in bytes. With the forwarding
	// header and the UDP and IP headers it stays below 1,500 bytes.
	packetSize = 1350
	// maxStreamsPerConnection bounds the open requests of one connection.
	maxStreamsPerConnection = 256
	// drainNotice is how long a draining agent continues to accept requests, so
	// that balancers are notified before it refuses any.
	drainNotice = time.Second
	// flushTimeout bounds how long a draining agent waits, after its last response
	// was written, for callers to close their connections. A caller closes its
	// connection when it has received everything; without the wait the end of the
	// last responses would be lost with the connection. A caller whose close was
	// lost would hold up the agent until the idle timeout, so the wait is bounded.
	flushTimeout = 3 * time.Second
	// bufferWarningVariable is the environment variable that stops quic-go from
	// writing a warning to standard error when it can't size the buffers of the
	// virtual connection. The buffers of the internal socket are sized already.
	bufferWarningVariable = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING"
)

// Config holds the settings of an agent.
type Config struct {
	Internal    netip.AddrPort // IPv4 address of the internal socket, on which balancers reach the agent
	Service     string
	Zone        string // availability zone
	Region      string
	Backend     *url.URL
	Certificate tls.Certificate
	Keys        fleetkey.Ring
	Seeds       []netip.AddrPort // balancers that the agent announces itself to at first
	Store       store.Interface  // the platform's store, from which contact slots are read; may be nil if Seeds are given
	Ramp        placement.Ramp   // weight of the backend server during its cold start
	Idempotency idempotency.Config
	Traces      *tracing.Provider // nil turns tracing off
}

// Agent is an agent. Its lifecycle is New, Run, Drain, Close.
type Agent struct {
	cfg     Config
	log     *zap.Logger
	socket  *udp.Conn
	conn    *packetConn
	quic    *quic.Transport
	http    *http3.Server
	ln      *quic.EarlyListener
	gate    *gate
	backend *backend
	entry   atomic.Pointer[catalogue.Entry]
	ready   atomic.Bool
	metrics *metrics
	flows   *flows
	control *controlLoop
	claims  *claims

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

// New checks the settings and opens the agent's socket. Close releases it.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Agent, error) {
	socket, err := udp.Listen(cfg.Internal)
	if err != nil {
		return nil, err
	}
	cfg.Internal = socket.LocalAddr()
	a := &Agent{
		cfg:     cfg,
		log:     log.With(zap.String("service", cfg.Service), zap.Stringer("addr", cfg.Internal)),
		socket:  socket,
		gate:    newGate(admissionConfig(&cfg, catalogue.Limits{})),
		backend: newBackend(cfg.Backend),
		metrics: newMetrics(reg),
	}
	reg.MustRegister(healthCollector{a.gate})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.flows = newFlows(a.gate, cfg.Internal, a.metrics)
	link, err := control.NewLink(cfg.Keys, socket)
	if err != nil {
		socket.Close()
		return nil, err
	}
	a.claims = newClaims(link, cfg.Internal, cfg.Idempotency)
	a.control = newControlLoop(a, link)
	if err := a.openTransport(); err != nil {
		socket.Close()
		return nil, err
	}
	return a, nil
}

// admissionConfig returns the limits on requests. While the backend server is cold, requests
// of open connections are limited in the same time as its share of new flows.
func admissionConfig(cfg *Config, limits catalogue.Limits) admission.Config {
	c := admission.FromLimits(limits, newRand())
	c.Warmup = cfg.Ramp.Duration
	return c
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// openTransport sets up QUIC and HTTP/3 over the internal socket.
func (a *Agent) openTransport() error {
	ids, err := a.cfg.Keys.ConnIDs()
	if err != nil {
		return err
	}
	if a.conn, err = newPacketConn(a.cfg.Keys, a.socket, a.flows, a.metrics); err != nil {
		return err
	}
	a.conn.paths.stalls.log = logStall(a.log)
	traced, err := newTracedFlows(a.cfg.Traces, a.cfg.Keys, a.claims.link)
	if err != nil {
		return err
	}
	a.conn.traced = traced
	reset := quic.StatelessResetKey(a.cfg.Keys[0].Derive("stateless reset", 32))
	token := quic.TokenGeneratorKey(a.cfg.Keys[0].Derive("address token", 32))
	a.quic = &quic.Transport{
		Conn:                  a.conn,
		ConnectionIDGenerator: &idGenerator{codec: ids, agent: a.cfg.Internal, service: &a.conn.service},
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &token,
	}
	// Sessions resumed by a ticket are encrypted under the service's key only. 0-RTT is off,
	// because early data can be replayed and a replayed request would run twice.
	os.Setenv(bufferWarningVariable, "true")
	tlsConfig := http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{a.cfg.Certificate}})
	a.ln, err = a.quic.ListenEarly(tlsConfig, QUICConfig())
	if err != nil {
		return err
	}
	a.http = &http3.Server{
		Handler:     traced.wrap(&handler{entry: &a.entry, gate: a.gate, backend: a.backend, claims: a.claims, metrics: a.metrics}),
		ConnContext: a.connContext,
	}
	return nil
}

// connContext counts a connection until it ends, or closes it if a limit is reached.
func (a *Agent) connContext(ctx context.Context, c *quic.Conn) context.Context {
	owner := addrOf(c.RemoteAddr()).String()
	var refusal admission.Refusal
	var ok bool
	a.gate.do(func(g *admission.Controller, now time.Time) { refusal, ok = g.OpenConn(now, owner) })
	if !ok {
		a.metrics.refusals.WithLabelValues("connections").Inc()
		c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), refusal.Error())
		return ctx
	}
	a.metrics.connections.Inc()
	context.AfterFunc(c.Context(), func() {
		a.gate.do(func(g *admission.Controller, now time.Time) { g.CloseConn(now, owner) })
		a.metrics.connections.Dec()
	})
	ctx = context.WithValue(ctx, connectedAtKey{}, time.Now())
	return a.conn.traced.attach(ctx, c.RemoteAddr())
}

// setEntry puts a version of the service's catalogue entry in force.
func (a *Agent) setEntry(e *catalogue.Entry) {
	old := a.entry.Swap(e)
	if old != nil && old.Version == e.Version {
		return
	}
	a.gate.do(func(g *admission.Controller, now time.Time) {
		g.Configure(now, admissionConfig(&a.cfg, e.Limits))
	})
	a.flows.maxConnections.Store(int64(connectionLimit(e)))
	a.conn.service.Store(e.Number)
	a.log.Info("catalogue entry in force", zap.Uint64("version", e.Version), zap.Uint32("number", e.Number))
}

// Ready reports whether the agent accepts new flows.
func (a *Agent) Ready() bool { return a.ready.Load() }

// KeysReady reports whether requests with idempotency keys can run at this agent.
func (a *Agent) KeysReady() bool { return a.claims.ready() }

// Internal returns the address of the internal socket, which other processes use.
func (a *Agent) Internal() netip.AddrPort { return a.cfg.Internal }

// Run runs the agent until Close.
func (a *Agent) Run() error {
	var g run.Group
	stop := func(error) { a.Close() }
	g.Add(a.conn.receive, stop)
	g.Add(a.serve, stop)
	g.Add(func() error { a.gate.tick(a.ctx); return nil }, stop)
	g.Add(func() error { a.control.run(a.ctx); return nil }, stop)
	return g.Run()
}

func (a *Agent) serve() error {
	err := a.http.ServeListener(a.ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, quic.ErrServerClosed) {
		<-a.ctx.Done()
		return nil
	}
	return err
}

// Drain announces that the agent leaves, accepts requests for another drainNotice, then
// refuses new ones and waits until the open requests have ended or ctx is done.
func (a *Agent) Drain(ctx context.Context) {
	a.flows.leaving.Store(true)
	a.control.leave()
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.http.Shutdown(ctx)
	}()
	a.gate.drain(ctx)
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// Close stops the agent at once.
func (a *Agent) Close() {
	a.closeOnce.Do(func() {
		a.cancel()
		a.http.Close()
		a.ln.Close()
		a.conn.Close()
		a.quic.Close()
		a.socket.Close()
		a.backend.close()
	})
}

// idGenerator generates connection IDs by which balancers forward packets to this agent.
type idGenerator struct {
	codec   *connid.Codec
	agent   netip.AddrPort
	service *atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := g.codec.Mint(connid.Target{Agent: g.agent, Service: g.service.Load()})
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Len }

func connectionLimit(e *catalogue.Entry) int {
	if e.Limits.Connections == 0 {
		return catalogue.DefaultConnections
	}
	return e.Limits.Connections
}
