package catalogue

import (
	"context"
	"net/netip"
	"testing"
	"time"
)

// changesPerDay is the target number of catalogue changes per day.
const changesPerDay = 32_000

// BenchmarkHolderCalls reports the calls of the store by one contact-slot holder
// in an hour at the target rate of changes, with a watch timeout of 10 s at the
// store. Run with -benchtime 1x.
func BenchmarkHolderCalls(b *testing.B) {
	for range b.N {
		st := newMemStore(1)
		d := &holderSimulation{st: st, now: epoch}
		d.f = NewFollower(FollowerConfig{Rand: st.rng}, NewReplica(ReplicaConfig{Peers: noPeers}))
		ed := &Editor{Store: st}
		w := newWriter()
		next := d.now
		for d.now.Sub(epoch) < time.Hour {
			if !d.now.Before(next) {
				next = next.Add(24 * time.Hour / changesPerDay)
				if _, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{w.edit(1, 1<<20)[0].Entry}}); err != nil {
					b.Fatal(err)
				}
			}
			d.step()
		}
		s := d.f.Stats()
		b.ReportMetric(float64(s.Calls[CallCheck])/3600, "checks/s")
		b.ReportMetric(float64(s.Calls[CallWatch])/3600, "watches/s")
		b.ReportMetric(float64(s.Calls[CallLoad])/3600, "loads/s")
		b.ReportMetric(float64(d.bytes)/3600, "B/s")
	}
}

// BenchmarkEditCalls reports the calls of the store for an edit of one entry in a
// catalogue of the target size, as the mean of 100 consecutive edits, so that
// log pages and new bases are included. Run with -benchtime 1x.
func BenchmarkEditCalls(b *testing.B) {
	st, w := targetStore(b)
	ed := &Editor{Store: st}
	const edits = 100
	for range b.N {
		st.reads, st.writes = 0, 0
		start := time.Now()
		for range edits {
			if _, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{w.edit(1, targetEntries)[0].Entry}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(st.reads)/edits, "reads/edit")
		b.ReportMetric(float64(st.writes)/edits, "writes/edit")
		b.ReportMetric(float64(time.Since(start).Milliseconds())/edits, "ms/edit")
		largest := 0
		for _, v := range st.values {
			largest = max(largest, len(v.Data))
		}
		b.ReportMetric(float64(largest), "B-largest-value")
		b.ReportMetric(float64(len(st.values)), "keys")
	}
}

// BenchmarkHistoryKept reports the smallest number of changes kept in the store
// during 4,000 single edits, not counting the first 2,000. Run with
// -benchtime 1x.
func BenchmarkHistoryKept(b *testing.B) {
	for range b.N {
		st, w := newMemStore(1), newWriter()
		ed := &Editor{Store: st}
		minKept := uint64(1 << 63)
		for i := range 4000 {
			if _, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{w.edit(1, 1000)[0].Entry}}); err != nil {
				b.Fatal(err)
			}
			h, _, err := ReadHead(context.Background(), st)
			if err != nil {
				b.Fatal(err)
			}
			if i >= 2000 {
				minKept = min(minKept, h.Revision-h.oldest())
			}
		}
		b.ReportMetric(float64(minKept), "changes")
		b.ReportMetric(float64(minKept)*24*60/changesPerDay, "minutes")
	}
}

// targetStore returns a store that contains a catalogue of the target size.
func targetStore(b *testing.B) (*memStore, *writer) {
	st, w := newMemStore(1), newWriter()
	ed := &Editor{Store: st}
	for w.state.Len() < targetEntries {
		e := Edit{Editor: "ayse"}
		for _, ch := range w.edit(min(MaxEdit, targetEntries-w.state.Len()), targetEntries) {
			e.Put = append(e.Put, ch.Entry)
		}
		if _, err := ed.Apply(context.Background(), e); err != nil {
			b.Fatal(err)
		}
	}
	return st, w
}

func noPeers(int) []netip.AddrPort { return nil }

// storeWatchTimeout is the watch timeout of the store.
const storeWatchTimeout = 10 * time.Second

// holderSimulation drives a follower in simulated time and counts the bytes that
// it reads.
type holderSimulation struct {
	st      *memStore
	f       *Follower
	now     time.Time
	watches []openWatch
	bytes   int
}

type openWatch struct {
	call Call
	end  time.Time
}

// step advances the time by 50 ms and makes the follower's calls.
func (h *holderSimulation) step() {
	h.now = h.now.Add(50 * time.Millisecond)
	for _, c := range h.f.Next(h.now) {
		if c.Kind == CallWatch {
			h.watches = append(h.watches, openWatch{c, h.now.Add(storeWatchTimeout)})
			continue
		}
		r := MakeCall(context.Background(), h.st, c)
		h.bytes += len(r.Value.Data)
		h.f.Done(h.now, r)
	}
	pending := h.watches
	h.watches = nil
	for _, w := range pending {
		v, err := h.st.Get(context.Background(), HeadKey)
		switch {
		case err == nil && v.Version > w.call.Version:
			h.bytes += len(v.Data)
			h.f.Done(h.now, Result{Call: w.call, Value: v})
		case !h.now.Before(w.end):
			h.f.Done(h.now, Result{Call: w.call, Err: &StoreError{KindWatchTimeout, errDown}})
		default:
			h.watches = append(h.watches, w)
		}
	}
}
