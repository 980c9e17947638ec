package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/hemlockscale/hemlockscale/internal/frame"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const (
	// relaySlice is how many packets one relay carries before the other one
	// has its turn.
	relaySlice = 100_000
	// relaySenders blast packets at the relay, which has to be the bottleneck.
	relaySenders = 2
	relayFlows   = 256
)

// speed is what one slice measured.
type speed struct {
	wall float64 // packets a second
	cpu  float64 // packets a second of the relaying thread's processor time
}

// relay is one way from a public to an internal socket.
type relay struct {
	public *udp.Conn
	step   func() int // carries one batch and returns its length
}

// BenchmarkRelay compares the balancer's inward path (batch read, decide,
// frame, batch write) with a bare loop that writes what it read. Both run in
// turns on one thread over loopback sockets, so that whatever else the machine
// does hits both; the medians over all turns are reported. Run it with
// -benchtime 20x: one iteration is one turn of each.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{100, 1200} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) { benchRelay(b, size) })
	}
}

func benchRelay(b *testing.B, size int) {
	sink := listen(b)
	go drain(sink)
	agents := []netip.AddrPort{sink.LocalAddr()}
	f, ring := benchForwarder(b, agents)
	var packets [][]byte
	for range relayFlows {
		packets = append(packets, shortPacket(b, ring, agents[0], size)[frame.Len:])
	}
	bare, whole := bareRelay(b, agents[0]), balancerRelay(b, f)
	var bares, wholes []speed
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for b.Loop() {
		bares = append(bares, bare.slice(packets))
		wholes = append(wholes, whole.slice(packets))
	}
	wall := func(s speed) float64 { return s.wall }
	cpu := func(s speed) float64 { return s.cpu }
	b.ReportMetric(median(bares, wall), "bare-pkt/s")
	b.ReportMetric(median(wholes, wall), "balancer-pkt/s")
	b.ReportMetric(median(wholes, wall)/median(bares, wall), "ratio")
	b.ReportMetric(1e9/median(bares, cpu), "bare-cpu-ns/pkt")
	b.ReportMetric(1e9/median(wholes, cpu), "balancer-cpu-ns/pkt")
	b.ReportMetric(median(wholes, cpu)/median(bares, cpu), "cpu-ratio")
}

func median(all []speed, of func(speed) float64) float64 {
	var v []float64
	for _, s := range all {
		v = append(v, of(s))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// slice carries relaySlice packets while the senders blast.
func (r *relay) slice(packets [][]byte) speed {
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range relaySenders {
		wg.Go(func() { blast(r.public.LocalAddr(), packets, &stop) })
	}
	for warm := 0; warm < relaySlice/10; {
		warm += r.step()
	}
	start, used := time.Now(), threadTime()
	n := 0
	for n < relaySlice {
		n += r.step()
	}
	wall, cpu := time.Since(start), threadTime()-used
	stop.Store(true)
	wg.Wait()
	return speed{wall: float64(n) / wall.Seconds(), cpu: float64(n) / cpu.Seconds()}
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var u unix.Rusage
	unix.Getrusage(unix.RUSAGE_THREAD, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func blast(to netip.AddrPort, packets [][]byte, stop *atomic.Bool) {
	c, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return
	}
	defer c.Close()
	w := udp.NewWriter(c)
	for i := 0; !stop.Load(); i++ {
		w.Add(packets[i%len(packets)], to, netip.Addr{})
	}
	w.Flush()
}

// drain reads and discards, so that the sink's buffer never fills for long.
func drain(c *udp.Conn) {
	r := udp.NewReader(c)
	for {
		if _, err := r.Read(); err != nil {
			return
		}
	}
}

func listen(b *testing.B) *udp.Conn {
	b.Helper()
	c, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return c
}

// bareRelay writes each datagram to one receiver, as it came.
func bareRelay(b *testing.B, to netip.AddrPort) *relay {
	public, internal := listen(b), listen(b)
	r, w := udp.NewReader(public), udp.NewWriter(internal)
	return &relay{public: public, step: func() int {
		n, err := r.Read()
		if err != nil {
			b.Fatal(err)
		}
		for i := range n {
			w.Add(r.Datagram(i), to, netip.Addr{})
		}
		w.Flush()
		return n
	}}
}

// balancerRelay is the daemon's own inward path.
func balancerRelay(b *testing.B, f *Forwarder) *relay {
	public, internal := listen(b), listen(b)
	ring := benchRing(b)
	d, err := newDataplane(ring, public, internal, f, newPlaces("zone-a"), newMetrics(prometheus.NewRegistry()))
	if err != nil {
		b.Fatal(err)
	}
	r, w := udp.NewReader(public), udp.NewWriter(internal)
	return &relay{public: public, step: func() int {
		n, err := d.inwardBatch(r, w)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}}
}
