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

// Link is a TCP connection path of the fleet that a test can disturb.
type Link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// Toxic is a disturbance of a link, with the attributes that toxiproxy knows
// it by.
type Toxic struct {
	Type       string // timeout, reset_peer, limit_data, latency or slicer
	Attributes string // JSON object
}

// newLink starts a proxy before a TCP address.
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

// Addr returns the address to connect to in place of the upstream's.
func (l *Link) Addr() string { return l.proxy.Listen }

// Disturb adds a disturbance of what the upstream sends.
func (l *Link) Disturb(x Toxic) {
	l.t.Helper()
	spec := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","toxicity":1,"attributes":%s}`, x.Type, x.Type, x.Attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(spec)); err != nil {
		l.t.Fatal(err)
	}
}

// Heal removes all disturbances.
func (l *Link) Heal() { l.proxy.Toxics.ResetToxics(context.Background()) }
