// Command hemlock-agent runs an agent, the process beside a backend server. It
// terminates QUIC and TLS for its service and forwards requests to the backend server.
package main

import (
	"crypto/tls"
	"fmt"
	"net/url"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/idempotency"
	"github.com/hemlockscale/hemlockscale/internal/agent"
	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/earlysignal/stop"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const program = "hemlock-agent"

// config holds the validated settings.
type config struct {
	agent    agent.Config
	daemon   daemon.Config
	platform bool
	drain    time.Duration
}

func main() {
	cfg, err := parse(os.Args[1:])
	if err != nil {
		settings.Exit(program, err)
	}
	if err := serve(cfg); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

func parse(args []string) (cfg config, err error) {
	s := settings.New(program, "HEMLOCK_AGENT", "serves callers of one service from one backend server")
	a := &cfg.agent
	internal := s.String("internal", "", "UDP address for balancers and agents, an IPv4 address of this VM (required)")
	seeds := s.String("balancers", "", "internal addresses of some balancers, separated by commas (this or -store is required)")
	storeURL := s.String("store", "", "URL of the platform's key-value service, which lists the balancers")
	key := s.String("fleet-key", "", "fleet keys NUMBER:HEX, two at most while one is rotated (required, secret; better set in the environment)")
	backend := s.String("backend", "http://127.0.0.1:8080", "URL of the backend server")
	cert := s.String("tls-cert", "", "the service's certificate chain, as PEM text or the path of a PEM file (required)")
	certKey := s.String("tls-key", "", "the certificate's private key, as PEM text or the path of a PEM file (required, secret)")
	s.StringVar(&a.Service, "service", "", "name of the service in the catalogue (required)")
	s.StringVar(&a.Zone, "zone", "", "availability zone of this VM (required)")
	s.StringVar(&a.Region, "region", "", "region of this VM")
	s.DurationVar(&a.Ramp.Duration, "ramp", 0, "cold start: time in which the backend server's share of new flows grows to its full share")
	s.IntVar(&a.Ramp.Steps, "ramp-steps", 4, "cold start: number of steps in which the share grows")
	s.DurationVar(&a.Idempotency.Window, "repeat-window", idempotency.DefaultWindow, "a request with an idempotency key runs at most once within this time")
	s.DurationVar(&a.Idempotency.Expiry, "repeat-expiry", idempotency.DefaultExpiry, "time limit from the request for votes to the request's first byte")
	s.DurationVar(&a.Idempotency.Skew, "repeat-skew", idempotency.DefaultSkew, "time in which every agent receives a change of its service's voter list")
	s.DurationVar(&a.Idempotency.Freshness, "repeat-freshness", idempotency.DefaultFreshness, "age above which a voter list is not used")
	s.DurationVar(&a.Idempotency.Retention, "repeat-retention", idempotency.DefaultRetention, "how long an agent that left the voter list still counts in votes")
	s.DurationVar(&cfg.drain, "drain", time.Hour, "time limit of a graceful stop, in which open flows may complete")
	admin := s.String("admin", "127.0.0.1:0", "TCP address that serves metrics, readiness and status")
	s.StringVar(&cfg.daemon.Level, "log-level", "info", "debug, info, warn or error")
	s.StringVar(&cfg.daemon.Trace.Exporter, "trace", tracing.Off, "destination of spans: off, stderr, or the URL of an OTLP collector like http://127.0.0.1:4318")
	s.Float64Var(&cfg.daemon.Trace.SampleRatio, "trace-sample", 1, "share of requests that are traced, of the flows that a balancer selected for tracing, 0 to 1")
	s.BoolVar(&cfg.platform, "platform", false, "forward the packet flows of the users' platform to the backend server on this VM; the platform's settings file holds the configuration, and of the other settings only -admin, -log-level and -trace apply")
	if err = s.Parse(args); err != nil {
		return cfg, err
	}
	cfg.daemon.Role = "agent"
	cfg.daemon.StopSignals = stop.Signals
	if cfg.platform {
		return cfg, settings.FirstError(
			cfg.daemon.Trace.Check,
			func() error { return settings.Level("log-level", cfg.daemon.Level) },
			func() (err error) { cfg.daemon.Admin, err = settings.AddrPort("admin", *admin); return },
		)
	}
	cfg.daemon.Trace.Zone = a.Zone
	return cfg, settings.FirstError(
		cfg.daemon.Trace.Check,
		func() error { return settings.Required("internal", *internal) },
		func() error { return settings.Required("service", a.Service) },
		func() error { return settings.Required("zone", a.Zone) },
		func() error { return settings.Required("balancers", *seeds+*storeURL) },
		func() error { return settings.Required("fleet-key", *key) },
		func() error { return settings.Required("tls-cert", *cert) },
		func() error { return settings.Required("tls-key", *certKey) },
		func() (err error) { a.Internal, err = settings.AddrPort("internal", *internal); return },
		func() (err error) { a.Seeds, err = settings.AddrPorts("balancers", *seeds); return },
		func() error { return settings.Level("log-level", cfg.daemon.Level) },
		func() (err error) { cfg.daemon.Admin, err = settings.AddrPort("admin", *admin); return },
		func() (err error) { a.Keys, err = fleetkey.Parse(*key); return },
		func() (err error) { a.Store, err = openStore(*storeURL); return },
		func() (err error) { a.Backend, err = backendURL(*backend); return },
		func() (err error) { a.Certificate, err = certificate(*cert, *certKey); return },
	)
}

// openStore returns a client of the store at url, or nil for an empty URL.
func openStore(url string) (store.Interface, error) {
	if url == "" {
		return nil, nil
	}
	return store.New(store.Config{URL: url})
}

func backendURL(s string) (*url.URL, error) {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Port() == "" {
		return nil, &settings.Error{Setting: "backend", Reason: fmt.Sprintf("%q is not an http URL with a port", s), Remedy: "write it like http://127.0.0.1:8080"}
	}
	return u, nil
}

// certificate loads the key pair; each setting is PEM text or the path of a PEM file.
func certificate(cert, key string) (tls.Certificate, error) {
	c, err := settings.PEM("tls-cert", cert)
	if err != nil {
		return tls.Certificate{}, err
	}
	k, err := settings.PEM("tls-key", key)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(c, k)
	if err != nil {
		return pair, &settings.Error{Setting: "tls-cert", Reason: err.Error(), Remedy: "give a certificate chain and its private key, in PEM"}
	}
	return pair, nil
}

func serve(cfg config) error {
	if cfg.platform {
		return servePlatform(cfg.daemon)
	}
	d, err := daemon.New(cfg.daemon)
	if err != nil {
		return err
	}
	cfg.agent.Traces = d.Traces
	a, err := agent.New(cfg.agent, d.Log, d.Registry)
	if err != nil {
		return err
	}
	d.SetReadyFunc(a.Ready)
	d.Mux.HandleFunc("GET "+node.SnapshotPath, a.ServeSnapshot)
	d.Log.Info("started", zap.String("service", cfg.agent.Service), zap.String("zone", cfg.agent.Zone), zap.Stringer("internal", a.Internal()), zap.String("admin", d.AdminAddr()))
	return d.Run(a, cfg.drain)
}
