package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
)

// sequenceTable holds the latest sequence number received from each agent. It is state per
// agent, not per flow.
type sequenceTable struct {
	mu        sync.RWMutex
	sequences map[netip.AddrPort]*atomic.Uint32
}

func newSequenceTable() *sequenceTable {
	return &sequenceTable{sequences: make(map[netip.AddrPort]*atomic.Uint32)}
}

// get returns the latest sequence number of agent, or nil if the agent is not in the table.
func (t *sequenceTable) get(agent netip.AddrPort) *atomic.Uint32 {
	t.mu.RLock()
	p := t.sequences[agent]
	t.mu.RUnlock()
	return p
}

// newest returns the latest sequence number received from agent, or 0 if there is none.
func (t *sequenceTable) newest(agent netip.AddrPort) uint32 {
	if p := t.get(agent); p != nil {
		return p.Load()
	}
	return 0
}

// record stores a sequence number received from agent.
func (t *sequenceTable) record(agent netip.AddrPort, seq uint32) {
	p := t.get(agent)
	if p == nil {
		p = t.add(agent)
	}
	p.Store(seq)
}

// add returns the sequence number of agent, which it adds to the table if it is not in it.
func (t *sequenceTable) add(agent netip.AddrPort) *atomic.Uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.sequences[agent]; p != nil {
		return p
	}
	p := new(atomic.Uint32)
	t.sequences[agent] = p
	return p
}

// remove deletes an agent that was removed from the member list. Otherwise the table would
// grow with every agent that ever existed.
func (t *sequenceTable) remove(agent netip.AddrPort) {
	t.mu.Lock()
	delete(t.sequences, agent)
	t.mu.Unlock()
}
