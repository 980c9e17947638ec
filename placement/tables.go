package placement

import (
	"maps"
	"sync"
	"sync/atomic"
)

const (
	pageBits = 10 // services per page, as a power of two
	pageSize = 1 << pageBits
)

type page [pageSize]atomic.Pointer[Table]

// Tables holds the tables of all services by service number. Get is lock-free
// and allocates nothing; Set replaces a single table. The zero value is ready to
// use.
type Tables struct {
	mu    sync.Mutex // held while a page is looked up or added in Set
	pages atomic.Pointer[map[uint32]*page]
}

// Get returns the table of service, or nil if there is none.
func (s *Tables) Get(service uint32) *Table {
	pages := s.pages.Load()
	if pages == nil {
		return nil
	}
	p := (*pages)[service>>pageBits]
	if p == nil {
		return nil
	}
	return p[service%pageSize].Load()
}

// Set makes t the table of service; a nil t removes the service.
func (s *Tables) Set(service uint32, t *Table) {
	s.page(service >> pageBits)[service%pageSize].Store(t)
}

// page returns the page with the given number. A missing page is added to a copy of the
// map, which then replaces the map, so that Get needs no lock.
func (s *Tables) page(number uint32) *page {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.pages.Load()
	next := make(map[uint32]*page)
	if old != nil {
		if p := (*old)[number]; p != nil {
			return p
		}
		maps.Copy(next, *old)
	}
	p := new(page)
	next[number] = p
	s.pages.Store(&next)
	return p
}
