package catalogue

import (
	"net/netip"
	"testing"
)

func holding(t *testing.T, e Entry, revision uint64) Message {
	t.Helper()
	h := NewHeldEntry(e.Service)
	h.Receive(Message{Digest: Digest{Revision: revision}, Reply: &EntryReply{Service: e.Service, Found: true, Entry: &e}})
	m, ok := h.Offer()
	if !ok {
		t.Fatal("nothing to offer")
	}
	return m
}

// Symptom: after a power cut no service is reachable until the store is back.
// Events: all balancers restart while the store is down; the agents live on.
// Cause: balancers keep nothing, and only other balancers were asked.
func TestInterimServesFromAgents(t *testing.T) {
	old, moved := entry("listing", "kanatpar", "10.0.0.1", "10.0.0.2"), entry("records", "kanatpar", "10.0.0.2")
	old.Number, moved.Number = 1, 2
	var i Interim
	// The agent of listing was cut off before 10.0.0.2 moved to records.
	for _, m := range []Message{holding(t, moved, 9), holding(t, old, 5), holding(t, old, 5)} {
		i.Receive(m)
	}
	for addr, want := range map[string]uint32{"10.0.0.1": 1, "10.0.0.2": 2, "10.0.0.3": 0} {
		if got := i.Table().NumberOf(netip.MustParseAddr(addr)); got != want {
			t.Errorf("%s belongs to %d, want %d", addr, got, want)
		}
	}
	if _, ok := i.Entry("records"); !ok || i.Receive(holding(t, moved, 8)) {
		t.Error("an older claim counts as news, or the entry is missing")
	}
	r := NewReplica(ReplicaConfig{Peers: noPeers})
	r.Receive(epoch, nodeAddr(1), holding(t, moved, 9))
	if len(r.Outgoing()) > 0 {
		t.Error("a replica takes an agent for a replica and asks it for changes")
	}
	bad := moved
	bad.Class = "none"
	if i.Receive(holding(t, bad, 20)) {
		t.Error("an entry that breaks a rule is taken")
	}
	if _, ok := NewHeldEntry("x").Offer(); ok {
		t.Error("an agent offers an entry that it never had")
	}
}
