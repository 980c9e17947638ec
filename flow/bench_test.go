package flow

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchDirector returns a balancer that knows n agents of listing, all ready.
func benchDirector(n int) (*Director, time.Time) {
	now := time.Unix(1000, 0)
	d := NewDirector(now, DirectorConfig{Zone: "a"}, nil)
	d.SetRoutes(testRoutes(1))
	for i := range n {
		m := Message{Kind: Report, State: ServerReady, Service: listing, Incarnation: uint64(i), ReadAge: ReadUnknown}
		d.FromAgent(now, agentAddr(i), &m, nil, nil)
	}
	d.Effects()
	return d, now
}

func benchKey(i int) Key {
	return Key{Caller: [4]byte{100, 64, byte(i >> 16), byte(i >> 24)}, CallerPort: uint16(i), Service: serviceAddr(listingPort).Addr().As4(), ServicePort: listingPort}
}

func BenchmarkKnownFlow(b *testing.B) {
	d, now := benchDirector(7)
	s := Segment{Key: benchKey(1), Seq: 1, Syn: true}
	packet := make([]byte, 32)
	d.FromCaller(now, s, packet)
	e := d.flows[s.Key]
	d.setHolder(e, e.agent)
	s.Syn, s.HasAck = false, true
	b.ReportAllocs()
	for b.Loop() {
		d.FromCaller(now, s, packet)
		d.Effects()
	}
}

func BenchmarkFirstPacket(b *testing.B) {
	for _, n := range []int{7, 47} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			d, now := benchDirector(n)
			packet := make([]byte, 32)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				s := Segment{Key: benchKey(i), Seq: 1, Syn: true}
				d.FromCaller(now, s, packet)
				e := d.flows[s.Key]
				m := Message{Kind: Taken, Key: s.Key, State: ServerReady, Service: listing, ReadAge: ReadUnknown}
				d.FromAgent(now, e.agent, &m, nil, nil)
				d.Effects()
				d.removeEntry(s.Key)
				for d.offerTimeouts.len() > 0 {
					d.offerTimeouts.pop()
				}
			}
		})
	}
}

func BenchmarkUnknownFlow(b *testing.B) {
	for _, n := range []int{7, 47} {
		b.Run(fmt.Sprint("agents=", n), func(b *testing.B) {
			d, now := benchDirector(n)
			packet := make([]byte, 100)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				s := Segment{Key: benchKey(i), Seq: 1, Ack: 2, HasAck: true, Data: 68}
				d.FromCaller(now, s, packet)
				d.Effects()
				d.removeEntry(s.Key)
				for d.lookupRetries.len() > 0 {
					d.lookupRetries.pop()
				}
			}
		})
	}
}

func BenchmarkGatePacket(b *testing.B) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "a", Sequence: 1, Service: listing, Slots: 5})
	packet := make([]byte, 32)
	s := Segment{Key: benchKey(1), Seq: 1, Syn: true}
	open := Message{Kind: Open, Service: listing, ReadAge: ReadUnknown}
	g.FromBalancer(now, balancerA, &open, &s, packet)
	g.FromServer(now, Segment{Key: s.Key, Seq: 9, Syn: true, HasAck: true}, packet)
	pass := Message{Kind: Pass, ReadAge: ReadUnknown}
	data := Segment{Key: s.Key, Seq: 2, Ack: 10, HasAck: true}
	b.ReportAllocs()
	for b.Loop() {
		g.FromBalancer(now, balancerA, &pass, &data, packet)
		g.Effects()
	}
}

// A packet of a known flow allocates nothing in a balancer: the garbage collector would
// otherwise take the small VMs' processors.
func TestKnownFlowAllocatesNothing(t *testing.T) {
	d, now := benchDirector(7)
	s := Segment{Key: benchKey(1), Seq: 1, Syn: true}
	packet := make([]byte, 32)
	d.FromCaller(now, s, packet)
	e := d.flows[s.Key]
	d.setHolder(e, e.agent)
	s.Syn, s.HasAck = false, true
	if n := testing.AllocsPerRun(1000, func() {
		d.FromCaller(now, s, packet)
		d.Effects()
	}); n != 0 {
		t.Errorf("%v allocations per packet", n)
	}
}

// BenchmarkMemory reports the live heap per flow in the tables of a balancer and an
// agent.
func BenchmarkMemory(b *testing.B) {
	const flows = 60_000
	report := func(b *testing.B, fill func() any) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := fill()
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	}
	b.Run("balancer", func(b *testing.B) {
		report(b, func() any {
			d, now := benchDirector(7)
			packet := make([]byte, 32)
			for i := range flows {
				if i%1000 == 0 {
					now = now.Add(2 * DefaultOpenTimeout)
					d.Tick(now) // removes the timeouts of answered offers
				}
				s := Segment{Key: benchKey(i), Seq: 1, Syn: true}
				d.FromCaller(now, s, packet)
				e := d.flows[s.Key]
				d.FromAgent(now, e.agent, &Message{Kind: Taken, Key: s.Key, State: ServerReady, Service: listing, ReadAge: ReadUnknown}, nil, nil)
				d.Effects()
			}
			d.Tick(now.Add(2 * DefaultOpenTimeout))
			d.Effects()
			return d
		})
	})
	b.Run("agent", func(b *testing.B) {
		report(b, func() any {
			now := time.Unix(1000, 0)
			g := NewGate(now, GateConfig{MaxFlows: flows + 1, Service: listing}, nil)
			packet := make([]byte, 32)
			for i := range flows {
				g.FromServer(now, Segment{Key: benchKey(i), Seq: 1, HasAck: true, Data: 10}, packet)
				g.Effects()
			}
			return g
		})
	})
}

// Guards against a flood of first packets or packets of unknown flows that takes a
// small VM's processor from open flows. If each such packet allocated instead of
// reusing the memory of ended flows, the garbage collector would run without end.
func TestPacketsAllocateNothing(t *testing.T) {
	packet := make([]byte, 100)
	d, now := benchDirector(47)
	for _, c := range []struct {
		name string
		run  func(i int)
	}{
		{"known flow", func(int) {
			d.FromCaller(now, Segment{Key: benchKey(1), Seq: 2, HasAck: true, Data: 68}, packet)
		}},
		{"first packet", func(i int) {
			key := benchKey(i)
			d.FromCaller(now, Segment{Key: key, Seq: 1, Syn: true}, packet[:32])
			d.FromAgent(now, d.flows[key].agent, &Message{Kind: Taken, Key: key, State: ServerReady, Service: listing, ReadAge: ReadUnknown}, nil, nil)
			d.removeEntry(key)
			d.offerTimeouts.pop()
		}},
		{"unknown flow", func(i int) {
			d.FromCaller(now, Segment{Key: benchKey(i), Seq: 1, Ack: 2, HasAck: true, Data: 68}, packet)
			d.removeEntry(benchKey(i))
			d.lookupRetries.pop()
		}},
	} {
		known := benchKey(1)
		d.FromCaller(now, Segment{Key: known, Seq: 1, Syn: true}, packet[:32])
		d.setHolder(d.flows[known], d.flows[known].agent)
		d.Effects()
		i := 1
		run := func() {
			i++
			c.run(i)
			d.Effects()
		}
		for range 100 {
			run()
		}
		if n := testing.AllocsPerRun(1000, run); n != 0 {
			t.Errorf("%s: %v allocations per packet", c.name, n)
		}
	}
}

// Guards against a flood of packets that takes a small VM's processor from open flows at
// an agent. It allocates nothing when a flow is opened, used and removed.
func TestAgentsPacketsAllocateNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(now, GateConfig{Service: listing}, nil)
	g.Heartbeat(now, Heartbeat{Instance: "i", Sequence: 1, Service: listing, Slots: 5})
	packet := make([]byte, 100)
	i := 0
	run := func() {
		i++
		key := benchKey(i)
		first := Segment{Key: key, Seq: 1, Syn: true}
		g.FromBalancer(now, balancerA, &Message{Kind: Open, Service: listing, Key: key}, &first, packet)
		g.FromServer(now, Segment{Key: key, Seq: 9, Ack: 2, Syn: true, HasAck: true}, packet)
		data := Segment{Key: key, Seq: 2, Ack: 10, HasAck: true, Data: 68}
		g.FromBalancer(now, balancerA, &Message{Kind: Pass}, &data, packet)
		g.FromServer(now, Segment{Key: key, Seq: 10, Ack: 70, HasAck: true, Data: 68}, packet)
		g.removeFlow(key, RemovedClosed)
		g.unanswered.pop()
		g.unconfirmedFlows.pop()
		g.Effects()
	}
	for range 100 {
		run()
	}
	if n := testing.AllocsPerRun(1000, run); n != 0 {
		t.Errorf("%v allocations per flow", n)
	}
}
