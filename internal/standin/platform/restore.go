package platform

import (
	"bytes"
	"maps"
	"slices"
	"strings"
)

// eraHeader tells, in every answer, how often the store has come back from an older copy.
const eraHeader = "Store-Era"

// Backup is what the store held at one moment.
type Backup struct {
	revision, oldest uint64
	items            map[string]item
	history          []item
	leases           map[uint64]lease
}

// Backup returns what the store holds now.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := &Backup{revision: s.revision, oldest: s.oldest, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: map[uint64]lease{}}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore has the store come back from c: what was written since is gone, leases too, and
// revisions and numbers of leases are given out again. Calls under way are cut. It returns
// a function by which the operator writes again what it had written.
func (s *Store) Restore(c *Backup) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.era++
	s.revision, s.oldest = c.revision, c.oldest
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	s.notifyWatches()
	return func() { s.rewrite(c, lost) }
}

// rewrite makes the operator's keys what they were before the store came back from c. Those
// that the operator has written since stay.
func (s *Store) rewrite(c *Backup, lost map[string]item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if _, kept := lost[key]; !kept && i.Revision <= c.revision && strings.HasPrefix(key, operatorPrefix) {
			s.remove(key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		now, there := s.items[key]
		if !strings.HasPrefix(key, operatorPrefix) || there && (now.Revision > c.revision || bytes.Equal(now.Value, lost[key].Value)) {
			continue
		}
		s.put(key, lost[key].Value, 0)
	}
}
