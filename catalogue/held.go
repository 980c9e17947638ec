package catalogue

// HeldEntry is an agent's copy of its one entry. It follows the newest revision
// that any replica has answered with, so a replica that lags cannot revert
// it. It is not safe for concurrent use.
type HeldEntry struct {
	service  string
	entry    Entry
	found    bool
	revision uint64
}

// NewHeldEntry returns an empty copy of the entry of a service.
func NewHeldEntry(service string) *HeldEntry { return &HeldEntry{service: service} }

// Request returns the message that asks a replica for the entry.
func (h *HeldEntry) Request() Message {
	return Message{Request: &EntryRequest{Service: h.service, Known: h.entry.Version, KnownNumber: h.entry.Number}}
}

// Entry returns the entry, and false if the service has none.
func (h *HeldEntry) Entry() (Entry, bool) { return h.entry, h.found }

// Revision returns the revision of the newest answer, 0 before the first.
func (h *HeldEntry) Revision() uint64 { return h.revision }

// Receive takes a replica's answer and reports whether the entry changed.
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
	case m.Reply.Entry == nil: // the entry that the request named
		return false
	}
	changed := !h.found || h.entry.Number != m.Reply.Entry.Number || h.entry.Version != m.Reply.Entry.Version
	h.entry, h.found = *m.Reply.Entry, true
	return changed
}
