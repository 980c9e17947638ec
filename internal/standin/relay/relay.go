// Package relay measures how many packets per second a forwarding loop of a process
// relays, compared with a bare loop of recvmmsg and sendmmsg. The two run alternately on
// one thread, so that other load on the machine affects both.
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
	// packetsPerRound is the number of packets that one relay forwards before the other
	// one runs.
	packetsPerRound = 100_000
	// senders is the number of goroutines that send packets without pause, so that the
	// relay is the bottleneck.
	senders = 2
)

// Relay forwards packets from one socket to another.
type Relay struct {
	To   netip.AddrPort // the address that receives packets
	Step func() int     // forwards one batch and returns its number of packets
}

// speed is the result of one round.
type speed struct {
	wall float64 // packets per second
	cpu  float64 // packets per second of CPU time of the relaying thread
}

// Compare runs measured and a bare relay to sink alternately and reports the medians
// over all rounds; name is the name of measured in the reported metrics. Run it with
// -benchtime 20x: one iteration is one round of each.
func Compare(b *testing.B, name string, measured *Relay, sink netip.AddrPort, packets [][]byte) {
	bare := bareRelay(b, sink)
	var bareSpeeds, measuredSpeeds []speed
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for b.Loop() {
		bareSpeeds = append(bareSpeeds, bare.round(packets))
		measuredSpeeds = append(measuredSpeeds, measured.round(packets))
	}
	wall := func(s speed) float64 { return s.wall }
	cpu := func(s speed) float64 { return s.cpu }
	b.ReportMetric(median(bareSpeeds, wall), "bare-pkt/s")
	b.ReportMetric(median(measuredSpeeds, wall), name+"-pkt/s")
	b.ReportMetric(median(measuredSpeeds, wall)/median(bareSpeeds, wall), "ratio")
	b.ReportMetric(1e9/median(bareSpeeds, cpu), "bare-cpu-ns/pkt")
	b.ReportMetric(1e9/median(measuredSpeeds, cpu), name+"-cpu-ns/pkt")
	b.ReportMetric(median(measuredSpeeds, cpu)/median(bareSpeeds, cpu), "cpu-ratio")
}

func median(all []speed, of func(speed) float64) float64 {
	var v []float64
	for _, s := range all {
		v = append(v, of(s))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// round forwards packetsPerRound packets while the senders run, after a warm-up.
func (r *Relay) round(packets [][]byte) speed {
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { sendPackets(r.To, packets, &stop) })
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

// threadTime returns the CPU time of the calling thread.
func threadTime() time.Duration {
	var u unix.Rusage
	unix.Getrusage(unix.RUSAGE_THREAD, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendPackets sends packets to to, over and over, until stop is set.
func sendPackets(to netip.AddrPort, packets [][]byte, stop *atomic.Bool) {
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

// Drain reads and discards datagrams until c is closed, so that the sink's buffer does
// not stay full.
func Drain(c *udp.Conn) {
	r := udp.NewReader(c)
	for {
		if _, err := r.Read(); err != nil {
			return
		}
	}
}

// Listen opens a loopback socket that is closed at the end of the benchmark.
func Listen(b *testing.B) *udp.Conn {
	b.Helper()
	c, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return c
}

// bareRelay returns a relay that forwards each datagram unchanged to one receiver.
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
