package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Repair compares digests with one random balancer at a time, from the whole
// member list down to single records, and exchanges the records that differ:
//
//	RootDigest -> GroupDigests -> BucketDigests -> RecordDigests -> Repair and RecordRequest -> Repair
//
// Each step covers only what differed in the previous one, so that two equal
// member lists cost one small message.
const (
	// bulkDifference is the difference in records above which the member list
	// is loaded in bulk instead of by datagrams.
	bulkDifference = 512
	// groupsPerRound bounds the answers to one message of group digests.
	groupsPerRound = 4
	// recentChange is the time in which gossip still spreads a change. A group
	// that changed within it is expected to differ and is not compared further.
	recentChange = 3 * time.Second
	// One in farComparePeriod comparisons, at random, is with a balancer of any
	// zone, the others with one of the same zone.
	farComparePeriod = 4
)

// backlogged reports whether many changes wait for gossip. Member lists are then
// expected to differ, and a comparison would use the bytes that the changes need.
func (m *Machine) backlogged() bool { return len(m.queue.position) > backlog }

// compare starts a comparison if one is due.
func (m *Machine) compare(now time.Time) {
	if now.Sub(m.comparedAt) < m.cfg.Timing.CompareInterval {
		return
	}
	m.comparedAt = now
	if m.backlogged() {
		return
	}
	list := m.members.live[m.zone]
	if len(list) < 2 || m.rng.IntN(farComparePeriod) == 0 {
		list = m.members.liveAll()
	}
	for _, t := range m.pick(nil, list, 1) {
		m.sendRootDigest(t)
	}
}

// probeOutOfContact sends a digest to a balancer that is out of contact: its zone
// is down, it is dead, or it is a seed that is not in the member list. Otherwise
// two sides of a partition that have declared each other dead would stay separate
// after the partition has healed.
func (m *Machine) probeOutOfContact(now time.Time) {
	if now.Sub(m.probedAt) < m.cfg.Timing.ProbeInterval {
		return
	}
	m.probedAt = now.Add(-time.Duration(m.rng.Int64N(int64(m.cfg.Timing.ProbeInterval) / 4)))
	for _, t := range m.pick(nil, m.outOfContact(), 1) {
		m.sendRootDigest(t)
	}
}

func (m *Machine) outOfContact() []key {
	var list []key
	for z := range m.members.zones {
		if m.members.zones[z].down {
			list = append(list, m.members.live[z]...)
		}
	}
	for _, t := range m.tombstones {
		c := m.members.find(t.key)
		if c != nil && c.verdict == VerdictDead && c.role == RoleBalancer {
			list = append(list, t.key)
		}
	}
	for _, a := range m.self.cfg.Seeds {
		if m.members.find(keyOf(a)) == nil {
			list = append(list, keyOf(a))
		}
	}
	return list
}

func (m *Machine) sendRootDigest(to netip.AddrPort) {
	m.send(to, &Message{
		Kind: KindRootDigest, Hash: m.members.root, Count: uint32(m.members.count),
		Records: []Record{m.self.self},
	})
}

// onRepairStep handles the messages of a comparison. All answers to them are
// optional, so none is sent beyond the byte budget.
func (m *Machine) onRepairStep(now time.Time, from netip.AddrPort, msg *Message) {
	if msg.Kind == KindRootDigest && len(msg.Records) > 0 && msg.Records[0].Addr == from {
		m.merge(now, &msg.Records[0], 0)
	}
	if m.tokens < 0 {
		m.stats.RateLimited++
		return
	}
	if m.backlogged() && msg.Kind != KindRecordRequest && int(msg.Count) <= m.members.count+bulkDifference {
		return
	}
	switch msg.Kind {
	case KindRootDigest:
		m.onRootDigest(from, msg)
	case KindGroupDigests:
		m.onGroupDigests(now, from, msg)
	case KindBucketDigests:
		m.onBucketDigests(from, msg)
	case KindRecordDigests:
		m.onRecordDigests(from, msg)
	case KindRecordRequest:
		m.onRecordRequest(from, msg)
	}
}

func (m *Machine) onRootDigest(from netip.AddrPort, msg *Message) {
	l := m.members
	if msg.Hash == l.root {
		return
	}
	theirs, own := int(msg.Count), l.count
	switch {
	case theirs > own+bulkDifference:
		m.bulkSource = from
	case own > theirs+bulkDifference:
		m.sendRootDigest(from) // the sender then sees which records it lacks
	default:
		m.send(from, &Message{Kind: KindGroupDigests, Hashes: packHashes(l.groups[:])})
	}
}

func (m *Machine) onGroupDigests(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != groupCount*hashLen {
		return
	}
	first, sent := m.rng.IntN(groupCount), 0
	for i := 0; i < groupCount && sent < groupsPerRound; i++ {
		g := (first + i) % groupCount
		if hashAt(msg.Hashes, g) == uint32(m.members.groups[g]) || now.Sub(m.groupChangedAt[g]) < recentChange {
			continue
		}
		buckets := m.members.buckets[g*groupSize : (g+1)*groupSize]
		m.send(from, &Message{Kind: KindBucketDigests, Index: uint16(g), Hashes: packHashes(buckets)})
		sent++
	}
}

func (m *Machine) onBucketDigests(from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != groupSize*hashLen || msg.Index >= groupCount {
		return
	}
	sum := &Message{Kind: KindRecordDigests}
	for i := 0; i < groupSize; i++ {
		b := int(msg.Index)*groupSize + i
		if hashAt(msg.Hashes, i) == uint32(m.members.buckets[b]) {
			continue
		}
		if !m.addBucket(sum, b) {
			break
		}
	}
	if len(sum.Buckets) > 0 {
		m.send(from, sum)
	}
}

// addBucket adds the record digests of bucket b to sum. It returns false if they don't
// fit.
func (m *Machine) addBucket(sum *Message, b int) bool {
	const each = sizePeer + hashLen
	n := 0
	m.members.eachInBucket(b, func(*cell) { n++ })
	full := len(sum.Buckets) > 0 && sum.size()+n*each > MaxMessage
	if full || len(sum.Buckets) == maxBuckets {
		return false
	}
	sum.Buckets = append(sum.Buckets, uint16(b))
	m.members.eachInBucket(b, func(c *cell) {
		if sum.size()+each > MaxMessage {
			return
		}
		sum.Peers = append(sum.Peers, c.key.addrPort())
		sum.Hashes = binary.BigEndian.AppendUint32(sum.Hashes, c.recordDigest())
	})
	return true
}

func (m *Machine) onRecordDigests(from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != hashLen*len(msg.Peers) || len(msg.Buckets) > maxBuckets {
		return
	}
	listed := make(map[key]uint32, len(msg.Peers))
	want := &Message{Kind: KindRecordRequest}
	for i, p := range msg.Peers {
		h := hashAt(msg.Hashes, i)
		listed[keyOf(p)] = h
		if h != 0 && m.members.find(keyOf(p)) == nil {
			want.Peers = append(want.Peers, p)
		}
	}
	var differ []Record
	for _, b := range msg.Buckets {
		if b >= bucketCount {
			return
		}
		m.members.eachInBucket(int(b), func(c *cell) {
			h, ok := listed[c.key]
			if ok && h != c.recordDigest() || !ok && c.digested() {
				differ = append(differ, m.members.record(c))
			}
		})
	}
	m.sendRecords(from, differ)
	if len(want.Peers) > 0 {
		m.send(from, want)
	}
}

func (m *Machine) onRecordRequest(from netip.AddrPort, msg *Message) {
	var list []Record
	for _, p := range msg.Peers {
		if c := m.members.find(keyOf(p)); c != nil {
			list = append(list, m.members.record(c))
		}
	}
	m.sendRecords(from, list)
}

// sendRecords sends records as repair while the byte budget lasts. The rest
// differs again in the next comparison.
func (m *Machine) sendRecords(to netip.AddrPort, list []Record) {
	for len(list) > 0 && m.tokens > 0 {
		msg := &Message{Kind: KindRepair}
		space := MaxMessage - sizeHead
		for len(list) > 0 && list[0].size() <= space {
			space -= list[0].size()
			msg.Records = append(msg.Records, list[0])
			list = list[1:]
		}
		m.send(to, msg)
	}
	if len(list) > 0 {
		m.stats.RateLimited++
	}
}

// recordDigest is the digest of one record in a KindRecordDigests message, 0 for
// a dead record: a balancer that has removed a dead record must not request it.
func (c *cell) recordDigest() uint32 {
	if !c.digested() {
		return 0
	}
	return uint32(c.hash()) | 1
}

func (l *memberList) eachInBucket(b int, f func(*cell)) {
	for i := l.heads[b]; i >= 0; i = l.cells[i].next {
		f(&l.cells[i])
	}
}

func packHashes(list []uint64) []byte {
	b := make([]byte, 0, len(list)*hashLen)
	for _, h := range list {
		b = binary.BigEndian.AppendUint32(b, uint32(h))
	}
	return b
}

func hashAt(b []byte, i int) uint32 { return binary.BigEndian.Uint32(b[i*hashLen:]) }
