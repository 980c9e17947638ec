package balancer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
	"github.com/hemlockscale/hemlockscale/internal/udp"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	benchService = 1
	benchKey     = "1:000102030405060708090a0b0c0d0e0f"
	// idOffset is the offset of the destination connection ID in a long header, in bytes.
	idOffset = 6
)

var (
	benchAddress = [4]byte{127, 0, 0, 1}
	benchCaller  = netip.MustParseAddrPort("127.0.0.1:40000")
)

// benchForwarder returns a forwarder built from the types that the daemon uses, for one
// service with the given agents. A sequence number and an occupancy of each agent are known.
func benchForwarder(tb testing.TB, agents []netip.AddrPort) (*Forwarder, fleetkey.Ring) {
	tb.Helper()
	ring := benchRing(tb)
	a := &addresses{}
	a.table.Store(benchTable(tb))
	p := newPlacer("zone-a")
	p.load = placement.NewLoad(2*len(agents), placement.LoadOptions{})
	var placed []placement.Agent
	for _, addr := range agents {
		placed = append(placed, placement.Agent{Addr: addr, Zone: "zone-a", Weight: placement.FullWeight})
	}
	table, err := placement.NewTable(p.cfg, placed)
	if err != nil {
		tb.Fatal(err)
	}
	p.tables.Set(benchService, table)
	f, err := NewForwarder(ring, a, p, netip.MustParseAddrPort("127.0.0.1:7700"))
	if err != nil {
		tb.Fatal(err)
	}
	for i, addr := range agents {
		f.sequences.record(addr, uint32(i))
		p.Observe(benchService, addr, byte(i%100))
	}
	return f, ring
}

func benchRing(tb testing.TB) fleetkey.Ring {
	tb.Helper()
	ring, err := fleetkey.Parse(benchKey)
	if err != nil {
		tb.Fatal(err)
	}
	return ring
}

// benchTable returns the address table of a catalogue with one service at benchAddress.
func benchTable(tb testing.TB) *catalogue.Table {
	tb.Helper()
	c := catalogue.New()
	entry := catalogue.Entry{Service: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Addresses: []netip.Addr{netip.AddrFrom4(benchAddress)}}
	changes, err := c.Plan(catalogue.Edit{Editor: "benchmark", Put: []catalogue.Entry{entry}}, catalogue.NewEditID(0), time.Unix(0, 0))
	if err != nil {
		tb.Fatal(err)
	}
	for _, change := range changes {
		if err := c.Apply(change); err != nil {
			tb.Fatal(err)
		}
	}
	t := c.Table()
	if t.Number(benchAddress) != benchService {
		tb.Fatal("the service's address is not in the table")
	}
	return t
}

func benchAgents(n int) []netip.AddrPort {
	agents := make([]netip.AddrPort, n)
	for i := range agents {
		ip := [4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}
		agents[i] = netip.AddrPortFrom(netip.AddrFrom4(ip), 7700)
	}
	return agents
}

// shortPacket returns a datagram of n bytes of an open connection, preceded by space for
// the forwarding header.
func shortPacket(tb testing.TB, ring fleetkey.Ring, agent netip.AddrPort, n int) []byte {
	tb.Helper()
	ids, err := ring.ConnIDs()
	if err != nil {
		tb.Fatal(err)
	}
	b := make([]byte, frame.Len+n)
	b[frame.Len] = 0x40
	id := ids.Mint(connid.Target{Agent: agent, Service: benchService})
	copy(b[frame.Len+1:], id[:])
	return b
}

// initialPacket returns a caller's first datagram, preceded by space for the forwarding
// header.
func initialPacket() []byte {
	const idLen = 18 // the longest that quic-go uses
	b := make([]byte, frame.Len+quicwire.MinInitial)
	p := b[frame.Len:]
	p[0] = 0xc0
	binary.BigEndian.PutUint32(p[1:], 1)
	p[5] = idLen
	return b
}

// BenchmarkForward measures the forwarding decision for one packet, including the writing
// of the header. The goal is at most 300 ns and no allocation.
func BenchmarkForward(b *testing.B) {
	for _, n := range []int{7, 100, 16000} {
		agents := benchAgents(n)
		f, ring := benchForwarder(b, agents)
		b.Run(fmt.Sprintf("short/agents=%d", n), func(b *testing.B) {
			const flows = 1024
			packets := make([][]byte, flows)
			for i := range packets {
				packets[i] = shortPacket(b, ring, agents[i%n], 1200)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, v := f.Forward(packets[i%flows], benchCaller, benchAddress); v != Forwarded {
					b.Fatal(v)
				}
			}
		})
		b.Run(fmt.Sprintf("initial/agents=%d", n), func(b *testing.B) {
			packet := initialPacket()
			id := packet[frame.Len+idOffset:]
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				if i%udp.Batch == 0 {
					f.chooser.(*placer).clock.update()
				}
				binary.BigEndian.PutUint64(id, i)
				if _, v := f.Forward(packet, benchCaller, benchAddress); v != Forwarded {
					b.Fatal(v)
				}
			}
		})
	}
}

// BenchmarkForwardTraced measures the decision on a first packet with tracing off and at
// two sampling rates. Tracing does not affect the decision on other packets.
func BenchmarkForwardTraced(b *testing.B) {
	for _, c := range []struct {
		name   string
		on     bool
		sample float64
	}{{"off", false, 0}, {"share=0.01", true, 0.01}, {"share=1", true, 1}} {
		b.Run(c.name, func(b *testing.B) {
			f, ring := benchForwarder(b, benchAgents(7))
			clock := &f.chooser.(*placer).clock
			if c.on {
				var err error
				p := tracing.New(tracing.Config{SampleRatio: c.sample}, tracetest.NewNoopExporter(), prometheus.NewRegistry())
				defer p.Close(context.Background())
				if f.traces, err = newFlowTracer(p, ring, f.via, clock, prometheus.NewRegistry()); err != nil {
					b.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go f.traces.run(ctx)
			}
			packet := initialPacket()
			id := packet[frame.Len+idOffset:]
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				if i%udp.Batch == 0 {
					clock.update()
				}
				binary.BigEndian.PutUint64(id, i)
				if _, v := f.Forward(packet, benchCaller, benchAddress); v != Forwarded {
					b.Fatal(v)
				}
			}
		})
	}
}

// Guards against allocations per packet, which cause pauses and processor time of the
// garbage collector that grow with the packet rate.
func TestForwardAllocatesNothing(t *testing.T) {
	agents := benchAgents(7)
	f, ring := benchForwarder(t, agents)
	for name, packet := range map[string][]byte{
		"short":   shortPacket(t, ring, agents[0], 1200),
		"initial": initialPacket(),
	} {
		n := testing.AllocsPerRun(100, func() {
			if _, v := f.Forward(packet, benchCaller, benchAddress); v != Forwarded {
				t.Fatal(v)
			}
		})
		if n != 0 {
			t.Errorf("%s: %v allocations per packet, want 0", name, n)
		}
	}
}
