// Command hemlock-balancer runs a balancer, which receives callers' packets and
// forwards them to agents.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/balancer"
	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/earlysignal/stop"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const program = "hemlock-balancer"

// config holds the validated settings.
type config struct {
	balancer balancer.Config
	daemon   daemon.Config
	platform bool
	drain    time.Duration
	memory   int64 // soft limit in bytes, 0 for none
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
	s := settings.New(program, "HEMLOCK_BALANCER", "forwards callers' packets to agents")
	public := s.String("public", "0.0.0.0:443", "UDP address that receives callers' packets")
	internal := s.String("internal", "", "UDP address for the system's other processes, an IPv4 address of this VM (required)")
	seeds := s.String("seeds", "", "internal addresses of some other balancers, separated by commas")
	storeURL := s.String("store", "", "URL of the platform's key-value service (required)")
	key := s.String("fleet-key", "", "fleet keys NUMBER:HEX, two at most while one is rotated (required, secret; better set in the environment)")
	s.StringVar(&cfg.balancer.Zone, "zone", "", "availability zone of this VM (required)")
	s.StringVar(&cfg.balancer.Region, "region", "", "region of this VM")
	s.DurationVar(&cfg.balancer.Linger, "linger", 3*time.Second, "how long to continue forwarding after SIGTERM")
	s.DurationVar(&cfg.drain, "drain", 30*time.Second, "time limit of a graceful stop")
	memory := s.Int64("memory-limit", 44, "soft limit of the memory that the Go runtime manages, in MiB, excluding the program's code; 0 is no limit")
	admin := s.String("admin", "127.0.0.1:0", "TCP address that serves metrics, readiness and status")
	s.StringVar(&cfg.daemon.Level, "log-level", "info", "debug, info, warn or error")
	s.StringVar(&cfg.daemon.Trace.Exporter, "trace", tracing.Off, "destination of spans: off, stderr, or the URL of an OTLP collector like http://127.0.0.1:4318")
	s.Float64Var(&cfg.daemon.Trace.SampleRatio, "trace-sample", 0.01, "share of flows that are traced, 0 to 1")
	s.BoolVar(&cfg.platform, "platform", false, "forward the packet flows of the users' platform; the platform's settings file holds the configuration, and of the other settings only -admin, -log-level and -trace apply")
	if err = s.Parse(args); err != nil {
		return cfg, err
	}
	cfg.daemon.Role = "balancer"
	cfg.daemon.StopSignals = stop.Signals
	cfg.memory = *memory << 20
	if *memory < 0 {
		return cfg, &settings.Error{Setting: "memory-limit", Reason: "negative", Remedy: "give MiB, or 0 for no limit"}
	}
	if cfg.platform {
		return cfg, settings.FirstError(
			cfg.daemon.Trace.Check,
			func() error { return settings.Level("log-level", cfg.daemon.Level) },
			func() (err error) { cfg.daemon.Admin, err = settings.AddrPort("admin", *admin); return },
		)
	}
	cfg.daemon.Trace.Zone = cfg.balancer.Zone
	return cfg, settings.FirstError(
		cfg.daemon.Trace.Check,
		func() error { return settings.Required("internal", *internal) },
		func() error { return settings.Required("zone", cfg.balancer.Zone) },
		func() error { return settings.Required("fleet-key", *key) },
		func() error { return settings.Required("store", *storeURL) },
		func() (err error) { cfg.balancer.Public, err = settings.AddrPort("public", *public); return },
		func() (err error) { cfg.balancer.Internal, err = settings.AddrPort("internal", *internal); return },
		func() (err error) { cfg.balancer.Seeds, err = settings.AddrPorts("seeds", *seeds); return },
		func() error { return settings.Level("log-level", cfg.daemon.Level) },
		func() (err error) { cfg.daemon.Admin, err = settings.AddrPort("admin", *admin); return },
		func() (err error) { cfg.balancer.Keys, err = fleetkey.Parse(*key); return },
		func() (err error) { cfg.balancer.Store, err = store.New(store.Config{URL: *storeURL}); return },
	)
}

func serve(cfg config) error {
	if cfg.platform {
		return servePlatform(cfg.daemon)
	}
	if cfg.memory > 0 {
		debug.SetMemoryLimit(cfg.memory)
	}
	d, err := daemon.New(cfg.daemon)
	if err != nil {
		return err
	}
	cfg.balancer.Traces = d.Traces
	b, err := balancer.New(cfg.balancer, d.Log, d.Registry)
	if err != nil {
		return err
	}
	d.SetReadyFunc(b.Ready)
	d.Mux.HandleFunc("GET /catalogue", b.ServeStatus)
	d.Log.Info("started", zap.String("zone", cfg.balancer.Zone), zap.Stringer("public", b.Public()), zap.Stringer("internal", b.Internal()), zap.String("admin", d.AdminAddr()))
	return d.Run(b, cfg.drain)
}
