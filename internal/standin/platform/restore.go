package platform

import (
	"bytes"
	"maps"
	"slices"
	"strings"
)

// eraHeader is the header of every response with the store era: how often the store was
// restored from an older copy.
const eraHeader = "Store-Era"

// Backup is a copy of the store's contents.
type Backup struct {
	revision, oldest uint64
	items            map[string]item
	history          []item
	leases           map[uint64]lease
}

// Backup returns a copy of the store's current contents.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	b := &Backup{revision: s.revision, oldest: s.oldest, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: map[uint64]lease{}}
	for id, l := range s.leases {
		b.leases[id] = *l
	}
	return b
}

// Restore restores the store from b. Later writes and leases are lost, and their revisions
// and lease numbers are assigned again. Calls in progress are aborted. Restore returns a
// function that writes the operator's lost keys again.
func (s *Store) Restore(b *Backup) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.items
	s.era++
	s.revision, s.oldest = b.revision, b.oldest
	s.items, s.history = maps.Clone(b.items), slices.Clone(b.history)
	s.leases = map[uint64]*lease{}
	for id, l := range b.leases {
		s.leases[id] = &l
	}
	s.notifyWatches()
	return func() { s.rewrite(b, previous) }
}

// rewrite sets the operator's keys to their values before the store was restored from b,
// except keys that the operator has written since.
func (s *Store) rewrite(b *Backup, previous map[string]item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if _, existed := previous[key]; !existed && i.Revision <= b.revision && strings.HasPrefix(key, operatorPrefix) {
			s.remove(key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		current, exists := s.items[key]
		if !strings.HasPrefix(key, operatorPrefix) || exists && (current.Revision > b.revision || bytes.Equal(current.Value, previous[key].Value)) {
			continue
		}
		s.put(key, previous[key].Value, 0)
	}
}
