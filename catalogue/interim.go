package catalogue

import (
	"cmp"
	"net/netip"
	"slices"
)

// Interim stands in for the catalogue when every node that held it is gone
// and the store is down: each agent still holds its own entry, and together
// they cover every service that can be served at all. Use it only while the
// replica is at revision 0. It is not safe for concurrent use.
type Interim struct {
	held  map[string]heldAt
	table *Table
}

// heldAt is an entry and the revision at which it was known to stand.
type heldAt struct {
	entry    Entry
	revision uint64
}

// Offer returns the message by which an agent gives its entry to a balancer
// that has no catalogue, and false if it holds none.
func (h *HeldEntry) Offer() (Message, bool) {
	if !h.found {
		return Message{}, false
	}
	e := h.entry
	reply := &EntryReply{Service: h.service, Found: true, Entry: &e}
	return Message{Digest: Digest{Revision: h.revision}, Reply: reply}, true
}

// Receive takes an agent's offer and reports whether it was news. Entries
// that break a rule are dropped.
func (i *Interim) Receive(m Message) bool {
	if m.Reply == nil || m.Reply.Entry == nil || m.Reply.Entry.Number == 0 || m.Reply.Entry.Check() != nil {
		return false
	}
	e := *m.Reply.Entry
	if old, ok := i.held[e.Service]; ok && old.revision >= m.Digest.Revision {
		return false
	}
	if i.held == nil {
		i.held = make(map[string]heldAt)
	}
	i.held[e.Service] = heldAt{e, m.Digest.Revision}
	i.table = nil
	return true
}

// Entry returns what is known of a service.
func (i *Interim) Entry(service string) (Entry, bool) {
	h, ok := i.held[service]
	return h.entry, ok
}

// Table returns the address index of what is known. Two agents may claim one
// address when it moved between their services and one of them had not heard
// of it; the claim that stood at the higher revision is the true one.
func (i *Interim) Table() *Table {
	if i.table != nil {
		return i.table
	}
	claims := make([]heldAt, 0, len(i.held))
	for _, h := range i.held {
		claims = append(claims, h)
	}
	slices.SortFunc(claims, func(a, b heldAt) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.entry.Number, b.entry.Number))
	})
	c := &Catalogue{addresses: make(map[netip.Addr]uint32)}
	for _, h := range claims {
		for _, a := range h.entry.Addresses {
			c.addresses[a] = h.entry.Number
		}
	}
	i.table = c.Table()
	return i.table
}
