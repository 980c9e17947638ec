package placement

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
)

// FullWeight is the weight of an agent that takes its whole share.
const FullWeight = 255

// partsPerAgent is the least number of ring parts per agent, of 4 bytes each.
const partsPerAgent = 4

// None is the index that stands for "no agent".
const None = -1

// Agent is one agent of a service as the roster names it.
type Agent struct {
	Addr   netip.AddrPort // IPv4 address and port of its internal socket
	Zone   string         // availability zone
	Weight uint8          // share of new flows, 0 (draining) to FullWeight
}

// Config is what all tables of one balancer share.
type Config struct {
	// Seed must be the same on every balancer: the primary depends on it.
	Seed uint64
	// Zone is the balancer's own availability zone.
	Zone string
	// Samples is how many other agents Alternate compares; default
	// DefaultSamples, at most 255.
	Samples int
	// RemotePenalty is added to the believed occupancy of agents in other
	// zones when alternates are compared; 0 is no preference for a zone. The
	// primary knows no zones: balancers of two zones must choose the same one.
	// The daemons use DefaultRemotePenalty.
	RemotePenalty uint8
}

// DefaultRemotePenalty is one request at an agent of 5 slots: ties go to the
// own zone, and the balance stays within what was measured without it.
const DefaultRemotePenalty = 8

// DefaultSamples is the default of Config.Samples.
const DefaultSamples = 6

// AddressError reports an agent whose address a table can't hold.
type AddressError struct {
	Addr netip.AddrPort
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("agent %v: not an IPv4 address and port; announce the agent by its IPv4 address", e.Addr)
}

// entry is an agent within a table: 16 bytes.
type entry struct {
	hash uint64 // place on the ring, from the address alone
	word uint64 // packed address, then weight, then the local bit
}

const (
	addrBits    = 48
	addrMask    = 1<<addrBits - 1
	weightShift = addrBits
	localBit    = 1 << 56
)

func (e entry) addr() uint64  { return e.word & addrMask }
func (e entry) weight() uint8 { return uint8(e.word >> weightShift) }
func (e entry) local() bool   { return e.word&localBit != 0 }

// Table is an immutable snapshot of one service's agents that take new flows.
// The zero value has no agents.
type Table struct {
	seed    uint64
	entries []entry  // ascending by hash, weight never 0
	index   []uint32 // first entry of each equal part of the ring; nil when small
	shift   uint8    // hash >> shift is a part of the ring
	samples uint8
	remote  uint8 // Config.RemotePenalty
	top     uint8 // highest weight
	even    bool  // all weights are equal
}

// NewTable builds a table. Agents of weight 0 are left out; of two agents with
// one address the later counts.
func NewTable(cfg Config, agents []Agent) (*Table, error) {
	entries := make([]entry, 0, len(agents))
	for _, a := range agents {
		e, err := newEntry(cfg, a)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, compareEntries)
	return newTable(cfg, dedupe(entries)), nil
}

// With returns a table in which a replaces the agent of the same address.
// Weight 0 removes it. The cost is one copy of the table, without a sort.
func (t *Table) With(cfg Config, a Agent) (*Table, error) {
	e, err := newEntry(cfg, a)
	if err != nil {
		return nil, err
	}
	at, found := slices.BinarySearchFunc(t.entries, e, compareEntries)
	after := at
	if found {
		after++
	}
	entries := make([]entry, 0, len(t.entries)+1)
	entries = append(entries, t.entries[:at]...)
	if e.weight() > 0 {
		entries = append(entries, e)
	}
	entries = append(entries, t.entries[after:]...)
	return newTable(cfg, entries), nil
}

func newEntry(cfg Config, a Agent) (entry, error) {
	p, ok := pack(a.Addr)
	if !ok {
		return entry{}, &AddressError{Addr: a.Addr}
	}
	e := entry{hash: mix(p*golden ^ cfg.Seed), word: p | uint64(a.Weight)<<weightShift}
	if a.Zone == cfg.Zone {
		e.word |= localBit
	}
	return e, nil
}

func compareEntries(a, b entry) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.addr(), b.addr())
}

// dedupe keeps the last of equal addresses and drops weight 0.
func dedupe(sorted []entry) []entry {
	kept := sorted[:0]
	for i, e := range sorted {
		last := i+1 == len(sorted) || compareEntries(e, sorted[i+1]) != 0
		if last && e.weight() > 0 {
			kept = append(kept, e)
		}
	}
	return kept
}

func newTable(cfg Config, entries []entry) *Table {
	t := &Table{seed: cfg.Seed, entries: entries, samples: uint8(cfg.Samples), remote: cfg.RemotePenalty, even: true}
	if cfg.Samples == 0 {
		t.samples = DefaultSamples
	}
	for _, e := range entries {
		t.top = max(t.top, e.weight())
		t.even = t.even && e.weight() == entries[0].weight()
	}
	if len(entries) > ringFrom {
		t.buildIndex()
	}
	return t
}

// buildIndex cuts the ring into partsPerAgent or up to twice as many parts per
// agent, so that the first agent of a part is nearly always the one looked for.
func (t *Table) buildIndex() {
	width := bits.Len(uint(len(t.entries)*partsPerAgent - 1))
	t.shift = uint8(64 - width)
	t.index = make([]uint32, 1<<width)
	at := 0
	for part := range t.index {
		for at < len(t.entries) && t.entries[at].hash>>t.shift < uint64(part) {
			at++
		}
		t.index[part] = uint32(at)
	}
}

// Len returns how many agents take new flows.
func (t *Table) Len() int { return len(t.entries) }

// Addr returns the address of the agent at index i.
func (t *Table) Addr(i int) netip.AddrPort { return unpack(t.entries[i].addr()) }

// Local reports whether the agent at index i is in the balancer's zone.
func (t *Table) Local(i int) bool { return t.entries[i].local() }
