// Package balancer implements the balancer, the process that receives callers' packets. It
// forwards them to agents by the connection ID alone and keeps no state per flow.
package balancer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/bulk"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/membership"
)

// Config holds the settings of a balancer.
type Config struct {
	Public   netip.AddrPort // wildcard address with the port that callers use
	Internal netip.AddrPort // IPv4 address of the internal socket, at which other processes reach it
	Zone     string         // availability zone
	Region   string
	Keys     fleetkey.Ring
	Seeds    []netip.AddrPort // other balancers' internal addresses
	Store    store.Interface  // the platform's store
	Linger   time.Duration    // how long a draining balancer continues to forward
	// Retention is how long failed and departed agents are listed in responses to
	// requests for the voters on idempotency keys; 0 means idempotency.DefaultRetention.
	Retention time.Duration
	Traces    *tracing.Provider // nil turns tracing off
}

// Balancer is one balancer. Its lifecycle is New, Run, Drain, Close.
type Balancer struct {
	cfg         Config
	log         *zap.Logger
	public      *udp.Conn
	internal    *udp.Conn
	data        *dataplane
	placer      *placer
	addresses   *addresses
	digest      atomic.Pointer[catalogue.Digest] // of the catalogue in force; nil if none is
	usesInterim atomic.Bool                      // agents' copies of their entries are in force because the catalogue is not available
	bulk        *bulk.Endpoint
	metrics     *metrics
	reg         prometheus.Registerer
	control     *controlLoop

	agentsReady atomic.Int64

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

// New returns a balancer with open sockets.
func New(cfg Config, log *zap.Logger, reg prometheus.Registerer) (*Balancer, error) {
	public, err := udp.Listen(cfg.Public)
	if err != nil {
		return nil, err
	}
	internal, err := udp.Listen(cfg.Internal)
	if err != nil {
		public.Close()
		return nil, err
	}
	cfg.Public, cfg.Internal = public.LocalAddr(), internal.LocalAddr()
	b := &Balancer{
		cfg:       cfg,
		log:       log.With(zap.Stringer("addr", cfg.Internal)),
		public:    public,
		internal:  internal,
		placer:    newPlacer(cfg.Zone),
		addresses: &addresses{},
		metrics:   newMetrics(reg),
		reg:       reg,
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if err := b.createParts(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// createParts creates the data plane, the control loop and the bulk port.
func (b *Balancer) createParts() error {
	f, err := NewForwarder(b.cfg.Keys, b.addresses, b.placer, b.cfg.Internal)
	if err != nil {
		return err
	}
	if b.data, err = newDataplane(b.cfg.Keys, b.public, b.internal, f, b.placer, b.metrics); err != nil {
		return err
	}
	b.data.clock = &b.placer.clock
	if f.traces, err = newFlowTracer(b.cfg.Traces, b.cfg.Keys, b.cfg.Internal, &b.placer.clock, b.reg); err != nil {
		return err
	}
	if b.control, err = newControlLoop(b); err != nil {
		return err
	}
	b.bulk, err = bulk.Listen(b.cfg.Keys, bulkAddr(b.cfg.Internal), b.serveBulk)
	return err
}

// Public returns the address of the public socket, which callers use.
func (b *Balancer) Public() netip.AddrPort { return b.cfg.Public }

// Internal returns the address of the internal socket, which other processes use.
func (b *Balancer) Internal() netip.AddrPort { return b.cfg.Internal }

// Revision returns the catalogue revision in force, or 0 if there is none.
func (b *Balancer) Revision() uint64 {
	if d := b.digest.Load(); d != nil {
		return d.Revision
	}
	return 0
}

// Ready reports whether the balancer has the catalogue or, without it, an agent's copy of a
// catalogue entry.
func (b *Balancer) Ready() bool { return b.digest.Load() != nil || b.usesInterim.Load() }

// AgentsReady returns the number of agents that accept new flows.
func (b *Balancer) AgentsReady() int { return int(b.agentsReady.Load()) }

// setState makes the control loop announce a new state of this balancer.
func (b *Balancer) setState(s membership.State) {
	select {
	case b.control.stateChanges <- s:
	case <-b.ctx.Done():
	}
}

// Run runs the balancer's loops until Close.
func (b *Balancer) Run() error {
	var g run.Group
	stop := func(error) { b.Close() }
	g.Add(b.data.receiveFromCallers, stop)
	g.Add(b.data.receiveFromAgents, stop)
	g.Add(func() error { b.control.run(b.ctx); return nil }, stop)
	g.Add(b.bulk.Serve, stop)
	if t := b.data.forwarder.traces; t != nil {
		g.Add(func() error { t.run(b.ctx); return nil }, stop)
	}
	return g.Run()
}

// Drain announces that the balancer leaves and continues to forward for Config.Linger, in
// which the fabric stops sending it packets.
func (b *Balancer) Drain(ctx context.Context) {
	b.setState(membership.StateLeaving)
	select {
	case <-time.After(b.cfg.Linger):
	case <-ctx.Done():
	}
}

// Close stops the balancer at once.
func (b *Balancer) Close() {
	b.closeOnce.Do(func() {
		b.cancel()
		b.public.Close()
		b.internal.Close()
		if b.bulk != nil {
			b.bulk.Close()
		}
	})
}

// Status is the response of the admin page /catalogue.
type Status struct {
	Node     string `json:"node"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Checksum string `json:"checksum"`
}

// ServeStatus serves the admin page /catalogue.
func (b *Balancer) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	s := Status{Node: b.cfg.Internal.String(), Role: "balancer", Zone: b.cfg.Zone}
	if d := b.digest.Load(); d != nil {
		s.Revision, s.Checksum = d.Revision, d.Checksum.String()
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
