package placement

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
)

// FullWeight is the weight of an agent that receives a full share of new flows.
const FullWeight = 255

// bucketsPerAgent is the minimum number of index buckets per agent, of 4 bytes
// each.
const bucketsPerAgent = 4

// None is the index that stands for "no agent".
const None = -1

// Agent is one agent of a service in the member list.
type Agent struct {
	Addr   netip.AddrPort // IPv4 address and port of its internal socket
	Zone   string         // availability zone
	Weight uint8          // share of new flows, 0 (draining) to FullWeight
}

// Config holds the settings shared by all tables of one balancer.
type Config struct {
	// Seed must be the same on every balancer: the primary depends on it.
	Seed uint64
	// Zone is the balancer's own availability zone.
	Zone string
	// Samples is the number of other agents that Alternate compares; default
	// DefaultSamples, at most 255.
	Samples int
	// RemotePenalty is added to the estimated occupancy of agents in other
	// zones when alternates are compared; 0 is no preference for a zone. The
	// choice of the primary ignores zones, because balancers of different
	// zones must choose the same one. The daemons use DefaultRemotePenalty.
	RemotePenalty uint8
}

// DefaultRemotePenalty is the occupancy of one request at an agent with 5
// slots: the balancer's own zone wins ties, and the load stays as balanced as
// without a penalty.
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

// entry is an agent in a table, 16 bytes.
type entry struct {
	hash   uint64 // position on the ring, from the address and Config.Seed
	packed uint64 // packed address in the low 48 bits, then weight and local bit
}

const (
	addrBits    = 48
	addrMask    = 1<<addrBits - 1
	weightShift = addrBits
	localBit    = 1 << 56
)

func (e entry) addr() uint64  { return e.packed & addrMask }
func (e entry) weight() uint8 { return uint8(e.packed >> weightShift) }
func (e entry) local() bool   { return e.packed&localBit != 0 }

// Table is an immutable snapshot of the agents of one service that accept new
// flows. It is safe for concurrent use.
// The zero value has no agents.
type Table struct {
	seed          uint64
	entries       []entry  // ascending by hash, weight never 0
	index         []uint32 // first entry of each bucket, an equal part of the ring; nil for small tables
	shift         uint8    // hash >> shift is the bucket
	samples       uint8
	remotePenalty uint8 // Config.RemotePenalty
	maxWeight     uint8 // highest weight
	equalWeights  bool  // all weights are equal
}

// NewTable builds a table. Agents of weight 0 are left out; of agents with the
// same address, the last one is used. It returns an *AddressError for an agent
// whose address is not IPv4.
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

// With returns a copy of the table in which a replaces the agent of the same
// address, or is added. Weight 0 removes the agent. The table is copied but not
// sorted again. With returns an *AddressError if the address is not IPv4.
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
	e := entry{hash: mix(p*golden ^ cfg.Seed), packed: p | uint64(a.Weight)<<weightShift}
	if a.Zone == cfg.Zone {
		e.packed |= localBit
	}
	return e, nil
}

func compareEntries(a, b entry) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.addr(), b.addr())
}

// dedupe keeps the last entry of each address and drops entries of weight 0.
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
	t := &Table{seed: cfg.Seed, entries: entries, samples: uint8(cfg.Samples), remotePenalty: cfg.RemotePenalty, equalWeights: true}
	if cfg.Samples == 0 {
		t.samples = DefaultSamples
	}
	for _, e := range entries {
		t.maxWeight = max(t.maxWeight, e.weight())
		t.equalWeights = t.equalWeights && e.weight() == entries[0].weight()
	}
	if len(entries) > rendezvousMaxAgents {
		t.buildIndex()
	}
	return t
}

// buildIndex divides the ring into bucketsPerAgent to 2*bucketsPerAgent buckets
// per agent, so that the first agent of a bucket is nearly always the successor
// of a point in it.
func (t *Table) buildIndex() {
	width := bits.Len(uint(len(t.entries)*bucketsPerAgent - 1))
	t.shift = uint8(64 - width)
	t.index = make([]uint32, 1<<width)
	at := 0
	for bucket := range t.index {
		for at < len(t.entries) && t.entries[at].hash>>t.shift < uint64(bucket) {
			at++
		}
		t.index[bucket] = uint32(at)
	}
}

// Len returns the number of agents that accept new flows.
func (t *Table) Len() int { return len(t.entries) }

// Addr returns the address of the agent at index i.
func (t *Table) Addr(i int) netip.AddrPort { return unpack(t.entries[i].addr()) }

// Local reports whether the agent at index i is in the balancer's zone.
func (t *Table) Local(i int) bool { return t.entries[i].local() }
