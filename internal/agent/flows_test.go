package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/internal/frame"
)

// firstPacket returns an Initial packet with the n-th connection ID.
func firstPacket(n int) []byte {
	b := make([]byte, 1200)
	copy(b, []byte{0xc0, 0, 0, 0, 1, 8, byte(n >> 8), byte(n), 3, 4, 5, 6, 7, 8})
	return b
}

// TestBurstOfFlowsIsSpread: symptom: of three agents one gets all callers that
// come at once, the others none, and for as long as their connections last.
// Sequence: callers connect within a few milliseconds; no request has come yet
// when the last of them is placed. Cause: load was counted in requests, so the
// agent looked idle to each of them.
func TestBurstOfFlowsIsSpread(t *testing.T) {
	g := newGate(admission.Config{})
	f := newFlows(g, netip.MustParseAddrPort("10.0.0.1:7700"), newMetrics(prometheus.NewRegistry()))
	g.do(func(*admission.Controller, time.Time) {})
	const burst = 50
	kept := 0
	for n := range burst {
		h := frame.Header{Flags: frame.FlagFirst | frame.FlagAlternate, Alternate: netip.MustParseAddrPort("10.0.0.2:7700"), Load: 40}
		if _, elsewhere := f.place(&h, firstPacket(n)); !elsewhere {
			kept++
		}
	}
	if kept == 0 || kept > burst/2 {
		t.Errorf("kept %d of %d flows beside an agent with little to do", kept, burst)
	}
}

// TestFreshFlowsAreForgotten checks that flows kept count for two periods at
// the most.
func TestFreshFlowsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var f recentFlows
	f.rotate(now)
	f.current.Add(3)
	f.rotate(now.Add(recentPeriod))
	if f.count() != 3 {
		t.Errorf("count %d after one period", f.count())
	}
	f.rotate(now.Add(2 * recentPeriod))
	if f.count() != 0 {
		t.Errorf("count %d after two periods", f.count())
	}
}
