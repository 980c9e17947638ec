package deployment

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const traceLimit = 30 * time.Second

// recorder keeps the spans of all roles in memory.
type recorder struct {
	exporters map[Role]*tracetest.InMemoryExporter
	providers map[Role]*tracing.Provider
}

func newRecorder(t *testing.T, sampleRatio float64) *recorder {
	r := &recorder{exporters: make(map[Role]*tracetest.InMemoryExporter), providers: make(map[Role]*tracing.Provider)}
	for _, role := range []Role{RoleCaller, RoleBalancer, RoleAgent, RoleBackend} {
		e := tracetest.NewInMemoryExporter()
		p := tracing.New(tracing.Config{SampleRatio: sampleRatio, Role: string(role)}, e, prometheus.NewRegistry())
		t.Cleanup(func() { p.Close(context.Background()) })
		r.exporters[role], r.providers[role] = e, p
	}
	return r
}

// waitForSpans waits until a role has exported n or more spans and returns them.
func (r *recorder) waitForSpans(t *testing.T, role Role, n int) tracetest.SpanStubs {
	t.Helper()
	deadline := time.NewTimer(traceLimit)
	defer deadline.Stop()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		spans := r.exporters[role].GetSpans()
		if len(spans) >= n {
			return spans
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			t.Fatalf("%d spans of the %s, want %d", len(spans), role, n)
		}
	}
}

func tracedDeployment(t *testing.T, r *recorder) *caller.Caller {
	t.Helper()
	d, err := Start(Config{
		Zones: []string{"zone-a"}, Balancers: 2, Seed: 1,
		Services: []Service{{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 1}},
		Traces:   func(role Role) *tracing.Provider { return r.providers[role] },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.WaitReady(traceLimit); err != nil {
		t.Fatal(err)
	}
	c, err := d.Caller("listing")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestOneCallIsOneTraceOfFourHops checks that the spans of caller, balancer, agent and
// backend server are in one trace. The first packet is encrypted, so the balancer
// receives the trace ID from the agent afterwards.
func TestOneCallIsOneTraceOfFourHops(t *testing.T) {
	r := newRecorder(t, 1)
	c := tracedDeployment(t, r)
	card(t, c, nil)
	call := r.waitForSpans(t, RoleCaller, 1)[0]
	if call.Parent.IsValid() {
		t.Errorf("the caller's span has the parent %v", call.Parent.SpanID())
	}
	balancer := r.waitForSpans(t, RoleBalancer, 1)
	agent := r.waitForSpans(t, RoleAgent, 1)[0]
	backend := r.waitForSpans(t, RoleBackend, 1)[0]
	for _, s := range append(balancer, agent, backend) {
		if s.SpanContext.TraceID() != call.SpanContext.TraceID() {
			t.Errorf("span %q is of another trace", s.Name)
		}
	}
	for _, s := range balancer {
		wantParent(t, "balancer", s, call)
	}
	wantParent(t, "agent", agent, call)
	wantParent(t, "backend server", backend, agent)
	wantLink(t, agent, balancer)

	// A second call on the connection has no first packet. The agent's span is
	// linked to the balancer's span in the trace of the first call.
	card(t, c, nil)
	second := r.waitForSpans(t, RoleCaller, 2)[1]
	later := r.waitForSpans(t, RoleAgent, 2)[1]
	if second.SpanContext.TraceID() == call.SpanContext.TraceID() {
		t.Error("two calls share one trace")
	}
	wantParent(t, "agent", later, second)
	wantParent(t, "backend server", r.waitForSpans(t, RoleBackend, 2)[1], later)
	wantLink(t, later, balancer)
}

// TestCallerMayRefuseATrace checks that a traceparent header without the sampled flag is
// forwarded unchanged, and that no hop records a span.
func TestCallerMayRefuseATrace(t *testing.T) {
	r := newRecorder(t, 1)
	caller := r.providers[RoleCaller]
	r.providers[RoleCaller] = nil
	c := tracedDeployment(t, r)
	card(t, c, http.Header{tracing.HeaderParent: {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"}})
	ctx, span := caller.Tracer().Start(context.Background(), "end")
	header := make(http.Header)
	tracing.Inject(ctx, header)
	span.End()
	card(t, c, header)
	if n := len(r.waitForSpans(t, RoleAgent, 1)); n != 1 {
		t.Errorf("%d spans of the agent, want only the one of the second call", n)
	}
	if got := r.waitForSpans(t, RoleBackend, 1)[0].SpanContext.TraceID(); got != span.SpanContext().TraceID() {
		t.Errorf("trace %v reached the backend server, want %v", got, span.SpanContext().TraceID())
	}
}

// TestShareZeroTracesNothing checks that with a sample ratio of 0 balancers mark no flow as
// sampled, and neither balancers nor agents record spans.
func TestShareZeroTracesNothing(t *testing.T) {
	r := newRecorder(t, 0)
	c := tracedDeployment(t, r)
	card(t, c, nil)
	r.waitForSpans(t, RoleCaller, 1)
	for _, role := range []Role{RoleBalancer, RoleAgent} {
		r.providers[role].Close(context.Background())
	}
	if n := len(r.exporters[RoleBalancer].GetSpans()) + len(r.exporters[RoleAgent].GetSpans()); n != 0 {
		t.Errorf("%d spans, want none", n)
	}
}

func card(t *testing.T, c *caller.Caller, header http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), traceLimit)
	defer cancel()
	a, err := c.Do(ctx, http.MethodGet, "/card/1", header, nil)
	if err != nil || a.Status != http.StatusOK {
		t.Fatalf("card: %v %v", a, err)
	}
}

func wantParent(t *testing.T, name string, child, parent tracetest.SpanStub) {
	t.Helper()
	if child.Parent.SpanID() != parent.SpanContext.SpanID() || child.Parent.TraceID() != parent.SpanContext.TraceID() {
		t.Errorf("%s: parent %v in trace %v, want %v in %v", name, child.Parent.SpanID(), child.Parent.TraceID(),
			parent.SpanContext.SpanID(), parent.SpanContext.TraceID())
	}
}

// wantLink checks that every balancer's span is among the links of s.
func wantLink(t *testing.T, s tracetest.SpanStub, balancers tracetest.SpanStubs) {
	t.Helper()
	linked := make(map[trace.SpanID]sdk.Link)
	for _, l := range s.Links {
		linked[l.SpanContext.SpanID()] = l
	}
	for _, b := range balancers {
		l, ok := linked[b.SpanContext.SpanID()]
		if !ok || l.SpanContext.TraceID() != b.SpanContext.TraceID() {
			t.Errorf("no link to the balancer's span %v among %v", b.SpanContext.SpanID(), s.Links)
		}
	}
}
