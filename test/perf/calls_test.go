package perf

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/internal/standin/deployment"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

const (
	service      = "listing"
	slots        = 64
	readyTimeout = 30 * time.Second
	// callsPerBatch is the number of calls that one variant makes before the other one does.
	callsPerBatch = 1000
	maxLatency    = time.Minute
)

// start starts a deployment of one service without tracing.
func start(b *testing.B, balancers, backends int) *deployment.Deployment {
	b.Helper()
	return startTraced(b, balancers, backends, nil)
}

func startTraced(b *testing.B, balancers, backends int, traces func(deployment.Role) *tracing.Provider) *deployment.Deployment {
	b.Helper()
	d, err := deployment.Start(deployment.Config{
		Zones:     []string{"zone-a"},
		Balancers: balancers,
		Seed:      1,
		Traces:    traces,
		Services: []deployment.Service{{
			Name: service, Owner: "exchange", Class: catalogue.ClassInteractive, Backends: backends,
			Limits: catalogue.Limits{Slots: slots},
		}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	if err := d.WaitReady(readyTimeout); err != nil {
		b.Fatal(err)
	}
	return d
}

// call makes one call and checks its answer.
type call func(ctx context.Context, c *caller.Caller, n int) error

// variant is one of two compared ways to make calls, with its measurements.
type variant struct {
	name    string
	callers []*caller.Caller
	call    call
	latency *hdrhistogram.Histogram // microseconds
	calls   int
	took    time.Duration
}

func newVariant(b *testing.B, name string, callers int, c call, open func() (*caller.Caller, error)) *variant {
	b.Helper()
	v := &variant{name: name, call: c, latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	for range callers {
		one, err := open()
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(one.Close)
		v.callers = append(v.callers, one)
	}
	return v
}

// runBatch makes callsPerBatch calls. Each caller makes its share of them one after another.
func (v *variant) runBatch(b *testing.B, record bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards v.latency
	began := time.Now()
	for _, c := range v.callers {
		wg.Go(func() {
			for n := range callsPerBatch / len(v.callers) {
				at := time.Now()
				if err := v.call(context.Background(), c, n); err != nil {
					b.Error(v.name, err)
					return
				}
				took := time.Since(at)
				if record {
					mu.Lock()
					v.latency.RecordValue(took.Microseconds())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if record {
		v.took += time.Since(began)
		v.calls += callsPerBatch / len(v.callers) * len(v.callers)
	}
}

func (v *variant) rate() float64 { return float64(v.calls) / v.took.Seconds() }

func (v *variant) report(b *testing.B) {
	b.ReportMetric(v.rate(), v.name+"-calls/s")
	for _, q := range []float64{50, 99, 99.9} {
		b.ReportMetric(float64(v.latency.ValueAtQuantile(q)), fmt.Sprintf("%s-p%v-us", v.name, q))
	}
}

// compare runs batches of two variants alternately. An iteration is one batch of each.
func compare(b *testing.B, base, other *variant) {
	base.runBatch(b, false) // opens the connections
	other.runBatch(b, false)
	for b.Loop() {
		base.runBatch(b, true)
		other.runBatch(b, true)
	}
	base.report(b)
	other.report(b)
	b.ReportMetric(other.rate()/base.rate(), "ratio")
}

func card(ctx context.Context, c *caller.Caller, n int) error {
	a, err := c.Card(ctx, fmt.Sprint(n))
	return statusError(a, err, http.StatusOK)
}

func statusError(a *caller.Answer, err error, want int) error {
	if err == nil && a.Status != want {
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return err
}

// BenchmarkCalls compares calls through fabric, balancers and agent with calls to the same agent's
// handler on a plain HTTP/3 server.
func BenchmarkCalls(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			d := start(b, 3, 1)
			server, err := d.Direct(d.Agents[0])
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(server.Close)
			direct := newVariant(b, "direct", callers, card, func() (*caller.Caller, error) { return d.CallerTo(service, server.Addr) })
			path := newVariant(b, "path", callers, card, func() (*caller.Caller, error) { return d.Caller(service) })
			compare(b, direct, path)
		})
	}
}

// BenchmarkCallsTraced compares calls that are all traced with calls without tracing. The spans
// are created, queued and discarded.
func BenchmarkCallsTraced(b *testing.B) {
	const callers = 1
	providers := make(map[deployment.Role]*tracing.Provider)
	for _, role := range []deployment.Role{deployment.RoleCaller, deployment.RoleBalancer, deployment.RoleAgent, deployment.RoleBackend} {
		p := tracing.New(tracing.Config{SampleRatio: 1, Role: string(role)}, tracetest.NewNoopExporter(), prometheus.NewRegistry())
		b.Cleanup(func() { p.Close(context.Background()) })
		providers[role] = p
	}
	off := start(b, 3, 1)
	on := startTraced(b, 3, 1, func(r deployment.Role) *tracing.Provider { return providers[r] })
	plain := newVariant(b, "off", callers, card, func() (*caller.Caller, error) { return off.Caller(service) })
	traced := newVariant(b, "on", callers, card, func() (*caller.Caller, error) { return on.Caller(service) })
	compare(b, plain, traced)
}

// BenchmarkIdempotencyKey compares non-idempotent calls without and with a key. For a call with a
// key, the service's agents vote before the request runs.
func BenchmarkIdempotencyKey(b *testing.B) {
	d := start(b, 3, 3)
	open := func() (*caller.Caller, error) { return d.Caller(service) }
	var keys atomic.Uint64
	plain := newVariant(b, "plain", 1, func(ctx context.Context, c *caller.Caller, _ int) error {
		a, err := c.Do(ctx, http.MethodPost, "/reserve", nil, []byte("part"))
		return statusError(a, err, http.StatusCreated)
	}, open)
	keyed := newVariant(b, "keyed", 1, func(ctx context.Context, c *caller.Caller, _ int) error {
		a, err := c.Reserve(ctx, fmt.Sprint("key-", keys.Add(1)), "part")
		return statusError(a, err, http.StatusCreated)
	}, open)
	compare(b, plain, keyed)
}
