package catalogue

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

func converged(x *exchange, d Digest) func() bool {
	return func() bool {
		for _, r := range x.nodes {
			if !r.Digest().same(d) {
				return false
			}
		}
		return true
	}
}

// spread gives changes to node 0 and runs until all hold them.
func spread(t *testing.T, x *exchange, w *writer, changes []Change) {
	t.Helper()
	x.change(0, func(r *Replica) {
		if err := r.ReceiveLoad(x.now, Bulk{Changes: changes}); err != nil {
			t.Fatal(err)
		}
	})
	done := converged(x, w.state.Digest())
	x.run(x.now.Add(time.Minute), done)
	if !done() {
		for i, r := range x.nodes {
			t.Logf("node %d: %+v %+v", i, r.Digest(), r.Stats())
		}
		t.Fatalf("not all at %+v", w.state.Digest())
	}
}

func TestReplicasConverge(t *testing.T) {
	for _, loss := range []float64{0, 0.2, 0.5} {
		x := newExchange(40, loss, 1, ReplicaConfig{})
		x.dup = 0.1
		w := newWriter()
		for _, count := range []int{1, 3, 100, 1, 400, 2} {
			spread(t, x, w, w.edit(count, 500))
		}
		for _, r := range x.nodes {
			if r.Table().Len() != len(w.state.addresses) || r.Catalogue().Len() != w.state.Len() {
				t.Fatal("a replica lacks entries")
			}
		}
	}
}

// Symptom: a process that starts while the store is down has no catalogue.
// Events: all others hold revision 300; one starts empty.
// Cause: the changes that it lacks are more than peers keep or send one by one.
func TestEmptyReplicaLoadsFromPeers(t *testing.T) {
	x := newExchange(10, 0.1, 1, ReplicaConfig{Keep: 8})
	w := newWriter()
	spread(t, x, w, w.edit(300, 300))
	x.nodes[4] = NewReplica(x.nodes[3].cfg)
	spread(t, x, w, w.edit(1, 300))
	if x.nodes[4].Stats().Loaded != 1 {
		t.Fatalf("loaded %d times", x.nodes[4].Stats().Loaded)
	}
}

// Symptom: two nodes at the same revision treat an entry differently for ever.
// Events: the store is restored from an old copy and takes another edit, so
// two changes bear revision 2; one node has the first, the others the second.
// Cause: revisions alone cannot tell the two chains apart.
func TestForkIsResolvedTowardsStore(t *testing.T) {
	x := newExchange(8, 0, 1, ReplicaConfig{})
	old, w := newWriter(), newWriter()
	first := w.edit(1, 10)
	if err := old.state.Apply(first[0]); err != nil {
		t.Fatal(err)
	}
	old.n = 5
	x.nodes[3].Receive(x.now, nodeAddr(7), Message{Changes: append(first, old.edit(1, 10)...)})
	x.nodes[3].Outgoing()
	if d := x.nodes[3].Digest(); d.Revision != 2 {
		t.Fatalf("node 3 at %+v", d)
	}
	spread(t, x, w, append(first, w.edit(1, 10)...))
	if x.nodes[3].Stats().Diverged == 0 {
		t.Fatal("the fork was not counted")
	}
}

func TestHeadBelowRevisionChangesNothing(t *testing.T) {
	w := newWriter()
	r := newExchange(2, 0, 1, ReplicaConfig{}).nodes[0]
	if err := r.ReceiveLoad(epoch, Bulk{Changes: w.edit(5, 10)}); err != nil {
		t.Fatal(err)
	}
	if r.ReceiveHead(epoch, Head{Revision: 3}) || r.Digest().Revision != 5 || r.Stats().StoreBehind != 1 {
		t.Fatalf("at %+v, %+v", r.Digest(), r.Stats())
	}
}

func TestEveryMessageFits(t *testing.T) {
	long := "a23456789012345678901234567890123456789012345678901234567890123"
	e := Entry{Service: long, Owner: long, Class: ClassInteractive, Limits: Limits{MaxConnections, MaxSlots, MaxQueue, MaxRate, MaxDeadline}}
	for i := range MaxAddresses {
		e.Addresses = append(e.Addresses, nodeAddr(1<<20+i).Addr())
	}
	if err := e.Check(); err != nil {
		t.Fatal(err)
	}
	c := New()
	c.revision, c.checksum, c.next = 1<<63, 1<<63, 1<<31
	changes, err := c.Plan(Edit{Editor: long, Put: []Entry{e}}, NewEditID(1<<63), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r := NewReplica(ReplicaConfig{})
	r.state.revision, r.state.checksum = 1<<63, 1<<63
	r.send(nodeAddr(1), Message{Changes: changes, More: true})
	if n, _ := fit(changes); n != 1 {
		t.Fatal("the largest change does not fit a message")
	}
	if n := len(r.out[0].Message.Encode()); n > MaxMessage {
		t.Fatalf("message of %d bytes", n)
	}
	r.state.put(changes[0].Entry)
	r.answer(nodeAddr(1), EntryRequest{Service: long})
	if n := len(r.out[1].Message.Encode()); n > MaxMessage {
		t.Fatalf("reply of %d bytes", n)
	}
}

func TestHeldNeverReverts(t *testing.T) {
	w := newWriter()
	ahead, lagging := NewReplica(ReplicaConfig{}), NewReplica(ReplicaConfig{})
	ahead.cfg.Peers = func(int) []netip.AddrPort { return nil }
	lagging.cfg.Peers = ahead.cfg.Peers
	first, second := w.edit(1, 1), w.edit(1, 1)
	_ = lagging.ReceiveLoad(epoch, Bulk{Changes: first})
	_ = ahead.ReceiveLoad(epoch, Bulk{Changes: append(first, second...)})
	h := NewHeld(first[0].Entry.Service)
	ask := func(r *Replica) bool {
		r.Receive(epoch, nodeAddr(9), h.Request())
		return h.Receive(r.Outgoing()[0].Message)
	}
	if !ask(ahead) || ask(lagging) || ask(ahead) {
		t.Fatal("changed other than once")
	}
	if e, ok := h.Entry(); !ok || e.Version != 2 {
		t.Fatalf("holds %+v", e)
	}
}

// Symptom: a node goes back to an older catalogue.
// Events: it asks a peer for a bulk load; while the load is on its way newer
// changes arrive one by one; the load ends.
// Cause: a load shows the peer's state at its beginning.
func TestOlderBulkIsRefused(t *testing.T) {
	w := newWriter()
	first := w.edit(3, 10)
	s := w.state.Snapshot()
	r := newExchange(2, 0, 1, ReplicaConfig{}).nodes[0]
	if err := r.ReceiveBulk(epoch, nodeAddr(1), Bulk{Changes: append(first, w.edit(2, 10)...)}); err != nil {
		t.Fatal(err)
	}
	if err := r.ReceiveBulk(epoch, nodeAddr(1), Bulk{Snapshot: &s}); !errors.Is(err, ErrNoProgress) || r.Digest().Revision != 5 {
		t.Fatalf("revision %d, %v", r.Digest().Revision, err)
	}
}

// Symptom: a node that was cut off drags others back, or stays behind.
// Events: a third of the nodes is cut off; 200 changes pass; the cut heals
// while one more change is made.
// Cause: digests of the past taken for news, or no way to catch up.
func TestReturningNodesCatchUp(t *testing.T) {
	x := newExchange(30, 0.1, 1, ReplicaConfig{})
	w := newWriter()
	spread(t, x, w, w.edit(5, 1000))
	x.cut = func(from, to int) bool { return (from < 20) != (to < 20) }
	for range 4 {
		changes := w.edit(50, 1000)
		x.change(0, func(r *Replica) { _ = r.ReceiveLoad(x.now, Bulk{Changes: changes}) })
		x.run(x.now.Add(5*time.Second), nil)
	}
	for i, r := range x.nodes {
		if want := map[bool]uint64{true: 205, false: 5}[i < 20]; r.Digest().Revision != want {
			t.Fatalf("node %d at %d, want %d", i, r.Digest().Revision, want)
		}
	}
	last := make([]uint64, len(x.nodes))
	x.onProgress = func(i int) { last[i] = x.nodes[i].Digest().Revision }
	x.cut = nil
	spread(t, x, w, w.edit(1, 1000))
	for i, r := range x.nodes {
		if last[i] != r.Digest().Revision {
			t.Fatalf("node %d went from %d to %d", i, last[i], r.Digest().Revision)
		}
	}
}
