package tracing

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/url"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Values of Config.Exporter besides a URL.
const (
	Off    = "off"
	Stderr = "stderr"
)

const (
	otlpPath = "/v1/traces"
	scope    = "github.com/hemlockscale/hemlockscale"
)

// Config is the settings of tracing.
type Config struct {
	Exporter string  // Off, Stderr, or the URL of an OTLP collector over HTTP
	Sample   float64 // share that is traced, 0 to 1; of what depends on the role
	Role     string  // service.name of the spans
	Zone     string  // availability zone
}

// Error names a setting of tracing that can't be used.
type Error struct {
	Setting string
	Reason  string
	Remedy  string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting -%s: %s; %s", e.Setting, e.Reason, e.Remedy)
}

// Check returns an *Error if the settings can't be used.
func (c Config) Check() error {
	if !(c.Sample >= 0 && c.Sample <= 1) {
		return &Error{Setting: "trace-sample", Reason: fmt.Sprintf("%v is no share", c.Sample), Remedy: "write a number from 0 to 1"}
	}
	if c.Exporter == Off || c.Exporter == Stderr {
		return nil
	}
	u, err := url.Parse(c.Exporter)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &Error{Setting: "trace", Reason: fmt.Sprintf("%q is no exporter", c.Exporter), Remedy: "write off, stderr, or the URL of a collector like http://127.0.0.1:4318"}
	}
	return nil
}

// Provider makes spans and exports them.
type Provider struct {
	sdk    *sdk.TracerProvider
	tracer trace.Tracer
	sample float64
}

// Open returns the provider that cfg describes, nil for Off.
func Open(cfg Config, reg prometheus.Registerer) (*Provider, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	exporter, err := newExporter(cfg.Exporter)
	if exporter == nil || err != nil {
		return nil, err
	}
	return New(cfg, exporter, reg), nil
}

func newExporter(name string) (sdk.SpanExporter, error) {
	switch name {
	case Off:
		return nil, nil
	case Stderr:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	}
	u, err := url.Parse(name)
	if err != nil {
		return nil, err
	}
	if u.Path == "" || u.Path == "/" {
		u.Path = otlpPath
	}
	// The exporter connects with the first batch, so that a collector that is
	// down holds up no start.
	return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(u.String()), otlptracehttp.WithTimeout(exportTimeout))
}

// New returns a provider over an exporter of the embedder's own.
func New(cfg Config, exporter sdk.SpanExporter, reg prometheus.Registerer) *Provider {
	p := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(newQueue(exporter, reg)),
		sdk.WithIDGenerator(idGenerator{}),
		// Whether to trace is decided before a span is begun: by the balancer
		// for a flow, by the caller for its call.
		sdk.WithSampler(sdk.AlwaysSample()),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hemlock-"+cfg.Role),
			attribute.String("cloud.availability_zone", cfg.Zone),
		)),
	)
	return &Provider{sdk: p, tracer: p.Tracer(scope), sample: cfg.Sample}
}

// On reports whether spans are exported.
func (p *Provider) On() bool { return p != nil }

// Tracer returns the maker of spans.
func (p *Provider) Tracer() trace.Tracer {
	if p == nil {
		return noop.NewTracerProvider().Tracer(scope)
	}
	return p.tracer
}

// Sample returns the share that is traced.
func (p *Provider) Sample() float64 {
	if p == nil {
		return 0
	}
	return p.sample
}

// Picks reports whether a call below parent is traced: one whose caller wants
// no trace never is, and of the others the share that is set. A caller can't
// raise the share by its flags.
func (p *Provider) Picks(parent trace.SpanContext) bool {
	switch {
	case p == nil || parent.IsValid() && !parent.IsSampled():
		return false
	case p.sample >= 1:
		return true
	case !parent.IsValid():
		return rand.Float64() < p.sample
	}
	id := parent.TraceID()
	return float64(binary.BigEndian.Uint64(id[8:])) < p.sample*math.MaxUint64
}

// End is Close at the end of a process, which waits for the collector for
// exportTimeout at most.
func (p *Provider) End() {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	p.Close(ctx)
}

// Close exports what waits and ends the provider.
func (p *Provider) Close(ctx context.Context) error {
	if p == nil {
		return nil
	}
	return p.sdk.Shutdown(ctx)
}
