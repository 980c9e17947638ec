package catalogue

import (
	"net/netip"
	"testing"
)

// offerOf returns the offer of an agent that received e at a revision.
func offerOf(t *testing.T, e Entry, revision uint64) Message {
	t.Helper()
	h := NewHeldEntry(e.Service)
	h.Receive(Message{Digest: Digest{Revision: revision}, Reply: &EntryReply{Service: e.Service, Found: true, Entry: &e}})
	m, ok := h.Offer()
	if !ok {
		t.Fatal("nothing to offer")
	}
	return m
}

// Guards against all services being unreachable until the store is back after a
// power failure: all balancers restart without a catalogue while the store is
// down, and only the agents still have their entries.
func TestInterimServesFromAgents(t *testing.T) {
	old, moved := entry("listing", "kanatpar", "10.0.0.1", "10.0.0.2"), entry("records", "kanatpar", "10.0.0.2")
	old.Number, moved.Number = 1, 2
	var i Interim
	// The agent of listing was partitioned before 10.0.0.2 moved to records.
	for _, m := range []Message{offerOf(t, moved, 9), offerOf(t, old, 5), offerOf(t, old, 5)} {
		i.Receive(m)
	}
	for addr, want := range map[string]uint32{"10.0.0.1": 1, "10.0.0.2": 2, "10.0.0.3": 0} {
		if got := i.Table().NumberOf(netip.MustParseAddr(addr)); got != want {
			t.Errorf("%s belongs to service number %d, want %d", addr, got, want)
		}
	}
	if _, ok := i.Entry("records"); !ok || i.Receive(offerOf(t, moved, 8)) {
		t.Error("an older entry was accepted, or the entry is missing")
	}
	r := NewReplica(ReplicaConfig{Peers: noPeers})
	r.Receive(epoch, nodeAddr(1), offerOf(t, moved, 9))
	if len(r.Outgoing()) > 0 {
		t.Error("a replica sent a message to an agent as if it were a replica")
	}
	bad := moved
	bad.Class = "none"
	if i.Receive(offerOf(t, bad, 20)) {
		t.Error("an invalid entry was accepted")
	}
	if _, ok := NewHeldEntry("x").Offer(); ok {
		t.Error("an agent without an entry made an offer")
	}
}
