package catalogue_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"

	. "github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/catalogue/lab"
)

// BenchmarkFullLoad writes and reads a catalogue of the target size as for a
// starting node. It reports the size of the stream with and without DEFLATE and
// the heap size of the loaded state and its table.
func BenchmarkFullLoad(b *testing.B) {
	s := lab.RandomSnapshot()
	var buf bytes.Buffer
	if err := s.Write(&buf); err != nil {
		b.Fatal(err)
	}
	raw := 0
	for _, e := range s.Entries {
		raw += len(EncodeEntry(e))
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

// BenchmarkDeflate compares compression levels for a snapshot.
func BenchmarkDeflate(b *testing.B) {
	var raw []byte
	for _, e := range lab.RandomSnapshot().Entries {
		raw = append(raw, EncodeEntry(e)...)
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
