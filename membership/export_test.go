package membership

import (
	"net/netip"
	"time"
)

// What tests of the package's surface need of its inside. They are in package
// membership_test, because the exchange that they use imports this package.

const (
	HashLen    = hashLen
	GroupCount = groupCount
	GroupSize  = groupSize
	Observers  = observers
)

func BucketOf(a netip.AddrPort) int { return bucketOf(keyOf(a)) }

func ShortIncarnation(i uint64) uint32 { return shortIncarnation(i) }

// HearNow lets m take itself for connected.
func (m *Machine) HearNow(now time.Time) { m.receivedAt = now }

// ObserverHash is what an agent of the first zone that knows its observers
// reports.
func (m *Machine) ObserverHash(agent netip.AddrPort) uint64 {
	t := m.roster.rank(keyOf(agent), RoleAgent, 0)
	return hashKeys(t.list())
}

// Score is how high observer ranks for subject.
func Score(subject, observer int) uint64 { return score(key(subject), key(observer)) }

func Mix(x uint64) uint64 { return mix(x) }
