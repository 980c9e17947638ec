package catalogue

import (
	"context"
	"net/netip"
	"testing"
	"time"
)

// ratePerDay is the target's number of catalogue changes a day.
const ratePerDay = 32_000

// BenchmarkHolderCalls reports what one contact-slot holder asks of the store
// over an hour at the target's rate of changes, with a store that lets a
// watch wait for 10 s. Run with -benchtime 1x.
func BenchmarkHolderCalls(b *testing.B) {
	for range b.N {
		st := newMemStore(1)
		d := &holderClock{st: st, now: epoch}
		d.f = NewFollower(FollowerConfig{Rand: st.rng}, NewReplica(ReplicaConfig{Peers: noPeers}))
		ed := &Editor{Store: st}
		w := newWriter()
		next := d.now
		for d.now.Sub(epoch) < time.Hour {
			if !d.now.Before(next) {
				next = next.Add(24 * time.Hour / ratePerDay)
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

// BenchmarkEditCalls reports what one edit of one entry asks of the store on
// top of the target's catalogue: the mean of 100 edits in a row, so that
// pages and the new bases that they cause count in. Run with -benchtime 1x.
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

// BenchmarkHistoryKept reports the fewest changes that the store kept over
// 4,000 single edits, the first 2,000 left out. Run with -benchtime 1x.
func BenchmarkHistoryKept(b *testing.B) {
	for range b.N {
		st, w := newMemStore(1), newWriter()
		ed := &Editor{Store: st}
		fewest := uint64(1 << 63)
		for i := range 4000 {
			if _, err := ed.Apply(context.Background(), Edit{Editor: "ayse", Put: []Entry{w.edit(1, 1000)[0].Entry}}); err != nil {
				b.Fatal(err)
			}
			h, _, err := ReadHead(context.Background(), st)
			if err != nil {
				b.Fatal(err)
			}
			if i >= 2000 {
				fewest = min(fewest, h.Revision-h.oldest())
			}
		}
		b.ReportMetric(float64(fewest), "changes")
		b.ReportMetric(float64(fewest)*24*60/ratePerDay, "minutes")
	}
}

// targetStore holds the target's catalogue.
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

// storeWait is how long the store lets a watch wait.
const storeWait = 10 * time.Second

// holderClock drives a follower in simulated time and counts what it reads.
type holderClock struct {
	st      *memStore
	f       *Follower
	now     time.Time
	watches []waiting
	bytes   int
}

type waiting struct {
	call Call
	end  time.Time
}

func (d *holderClock) step() {
	d.now = d.now.Add(50 * time.Millisecond)
	for _, c := range d.f.Next(d.now) {
		if c.Kind == CallWatch {
			d.watches = append(d.watches, waiting{c, d.now.Add(storeWait)})
			continue
		}
		r := MakeCall(context.Background(), d.st, c)
		d.bytes += len(r.Value.Data)
		d.f.Done(d.now, r)
	}
	pending := d.watches
	d.watches = nil
	for _, w := range pending {
		v, err := d.st.Get(context.Background(), HeadKey)
		switch {
		case err == nil && v.Version > w.call.Version:
			d.bytes += len(v.Data)
			d.f.Done(d.now, Result{Call: w.call, Value: v})
		case !d.now.Before(w.end):
			d.f.Done(d.now, Result{Call: w.call, Err: &StoreError{KindWatchTimeout, errDown}})
		default:
			d.watches = append(d.watches, w)
		}
	}
}
