package catalogue

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
)

var (
	errDown = errors.New("store is down")
	errLost = errors.New("answer lost")
)

// memStore is an in-memory Store that can simulate outages and lost messages.
type memStore struct {
	mu      sync.Mutex
	values  map[string]Stored
	version uint64
	rng     *rand.Rand
	down    float64 // share of calls that fail without effect
	lose    float64 // share of writes whose answer is lost after the effect
	drop    float64 // share of writes whose request and answer are lost
	reads   int
	writes  int
}

func newMemStore(seed uint64) *memStore {
	return &memStore{values: make(map[string]Stored), rng: rand.New(rand.NewPCG(seed, 2))}
}

func (m *memStore) Get(_ context.Context, key string) (Stored, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.rng.Float64() < m.down {
		return Stored{}, &StoreError{KindUnavailable, errDown}
	}
	v, ok := m.values[key]
	if !ok {
		return Stored{}, &StoreError{KindNotFound, errors.New(key)}
	}
	return v, nil
}

func (m *memStore) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.rng.Float64() < m.down {
		return 0, &StoreError{KindUnavailable, errDown}
	}
	if m.rng.Float64() < m.drop {
		return 0, &StoreError{KindUnknown, errLost}
	}
	if len(data) > 1<<20 {
		return 0, &StoreError{KindUnavailable, errors.New("too large")}
	}
	if m.values[key].Version != expect {
		return 0, &StoreError{KindConflict, errors.New(key)}
	}
	m.version++
	m.values[key] = Stored{data, m.version}
	if m.rng.Float64() < m.lose {
		return 0, &StoreError{KindUnknown, errLost}
	}
	return m.version, nil
}

func (m *memStore) Delete(_ context.Context, key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.rng.Float64() < m.down {
		return &StoreError{KindUnavailable, errDown}
	}
	delete(m.values, key)
	return nil
}

func (m *memStore) Watch(context.Context, string, uint64) (Stored, error) {
	return Stored{}, &StoreError{KindWatchTimeout, errors.New("no watch")}
}

// set sets the shares of calls that fail or whose messages are lost.
func (m *memStore) set(down, lose, drop float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.lose, m.drop = down, lose, drop
}
