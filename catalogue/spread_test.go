package catalogue_test

import (
	"testing"
	"time"

	. "github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/catalogue/lab"
)

func applyAndConverge(t *testing.T, x *lab.Exchange, w *lab.Writer, changes []Change) {
	t.Helper()
	x.Update(0, func(r *Replica) {
		if err := r.ReceiveLoad(x.Now(), Bulk{Changes: changes}); err != nil {
			t.Fatal(err)
		}
	})
	done := x.Converged(w.State.Digest())
	x.Run(time.Minute, done)
	if !done() {
		for i, r := range x.Nodes {
			t.Logf("node %d: %+v %+v", i, r.Digest(), r.Stats())
		}
		t.Fatalf("not all nodes are at %+v", w.State.Digest())
	}
}

func TestReplicasConverge(t *testing.T) {
	for _, loss := range []float64{0, 0.2, 0.5} {
		x := lab.NewExchange(40, loss, 1, ReplicaConfig{})
		x.Duplicate = 0.1
		w := lab.NewWriter()
		for _, count := range []int{1, 3, 100, 1, 400, 2} {
			applyAndConverge(t, x, w, w.Edit(count, 500))
		}
		for _, r := range x.Nodes {
			if r.Table().Len() != addresses(w.State) || r.Catalogue().Len() != w.State.Len() {
				t.Fatal("a replica lacks entries")
			}
		}
	}
}

// Guards against a process that starts while the store is down and remains
// without a catalogue: all others are at revision 300, and the missing changes
// are more than peers keep or send individually.
func TestEmptyReplicaLoadsFromPeers(t *testing.T) {
	x := lab.NewExchange(10, 0.1, 1, ReplicaConfig{Keep: 8})
	w := lab.NewWriter()
	applyAndConverge(t, x, w, w.Edit(300, 300))
	x.Restart(4, ReplicaConfig{Keep: 8})
	applyAndConverge(t, x, w, w.Edit(1, 300))
	if x.Nodes[4].Stats().Loaded != 1 {
		t.Fatalf("node 4 loaded %d snapshots, want 1", x.Nodes[4].Stats().Loaded)
	}
}

// Guards against nodes at the same revision that differ permanently: the store is
// restored from an old copy and accepts another edit, so that two changes have
// revision 2. One node has the first and the others the second, which revisions
// alone can't distinguish.
func TestForkIsResolvedTowardsStore(t *testing.T) {
	x := lab.NewExchange(8, 0, 1, ReplicaConfig{})
	old, w := lab.NewWriter(), lab.NewWriter()
	first := w.Edit(1, 10)
	if err := old.State.Apply(first[0]); err != nil {
		t.Fatal(err)
	}
	old.NextEntry = 5
	x.Nodes[3].Receive(x.Now(), lab.NodeAddr(7), Message{Changes: append(first, old.Edit(1, 10)...)})
	x.Nodes[3].Outgoing()
	if d := x.Nodes[3].Digest(); d.Revision != 2 {
		t.Fatalf("node 3 at %+v", d)
	}
	applyAndConverge(t, x, w, append(first, w.Edit(1, 10)...))
	if x.Nodes[3].Stats().Diverged == 0 {
		t.Fatal("the divergence was not counted")
	}
}

// Guards against nodes that, after a partition, revert others by their old
// digests or don't catch up: a third of the nodes is partitioned for 200 changes,
// and the partition ends while one more change is made.
func TestReturningNodesCatchUp(t *testing.T) {
	x := lab.NewExchange(30, 0.1, 1, ReplicaConfig{})
	w := lab.NewWriter()
	applyAndConverge(t, x, w, w.Edit(5, 1000))
	x.Cut = func(from, to int) bool { return (from < 20) != (to < 20) }
	for range 4 {
		changes := w.Edit(50, 1000)
		x.Update(0, func(r *Replica) { _ = r.ReceiveLoad(x.Now(), Bulk{Changes: changes}) })
		x.Run(5*time.Second, nil)
	}
	for i, r := range x.Nodes {
		if want := map[bool]uint64{true: 205, false: 5}[i < 20]; r.Digest().Revision != want {
			t.Fatalf("node %d at revision %d, want %d", i, r.Digest().Revision, want)
		}
	}
	last := make([]uint64, len(x.Nodes))
	x.OnProgress = func(i int) { last[i] = x.Nodes[i].Digest().Revision }
	x.Cut = nil
	applyAndConverge(t, x, w, w.Edit(1, 1000))
	for i, r := range x.Nodes {
		if last[i] != r.Digest().Revision {
			t.Fatalf("node %d: last reported progress to revision %d, now at %d", i, last[i], r.Digest().Revision)
		}
	}
}

func addresses(c *Catalogue) int {
	n := 0
	for _, e := range c.Entries() {
		n += len(e.Addresses)
	}
	return n
}
