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

// Values of Config.Exporter other than a URL.
const (
	Off    = "off"
	Stderr = "stderr"
)

const (
	otlpPath = "/v1/traces"
	scope    = "github.com/hemlockscale/hemlockscale"
)

// Config holds the settings of tracing.
type Config struct {
	Exporter    string  // Off, Stderr, or the URL of an OTLP collector over HTTP
	SampleRatio float64 // ratio of flows or calls, depending on the role, that is sampled: 0 to 1
	Role        string  // role of the process; the spans' service.name is "hemlock-" and the role
	Zone        string  // availability zone
}

// Error reports an invalid setting of tracing.
type Error struct {
	Setting string
	Reason  string
	Remedy  string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting -%s: %s; %s", e.Setting, e.Reason, e.Remedy)
}

// Check returns an *Error if a setting is invalid.
func (c Config) Check() error {
	if !(c.SampleRatio >= 0 && c.SampleRatio <= 1) {
		return &Error{Setting: "trace-sample", Reason: fmt.Sprintf("%v is not a ratio", c.SampleRatio), Remedy: "write a number from 0 to 1"}
	}
	if c.Exporter == Off || c.Exporter == Stderr {
		return nil
	}
	u, err := url.Parse(c.Exporter)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &Error{Setting: "trace", Reason: fmt.Sprintf("%q is not an exporter", c.Exporter), Remedy: "write off, stderr, or the URL of a collector like http://127.0.0.1:4318"}
	}
	return nil
}

// Provider records spans and exports them.
type Provider struct {
	sdk         *sdk.TracerProvider
	tracer      trace.Tracer
	sampleRatio float64
}

// Open returns a provider with the exporter that cfg names, nil for Off. An invalid
// setting is reported as an *Error.
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
	// The exporter connects when it sends the first batch, so that a collector that
	// is down does not delay the start.
	return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(u.String()), otlptracehttp.WithTimeout(exportTimeout))
}

// New returns a provider that exports to the given exporter.
func New(cfg Config, exporter sdk.SpanExporter, reg prometheus.Registerer) *Provider {
	p := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(newQueue(exporter, reg)),
		sdk.WithIDGenerator(idGenerator{}),
		// Sampling is decided before a span is started: by the balancer for a
		// flow, by the caller for its call.
		sdk.WithSampler(sdk.AlwaysSample()),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "hemlock-"+cfg.Role),
			attribute.String("cloud.availability_zone", cfg.Zone),
		)),
	)
	return &Provider{sdk: p, tracer: p.Tracer(scope), sampleRatio: cfg.SampleRatio}
}

// Enabled reports whether tracing is on.
func (p *Provider) Enabled() bool { return p != nil }

// Tracer returns the tracer, which does nothing when tracing is off.
func (p *Provider) Tracer() trace.Tracer {
	if p == nil {
		return noop.NewTracerProvider().Tracer(scope)
	}
	return p.tracer
}

// SampleRatio returns the ratio that is sampled, 0 when tracing is off.
func (p *Provider) SampleRatio() float64 {
	if p == nil {
		return 0
	}
	return p.sampleRatio
}

// ShouldSample reports whether a call with the given parent span is traced. A call
// whose caller has cleared the sampled flag never is; of all others the sample ratio
// is traced, so that callers can't raise the ratio by setting the flag.
func (p *Provider) ShouldSample(parent trace.SpanContext) bool {
	switch {
	case p == nil || parent.IsValid() && !parent.IsSampled():
		return false
	case p.sampleRatio >= 1:
		return true
	case !parent.IsValid():
		return rand.Float64() < p.sampleRatio
	}
	id := parent.TraceID()
	return float64(binary.BigEndian.Uint64(id[8:])) < p.sampleRatio*math.MaxUint64
}

// CloseWithTimeout closes the provider at the end of the process. It waits at most
// exportTimeout for the collector.
func (p *Provider) CloseWithTimeout() {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	p.Close(ctx)
}

// Close exports the queued spans and shuts the provider down.
func (p *Provider) Close(ctx context.Context) error {
	if p == nil {
		return nil
	}
	return p.sdk.Shutdown(ctx)
}
