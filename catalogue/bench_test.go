package catalogue

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"
)

// targetEntries is the target's catalogue: 33,000 addresses, one an entry,
// which is the worst split for size.
const targetEntries = 33_000

func targetWriter() *writer {
	w := newWriter()
	for w.state.Len() < targetEntries {
		w.edit(min(MaxEdit, targetEntries-w.state.Len()), targetEntries)
	}
	return w
}

// variedSnapshot is a catalogue of the target's size whose names, owners,
// addresses and limits are random, so that it compresses no better than a
// real one.
func variedSnapshot() Snapshot {
	rng := rand.New(rand.NewPCG(3, 3))
	classes := []Class{ClassInteractive, ClassStream, ClassDownload}
	c := New()
	for c.Len() < targetEntries {
		e := Entry{
			Service:   fmt.Sprintf("svc-%08x", rng.Uint32()),
			Owner:     fmt.Sprintf("owner-%d", rng.IntN(300)),
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{10, byte(rng.Uint32()), byte(rng.Uint32()), byte(rng.Uint32())})},
			Class:     classes[rng.IntN(len(classes))],
			Limits:    Limits{Connections: 100 * rng.IntN(50), Slots: rng.IntN(20), Queue: rng.IntN(200), Deadline: time.Duration(rng.IntN(30)) * time.Second},
			Number:    uint32(c.Len() + 1),
			Version:   1 + rng.Uint64N(50),
		}
		c.put(e)
	}
	c.revision, c.checksum = 1_000_000, Checksum(rng.Uint64())
	return c.Snapshot()
}

func BenchmarkLookup(b *testing.B) {
	w := targetWriter()
	t := w.state.Table()
	byArray := make(map[[4]byte]uint32)
	keys := make([][4]byte, 0, targetEntries)
	for a, n := range w.state.addresses {
		byArray[a.As4()] = n
		keys = append(keys, a.As4())
	}
	rng := rand.New(rand.NewPCG(1, 1))
	rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	var sink uint32
	b.Run("table", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			sink += t.Number(keys[i%len(keys)])
		}
	})
	b.Run("table-miss", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			k := keys[i%len(keys)]
			k[0] = 9
			sink += t.Number(k)
		}
	})
	b.Run("map-array", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			sink += byArray[keys[i%len(keys)]]
		}
	})
	b.Run("map-addr", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			sink += w.state.addresses[netip.AddrFrom4(keys[i%len(keys)])]
		}
	})
	if sink == 1 {
		b.Fatal("unlikely")
	}
}

func BenchmarkTableBuild(b *testing.B) {
	w := targetWriter()
	b.ReportAllocs()
	for b.Loop() {
		w.state.Table()
	}
}

// BenchmarkFullLoad writes and reads the target's catalogue as a starting
// node does, and reports the stream's bytes with and without DEFLATE and the
// heap that the loaded state and its table keep.
func BenchmarkFullLoad(b *testing.B) {
	s := variedSnapshot()
	var buf bytes.Buffer
	if err := s.Write(&buf); err != nil {
		b.Fatal(err)
	}
	raw := 0
	for _, e := range s.Entries {
		raw += len(encode(e))
	}
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			var out bytes.Buffer
			_ = s.Write(&out)
		}
		b.ReportMetric(float64(buf.Len()), "B-stream")
		b.ReportMetric(float64(raw), "B-raw")
	})
	b.Run("read", func(b *testing.B) {
		var c *Catalogue
		var t *Table
		before := heapInUse()
		for b.Loop() {
			got, err := ReadSnapshot(bytes.NewReader(buf.Bytes()))
			if err != nil {
				b.Fatal(err)
			}
			c = got.Catalogue()
			t = c.Table()
		}
		b.ReportMetric(float64(heapInUse()-before), "B-heap")
		runtime.KeepAlive(c)
		runtime.KeepAlive(t)
	})
}

// BenchmarkDeflate weighs the levels of compression of a snapshot.
func BenchmarkDeflate(b *testing.B) {
	var raw []byte
	for _, e := range variedSnapshot().Entries {
		raw = append(raw, encode(e)...)
	}
	for _, level := range []int{flate.NoCompression, flate.HuffmanOnly, flate.BestSpeed, 6, flate.BestCompression} {
		b.Run(fmt.Sprint(level), func(b *testing.B) {
			var out bytes.Buffer
			for b.Loop() {
				out.Reset()
				z, _ := flate.NewWriter(&out, level)
				_, _ = z.Write(raw)
				_ = z.Close()
			}
			b.ReportMetric(float64(out.Len()), "B-out")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChange is what one change costs a node's processor: decode the
// message, apply it to the target's catalogue, and encode what goes on to
// four peers. With "table", the address index is built anew as well.
func BenchmarkChange(b *testing.B) {
	for _, rebuild := range []bool{false, true} {
		b.Run(fmt.Sprintf("table=%v", rebuild), func(b *testing.B) {
			w := targetWriter()
			s := w.state.Snapshot()
			r := NewReplica(ReplicaConfig{Peers: func(n int) []netip.AddrPort {
				return []netip.AddrPort{nodeAddr(2), nodeAddr(3), nodeAddr(4), nodeAddr(5)}[:n]
			}})
			if err := r.ReceiveBulk(epoch, nodeAddr(1), Bulk{Snapshot: &s}); err != nil {
				b.Fatal(err)
			}
			messages := make([][]byte, b.N)
			for i := range messages {
				messages[i] = Message{Changes: w.edit(1, targetEntries), Digest: w.state.Digest()}.Encode()
			}
			now := epoch
			b.ReportAllocs()
			b.ResetTimer()
			for _, data := range messages {
				now = now.Add(time.Second)
				m, err := DecodeMessage(data)
				if err != nil {
					b.Fatal(err)
				}
				r.Receive(now, nodeAddr(1), m)
				for _, p := range r.Outgoing() {
					p.Message.Encode()
				}
				if rebuild {
					r.Table()
				}
			}
			if r.Digest().Revision != w.state.revision {
				b.Fatal("not all applied")
			}
		})
	}
}

// holders is how many nodes of an exchange follow the store, as the contact
// slots of one availability zone.
const holders = 3

// spreadTimes gives the exchange changes of count entries, one each gap, and
// returns the times from the store's change to force, of every node and
// change.
func spreadTimes(x *exchange, w *writer, changes, count int, gap time.Duration) []time.Duration {
	var times []time.Duration
	begun := make(map[uint64]time.Time)
	reached := make([]uint64, len(x.nodes))
	x.onProgress = func(i int) {
		now := x.nodes[i].Digest().Revision
		for rev := reached[i] + 1; rev <= now; rev++ {
			if at, ok := begun[rev]; ok {
				times = append(times, x.now.Sub(at))
			}
		}
		reached[i] = now
	}
	for range changes {
		list := w.edit(count, 1<<20)
		begun[w.state.revision] = x.now
		for i := range min(holders, len(x.nodes)) {
			x.change(i, func(r *Replica) { _ = r.ReceiveLoad(x.now, Bulk{Changes: list}) })
		}
		x.run(x.now.Add(gap), nil)
	}
	x.run(x.now.Add(time.Minute), converged(x, w.state.Digest()))
	slices.Sort(times)
	return times
}

func quantile(sorted []time.Duration, q float64) float64 {
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i]) / float64(time.Millisecond)
}

// BenchmarkSpread reports the time to force of single changes, 10 of them 3 s
// apart, known at first to 3 nodes. Run with -benchtime 1x. Messages and
// bytes (with 68 bytes of datagram frame) are a node's share of a change,
// without the digests that an idle exchange of the same length sends, which
// idle-B/s reports.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 64, 512, 4096, 11_000} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("n=%d/loss=%v", n, loss), func(b *testing.B) {
				for range b.N {
					benchSpread(b, n, loss, ReplicaConfig{})
				}
			})
		}
	}
}

// BenchmarkFanout weighs how many peers are told at once and how often
// digests go out, at 4,096 nodes and 20 % loss. A fanout of 1 with 2 s is
// close to digests alone. Run with -benchtime 1x.
func BenchmarkFanout(b *testing.B) {
	for _, cfg := range []ReplicaConfig{
		{Fanout: 1, Interval: 2 * time.Second},
		{Fanout: 1}, {Fanout: 2}, {Fanout: 3}, {Fanout: 4}, {Fanout: 6},
		{Fanout: 3, Interval: time.Second}, {Fanout: 3, Interval: 250 * time.Millisecond},
	} {
		interval := cfg.Interval
		orDefault(&interval, DefaultInterval)
		b.Run(fmt.Sprintf("fanout=%d/interval=%v", cfg.Fanout, interval), func(b *testing.B) {
			for range b.N {
				benchSpread(b, 4096, 0.2, cfg)
			}
		})
	}
}

func benchSpread(b *testing.B, n int, loss float64, cfg ReplicaConfig) {
	const changes, gap = 10, 3 * time.Second
	idle := newExchange(n, loss, 7, cfg)
	idle.run(epoch.Add(changes*gap), nil)

	x := newExchange(n, loss, 7, cfg)
	times := spreadTimes(x, newWriter(), changes, 1, gap)
	if len(times) != n*changes {
		b.Fatalf("%d of %d in force", len(times), n*changes)
	}
	seconds := x.now.Sub(epoch).Seconds()
	per := float64(n * changes)
	idleBytes := float64(idle.bytes) / (changes * gap).Seconds()
	idleMessages := float64(idle.messages) / (changes * gap).Seconds()
	b.ReportMetric(quantile(times, 0.5), "p50-ms")
	b.ReportMetric(quantile(times, 0.999), "p99.9-ms")
	b.ReportMetric(quantile(times, 1), "max-ms")
	b.ReportMetric((float64(x.messages)-idleMessages*seconds)/per, "msgs/node/change")
	b.ReportMetric((float64(x.bytes)-idleBytes*seconds)/per, "B/node/change")
	b.ReportMetric(idleBytes/float64(n), "idle-B/s/node")
}

// BenchmarkBulkEdit reports the time to force of a bulk edit of 5,000
// entries, stored as ten edits of 500 at once. Run with -benchtime 1x.
func BenchmarkBulkEdit(b *testing.B) {
	for _, n := range []int{8, 64, 512} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("n=%d/loss=%v", n, loss), func(b *testing.B) {
				for range b.N {
					x := newExchange(n, loss, 7, ReplicaConfig{})
					x.run(epoch.Add(time.Second), nil)
					sent, w := x.bytes, newWriter()
					times := spreadTimes(x, w, 10, MaxEdit, 0)
					if !converged(x, w.state.Digest())() {
						b.Fatal("not all in force")
					}
					b.ReportMetric(quantile(times, 0.5), "p50-ms")
					b.ReportMetric(quantile(times, 1), "max-ms")
					b.ReportMetric(float64(x.bytes-sent)/float64(n), "datagram-B/node")
					b.ReportMetric(float64(x.bulkSize)/float64(n), "bulk-B/node")
					b.ReportMetric(float64(x.bulks)/float64(n), "bulks/node")
				}
			})
		}
	}
}

// BenchmarkColdStart reports how long n empty nodes take to load the target's
// catalogue from one that has it and from each other, as after a power cut.
// Run with -benchtime 1x.
func BenchmarkColdStart(b *testing.B) {
	s := variedSnapshot()
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for range b.N {
				x := newExchange(n, 0.05, 7, ReplicaConfig{})
				if err := x.nodes[0].ReceiveLoad(x.now, Bulk{Snapshot: &s}); err != nil {
					b.Fatal(err)
				}
				done := converged(x, s.Digest)
				x.run(epoch.Add(5*time.Minute), done)
				if !done() {
					b.Fatal("not all loaded")
				}
				b.ReportMetric(float64(x.now.Sub(epoch).Milliseconds()), "all-ms")
				b.ReportMetric(float64(x.bulkSize)/float64(n), "bulk-B/node")
				b.ReportMetric(float64(x.bulks)/float64(n), "bulks/node")
			}
		})
	}
}
