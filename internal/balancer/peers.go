package balancer

import (
	"net/netip"
	"sync"
	"sync/atomic"
)

// peerTable holds, for each agent, the newest sequence number that arrived
// from it. It is state per agent and not per flow.
type peerTable struct {
	mu    sync.RWMutex
	peers map[netip.AddrPort]*atomic.Uint32
}

func newPeerTable() *peerTable {
	return &peerTable{peers: make(map[netip.AddrPort]*atomic.Uint32)}
}

func (t *peerTable) get(agent netip.AddrPort) *atomic.Uint32 {
	t.mu.RLock()
	p := t.peers[agent]
	t.mu.RUnlock()
	return p
}

// echo returns the newest sequence number seen from agent, 0 for none.
func (t *peerTable) echo(agent netip.AddrPort) uint32 {
	if p := t.get(agent); p != nil {
		return p.Load()
	}
	return 0
}

// saw records a sequence number that arrived from agent.
func (t *peerTable) saw(agent netip.AddrPort, seq uint32) {
	p := t.get(agent)
	if p == nil {
		p = t.add(agent)
	}
	p.Store(seq)
}

func (t *peerTable) add(agent netip.AddrPort) *atomic.Uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[agent]; p != nil {
		return p
	}
	p := new(atomic.Uint32)
	t.peers[agent] = p
	return p
}

// forget drops an agent that left the roster, so that the table does not grow
// with every agent that ever was.
func (t *peerTable) forget(agent netip.AddrPort) {
	t.mu.Lock()
	delete(t.peers, agent)
	t.mu.Unlock()
}
