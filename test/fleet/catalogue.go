package fleet

import (
	"context"
	"net/netip"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Entry returns the entry of a service in the store.
func (f *Fleet) Entry(service string) catalogue.Entry {
	f.T.Helper()
	c, _, _, err := catalogue.Load(context.Background(), f.Editor.Store)
	if err != nil {
		f.T.Fatal(err)
	}
	e, ok := c.Entry(service)
	if !ok {
		f.T.Fatalf("no entry for %s", service)
	}
	return e
}

// Apply writes an edit of the catalogue and returns the revision that contains it.
func (f *Fleet) Apply(e catalogue.Edit) uint64 {
	f.T.Helper()
	accepted, err := f.Editor.Apply(context.Background(), e)
	if err != nil {
		f.T.Fatal(err)
	}
	return accepted.Revision
}

// WaitRevision waits until a revision is in force at every balancer.
func (f *Fleet) WaitRevision(revision uint64) {
	f.T.Helper()
	for _, b := range f.Balancers {
		f.Eventually(b.Name+" has the revision in force", func() bool {
			s, err := b.Status()
			return err == nil && s.Revision >= revision
		})
	}
}

// SpareAddress returns the n-th address that belongs to no service when the fleet starts.
func (f *Fleet) SpareAddress(n int) netip.Addr { return f.addr(4, n) }

// Ports returns the public ports of all balancers.
func (f *Fleet) Ports() []uint16 {
	var ports []uint16
	for _, b := range f.Balancers {
		ports = append(ports, b.Port)
	}
	return ports
}
