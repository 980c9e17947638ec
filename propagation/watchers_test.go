package propagation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two processes that keep watching in parallel, at one store call each per
// change: a watcher that always receives the other's reads too late would never stop.
func TestOfTwoWatchersOneStopsAtTheNextRead(t *testing.T) {
	const processes, changes = 8, 5
	for seed := range uint64(200) {
		f := newFleet(processes, seed)
		f.delay = time.Millisecond
		first := f.watchers()[0]
		second := f.processes[(first.i+1+int(seed)%(processes-1))%processes]
		second.n.watcher, second.n.ownReadAt = true, f.now
		f.advance(time.Duration(seed%40) * step) // the second watcher starts at any point of the first one's watch
		f.calls = 0
		for range changes {
			f.change(maxPropagation)
			f.advance(4 * step)
		}
		// One watch per change, one more by the second watcher, and one read by each.
		if limit := changes + 3; f.calls > limit {
			t.Errorf("seed %d: %d calls for %d changes, want %d at most", seed, f.calls, changes, limit)
		}
		if n := len(f.watchers()); n != 1 {
			t.Errorf("seed %d: %d processes watch", seed, n)
		}
	}
}

// Guards against watchers that all stop because of each other, so that no process watches for
// seconds: in any order of reads and digests, one watcher goes on.
func TestNotAllWatchersStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		nodes := make([]*Node, rapid.IntRange(2, 4).Draw(t, "watchers"))
		for i := range nodes {
			nodes[i] = New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(i))))
			nodes[i].Applied(now, 1)
			nodes[i].watcher = true
		}
		var sent []Digest
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "process")]
			switch rapid.SampledFrom([]string{"begin", "end", "receive", "receive"}).Draw(t, "step") {
			case "begin":
				if !n.callPending {
					n.CallStarted(now, Watch)
				}
			case "end":
				if n.callPending {
					n.CallDone(now, Watch, now, Answered)
					sent = append(sent, n.digest())
				}
			case "receive":
				if len(sent) > 0 {
					n.Receive(now, address(1), rapid.SampledFrom(sent).Draw(t, "digest"))
					sent = append(sent, n.digest())
				}
			}
			if !slices.ContainsFunc(nodes, func(n *Node) bool { return n.watcher }) {
				t.Fatal("no watcher is left")
			}
		}
	})
}
