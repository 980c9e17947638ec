package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Link is a TCP path of the fleet into which a test can inject faults.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// Toxic is a fault of a link, in toxiproxy's terms.
type Toxic struct {
	Type       string // timeout, reset_peer, limit_data, latency or slicer
	Attributes string // JSON object
}

// newLink starts a proxy in front of a TCP address.
func newLink(t testing.TB, name, upstream string) *Link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &Link{t: t, proxy: p}
}

// Addr returns the proxy's address, to connect to instead of the upstream's.
func (l *Link) Addr() string { return l.proxy.Listen }

// AddToxic adds a fault to what the upstream sends.
func (l *Link) AddToxic(x Toxic) {
	l.t.Helper()
	spec := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","toxicity":1,"attributes":%s}`, x.Type, x.Type, x.Attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
		l.t.Fatal(err)
	}
}

// RemoveToxics removes all faults.
func (l *Link) RemoveToxics() { l.proxy.Toxics.ResetToxics(context.Background()) }
