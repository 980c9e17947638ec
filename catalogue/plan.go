package catalogue

import (
	"net/netip"
	"time"
)

// MaxEdit is the largest number of entries that one edit may name. Larger
// files take several edits, each of them accepted or refused whole.
const MaxEdit = 500

// Edit is what an operator wants to change, accepted or refused as a whole.
type Edit struct {
	Editor string   // who edits, for the history
	Owner  string   // on whose behalf entries are deleted
	Put    []Entry  // Number and Version are ignored
	Delete []string // services
	// Base is the revision that the operator had read, 0 for whatever the
	// store holds when the edit begins. The edit is refused if one of its
	// services has changed since.
	Base uint64
}

// services returns the set of services that the edit names.
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

// Plan checks an edit against the state and returns the changes that carry it
// out, none if it changes nothing. Errors: *FieldError, *AddressConflictError,
// *OwnerError, *EntryNotFoundError and *DuplicateError.
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
	return c.checkClashes(e.Put, named)
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

// checkClashes compares the addresses of the entries put with each other and
// with the entries that the edit does not name.
func (c *Catalogue) checkClashes(put []Entry, named map[string]bool) error {
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

// planner strings changes together behind a revision.
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
	if ok && old.same(e) {
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
	ch.Checksum = ch.sum()
	p.checksum = ch.Checksum
	p.changes = append(p.changes, ch)
}
