package catalogue

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// targetEntries is the target number of entries: 33,000 addresses with one per
// entry, the division that gives the largest catalogue.
const targetEntries = 33_000

// targetWriter returns a writer whose catalogue has targetEntries entries.
func targetWriter() *writer {
	w := newWriter()
	for w.state.Len() < targetEntries {
		w.edit(min(MaxEdit, targetEntries-w.state.Len()), targetEntries)
	}
	return w
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
		b.Fatal("the service numbers sum to 1")
	}
}

func BenchmarkTableBuild(b *testing.B) {
	w := targetWriter()
	b.ReportAllocs()
	for b.Loop() {
		w.state.Table()
	}
}

// BenchmarkChange measures the processing of one change by a node: decoding the
// message, applying it to a catalogue of the target size and encoding the
// messages to four peers. With "table=true" the address index is rebuilt as well.
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
				b.Fatal("not all changes were applied")
			}
		})
	}
}
