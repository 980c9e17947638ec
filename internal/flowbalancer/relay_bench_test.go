package flowbalancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/node"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/internal/standin/relay"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/platform"
)

const relayFlows = 256

var (
	relayService = netip.MustParseAddrPort("198.18.0.1:443")
	loopback     = netip.MustParseAddrPort("127.0.0.1:0")
)

// BenchmarkRelay compares the balancer's path of a packet of a known flow (batch
// read, header, Director, frame, batch write) with a bare loop that writes the packets
// it reads.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchRelay(b, size) })
	}
}

func benchRelay(b *testing.B, size int) {
	sink := relay.Listen(b)
	go relay.Drain(sink)
	agent := sink.LocalAddr()
	bal := newBenchBalancer(b, agent)
	var packets [][]byte
	for i := range relayFlows {
		h := standin.Header{Src: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Dst: relayService}
		h.Flags = standin.FlagSyn
		bal.openFlow(b, agent, h.Encode())
		h.Flags = standin.FlagAck
		h.Data = make([]byte, size-platform.HeaderSize)
		packets = append(packets, h.Encode())
	}
	r, out := udp.NewReader(bal.callers), bal.output()
	whole := &relay.Relay{To: bal.callers.LocalAddr(), Step: func() int {
		n, err := bal.receiveCallerBatch(r, out)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}}
	relay.Compare(b, "balancer", whole, agent, packets)
}

type benchBalancer struct{ *Balancer }

// newBenchBalancer returns a balancer with one known agent, which accepts new flows.
func newBenchBalancer(b *testing.B, agent netip.AddrPort) benchBalancer {
	b.Helper()
	bal, err := New(Config{
		Settings:  node.Settings{Zone: "a", IP: loopback.Addr(), Packets: loopback, Readiness: loopback, MaxFlowAge: time.Hour},
		Codec:     platform.Packets{},
		Readiness: platform.ReadinessHandler,
	}, zap.NewNop(), prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		bal.callers.Close()
		bal.internal.Close()
		bal.readinessListener.Close()
		bal.ordersListener.Close()
	})
	bal.director.SetRoutes(flow.NewRoutes(1, 0, map[netip.AddrPort]flow.Route{relayService: {Service: flow.IDOf("listing")}}))
	bal.director.FromAgent(node.Now(), agent, &flow.Message{Kind: flow.Report, State: flow.ServerReady, Service: flow.IDOf("listing")}, nil, nil)
	return benchBalancer{bal}
}

// openFlow processes a flow's first packet and the agent's acceptance of the flow.
func (bal benchBalancer) openFlow(b *testing.B, agent netip.AddrPort, packet []byte) {
	b.Helper()
	s, ok := bal.cfg.Codec.FromCaller(packet)
	if !ok {
		b.Fatal("the codec does not decode the caller's packet")
	}
	bal.director.FromCaller(node.Now(), s, packet)
	bal.director.FromAgent(node.Now(), agent, &flow.Message{Kind: flow.Taken, State: flow.ServerReady, Service: flow.IDOf("listing"), Key: s.Key}, nil, nil)
	bal.director.Effects()
}
