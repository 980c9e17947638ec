package admission

import (
	"testing"
	"time"
)

func BenchmarkOfferDone(b *testing.B) {
	c := New(t0, Config{Slots: 5})
	now := t0
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.Offer(now, Request{ID: i, Owner: "a", Deadline: now.Add(time.Second)})
		c.Done(now, i, Result{Outcome: OK})
	}
}

// BenchmarkOfferQueued runs with five busy slots and 45 waiting requests of
// three owners: each Done starts one, each Offer queues one.
func BenchmarkOfferQueued(b *testing.B) {
	c := New(t0, Config{Slots: 5, Queue: 50, ServiceTime: time.Millisecond})
	owners := []string{"a", "b", "c"}
	now := t0
	var running []uint64
	var buf []Effect
	offer := func(i uint64) {
		d := c.Offer(now, Request{ID: i, Owner: owners[i%3], Deadline: now.Add(time.Hour)})
		if d.Verdict == Admitted {
			running = append(running, i)
		}
	}
	for i := range uint64(50) {
		offer(i)
	}
	b.ReportAllocs()
	for i := uint64(50); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.Done(now, running[0], Result{Outcome: OK})
		running = append(running[:0], running[1:]...)
		buf = c.Effects(buf[:0])
		for _, e := range buf {
			running = append(running, e.ID)
		}
		offer(i)
	}
}

func BenchmarkOfferRefused(b *testing.B) {
	c := New(t0, Config{Slots: 5, Queue: -1})
	for i := range uint64(5) {
		c.Offer(t0, Request{ID: i, Owner: "a"})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Offer(t0, Request{ID: 99, Owner: "a"})
	}
}
