package catalogue

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// followed drives a follower against a memStore in simulated time. Watches
// wait in the driver: they answer when the head moves, unless stopped.
type followed struct {
	t       *testing.T
	now     time.Time
	st      *memStore
	f       *Follower
	r       *Replica
	watches []Call
	stopped bool
}

func newFollowed(t *testing.T) *followed {
	r := NewReplica(ReplicaConfig{Peers: func(int) []netip.AddrPort { return nil }})
	f := NewFollower(FollowerConfig{Rand: rand.New(rand.NewPCG(1, 4))}, r)
	return &followed{t: t, now: epoch, st: newMemStore(1), f: f, r: r}
}

// step passes a tenth of a second.
func (d *followed) step() {
	d.now = d.now.Add(100 * time.Millisecond)
	for _, c := range d.f.Next(d.now) {
		if c.Kind == CallWatch {
			d.watches = append(d.watches, c)
			continue
		}
		d.f.Done(d.now, MakeCall(context.Background(), d.st, c))
	}
	waiting := d.watches
	d.watches = nil
	for _, c := range waiting {
		v, err := d.st.Get(context.Background(), HeadKey)
		if d.stopped || err == nil && v.Version <= c.Version {
			d.watches = append(d.watches, c)
			continue
		}
		d.f.Done(d.now, Result{Call: c, Value: v, Err: err})
	}
}

// until steps until the replica holds revision and returns the time it took.
func (d *followed) until(revision uint64) time.Duration {
	d.t.Helper()
	start := d.now
	for d.r.Digest().Revision < revision {
		if d.now.Sub(start) > time.Minute {
			d.t.Fatalf("revision %d, want %d: %+v", d.r.Digest().Revision, revision, d.f.Stats())
		}
		d.step()
	}
	return d.now.Sub(start)
}

func (d *followed) edit(n int) uint64 {
	d.t.Helper()
	w := newWriter()
	w.n = int(d.st.version) * 1000
	var e []Entry
	for _, ch := range w.edit(n, 1<<20) {
		e = append(e, ch.Entry)
	}
	down := d.st.down
	d.st.set(0, 0, 0)
	a := put(d.t, &Editor{Store: d.st}, e...)
	d.st.set(down, 0, 0)
	return a.Revision
}

func TestFollowerFollows(t *testing.T) {
	d := newFollowed(t)
	d.until(d.edit(3))
	if took := d.until(d.edit(1)); took > 200*time.Millisecond {
		t.Errorf("a watched change took %v", took)
	}
	d.until(d.edit(400)) // past the tail: needs a load
	if !d.r.Digest().Confirmed {
		t.Error("the store's own state is not confirmed")
	}
}

// Symptom: a contact-slot holder stays at an old revision without an error.
// Events: its watch is dropped in between and never answers nor ends; the
// catalogue is edited.
// Cause: a waiting call that stopped looks like a quiet key.
func TestFollowerDetectsStoppedWatch(t *testing.T) {
	d := newFollowed(t)
	d.until(d.edit(1))
	d.step()
	d.stopped = true
	for range 5 {
		if took := d.until(d.edit(1)); took > DefaultCheck+200*time.Millisecond {
			t.Errorf("took %v behind a stopped watch", took)
		}
	}
	if d.f.Stats().Stopped == 0 {
		t.Error("no stopped watch was counted")
	}
}

// Symptom: the catalogue is gone, or the store is overrun when it returns.
// Events: the store is down for an hour, then back with a newer revision.
// Cause: a follower that drops its copy or repeats failed calls at once.
func TestFollowerOutlivesOutage(t *testing.T) {
	d := newFollowed(t)
	held := d.edit(1)
	d.until(held)
	d.st.set(1, 0, 0)
	before := d.f.Stats()
	for range 36000 {
		d.step()
	}
	calls := d.f.Stats().Calls[CallCheck] + d.f.Stats().Calls[CallWatch] - before.Calls[CallCheck] - before.Calls[CallWatch]
	if rate := float64(calls) / 3600; rate > 2.5 {
		t.Errorf("%.1f calls a second during the outage", rate)
	}
	if d.r.Digest().Revision != held {
		t.Fatalf("revision %d after the outage, want %d", d.r.Digest().Revision, held)
	}
	d.st.set(0, 0, 0)
	if took := d.until(d.edit(1)); took > DefaultBackoffMax+300*time.Millisecond {
		t.Errorf("took %v after the outage", took)
	}
}

// Symptom: a slow answer of the store reverts a newer state from peers.
// Events: a read of the head is on its way while gossip brings the next one.
// Cause: the answer describes the past.
func TestLateAnswerDoesNotRevert(t *testing.T) {
	d := newFollowed(t)
	d.edit(1)
	calls := d.f.Next(d.now)
	late := MakeCall(context.Background(), d.st, calls[0])
	next := d.edit(1)
	b, err := LoadSince(context.Background(), d.st, Digest{})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.r.ReceiveBulk(d.now, nodeAddr(2), b); err != nil {
		t.Fatal(err)
	}
	d.f.Done(d.now, late)
	if d.r.Digest().Revision != next {
		t.Fatalf("revision %d, want %d", d.r.Digest().Revision, next)
	}
}
