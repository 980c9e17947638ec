package balancer

import (
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCloseEndsEverything: a balancer that ends leaves no goroutine behind,
// also when the store does not answer. TestMain looks for them.
func TestCloseEndsEverything(t *testing.T) {
	ring, err := fleetkey.Parse(testFleetKey)
	if err != nil {
		t.Fatal(err)
	}
	client, err := store.New(store.Config{URL: "http://127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for _, run := range []bool{false, true} {
		b := newBalancer(t, Config{
			Public:   netip.MustParseAddrPort("127.0.0.1:0"),
			Internal: netip.MustParseAddrPort("127.0.0.1:0"),
			Zone:     "zone-a",
			Keys:     ring,
			Store:    client,
		})
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

// newBalancer tries several ports: the one above the port that the kernel gave
// is needed as well, and another process may have it.
func newBalancer(t *testing.T, cfg Config) *Balancer {
	t.Helper()
	const tries = 10
	for range tries {
		b, err := New(cfg, zap.NewNop(), prometheus.NewRegistry())
		if err == nil {
			return b
		}
		t.Log(err)
	}
	t.Fatal("no two free ports in a row")
	return nil
}
