package membership

import (
	"net/netip"
	"time"
)

// Unexported parts of the package that its external tests need. These tests are in
// package membership_test, because the lab that they use imports this package.

const (
	HashLen    = hashLen
	GroupCount = groupCount
	GroupSize  = groupSize
	Observers  = observers
)

func BucketOf(a netip.AddrPort) int { return bucketOf(keyOf(a)) }

func ShortIncarnation(i uint64) uint32 { return shortIncarnation(i) }

// MarkConnected makes m consider itself not isolated at now.
func (m *Machine) MarkConnected(now time.Time) { m.receivedAt = now }

// ObserverHash returns the hash that an agent of the first zone reports if it
// knows its observers.
func (m *Machine) ObserverHash(agent netip.AddrPort) uint64 {
	t := m.members.rank(keyOf(agent), RoleAgent, 0)
	return hashKeys(t.list())
}

// Score returns the rendezvous score of observer for subject.
func Score(subject, observer int) uint64 { return score(key(subject), key(observer)) }

func Mix(x uint64) uint64 { return mix(x) }
