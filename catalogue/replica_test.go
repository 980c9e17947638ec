package catalogue

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

func TestHeadBelowRevisionChangesNothing(t *testing.T) {
	w := newWriter()
	r := NewReplica(ReplicaConfig{Peers: noPeers})
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
	if n, _ := fitMessage(changes); n != 1 {
		t.Fatal("the largest change does not fit in a message")
	}
	if n := len(r.out[0].Message.Encode()); n > MaxMessage {
		t.Fatalf("message of %d bytes", n)
	}
	r.state.put(changes[0].Entry)
	r.sendEntry(nodeAddr(1), EntryRequest{Service: long})
	if n := len(r.out[1].Message.Encode()); n > MaxMessage {
		t.Fatalf("reply of %d bytes", n)
	}
}

func TestHeldEntryNeverReverts(t *testing.T) {
	w := newWriter()
	ahead, lagging := NewReplica(ReplicaConfig{}), NewReplica(ReplicaConfig{})
	ahead.cfg.Peers = func(int) []netip.AddrPort { return nil }
	lagging.cfg.Peers = ahead.cfg.Peers
	first, second := w.edit(1, 1), w.edit(1, 1)
	_ = lagging.ReceiveLoad(epoch, Bulk{Changes: first})
	_ = ahead.ReceiveLoad(epoch, Bulk{Changes: append(first, second...)})
	h := NewHeldEntry(first[0].Entry.Service)
	ask := func(r *Replica) bool {
		r.Receive(epoch, nodeAddr(9), h.Request())
		return h.Receive(r.Outgoing()[0].Message)
	}
	if !ask(ahead) || ask(lagging) || ask(ahead) {
		t.Fatal("the entry did not change exactly once")
	}
	if e, ok := h.Entry(); !ok || e.Version != 2 {
		t.Fatalf("the entry is %+v, want version 2", e)
	}
}

// Guards against a node reverting to an older catalogue: a bulk load holds the
// peer's state at its beginning, and newer changes arrive one by one while the
// load is in progress.
func TestOlderBulkIsRefused(t *testing.T) {
	w := newWriter()
	first := w.edit(3, 10)
	s := w.state.Snapshot()
	r := NewReplica(ReplicaConfig{Peers: noPeers})
	if err := r.ReceiveBulk(epoch, nodeAddr(1), Bulk{Changes: append(first, w.edit(2, 10)...)}); err != nil {
		t.Fatal(err)
	}
	if err := r.ReceiveBulk(epoch, nodeAddr(1), Bulk{Snapshot: &s}); !errors.Is(err, ErrNoProgress) || r.Digest().Revision != 5 {
		t.Fatalf("revision %d, %v", r.Digest().Revision, err)
	}
}
