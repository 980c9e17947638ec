// Package deployment runs a complete deployment in one process: the balancers and
// agents as in the daemons, with stand-ins for their environment. The demo and the
// measurements use it.
package deployment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/idempotency"
	"github.com/hemlockscale/hemlockscale/internal/agent"
	"github.com/hemlockscale/hemlockscale/internal/balancer"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/standin/backend"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/fabric"
	"github.com/hemlockscale/hemlockscale/internal/standin/loopback"
	"github.com/hemlockscale/hemlockscale/internal/standin/pki"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// Service describes one service of a deployment.
type Service struct {
	Name            string
	Owner           string
	Class           catalogue.Class
	Limits          catalogue.Limits
	Backends        int
	RequestDuration time.Duration // of a short request
}

// Config describes a deployment.
type Config struct {
	Zones     []string
	Balancers int
	Services  []Service
	Seed      uint64
	Log       *zap.Logger
	// Traces returns the trace provider of one role. If it is nil, tracing is off.
	Traces func(Role) *tracing.Provider
}

// Role is the role of a process in a call, one for each hop.
type Role string

// The roles in the order of a call's hops.
const (
	RoleCaller   Role = "caller"
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleBackend  Role = "backend"
)

func (d *Deployment) traces(r Role) *tracing.Provider {
	if d.cfg.Traces == nil {
		return nil
	}
	return d.cfg.Traces(r)
}

// Balancer is a running balancer.
type Balancer struct {
	*balancer.Balancer
	Zone string
	done chan struct{}
}

// Agent is a running agent and its backend server.
type Agent struct {
	*agent.Agent
	Service string
	Backend *backend.Server
	done    chan struct{}
}

// Deployment is a running deployment.
type Deployment struct {
	Store  *standin.Server
	Editor *catalogue.Editor
	Fabric *fabric.Fabric

	cfg       Config
	keys      fleetkey.Ring
	authority *pki.Authority
	client    *store.Client
	net       *loopback.Network
	storeHTTP *http.Server

	mu        sync.Mutex
	Balancers []*Balancer
	Agents    []*Agent
	addresses map[string]netip.Addr
}

const (
	internalPort = 7700
	testFleetKey = "1:000102030405060708090a0b0c0d0e0f"
)

// shortIdempotency holds short times, so that a deployment is ready after a few seconds.
// With the defaults, the agents of a recently started service refuse requests with
// idempotency keys for more than a minute.
var shortIdempotency = idempotency.Config{
	Window:    500 * time.Millisecond,
	Expiry:    300 * time.Millisecond,
	Skew:      300 * time.Millisecond,
	Freshness: time.Second,
}

// Start starts a deployment. On an error, it stops the parts that are already running.
func Start(cfg Config) (*Deployment, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	d := &Deployment{cfg: cfg, addresses: make(map[string]netip.Addr)}
	steps := []func() error{d.reserveNet, d.startStore, d.fillCatalogue, d.startFabric, d.startBalancers, d.startAgents}
	for _, step := range steps {
		if err := step(); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) reserveNet() (err error) {
	d.net, err = loopback.Reserve()
	return err
}

func (d *Deployment) startStore() (err error) {
	if d.keys, err = fleetkey.Parse(testFleetKey); err != nil {
		return err
	}
	if d.authority, err = pki.NewAuthority(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Store = standin.New(standin.Config{Seed: d.cfg.Seed})
	d.storeHTTP = &http.Server{Handler: d.Store.Handler()}
	go d.storeHTTP.Serve(ln)
	d.client, err = store.New(store.Config{URL: "http://" + ln.Addr().String()})
	d.Editor = &catalogue.Editor{Store: store.ForCatalogue(d.client)}
	return err
}

func (d *Deployment) fillCatalogue() error {
	var entries []catalogue.Entry
	for i, s := range d.cfg.Services {
		d.addresses[s.Name] = d.addr(3, i)
		entries = append(entries, catalogue.Entry{
			Service: s.Name, Owner: s.Owner, Class: s.Class, Limits: s.Limits,
			Addresses: []netip.Addr{d.addresses[s.Name]},
		})
	}
	_, err := d.Editor.Apply(context.Background(), catalogue.Edit{Editor: "deployment", Put: entries})
	return err
}

func (d *Deployment) startFabric() (err error) {
	d.Fabric, err = fabric.Start(fabric.Config{Listen: netip.MustParseAddrPort("0.0.0.0:0"), Seed: d.cfg.Seed})
	return err
}

func (d *Deployment) startBalancers() error {
	for range d.cfg.Balancers {
		if _, err := d.AddBalancer(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startAgents() error {
	for _, s := range d.cfg.Services {
		for range s.Backends {
			if _, err := d.AddAgent(s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) addr(kind, n int) netip.Addr {
	return d.net.Addr(kind, n)
}

func (d *Deployment) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for i := range d.cfg.Balancers {
		seeds = append(seeds, netip.AddrPortFrom(d.addr(1, i), internalPort))
	}
	return seeds
}

// AddBalancer starts one more balancer. The fabric sends packets to it immediately.
func (d *Deployment) AddBalancer() (*Balancer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.Balancers)
	zone := d.cfg.Zones[i%len(d.cfg.Zones)]
	b, err := balancer.New(balancer.Config{
		Public:   netip.MustParseAddrPort("0.0.0.0:0"),
		Internal: netip.AddrPortFrom(d.addr(1, i), internalPort),
		Zone:     zone,
		Keys:     d.keys,
		Seeds:    d.seeds(),
		Store:    d.client,
		Linger:   time.Second,
		Traces:   d.traces(RoleBalancer),
	}, d.cfg.Log, prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	started := &Balancer{Balancer: b, Zone: zone, done: make(chan struct{})}
	d.Balancers = append(d.Balancers, started)
	go func() {
		defer close(started.done)
		b.Run()
	}()
	d.updateFabric()
	return started, nil
}

// updateFabric sets the balancers that the fabric sends packets to. d.mu must be held.
func (d *Deployment) updateFabric() {
	var ports []uint16
	for _, b := range d.Balancers {
		if b.Zone != "" {
			ports = append(ports, b.Public().Port())
		}
	}
	d.Fabric.SetBalancers(ports)
}

// Kill ends a balancer without draining it. The fabric keeps sending packets to it.
func (b *Balancer) Kill() {
	b.Close()
	<-b.done
}

// StopBalancer stops a balancer as planned: the fabric stops sending packets to it, and
// it ends after its drain.
func (d *Deployment) StopBalancer(ctx context.Context, b *Balancer) {
	d.mu.Lock()
	b.Zone = ""
	d.updateFabric()
	d.mu.Unlock()
	b.Drain(ctx)
	b.Kill()
}

// AddAgent starts one more agent of a service and its backend server.
func (d *Deployment) AddAgent(s Service) (*Agent, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.Agents)
	slots := s.Limits.Slots
	if slots == 0 {
		slots = catalogue.DefaultSlots
	}
	server, err := backend.Start(backend.Config{
		Listen: "127.0.0.1:0", Name: fmt.Sprintf("%s-%d", s.Name, i), Service: s.Name,
		Slots: slots, Connections: catalogue.DefaultConnections, RequestDuration: s.RequestDuration,
		Traces: d.traces(RoleBackend),
	})
	if err != nil {
		return nil, err
	}
	cert, err := d.authority.Certificate(s.Name)
	if err != nil {
		server.Close()
		return nil, err
	}
	a, err := agent.New(agent.Config{
		Internal:    netip.AddrPortFrom(d.addr(2, i), internalPort),
		Service:     s.Name,
		Zone:        d.cfg.Zones[i%len(d.cfg.Zones)],
		Backend:     &url.URL{Scheme: "http", Host: server.Addr()},
		Certificate: cert,
		Keys:        d.keys,
		Seeds:       d.seeds(),
		Idempotency: shortIdempotency,
		Traces:      d.traces(RoleAgent),
	}, d.cfg.Log, prometheus.NewRegistry())
	if err != nil {
		server.Close()
		return nil, err
	}
	started := &Agent{Agent: a, Service: s.Name, Backend: server, done: make(chan struct{})}
	d.Agents = append(d.Agents, started)
	go func() {
		defer close(started.done)
		a.Run()
	}()
	return started, nil
}

// Stop drains and stops an agent, and then stops its backend server.
func (a *Agent) Stop(ctx context.Context) {
	a.Drain(ctx)
	a.Close()
	<-a.done
	a.Backend.Close()
}

// Address returns the address where callers reach a service.
func (d *Deployment) Address(service string) netip.AddrPort {
	return netip.AddrPortFrom(d.addresses[service], d.Fabric.Port())
}

// Caller returns a new caller of a service.
func (d *Deployment) Caller(service string) (*caller.Caller, error) {
	return caller.New(caller.Config{Address: d.Address(service), Service: service, Roots: d.authority.Pool(), Traces: d.traces(RoleCaller)})
}

// TimeoutError reports a deployment that did not become ready within Limit.
type TimeoutError struct{ Limit time.Duration }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("deployment not ready within %v; run it on a less loaded machine", e.Limit)
}

// WaitReady waits until all balancers know all agents as ready and all agents are ready
// for requests with idempotency keys.
func (d *Deployment) WaitReady(limit time.Duration) error {
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(limit)
	for !d.ready() {
		if time.Now().After(deadline) {
			return &TimeoutError{Limit: limit}
		}
		time.Sleep(interval)
	}
	return nil
}

// ready reports whether every balancer has all agents ready, and requests with idempotency
// keys can run at every agent.
func (d *Deployment) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.Balancers {
		if b.AgentsReady() < len(d.Agents) {
			return false
		}
	}
	for _, a := range d.Agents {
		if !a.KeysReady() {
			return false
		}
	}
	return true
}

// Close stops all parts without draining them.
func (d *Deployment) Close() {
	for _, a := range d.Agents {
		a.Close()
		<-a.done
		a.Backend.Close()
	}
	for _, b := range d.Balancers {
		b.Kill()
	}
	if d.Fabric != nil {
		d.Fabric.Close()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.storeHTTP != nil {
		d.storeHTTP.Close()
	}
	if d.net != nil {
		d.net.Release()
	}
}
