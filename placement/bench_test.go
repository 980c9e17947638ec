package placement

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFirstPacket measures the choice of both agents for an Initial packet.
func BenchmarkFirstPacket(b *testing.B) {
	for _, n := range []int{3, 7, 100, 16000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			agents := testAgents(n)
			var tables Tables
			tables.Set(5, testTable(b, agents))
			load := NewLoad(n, LoadOptions{})
			for i, a := range agents {
				load.Report(a.Addr, Occupancy(i%100), testStart)
			}
			id := testID(1)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				binary.BigEndian.PutUint64(id, i)
				tables.Get(5).Choose(id, load, testStart)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	agents, load := testAgents(16000), NewLoad(16000, LoadOptions{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		load.Report(agents[i%len(agents)].Addr, Occupancy(i%100), testStart)
	}
}

func BenchmarkDecide(b *testing.B) {
	d, id := NewDecider(1, DeciderOptions{}), testID(1)
	alt := Alternate{Addr: testAgents(1)[0].Addr}
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		binary.BigEndian.PutUint64(id, i)
		d.Decide(testStart.Add(time.Duration(i)*time.Millisecond), id, 50, alt, true)
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{3, 16000} {
		agents := testAgents(n)
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				testTable(b, agents)
			}
		})
	}
}

// BenchmarkChange measures a change of one agent's weight.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{3, 16000} {
		agents := testAgents(n)
		table := testTable(b, agents)
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := agents[i%n]
				a.Weight = uint8(1 + i%200)
				table, _ = table.With(Config{Zone: "zone-0"}, a)
			}
		})
	}
}

// fleet divides 94,000 agents among 33,000 services: one has 16,000 agents, the
// others two or three.
func fleet() map[uint32][]Agent {
	const agents, services, large = 94_000, 33_000, 16_000
	all := testAgents(agents)
	byService := map[uint32][]Agent{0: all[:large]}
	for i, a := range all[large:] {
		s := uint32(1 + i%(services-1))
		byService[s] = append(byService[s], a)
	}
	return byService
}

// BenchmarkFleet builds all tables and the Load and reports their size in MB.
func BenchmarkFleet(b *testing.B) {
	byService := fleet()
	for b.Loop() {
		before := heap()
		var tables Tables
		for s, agents := range byService {
			tables.Set(s, testTable(b, agents))
		}
		load := NewLoad(94_000, LoadOptions{})
		b.ReportMetric(float64(heap()-before)/1e6, "MB")
		runtime.KeepAlive(&tables)
		runtime.KeepAlive(load)
	}
}

// BenchmarkFleetFirstPacket chooses for a different service in each iteration,
// so that tables and load reports are rarely in the processor's cache.
func BenchmarkFleetFirstPacket(b *testing.B) {
	var tables Tables
	load := NewLoad(94_000, LoadOptions{})
	for s, agents := range fleet() {
		tables.Set(s, testTable(b, agents))
		for i, a := range agents {
			load.Report(a.Addr, Occupancy(i%100), testStart)
		}
	}
	id := testID(1)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		binary.BigEndian.PutUint64(id, i)
		service := uint32(scale(mix(i), 33_000))
		tables.Get(service).Choose(id, load, testStart)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
