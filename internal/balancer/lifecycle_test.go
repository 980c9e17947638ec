package balancer

import (
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/standin/loopback"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against goroutines that keep running after Close, with Run and without. The store
// refuses connections. TestMain detects them.
func TestCloseStopsAllGoroutines(t *testing.T) {
	ring, err := fleetkey.Parse(testFleetKey)
	if err != nil {
		t.Fatal(err)
	}
	client, err := store.New(store.Config{URL: "http://127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer network.Release()
	for _, run := range []bool{false, true} {
		b, err := New(Config{
			Public:   netip.MustParseAddrPort("127.0.0.1:0"),
			Internal: netip.AddrPortFrom(network.Addr(1, 0), network.Port(0)),
			Zone:     "zone-a",
			Keys:     ring,
			Store:    client,
		}, zap.NewNop(), prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		if run {
			go func() { done <- b.Run() }()
		} else {
			done <- nil
		}
		b.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
