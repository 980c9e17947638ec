package perf

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

var maxFlows = flag.Int("perf.flows", 10_000, "open flows at one agent in BenchmarkMemory")

const (
	flowSteps      = 5
	parallelOpens  = 32 // connections opened at once
	connsPerSocket = 50 // connections that share one caller socket, because of the limit on open files
	eventPeriod    = 10 * time.Second
	// settleTime is the delay before the processes' memory is read.
	settleTime  = 2 * time.Second
	idleTimeout = time.Minute
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// flows is a set of open feeds, each on its own connection.
type flows struct {
	address    netip.AddrPort
	open       int
	socket     *quic.Transport
	cleanup    func(func())
	closing    atomic.Bool
	broken     atomic.Int64
	firstError atomic.Value // error of the first feed that ended early
}

// nextTransport returns the transport for the next connection.
func (f *flows) nextTransport() (*quic.Transport, error) {
	if f.open%connsPerSocket == 0 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		t := &quic.Transport{Conn: c}
		f.socket = t
		f.cleanup(func() { t.Close(); c.Close() })
	}
	f.open++
	return f.socket, nil
}

// openUntil opens feeds until n are open.
func (f *flows) openUntil(n int) error {
	var g errgroup.Group
	g.SetLimit(parallelOpens)
	for f.open < n {
		t, err := f.nextTransport()
		if err != nil {
			return err
		}
		g.Go(func() error { return f.openFeed(t) })
	}
	return g.Wait()
}

// openFeed opens one feed and waits for its first byte.
func (f *flows) openFeed(t *quic.Transport) error {
	h := &http3.Transport{
		// The certificate is verified by other tests; here it would only take time.
		TLSClientConfig: &tls.Config{ServerName: service, InsecureSkipVerify: true, NextProtos: []string{http3.NextProtoH3}},
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout},
		Dial: func(ctx context.Context, _ string, c *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return t.DialEarly(ctx, net.UDPAddrFromAddrPort(f.address), c, q)
		},
	}
	f.cleanup(func() { h.Close() })
	url := fmt.Sprintf("https://%s/feed?events=1000000&interval_ms=%d&seed=1", service, eventPeriod.Milliseconds())
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Accept", "text/event-stream")
	resp, err := h.RoundTrip(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("feed: %s", resp.Status)
	}
	if _, err = io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		return err
	}
	go f.readToEnd(resp.Body)
	return nil
}

// readToEnd reads a feed to its end, which must not come during the measurement.
func (f *flows) readToEnd(body io.Reader) {
	_, err := io.Copy(io.Discard, body)
	if f.closing.Load() {
		return
	}
	if f.broken.Add(1) == 1 {
		f.firstError.Store(fmt.Sprint(err))
	}
}

// BenchmarkMemory measures the resident memory of a balancer's and an agent's process by the
// number of open flows. Run it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		f := fleet.Start(b, fleet.Config{Balancers: 2, Seed: 1, Services: []fleet.Service{{
			Name: service, Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 1,
			Limits: catalogue.Limits{Connections: 2 * *maxFlows, Deadline: time.Minute},
		}}})
		open := &flows{address: netip.AddrPortFrom(f.Addresses[service], f.Fabric.Port()), cleanup: func(end func()) { b.Cleanup(end) }}
		agent, balancer := f.Agents[0].Admin, f.Balancers[0].Admin
		idleAgent, idleBalancer := report(b, 0, agent, balancer)
		var lastAgent, lastBalancer float64
		for step := 1; step <= flowSteps; step++ {
			n := *maxFlows * step / flowSteps
			if err := open.openUntil(n); err != nil {
				b.Fatal(err)
			}
			lastAgent, lastBalancer = report(b, n, agent, balancer)
		}
		if n := open.broken.Load(); n > 0 {
			b.Errorf("%d feeds ended early, the first with: %v", n, open.firstError.Load())
		}
		open.closing.Store(true)
		b.ReportMetric((lastAgent-idleAgent)/float64(*maxFlows), "agent-B/flow")
		b.ReportMetric((lastBalancer-idleBalancer)/float64(*maxFlows), "balancer-B/flow")
	}
}

func report(b *testing.B, flows int, agent, balancer string) (agentBytes, balancerBytes float64) {
	b.Helper()
	<-time.After(settleTime)
	connections, _ := fleet.Metric(agent, "hemlock_agent_connections")
	agentBytes, balancerBytes = residentBytesOf(b, agent), residentBytesOf(b, balancer)
	heap, _ := fleet.Metric(agent, "go_memstats_heap_inuse_bytes")
	stacks, _ := fleet.Metric(agent, "go_memstats_stack_inuse_bytes")
	goroutines, _ := fleet.Metric(agent, "go_goroutines")
	const mb = 1e6
	b.Logf("%d flows (%v connections): agent %.1f MB (heap %.1f, stacks %.1f, %v goroutines), balancer %.1f MB",
		flows, connections, agentBytes/mb, heap/mb, stacks/mb, goroutines, balancerBytes/mb)
	return agentBytes, balancerBytes
}

// residentBytesOf returns the resident memory of the process with the given admin address.
func residentBytesOf(b *testing.B, admin string) float64 {
	b.Helper()
	v, ok := fleet.Metric(admin, "process_resident_memory_bytes")
	if !ok {
		b.Fatal("metric process_resident_memory_bytes is missing on the admin page")
	}
	return v
}
