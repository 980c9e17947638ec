// Package daemon implements what all processes of the system share: the log,
// the metrics and readiness pages, signal handling, and the group of the process's
// goroutines.
package daemon

import (
	"context"
	"errors"
	"io"
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

	"github.com/hemlockscale/hemlockscale/internal/earlysignal/reload"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const adminHeaderTimeout = 5 * time.Second

// Config holds the settings that all processes share.
type Config struct {
	Role  string
	Admin netip.AddrPort // address of the metrics and readiness pages
	Level string         // log level: debug, info, warn or error
	Trace tracing.Config // New sets its Role
	// Output, if not nil, receives the log instead of standard error, through a
	// buffer that never blocks the process.
	Output io.Writer
	// StopSignals delivers the signals that stop the process, SIGTERM and SIGINT. If
	// it is nil, Run registers for them, and a signal before Run kills the process.
	StopSignals <-chan os.Signal
}

// Daemon is the runtime of one process.
type Daemon struct {
	Log             *zap.Logger
	Registry        *prometheus.Registry
	Mux             *http.ServeMux // pages of the admin address
	Traces          *tracing.Provider
	admin           net.Listener
	ready           func() bool
	draining        atomic.Bool
	group           run.Group
	ring            *LogRing // nil if the log goes to standard error
	reload          func() error
	settingsChanged func() bool // nil: only SIGHUP starts a reload
	stops           <-chan os.Signal
}

// New opens the log, the admin address and the trace exporter.
func New(cfg Config) (*Daemon, error) {
	log, ring, err := openLog(cfg)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", cfg.Admin.String())
	if err != nil {
		return nil, err
	}
	d := &Daemon{Log: log, Registry: prometheus.NewRegistry(), Mux: http.NewServeMux(), admin: ln, stops: cfg.StopSignals}
	d.ring = ring
	d.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "hemlock_log_lines_dropped_total", Help: "Log lines dropped because the log ring was full.",
	}, ring.droppedMetric))
	d.Mux.Handle("GET /metrics", metricsPage(d.Registry))
	d.Mux.HandleFunc("GET /ready", d.serveReady)
	cfg.Trace.Role = cfg.Role
	if d.Traces, err = tracing.Open(cfg.Trace, d.Registry); err != nil {
		ln.Close()
		return nil, err
	}
	return d, nil
}

// metricsPage serves the metrics of own, followed by those of the Go runtime and the process.
// Sorted by name, some fifty lines on the runtime would come first, and monitoring that keeps
// only the first kilobytes of a page would lose the system's own metrics.
func metricsPage(own prometheus.Gatherer) http.Handler {
	runtime := prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	opts := promhttp.HandlerOpts{DisableCompression: true} // two handlers write to one body
	first, second := promhttp.HandlerFor(own, opts), promhttp.HandlerFor(runtime, opts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first.ServeHTTP(w, r)
		second.ServeHTTP(w, r)
	})
}

// NewLog returns a logger that writes JSON to standard error. level is the name of a zap
// level, such as debug or info.
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

// openLog returns the log, and its buffer if cfg names an output.
func openLog(cfg Config) (*zap.Logger, *LogRing, error) {
	if cfg.Output == nil {
		log, err := NewLog(cfg.Role, cfg.Level)
		return log, nil, err
	}
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, nil, err
	}
	ring := NewLogRing(cfg.Output)
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(zapcore.NewJSONEncoder(enc), ring, belowWarn(level)), time.Second, sampleFirst, sampleThereafter),
		zapcore.NewCore(zapcore.NewJSONEncoder(enc), ring, warnOrAbove(level)),
	)
	return zap.New(core).With(zap.String("role", cfg.Role)), ring, nil
}

// Messages below level warn are sampled: per second and message, the first sampleFirst lines
// are written and then every sampleThereafter-th. Otherwise logging a burst of refusals could
// use up the CPU of a small VM.
const (
	sampleFirst      = 100
	sampleThereafter = 50
)

// belowWarn enables the levels from least up to but not including warn.
func belowWarn(least zapcore.Level) zap.LevelEnablerFunc {
	return func(l zapcore.Level) bool { return l >= least && l < zapcore.WarnLevel }
}

// warnOrAbove enables the levels from warn on that are not below least.
func warnOrAbove(least zapcore.Level) zap.LevelEnablerFunc {
	return func(l zapcore.Level) bool { return l >= least && l >= zapcore.WarnLevel }
}

// OnReload registers reload, which reads the settings again. It is called on
// SIGHUP and whenever changed, which is polled, reports changed settings. OnReload
// must be called before Run. Without it SIGHUP has no effect; SIGHUP never ends
// the process.
func (d *Daemon) OnReload(reload func() error, changed func() bool) {
	d.reload, d.settingsChanged = reload, changed
}

// SetReadyFunc sets the function that the readiness page reports. It must be called
// before Run; without it the process is never ready.
func (d *Daemon) SetReadyFunc(ready func() bool) { d.ready = ready }

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
	// Run runs the part until Close is called or one of its goroutines fails.
	Run() error
	// Drain shuts down gracefully: it returns when no work is left or ctx ends.
	Drain(ctx context.Context)
	// Close makes Run return.
	Close()
}

// Run runs p until a signal arrives or p fails. SIGTERM and SIGINT drain p for at
// most drain and then close it. A second SIGINT, from an operator at a
// terminal, ends the drain; a second SIGTERM is ignored, because a
// supervisor that repeats the signal must not abort the requests in flight.
func (d *Daemon) Run(p Part, drain time.Duration) error {
	d.group.Add(p.Run, func(error) { p.Close() })
	d.addAdmin()
	d.addSignals(p, drain)
	d.addReload()
	err := d.group.Run()
	d.Traces.CloseWithTimeout()
	d.Log.Info("stopped", zap.Error(err))
	d.Log.Sync()
	d.ring.Close()
	return err
}

// addAdmin adds the goroutine that serves the admin pages.
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

// addSignals adds the goroutine that waits for a stop signal and then drains p for at most
// drain.
func (d *Daemon) addSignals(p Part, drain time.Duration) {
	signals := d.stops
	if signals == nil {
		own := make(chan os.Signal, 2)
		signal.Notify(own, syscall.SIGTERM, syscall.SIGINT)
		signals = own
	}
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
	}, func(error) { close(done) })
}

// settingsPollInterval is the time between two checks for settings that have changed
// without a signal. A check reads a file of 2 KB, which takes 20 us; no setting
// has to take effect sooner.
const settingsPollInterval = 3 * time.Second

// addReload adds the goroutine that reloads the settings on SIGHUP and when they have
// changed.
func (d *Daemon) addReload() {
	done := make(chan struct{})
	ticker := time.NewTicker(settingsPollInterval)
	d.group.Add(func() error {
		defer ticker.Stop()
		for {
			select {
			case <-reload.Signals:
				d.runReload("signal")
			case <-ticker.C:
				if d.settingsChanged != nil && d.settingsChanged() {
					d.runReload("settings changed")
				}
			case <-done:
				return nil
			}
		}
	}, func(error) { close(done) })
}

// runReload reads the settings again. If they are invalid, the current ones stay in force.
func (d *Daemon) runReload(reason string) {
	if d.reload == nil {
		d.Log.Info("reload ignored: no setting can be changed while the process runs")
		return
	}
	if err := d.reload(); err != nil {
		d.Log.Error("reload refused; keeping the current settings", zap.String("reason", reason), zap.Error(err))
		return
	}
	d.Log.Info("reloaded", zap.String("reason", reason))
}

// cancelOnInterrupt cancels a drain on SIGINT. Further SIGTERMs are ignored.
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
