package catalogue

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
)

// Catalogue is the catalogue's state at one revision. It does no I/O and is not
// safe for concurrent use; Table returns an immutable address index.
type Catalogue struct {
	revision  uint64
	checksum  Checksum
	next      uint32                // next service number
	entries   map[string]Entry      // by service
	services  map[uint32]string     // service by number
	addresses map[netip.Addr]uint32 // service number by address
}

// New returns an empty catalogue at revision 0.
func New() *Catalogue {
	return &Catalogue{
		next:      1,
		entries:   make(map[string]Entry),
		services:  make(map[uint32]string),
		addresses: make(map[netip.Addr]uint32),
	}
}

// Revision returns the number of changes that led to this state.
func (c *Catalogue) Revision() uint64 { return c.revision }

// Checksum returns the running checksum of the changes that led to this state.
func (c *Catalogue) Checksum() Checksum { return c.checksum }

// Digest returns the revision and checksum, which together identify the state.
func (c *Catalogue) Digest() Digest { return Digest{Revision: c.revision, Checksum: c.checksum} }

// Len returns the number of entries.
func (c *Catalogue) Len() int { return len(c.entries) }

// Entry returns the entry of a service, and false if there is none.
func (c *Catalogue) Entry(service string) (Entry, bool) {
	e, ok := c.entries[service]
	return e, ok
}

// EntryByNumber returns the entry with a service number, and false if there is
// none.
func (c *Catalogue) EntryByNumber(number uint32) (Entry, bool) {
	service, ok := c.services[number]
	if !ok {
		return Entry{}, false
	}
	return c.Entry(service)
}

// Entries returns all entries in ascending order of service number.
func (c *Catalogue) Entries() []Entry {
	all := make([]Entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// GapError reports a change whose revision, Got, does not follow the state's
// Revision.
type GapError struct{ Revision, Got uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("catalogue: change %d does not follow revision %d; fetch the changes between or the whole catalogue", e.Got, e.Revision)
}

// ChecksumError reports a change that belongs to a diverged sequence of changes
// or is damaged.
type ChecksumError struct {
	Revision  uint64
	Got, Want Checksum
}

func (e *ChecksumError) Error() string {
	return fmt.Sprintf("catalogue: change %d has checksum %s, not %s; fetch the whole catalogue from a node that has read the store", e.Revision, e.Got, e.Want)
}

// Apply applies ch, which must be the next change. Otherwise it returns a
// *GapError or *ChecksumError and leaves the state unchanged.
func (c *Catalogue) Apply(ch Change) error {
	if ch.Revision != c.revision+1 {
		return &GapError{c.revision, ch.Revision}
	}
	if ch.Previous != c.checksum {
		return &ChecksumError{ch.Revision, ch.Previous, c.checksum}
	}
	if sum := ch.computeChecksum(); sum != ch.Checksum {
		return &ChecksumError{ch.Revision, ch.Checksum, sum}
	}
	if old, ok := c.entries[ch.Entry.Service]; ok {
		c.remove(old)
	}
	if ch.Op == OpPut {
		c.put(ch.Entry)
	}
	c.revision = ch.Revision
	c.checksum = ch.Checksum
	return nil
}

func (c *Catalogue) put(e Entry) {
	c.entries[e.Service] = e
	c.services[e.Number] = e.Service
	for _, a := range e.Addresses {
		c.addresses[a] = e.Number
	}
	c.next = max(c.next, e.Number+1)
}

// remove deletes an entry. An address that already belongs to another entry is
// kept: one edit can move an address, and the change of its new entry may come
// first.
func (c *Catalogue) remove(e Entry) {
	delete(c.entries, e.Service)
	delete(c.services, e.Number)
	for _, a := range e.Addresses {
		if c.addresses[a] == e.Number {
			delete(c.addresses, a)
		}
	}
}
