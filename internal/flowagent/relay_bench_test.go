package flowagent

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/flowframe"
	"github.com/hemlockscale/hemlockscale/internal/node"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/internal/standin/relay"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/platform"
)

const relayFlows = 256

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// BenchmarkRelay compares the agent's path of a caller's packet (batch read,
// frame, header, Gate, batch write to the server) with a bare loop that writes
// the packets it reads.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchRelay(b, size) })
	}
}

func benchRelay(b *testing.B, size int) {
	sink := relay.Listen(b)
	go relay.Drain(sink)
	a := newBenchAgent(b, sink.LocalAddr())
	pass := flowframe.Append(nil, &flow.Message{Kind: flow.Pass})
	var packets [][]byte
	for i := range relayFlows {
		caller := netip.AddrPortFrom(loopback.Addr(), uint16(1000+i))
		service := netip.MustParseAddrPort("198.18.0.1:443")
		a.receiveFromServer(b, (&standin.Header{Src: service, Dst: caller, Flags: standin.FlagAck}).Encode())
		h := standin.Header{Src: caller, Dst: service, Flags: standin.FlagAck, Data: make([]byte, size-platform.HeaderSize)}
		packets = append(packets, append(pass[:len(pass):len(pass)], h.Encode()...))
	}
	r, out := udp.NewReader(a.messages), a.output()
	whole := &relay.Relay{To: a.messages.LocalAddr(), Step: func() int {
		n, err := a.receiveBalancerBatch(r, out)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}}
	relay.Compare(b, "agent", whole, sink.LocalAddr(), packets)
}

type benchAgent struct{ *Agent }

// newBenchAgent returns an agent whose server receives packets at the given address.
func newBenchAgent(b *testing.B, server netip.AddrPort) benchAgent {
	b.Helper()
	a, err := New(Config{
		Settings:  node.Settings{Zone: "a", IP: loopback.Addr(), Packets: loopback, Readiness: loopback, Control: loopback, FromServer: loopback, Server: server, Service: "listing", MaxFlowAge: time.Hour},
		Codec:     platform.Packets{},
		Control:   platform.ControlHandler,
		Readiness: platform.ReadinessHandler,
	}, zap.NewNop(), prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		a.messages.Close()
		a.server.Close()
		a.controlListener.Close()
		a.readinessListener.Close()
	})
	return benchAgent{a}
}

// receiveFromServer processes a packet of a flow from the server, which makes the agent
// record that the server holds the flow.
func (a benchAgent) receiveFromServer(b *testing.B, packet []byte) {
	b.Helper()
	s, ok := a.cfg.Codec.FromServer(packet)
	if !ok {
		b.Fatal("the codec does not decode the server's packet")
	}
	a.gate.FromServer(node.Now(), s, packet)
	a.gate.Effects()
}
