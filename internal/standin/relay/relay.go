// Package relay measures how many packets a process's duty carries, against a
// bare loop of recvmmsg and sendmmsg that ran in turns with it on one thread, so
// that whatever else the machine does hits both.
package relay

import (
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockscale/hemlockscale/internal/udp"
)

const (
	// packetsPerRound is how many packets one relay carries before the other one has its
	// turn.
	packetsPerRound = 100_000
	// senders blast packets at the relay, which has to be the bottleneck.
	senders = 2
)

// Relay is one way from a socket that packets come to, to another one.
type Relay struct {
	To   netip.AddrPort // where packets come to
	Step func() int     // carries one batch and returns its length
}

// speed is what one slice measured.
type speed struct {
	wall float64 // packets a second
	cpu  float64 // packets a second of the relaying thread's processor time
}

// Compare runs whole and a bare relay to sink in turns and reports the medians
// over all turns; name is what whole is called in the result. Run it with
// -benchtime 20x: one iteration is one turn of each.
func Compare(b *testing.B, name string, whole *Relay, sink netip.AddrPort, packets [][]byte) {
	bare := bareRelay(b, sink)
	var bares, wholes []speed
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for b.Loop() {
		bares = append(bares, bare.round(packets))
		wholes = append(wholes, whole.round(packets))
	}
	wall := func(s speed) float64 { return s.wall }
	cpu := func(s speed) float64 { return s.cpu }
	b.ReportMetric(median(bares, wall), "bare-pkt/s")
	b.ReportMetric(median(wholes, wall), name+"-pkt/s")
	b.ReportMetric(median(wholes, wall)/median(bares, wall), "ratio")
	b.ReportMetric(1e9/median(bares, cpu), "bare-cpu-ns/pkt")
	b.ReportMetric(1e9/median(wholes, cpu), name+"-cpu-ns/pkt")
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

// round carries one turn of packets while the senders blast.
func (r *Relay) round(packets [][]byte) speed {
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { sendUntil(r.To, packets, &stop) })
	}
	for warm := 0; warm < packetsPerRound/10; {
		warm += r.Step()
	}
	start, used := time.Now(), threadTime()
	n := 0
	for n < packetsPerRound {
		n += r.Step()
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

func sendUntil(to netip.AddrPort, packets [][]byte, stop *atomic.Bool) {
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

// Drain reads and discards, so that the sink's buffer never fills for long.
func Drain(c *udp.Conn) {
	r := udp.NewReader(c)
	for {
		if _, err := r.Read(); err != nil {
			return
		}
	}
}

// Listen opens a loopback socket that ends with the benchmark.
func Listen(b *testing.B) *udp.Conn {
	b.Helper()
	c, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return c
}

// bareRelay writes each datagram to one receiver, as it came.
func bareRelay(b *testing.B, to netip.AddrPort) *Relay {
	public, internal := Listen(b), Listen(b)
	r, w := udp.NewReader(public), udp.NewWriter(internal)
	return &Relay{To: public.LocalAddr(), Step: func() int {
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
