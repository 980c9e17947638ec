package catalogue

import (
	"fmt"
	"net/netip"
	"time"
)

// Bounds of an entry. They keep the message of any single change within
// MaxMessage.
const (
	MaxName        = 63             // bytes of a service, owner or editor name
	MaxAddresses   = 64             // per entry
	MaxConnections = 1_000_000      // per agent
	MaxSlots       = 100_000        // per agent
	MaxQueue       = 1_000_000      // per agent
	MaxRate        = 10_000_000     // requests per second
	MaxDeadline    = 24 * time.Hour // per request
	MinDeadline    = time.Millisecond
)

// FieldError reports an invalid field of an entry.
type FieldError struct {
	Service string
	Field   string
	Value   string
	Remedy  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("catalogue: service %q: %s %q is not allowed; %s", e.Service, e.Field, e.Value, e.Remedy)
}

// AddressConflictError reports an address that belongs to another entry.
type AddressConflictError struct {
	Service string
	Address netip.Addr
	Holder  string // service that the address belongs to
}

func (e *AddressConflictError) Error() string {
	return fmt.Sprintf("catalogue: service %q: address %s belongs to service %q; use another address or remove it there in the same edit", e.Service, e.Address, e.Holder)
}

// OwnerError reports an edit of another owner's entry.
type OwnerError struct {
	Service string
	Owner   string // owner named in the edit
	Holder  string // owner of the entry
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("catalogue: service %q belongs to owner %q, not %q; choose another service name or ask that owner to delete the entry", e.Service, e.Holder, e.Owner)
}

// EntryNotFoundError reports a service without an entry.
type EntryNotFoundError struct{ Service string }

func (e *EntryNotFoundError) Error() string {
	return fmt.Sprintf("catalogue: no entry for service %q; list the entries and correct the name", e.Service)
}

// DuplicateError reports a service that is named twice in one edit.
type DuplicateError struct{ Service string }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("catalogue: service %q is named twice in one edit; keep one of the two", e.Service)
}

// Check returns a *FieldError for the first invalid field. Conflicts with other
// entries are detected by Catalogue.Plan.
func (e Entry) Check() error {
	if err := checkName(e.Service, "service", e.Service); err != nil {
		return err
	}
	if err := checkName(e.Service, "owner", e.Owner); err != nil {
		return err
	}
	if err := e.checkAddresses(); err != nil {
		return err
	}
	switch e.Class {
	case ClassInteractive, ClassStream, ClassDownload:
	default:
		return &FieldError{e.Service, "class", string(e.Class), fmt.Sprintf("use %s, %s or %s", ClassInteractive, ClassStream, ClassDownload)}
	}
	return e.Limits.check(e.Service)
}

func (e Entry) checkAddresses() error {
	if len(e.Addresses) == 0 || len(e.Addresses) > MaxAddresses {
		return &FieldError{e.Service, "addresses", fmt.Sprint(len(e.Addresses)), fmt.Sprintf("give 1 to %d addresses", MaxAddresses)}
	}
	seen := make(map[netip.Addr]bool, len(e.Addresses))
	for _, a := range e.Addresses {
		switch {
		case !a.Is4():
			return &FieldError{e.Service, "addresses", a.String(), "use an IPv4 address"}
		case a.IsUnspecified() || a.IsMulticast() || a == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
			return &FieldError{e.Service, "addresses", a.String(), "use a unicast address"}
		case seen[a]:
			return &FieldError{e.Service, "addresses", a.String(), "name each address once"}
		}
		seen[a] = true
	}
	return nil
}

func (l Limits) check(service string) error {
	counts := []struct {
		field      string
		value, max int
	}{
		{"limits.connections", l.Connections, MaxConnections},
		{"limits.slots", l.Slots, MaxSlots},
		{"limits.queue", l.Queue, MaxQueue},
		{"limits.rate", l.Rate, MaxRate},
	}
	for _, c := range counts {
		if c.value < 0 || c.value > c.max {
			return &FieldError{service, c.field, fmt.Sprint(c.value), fmt.Sprintf("use 0 to %d", c.max)}
		}
	}
	if l.Deadline != 0 && (l.Deadline < MinDeadline || l.Deadline > MaxDeadline) {
		return &FieldError{service, "limits.deadline", l.Deadline.String(), fmt.Sprintf("use %s to %s, or leave it out", MinDeadline, MaxDeadline)}
	}
	return nil
}

// checkName allows lower-case letters, digits, dots and dashes, so that a name
// is valid in a metric label, a file name and a key of the store.
func checkName(service, field, name string) error {
	ok := name != "" && len(name) <= MaxName && name[0] != '-' && name[0] != '.'
	for i := 0; ok && i < len(name); i++ {
		c := name[i]
		ok = c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.'
	}
	if ok {
		return nil
	}
	return &FieldError{service, field, name, fmt.Sprintf("use 1 to %d lower-case letters, digits, dots and dashes, beginning with a letter or digit", MaxName)}
}

// sameContent reports whether e and f are equal apart from Number and Version.
func (e Entry) sameContent(f Entry) bool {
	if e.Service != f.Service || e.Owner != f.Owner || e.Class != f.Class || e.Limits != f.Limits {
		return false
	}
	if len(e.Addresses) != len(f.Addresses) {
		return false
	}
	for i, a := range e.Addresses {
		if a != f.Addresses[i] {
			return false
		}
	}
	return true
}
