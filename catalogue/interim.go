package catalogue

import (
	"cmp"
	"net/netip"
	"slices"
)

// Interim replaces the catalogue while the store is down and no node has a copy,
// as after a restart of all balancers. It is built from the agents' copies of
// their own entries, which together cover every service that can be served. Use
// it only while the replica is at revision 0. It is not safe for concurrent use.
type Interim struct {
	entries map[string]revisionedEntry // by service
	table   *Table                     // nil if it must be rebuilt
}

// revisionedEntry is an entry and the newest revision at which it is known to be
// valid.
type revisionedEntry struct {
	entry    Entry
	revision uint64
}

// Offer returns the message by which an agent sends its entry to a balancer
// without a catalogue, and false if the agent has no entry.
func (h *HeldEntry) Offer() (Message, bool) {
	if !h.found {
		return Message{}, false
	}
	e := h.entry
	reply := &EntryReply{Service: h.service, Found: true, Entry: &e}
	return Message{Digest: Digest{Revision: h.revision}, Reply: reply}, true
}

// Receive processes an agent's offer and reports whether it was newer than what
// is known of the service. Invalid entries are ignored.
func (i *Interim) Receive(m Message) bool {
	if m.Reply == nil || m.Reply.Entry == nil || m.Reply.Entry.Number == 0 || m.Reply.Entry.Check() != nil {
		return false
	}
	e := *m.Reply.Entry
	if old, ok := i.entries[e.Service]; ok && old.revision >= m.Digest.Revision {
		return false
	}
	if i.entries == nil {
		i.entries = make(map[string]revisionedEntry)
	}
	i.entries[e.Service] = revisionedEntry{e, m.Digest.Revision}
	i.table = nil
	return true
}

// Entry returns the entry of a service, and false if none is known.
func (i *Interim) Entry(service string) (Entry, bool) {
	h, ok := i.entries[service]
	return h.entry, ok
}

// Table returns the address index of the known entries. Two entries can contain
// the same address if it moved between their services and one of the agents has
// not received the change; the entry of the higher revision takes precedence.
func (i *Interim) Table() *Table {
	if i.table != nil {
		return i.table
	}
	claims := make([]revisionedEntry, 0, len(i.entries))
	for _, h := range i.entries {
		claims = append(claims, h)
	}
	slices.SortFunc(claims, func(a, b revisionedEntry) int {
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
