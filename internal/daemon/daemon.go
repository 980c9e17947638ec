// Package daemon is what every process of the system has in common: its log,
// its metrics and readiness page, its signals, and the group of its duties.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const adminHeaderTimeout = 5 * time.Second

// Config is the settings that every process has.
type Config struct {
	Role  string
	Admin netip.AddrPort // address of the metrics and readiness page
	Level string         // log level: debug, info, warn or error
	Trace tracing.Config // its Role is filled in
}

// Daemon is one process.
type Daemon struct {
	Log      *zap.Logger
	Registry *prometheus.Registry
	Mux      *http.ServeMux // pages of the admin address
	Traces   *tracing.Provider
	admin    net.Listener
	ready    func() bool
	draining atomic.Bool
	group    run.Group
}

// New opens the log, the admin address and the exporter of traces.
func New(cfg Config) (*Daemon, error) {
	log, err := NewLog(cfg.Role, cfg.Level)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", cfg.Admin.String())
	if err != nil {
		return nil, err
	}
	d := &Daemon{Log: log, Registry: prometheus.NewRegistry(), Mux: http.NewServeMux(), admin: ln}
	d.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.Mux.Handle("GET /metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	d.Mux.HandleFunc("GET /ready", d.serveReady)
	cfg.Trace.Role = cfg.Role
	if d.Traces, err = tracing.Open(cfg.Trace, d.Registry); err != nil {
		ln.Close()
		return nil, err
	}
	return d, nil
}

// NewLog returns a JSON log on standard error.
func NewLog(role, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("role", role)), nil
}

// ReadyWhen makes the readiness page ask ready. Call it before Run.
func (d *Daemon) ReadyWhen(ready func() bool) { d.ready = ready }

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || d.ready == nil || !d.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// AdminAddr returns the address of the admin pages.
func (d *Daemon) AdminAddr() string { return d.admin.Addr().String() }

// Part is one part of a process with its own lifecycle.
type Part interface {
	// Run does the part's duties until Close, or until one of them fails.
	Run() error
	// Drain is the graceful end: it returns when no work is left or ctx ends.
	Drain(ctx context.Context)
	// Close ends Run.
	Close()
}

// Run runs p until a signal or a failure. SIGTERM and SIGINT drain p for at
// most drain and then close it. A second SIGINT, from an operator at a
// terminal, ends the drain; a second SIGTERM changes nothing, because a
// supervisor that repeats itself must not cut the requests in flight.
func (d *Daemon) Run(p Part, drain time.Duration) error {
	d.group.Add(p.Run, func(error) { p.Close() })
	d.addAdmin()
	d.addSignals(p, drain)
	err := d.group.Run()
	d.Traces.End()
	d.Log.Sync()
	return err
}

func (d *Daemon) addAdmin() {
	s := &http.Server{Handler: d.Mux, ReadHeaderTimeout: adminHeaderTimeout}
	d.group.Add(func() error {
		err := s.Serve(d.admin)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) { s.Close() })
}

func (d *Daemon) addSignals(p Part, drain time.Duration) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	d.group.Add(func() error {
		select {
		case s := <-signals:
			d.Log.Info("draining", zap.Stringer("signal", s), zap.Duration("limit", drain))
		case <-done:
			return nil
		}
		d.draining.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		go cancelOnInterrupt(ctx, cancel, signals)
		p.Drain(ctx)
		d.Log.Info("drained", zap.Bool("complete", ctx.Err() == nil))
		return nil
	}, func(error) {
		signal.Stop(signals)
		close(done)
	})
}

func cancelOnInterrupt(ctx context.Context, cancel context.CancelFunc, signals <-chan os.Signal) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGINT {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
