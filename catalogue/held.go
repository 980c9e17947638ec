package catalogue

// HeldEntry is an agent's copy of the entry of its service. It ignores answers
// of a lower revision than the newest one received, so that a lagging replica
// can't revert it. It is not safe for concurrent use.
type HeldEntry struct {
	service  string
	entry    Entry
	found    bool
	revision uint64 // of the newest answer
}

// NewHeldEntry returns a HeldEntry for a service, without an entry.
func NewHeldEntry(service string) *HeldEntry { return &HeldEntry{service: service} }

// Request returns the message that requests the entry from a replica.
func (h *HeldEntry) Request() Message {
	return Message{Request: &EntryRequest{Service: h.service, Known: h.entry.Version, KnownNumber: h.entry.Number}}
}

// Entry returns the entry, and false if the service has none or no answer has
// been received.
func (h *HeldEntry) Entry() (Entry, bool) { return h.entry, h.found }

// Revision returns the revision of the newest answer, 0 before the first.
func (h *HeldEntry) Revision() uint64 { return h.revision }

// Receive processes a replica's answer and reports whether the entry changed.
func (h *HeldEntry) Receive(m Message) bool {
	if m.Reply == nil || m.Reply.Service != h.service || m.Digest.Revision < h.revision {
		return false
	}
	h.revision = m.Digest.Revision
	switch {
	case !m.Reply.Found:
		changed := h.found
		h.entry, h.found = Entry{}, false
		return changed
	case m.Reply.Entry == nil: // unchanged since the version named in the request
		return false
	}
	changed := !h.found || h.entry.Number != m.Reply.Entry.Number || h.entry.Version != m.Reply.Entry.Version
	h.entry, h.found = *m.Reply.Entry, true
	return changed
}
