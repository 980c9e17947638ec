// Package fleet runs the system as real processes for tests. Balancers and agents are the
// binaries; the platform's store, the fabric and the backend servers are stand-ins in the test's
// process.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/backend"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/deployment"
	"github.com/hemlockscale/hemlockscale/internal/standin/fabric"
	"github.com/hemlockscale/hemlockscale/internal/standin/loopback"
	"github.com/hemlockscale/hemlockscale/internal/standin/pki"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Service is one service of a fleet.
type Service = deployment.Service

// Config describes a fleet.
type Config struct {
	Balancers int
	Services  []Service
	Zones     []string // assigned to balancers and agents in turn; default one zone
	Seed      uint64
	// Links puts a fault-injecting proxy in front of the store and of each backend server.
	Links bool
	// IdempotencyWindow is the window within which a key runs at most once,
	// DefaultIdempotencyWindow if it is 0. The start of a fleet takes a little longer than the
	// window.
	IdempotencyWindow time.Duration
}

// DefaultIdempotencyWindow is far below the agent's own default, so that tests need not wait for a
// fence of more than a minute.
const DefaultIdempotencyWindow = 2 * time.Second

// Agent is an agent process and its backend server.
type Agent struct {
	*Process
	Service  string
	Internal netip.AddrPort
	Admin    string
	Backend  *backend.Server
	Link     *Link // to the backend server; nil unless Config.Links
	env      map[string]string
}

// Balancer is a balancer process.
type Balancer struct {
	*Process
	Internal netip.AddrPort
	Port     uint16
	Admin    string
	env      map[string]string
}

// Fleet is a running fleet.
type Fleet struct {
	T         testing.TB
	Store     *standin.Server
	StoreURL  string
	StoreLink *Link // nil unless Config.Links
	Editor    *catalogue.Editor
	Fabric    *fabric.Fabric
	Balancers []*Balancer
	Agents    []*Agent
	Addresses map[string]netip.Addr // service address by service name

	cfg       Config
	net       *loopback.Network
	authority *pki.Authority
	fleetKey  string // fleet keys, a list in one string, of processes that are started from now on
}

const (
	internalPort = 7700
	adminPort    = 7701
	// FleetKey is the fleet key that a fleet starts with.
	FleetKey = "1:000102030405060708090a0b0c0d0e0f"
	// maxParallelFleets bounds the fleets of one test run that run at the same time, so that
	// parallel tests have enough processor time.
	maxParallelFleets = 6
	// WaitLimit bounds every wait for a condition. It is far above the time that a correct fleet
	// needs on a busy machine.
	WaitLimit = 30 * time.Second
)

var (
	fleetSlots = make(chan struct{}, maxParallelFleets)
)

// Start starts a fleet and waits until every service is served.
func Start(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	if len(cfg.Zones) == 0 {
		cfg.Zones = []string{"zone-a"}
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	if cfg.IdempotencyWindow == 0 {
		cfg.IdempotencyWindow = DefaultIdempotencyWindow
	}
	f := &Fleet{T: t, cfg: cfg, Addresses: make(map[string]netip.Addr), fleetKey: FleetKey}
	f.reserveNetwork()
	f.startStore()
	f.fillCatalogue()
	var err error
	if f.authority, err = pki.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Balancers {
		f.StartBalancer(i)
	}
	f.startFabric()
	for _, s := range cfg.Services {
		for range s.Backends {
			f.StartAgent(s)
		}
	}
	f.WaitReady()
	return f
}

// reserveNetwork reserves loopback addresses for the fleet.
func (f *Fleet) reserveNetwork() {
	f.T.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(network.Release)
	f.net = network
}

func (f *Fleet) addr(kind, n int) netip.Addr { return f.net.Addr(kind, n) }

func (f *Fleet) startStore() {
	f.Store = standin.New(standin.Config{Seed: f.cfg.Seed, WatchWait: 2 * time.Second})
	server := httptest.NewServer(f.Store.Handler())
	f.T.Cleanup(server.CloseClientConnections)
	f.T.Cleanup(server.Close)
	f.StoreURL = server.URL
	if f.cfg.Links {
		f.StoreLink = newLink(f.T, "store", strings.TrimPrefix(server.URL, "http://"))
		f.StoreURL = "http://" + f.StoreLink.Addr()
	}
	client, err := store.New(store.Config{URL: server.URL})
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(client.Close)
	f.Editor = &catalogue.Editor{Store: store.ForCatalogue(client)}
}

func (f *Fleet) fillCatalogue() {
	var entries []catalogue.Entry
	for i, s := range f.cfg.Services {
		f.Addresses[s.Name] = f.addr(3, i)
		entries = append(entries, catalogue.Entry{Service: s.Name, Owner: s.Owner, Class: s.Class, Limits: s.Limits, Addresses: []netip.Addr{f.Addresses[s.Name]}})
	}
	if _, err := f.Editor.Apply(context.Background(), catalogue.Edit{Editor: "test", Put: entries}); err != nil {
		f.T.Fatal(err)
	}
}

func (f *Fleet) startFabric() {
	var err error
	f.Fabric, err = fabric.Start(fabric.Config{Listen: netip.MustParseAddrPort("0.0.0.0:0"), Balancers: f.Ports(), Seed: f.cfg.Seed})
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(f.Fabric.Close)
}

func (f *Fleet) seeds() string {
	s := ""
	for i := range f.cfg.Balancers {
		if i > 0 {
			s += ","
		}
		s += netip.AddrPortFrom(f.addr(1, i), internalPort).String()
	}
	return s
}

// StartBalancer starts or restarts the i-th balancer.
func (f *Fleet) StartBalancer(i int) *Balancer {
	f.T.Helper()
	b := &Balancer{
		Port:     f.net.Port(i),
		Internal: netip.AddrPortFrom(f.addr(1, i), internalPort),
		Admin:    netip.AddrPortFrom(f.addr(1, i), adminPort).String(),
	}
	b.env = map[string]string{
		"HEMLOCK_BALANCER_PUBLIC":    fmt.Sprintf("0.0.0.0:%d", b.Port),
		"HEMLOCK_BALANCER_INTERNAL":  b.Internal.String(),
		"HEMLOCK_BALANCER_SEEDS":     f.seeds(),
		"HEMLOCK_BALANCER_STORE":     f.StoreURL,
		"HEMLOCK_BALANCER_FLEET_KEY": f.fleetKey,
		"HEMLOCK_BALANCER_ZONE":      f.cfg.Zones[i%len(f.cfg.Zones)],
		"HEMLOCK_BALANCER_ADMIN":     b.Admin,
	}
	b.Process = StartProcess(f.T, fmt.Sprintf("balancer-%d", i), "hemlock-balancer", b.env)
	if i < len(f.Balancers) {
		f.Balancers[i] = b
	} else {
		f.Balancers = append(f.Balancers, b)
	}
	return b
}

// SetFleetKeys sets the fleet keys, a list in one string, of processes that are started from now
// on.
func (f *Fleet) SetFleetKeys(keys string) { f.fleetKey = keys }

// StartAgent starts another agent of a service, with a backend server.
func (f *Fleet) StartAgent(s Service) *Agent {
	f.T.Helper()
	f.Agents = append(f.Agents, nil)
	return f.startAgent(s, len(f.Agents)-1)
}

// StartAgentBySlots is StartAgent for an agent without configured balancers, which finds balancers
// by the contact slots in the store.
func (f *Fleet) StartAgentBySlots(s Service) *Agent {
	f.T.Helper()
	f.Agents = append(f.Agents, nil)
	return f.startAgent(s, len(f.Agents)-1, "HEMLOCK_AGENT_BALANCERS")
}

// startAgent starts the i-th agent. The settings named in without are not set.
func (f *Fleet) startAgent(s Service, i int, without ...string) *Agent {
	f.T.Helper()
	slots := s.Limits.Slots
	if slots == 0 {
		slots = catalogue.DefaultSlots
	}
	server, err := backend.Start(backend.Config{Listen: "127.0.0.1:0", Name: fmt.Sprintf("%s-%d", s.Name, i), Service: s.Name, Slots: slots, Connections: catalogue.DefaultConnections, RequestDuration: s.RequestDuration})
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(server.Close)
	a := &Agent{
		Service:  s.Name,
		Internal: netip.AddrPortFrom(f.addr(2, i), internalPort),
		Admin:    netip.AddrPortFrom(f.addr(2, i), adminPort).String(),
		Backend:  server,
	}
	backendAddr := server.Addr()
	if f.cfg.Links {
		a.Link = newLink(f.T, server.Name(), backendAddr)
		backendAddr = a.Link.Addr()
	}
	cert, key, err := f.authority.Issue(s.Name)
	if err != nil {
		f.T.Fatal(err)
	}
	a.env = map[string]string{
		"HEMLOCK_AGENT_INTERNAL":         a.Internal.String(),
		"HEMLOCK_AGENT_BALANCERS":        f.seeds(),
		"HEMLOCK_AGENT_STORE":            f.StoreURL,
		"HEMLOCK_AGENT_FLEET_KEY":        f.fleetKey,
		"HEMLOCK_AGENT_BACKEND":          "http://" + backendAddr,
		"HEMLOCK_AGENT_SERVICE":          s.Name,
		"HEMLOCK_AGENT_ZONE":             f.cfg.Zones[i%len(f.cfg.Zones)],
		"HEMLOCK_AGENT_ADMIN":            a.Admin,
		"HEMLOCK_AGENT_TLS_CERT":         string(cert),
		"HEMLOCK_AGENT_TLS_KEY":          string(key),
		"HEMLOCK_AGENT_REPEAT_WINDOW":    f.cfg.IdempotencyWindow.String(),
		"HEMLOCK_AGENT_REPEAT_EXPIRY":    "500ms",
		"HEMLOCK_AGENT_REPEAT_SKEW":      "500ms",
		"HEMLOCK_AGENT_REPEAT_FRESHNESS": "1s",
	}
	for _, name := range without {
		delete(a.env, name)
	}
	a.Process = StartProcess(f.T, fmt.Sprintf("agent-%d-%s", i, s.Name), "hemlock-agent", a.env)
	f.Agents[i] = a
	return a
}

// Restart starts the agent's process again at the same addresses.
func (f *Fleet) Restart(a *Agent) {
	f.T.Helper()
	a.Process = StartProcess(f.T, a.Process.Name+"-again", "hemlock-agent", a.env)
}

// StartAgentAt starts an agent of a service at the addresses of old, which has ended, and replaces
// old by it in Agents.
func (f *Fleet) StartAgentAt(s Service, old *Agent) *Agent {
	f.T.Helper()
	return f.startAgent(s, slices.Index(f.Agents, old))
}

// Caller returns a caller of a service, which is closed at the end of the test.
func (f *Fleet) Caller(service string) *caller.Caller {
	f.T.Helper()
	return f.CallerWith(caller.Config{Service: service})
}

// CallerWith returns a caller with the given settings. The default address is the first one of the
// service.
func (f *Fleet) CallerWith(cfg caller.Config) *caller.Caller {
	f.T.Helper()
	if !cfg.Address.IsValid() {
		cfg.Address = netip.AddrPortFrom(f.Addresses[cfg.Service], f.Fabric.Port())
	}
	cfg.Roots = f.authority.Pool()
	c, err := caller.New(cfg)
	if err != nil {
		f.T.Fatal(err)
	}
	f.T.Cleanup(c.Close)
	return c
}

// WaitReady waits until all processes are ready and every balancer has all agents as ready.
func (f *Fleet) WaitReady() {
	f.T.Helper()
	for _, b := range f.Balancers {
		f.Eventually(b.Name+" ready", func() bool { return isReady(b.Admin) })
	}
	for _, a := range f.Agents {
		f.Eventually(a.Name+" ready", func() bool { return isReady(a.Admin) })
		f.Eventually(a.Name+" runs requests with keys", func() bool {
			v, ok := Metric(a.Admin, "hemlock_agent_keys_ready")
			return ok && v == 1
		})
	}
	want := float64(len(f.Agents))
	for _, b := range f.Balancers {
		f.Eventually(b.Name+" has all agents as ready", func() bool {
			n, ok := Metric(b.Admin, "hemlock_balancer_agents_ready")
			return ok && n == want
		})
	}
}

// Eventually waits until condition holds, and fails the test after WaitLimit.
func (f *Fleet) Eventually(what string, condition func() bool) {
	f.T.Helper()
	Eventually(f.T, what, condition)
}

// Eventually waits until condition holds, and fails the test after WaitLimit.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	const interval = 20 * time.Millisecond
	deadline := time.Now().Add(WaitLimit)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", WaitLimit, what)
		}
		<-tick.C
	}
}

func isReady(admin string) bool {
	resp, err := http.Get("http://" + admin + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Status is the response of a balancer's admin page /catalogue.
type Status struct {
	Revision uint64 `json:"revision"`
	Checksum string `json:"checksum"`
}

// Status reads the balancer's admin page /catalogue.
func (b *Balancer) Status() (s Status, err error) {
	resp, err := http.Get("http://" + b.Admin + "/catalogue")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
