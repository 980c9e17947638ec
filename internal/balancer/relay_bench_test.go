package balancer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/standin/relay"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const relayFlows = 256

// BenchmarkRelay compares the balancer's path of callers' packets (batch read, decision,
// frame, batch write) with a bare loop that writes the packets it reads.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchRelay(b, size) })
	}
}

func benchRelay(b *testing.B, size int) {
	sink := relay.Listen(b)
	go relay.Drain(sink)
	agents := []netip.AddrPort{sink.LocalAddr()}
	f, ring := benchForwarder(b, agents)
	var packets [][]byte
	for range relayFlows {
		packets = append(packets, shortPacket(b, ring, agents[0], size)[frame.Len:])
	}
	relay.Compare(b, "balancer", balancerRelay(b, f), agents[0], packets)
}

// balancerRelay returns a relay that uses the daemon's own path of callers' packets.
func balancerRelay(b *testing.B, f *Forwarder) *relay.Relay {
	public, internal := relay.Listen(b), relay.Listen(b)
	ring := benchRing(b)
	d, err := newDataplane(ring, public, internal, f, newPlacer("zone-a"), newMetrics(prometheus.NewRegistry()))
	if err != nil {
		b.Fatal(err)
	}
	r, w := udp.NewReader(public), udp.NewWriter(internal)
	return &relay.Relay{To: public.LocalAddr(), Step: func() int {
		n, err := d.forwardBatch(r, w)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}}
}
