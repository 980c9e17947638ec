package catalogue

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// followerDriver drives a follower against a memStore in simulated time. The
// driver keeps open watches and answers them when the head changes, unless
// watchesStopped is set.
type followerDriver struct {
	t              *testing.T
	now            time.Time
	st             *memStore
	f              *Follower
	r              *Replica
	watches        []Call
	watchesStopped bool
}

func newFollowerDriver(t *testing.T) *followerDriver {
	r := NewReplica(ReplicaConfig{Peers: func(int) []netip.AddrPort { return nil }})
	f := NewFollower(FollowerConfig{Rand: rand.New(rand.NewPCG(1, 4))}, r)
	return &followerDriver{t: t, now: epoch, st: newMemStore(1), f: f, r: r}
}

// step advances the time by a tenth of a second and makes the follower's calls.
func (d *followerDriver) step() {
	d.now = d.now.Add(100 * time.Millisecond)
	for _, c := range d.f.Next(d.now) {
		if c.Kind == CallWatch {
			d.watches = append(d.watches, c)
			continue
		}
		d.f.Done(d.now, MakeCall(context.Background(), d.st, c))
	}
	pending := d.watches
	d.watches = nil
	for _, c := range pending {
		v, err := d.st.Get(context.Background(), HeadKey)
		if d.watchesStopped || err == nil && v.Version <= c.Version {
			d.watches = append(d.watches, c)
			continue
		}
		d.f.Done(d.now, Result{Call: c, Value: v, Err: err})
	}
}

// waitFor steps until the replica is at revision and returns the time it took.
func (d *followerDriver) waitFor(revision uint64) time.Duration {
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

// edit puts n entries into the store, even during an outage, and returns the
// revision.
func (d *followerDriver) edit(n int) uint64 {
	d.t.Helper()
	w := newWriter()
	w.nextEntry = int(d.st.version) * 1000
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
	d := newFollowerDriver(t)
	d.waitFor(d.edit(3))
	if took := d.waitFor(d.edit(1)); took > 200*time.Millisecond {
		t.Errorf("a watched change took %v", took)
	}
	d.waitFor(d.edit(400)) // more changes than the tail holds: needs a load
	if !d.r.Digest().Confirmed {
		t.Error("the digest of the store's state is not confirmed")
	}
}

// Guards against a contact-slot holder that stays at an old revision without an
// error: an intermediary drops its watch, which then neither answers nor ends
// and looks like the watch of a key that doesn't change.
func TestFollowerDetectsStoppedWatch(t *testing.T) {
	d := newFollowerDriver(t)
	d.waitFor(d.edit(1))
	d.step()
	d.watchesStopped = true
	for range 5 {
		if took := d.waitFor(d.edit(1)); took > DefaultCheckInterval+200*time.Millisecond {
			t.Errorf("a change took %v while the watch was stopped", took)
		}
	}
	if d.f.Stats().Stopped == 0 {
		t.Error("no stopped watch was counted")
	}
}

// Guards against a follower that drops its state while the store is down, or
// that retries failed calls immediately and overloads the store when it returns.
// The store is down for an hour and then has a newer revision.
func TestFollowerKeepsStateThroughOutage(t *testing.T) {
	d := newFollowerDriver(t)
	held := d.edit(1)
	d.waitFor(held)
	d.st.set(1, 0, 0)
	before := d.f.Stats()
	for range 36000 {
		d.step()
	}
	calls := d.f.Stats().Calls[CallCheck] + d.f.Stats().Calls[CallWatch] - before.Calls[CallCheck] - before.Calls[CallWatch]
	if rate := float64(calls) / 3600; rate > 2.5 {
		t.Errorf("%.1f calls per second during the outage", rate)
	}
	if d.r.Digest().Revision != held {
		t.Fatalf("revision %d after the outage, want %d", d.r.Digest().Revision, held)
	}
	d.st.set(0, 0, 0)
	if took := d.waitFor(d.edit(1)); took > DefaultBackoffMax+300*time.Millisecond {
		t.Errorf("a change took %v after the outage", took)
	}
}

// Guards against a slow answer of the store reverting a newer state: while a
// read of the head is in progress, a newer revision arrives by gossip.
func TestLateAnswerDoesNotRevert(t *testing.T) {
	d := newFollowerDriver(t)
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
