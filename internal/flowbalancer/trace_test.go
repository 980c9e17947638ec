package flowbalancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hemlockscale/hemlockscale/flow"
)

// Symptom: a balancer's log is half about agents, and writing it takes processor time
// when it is short.
// Sequence: a hundred agents fall silent or start within a few milliseconds.
// Cause: one line was written for each.
func TestChangesOfManyAgentsAreOneLine(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	tr := newTracer(zap.New(core), netip.AddrPort{}, nil, prometheus.NewRegistry())
	now := time.Unix(1000, 0)
	const agents = 100
	for n := range agents {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7700)
		tr.Agent(now, addr, 1, flow.ServerReady, "silent")
	}
	tr.Agent(now, netip.MustParseAddrPort("10.0.1.1:7700"), 1, flow.ServerDraining, "reported")
	tr.flush(now.Add(50 * time.Millisecond))
	tr.flush(now.Add(100 * time.Millisecond))
	if n := lines.Len(); n != 2 {
		t.Fatalf("%d lines, want one for each kind of change", n)
	}
	named := map[any]bool{}
	for _, l := range lines.All() {
		switch l.Message {
		case "agents":
			for _, a := range l.ContextMap()["agents"].([]any) {
				named[a] = true
			}
		case "agent":
			named[l.ContextMap()["agent"]] = true
		}
	}
	if len(named) != agents+1 {
		t.Errorf("%d agents are named, want all %d", len(named), agents+1)
	}
}
