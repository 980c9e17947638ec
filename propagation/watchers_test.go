package propagation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two processes that both go on watching, each of which pays for every
// change: one that learns of the other's reads too late goes on for as long as changes come.
func TestOfTwoWatchersOneStopsAtTheNextRead(t *testing.T) {
	const processes, changes = 8, 5
	for seed := range uint64(200) {
		f := newFleet(processes, seed)
		f.hop = time.Millisecond
		first := f.watchers()[0]
		second := f.processes[(first.i+1+int(seed)%(processes-1))%processes]
		second.n.watcher, second.n.ownAt = true, f.now
		f.pass(time.Duration(seed%40) * step) // the second one has begun at any moment of the first one's watch
		f.calls = 0
		for range changes {
			f.change(bound)
			f.pass(4 * step)
		}
		// A watch a change, one more of the second watcher, and a read beside of each.
		if limit := changes + 3; f.calls > limit {
			t.Errorf("seed %d: %d calls for %d changes, want %d at most", seed, f.calls, changes, limit)
		}
		if n := len(f.watchers()); n != 1 {
			t.Errorf("seed %d: %d processes watch", seed, n)
		}
	}
}

// Guards against watchers that all stop for each other's sake, so that nobody watches for
// seconds: in whatever order they read and learn of each other's reads, one goes on.
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
				if !n.calling {
					n.CallStarted(now, Watch)
				}
			case "end":
				if n.calling {
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
				t.Fatal("nobody watches")
			}
		}
	})
}
