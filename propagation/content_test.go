package propagation

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an older content that stays in force in a process that read it in a store
// which came back from an older copy, since the others' newer content has the same revision,
// or a lower one.
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
				t.Fatalf("revision %d: a process with older content gets no answer", revision)
			}
			started.Receive(now, address(1), answer)
		}
		if from, ok := started.Fetch(now); !ok || from != address(1) {
			t.Fatalf("revision %d: asks %v, %v, want the process with the newer content", revision, from, ok)
		}
		started.FetchStarted(now)
		started.ContentApplied(now, 3)
		started.FetchDone()
		if from, ok := started.Fetch(now); ok && from.IsValid() {
			t.Errorf("revision %d: asks %v for content that it has", revision, from)
		}
	}
}

// Guards against a process that asks without end for content which a damaged message
// claims: each message costs one question to its sender, and no call of the store.
func TestContentThatDoesNotExist(t *testing.T) {
	now := time.Unix(1000, 0)
	n := New(rand.New(rand.NewPCG(1, 1)))
	n.Applied(now, 7)
	n.ContentApplied(now, 3)
	n.Receive(now, address(1), Digest{Revision: 7, Content: 1 << 40})
	if _, ok := n.Fetch(now); !ok {
		t.Fatal("the sender is not asked")
	}
	n.FetchStarted(now)
	n.FetchDone()
	if from, ok := n.Fetch(now.Add(askEvery)); ok {
		t.Errorf("asks %v again", from)
	}
	if c := n.StoreCall(now.Add(storeAfter + storeSpan)); c != None {
		t.Errorf("call %v for content that no process has", c)
	}
}
