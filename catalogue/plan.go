package catalogue

import (
	"net/netip"
	"time"
)

// MaxEdit is the maximum number of entries in one edit. Larger files take
// several edits, each of which is accepted or refused as a whole.
const MaxEdit = 500

// Edit is a change of several entries, accepted or refused as a whole.
type Edit struct {
	Editor string   // name of the operator, for the history
	Owner  string   // owner of the entries to delete
	Put    []Entry  // Number and Version are ignored
	Delete []string // services
	// Base is the revision that the edit is based on, 0 for the revision of the
	// store when the edit begins. The edit is refused if one of its services
	// has changed since.
	Base uint64
}

// services returns the set of services in the edit.
func (e Edit) services() map[string]bool {
	set := make(map[string]bool, len(e.Put)+len(e.Delete))
	for _, p := range e.Put {
		set[p.Service] = true
	}
	for _, d := range e.Delete {
		set[d] = true
	}
	return set
}

// Plan checks an edit against the state and returns the changes that implement
// it, none if the state already matches. It returns a *FieldError,
// *AddressConflictError, *OwnerError, *EntryNotFoundError or *DuplicateError.
func (c *Catalogue) Plan(e Edit, id EditID, now time.Time) ([]Change, error) {
	if err := c.check(e); err != nil {
		return nil, err
	}
	p := planner{c: c, edit: e, id: id, now: now, revision: c.revision, checksum: c.checksum, next: c.next}
	for _, service := range e.Delete {
		p.delete(service)
	}
	for _, entry := range e.Put {
		p.put(entry)
	}
	return p.changes, nil
}

func (c *Catalogue) check(e Edit) error {
	if err := checkName("", "editor", e.Editor); err != nil {
		return err
	}
	named := make(map[string]bool)
	for _, service := range e.Delete {
		if err := c.checkDelete(service, e.Owner); err != nil {
			return err
		}
		if named[service] {
			return &DuplicateError{service}
		}
		named[service] = true
	}
	for _, entry := range e.Put {
		if err := c.checkPut(entry); err != nil {
			return err
		}
		if named[entry.Service] {
			return &DuplicateError{entry.Service}
		}
		named[entry.Service] = true
	}
	return c.checkAddressConflicts(e.Put, named)
}

func (c *Catalogue) checkDelete(service, owner string) error {
	old, ok := c.entries[service]
	if !ok {
		return &EntryNotFoundError{service}
	}
	if old.Owner != owner {
		return &OwnerError{service, owner, old.Owner}
	}
	return nil
}

func (c *Catalogue) checkPut(e Entry) error {
	if err := e.Check(); err != nil {
		return err
	}
	if old, ok := c.entries[e.Service]; ok && old.Owner != e.Owner {
		return &OwnerError{e.Service, e.Owner, old.Owner}
	}
	return nil
}

// checkAddressConflicts returns an *AddressConflictError if an address of put occurs twice
// in put or belongs to an entry that is not among the named services.
func (c *Catalogue) checkAddressConflicts(put []Entry, named map[string]bool) error {
	holders := make(map[netip.Addr]string)
	for _, e := range put {
		for _, a := range e.Addresses {
			holder, ok := holders[a]
			if !ok {
				holder, ok = c.services[c.addresses[a]]
				ok = ok && !named[holder]
			}
			if ok {
				return &AddressConflictError{e.Service, a, holder}
			}
			holders[a] = e.Service
		}
	}
	return nil
}

// planner builds the consecutive changes of an edit.
type planner struct {
	c        *Catalogue
	edit     Edit
	id       EditID
	now      time.Time
	revision uint64
	checksum Checksum
	next     uint32
	changes  []Change
}

func (p *planner) put(e Entry) {
	old, ok := p.c.entries[e.Service]
	if ok && old.sameContent(e) {
		return
	}
	if ok {
		e.Number = old.Number
		e.Version = old.Version + 1
	} else {
		e.Number = p.next
		e.Version = 1
		p.next++
	}
	p.add(OpPut, e)
}

func (p *planner) delete(service string) {
	old := p.c.entries[service]
	p.add(OpDelete, Entry{Service: service, Owner: old.Owner, Number: old.Number, Version: old.Version})
}

func (p *planner) add(op Op, e Entry) {
	p.revision++
	ch := Change{
		Revision: p.revision, Op: op, Entry: e, Edit: p.id,
		Editor: p.edit.Editor, Time: p.now.UnixMilli(), Previous: p.checksum,
	}
	ch.Checksum = ch.computeChecksum()
	p.checksum = ch.Checksum
	p.changes = append(p.changes, ch)
}
