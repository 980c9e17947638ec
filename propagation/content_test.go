package propagation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a process that keeps older content in force. It read the content from a
// store restored from an older copy, and the newer content of other processes has the same
// revision or a lower one.
func TestNewerContentIsTakenUnderAnyRevision(t *testing.T) {
	for _, revision := range []uint64{6, 7, 8} {
		now := time.Unix(1000, 0)
		kept, started := New(rand.New(rand.NewPCG(1, 1))), New(rand.New(rand.NewPCG(1, 2)))
		kept.Applied(now, 7)
		kept.ContentApplied(now, 3)
		started.Applied(now, revision)
		started.ContentApplied(now, 1)
		if d, ok := started.NextDigest(now); ok {
			answer, ok := kept.Receive(now, address(2), d)
			if !ok {
				t.Fatalf("revision %d: no answer to a process with older content", revision)
			}
			started.Receive(now, address(1), answer)
		}
		if from, ok := started.Fetch(now); !ok || from != address(1) {
			t.Fatalf("revision %d: fetch from %v, %v, want the process with the newer content", revision, from, ok)
		}
		started.FetchStarted(now)
		started.ContentApplied(now, 3)
		started.FetchDone()
		if from, ok := started.Fetch(now); ok && from.IsValid() {
			t.Errorf("revision %d: fetches content from %v that it already has", revision, from)
		}
	}
}

// Guards against endless queries for content that only a damaged message names: each such
// message costs one query to its sender, and no call of the store.
func TestContentThatDoesNotExist(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(rand.New(rand.NewPCG(1, 1)))
	n.Applied(now, 7)
	n.ContentApplied(now, 3)
	n.Receive(now, address(1), Digest{Revision: 7, Content: 1 << 40})
	if _, ok := n.Fetch(now); !ok {
		t.Fatal("no query to the sender of the digest")
	}
	n.FetchStarted(now)
	n.FetchDone()
	if from, ok := n.Fetch(now.Add(peerQueryInterval)); ok {
		t.Errorf("a second query to %v", from)
	}
	if c := n.StoreCall(now.Add(storeReadAfter + storeReadSpread)); c != None {
		t.Errorf("store call %v for content that no process has", c)
	}
}
