package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Repair compares digests with one random balancer at a time, from the whole
// roster down to single records, and exchanges what differs:
//
//	Root -> Groups -> Buckets -> Summary -> Repair and Want -> Repair
//
// Each step is sent only where the previous one differs, so that two equal
// rosters cost one small message.
const (
	// bulkDifference in records is better loaded in bulk than by datagrams.
	bulkDifference = 512
	// groupsPerRound bounds the answers to one message of group digests.
	groupsPerRound = 4
	// hotFor is the time in which gossip is still spreading a change. A group
	// that changed so lately differs for that reason, and isn't descended.
	hotFor = 3 * time.Second
	// farCompare is how many comparisons pass between two with a balancer of
	// another zone.
	farCompare = 4
)

// flooded tells that many changes still wait for gossip. Rosters differ then
// for that reason alone, and comparing them would take the bytes that the
// changes need.
func (m *Machine) flooded() bool { return len(m.queue.level) > backlog }

// compare starts a comparison when one is due.
func (m *Machine) compare(now time.Time) {
	if now.Sub(m.compareAt) < m.cfg.Timing.CompareInterval {
		return
	}
	m.compareAt = now
	if m.flooded() {
		return
	}
	list := m.roster.live[m.zone]
	if len(list) < 2 || m.rng.IntN(farCompare) == 0 {
		list = m.roster.liveAll()
	}
	for _, t := range m.pick(nil, list, 1) {
		m.sendRoot(t)
	}
}

// probeLost sends a digest to a balancer that is out of contact: in a zone that
// is down, dead, or a seed that is in no roster. Two sides of a partition that
// have given each other up would otherwise stay apart after it has healed,
// each with a roster in which the other is dead.
func (m *Machine) probeLost(now time.Time) {
	if now.Sub(m.probeAt) < m.cfg.Timing.ProbeInterval {
		return
	}
	m.probeAt = now.Add(-time.Duration(m.rng.Int64N(int64(m.cfg.Timing.ProbeInterval) / 4)))
	for _, t := range m.pick(nil, m.lost(), 1) {
		m.sendRoot(t)
	}
}

func (m *Machine) lost() []key {
	var list []key
	for z := range m.roster.zones {
		if m.roster.zones[z].down {
			list = append(list, m.roster.live[z]...)
		}
	}
	for _, t := range m.dead {
		c := m.roster.find(t.key)
		if c != nil && c.verdict == VerdictDead && c.role == RoleBalancer {
			list = append(list, t.key)
		}
	}
	for _, a := range m.self.cfg.Seeds {
		if m.roster.find(keyOf(a)) == nil {
			list = append(list, keyOf(a))
		}
	}
	return list
}

func (m *Machine) sendRoot(to netip.AddrPort) {
	m.send(to, &Message{
		Kind: KindRootDigest, Hash: m.roster.root, Count: uint32(m.roster.count),
		Records: []Record{m.self.self},
	})
}

// onRepairStep handles the messages of a comparison. All of them are answers
// to something this balancer may ignore, so none is sent beyond the budget.
func (m *Machine) onRepairStep(now time.Time, from netip.AddrPort, msg *Message) {
	if msg.Kind == KindRootDigest && len(msg.Records) > 0 && msg.Records[0].Addr == from {
		m.merge(now, &msg.Records[0], 0)
	}
	if m.tokens < 0 {
		m.stats.RateLimited++
		return
	}
	if m.flooded() && msg.Kind != KindRecordRequest && int(msg.Count) <= m.roster.count+bulkDifference {
		return
	}
	switch msg.Kind {
	case KindRootDigest:
		m.onRoot(from, msg)
	case KindGroupDigests:
		m.onGroups(now, from, msg)
	case KindBucketDigests:
		m.onBuckets(from, msg)
	case KindRecordDigests:
		m.onSummary(from, msg)
	case KindRecordRequest:
		m.onWant(from, msg)
	}
}

func (m *Machine) onRoot(from netip.AddrPort, msg *Message) {
	r := m.roster
	if msg.Hash == r.root {
		return
	}
	theirs, own := int(msg.Count), r.count
	switch {
	case theirs > own+bulkDifference:
		m.bulkFrom = from
	case own > theirs+bulkDifference:
		m.sendRoot(from) // so that the sender notices what it lacks
	default:
		m.send(from, &Message{Kind: KindGroupDigests, Hashes: packHashes(r.groups[:])})
	}
}

func (m *Machine) onGroups(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != groupCount*hashLen {
		return
	}
	first, sent := m.rng.IntN(groupCount), 0
	for i := 0; i < groupCount && sent < groupsPerRound; i++ {
		g := (first + i) % groupCount
		if hashAt(msg.Hashes, g) == uint32(m.roster.groups[g]) || now.Sub(m.hotAt[g]) < hotFor {
			continue
		}
		buckets := m.roster.buckets[g*groupSize : (g+1)*groupSize]
		m.send(from, &Message{Kind: KindBucketDigests, Index: uint16(g), Hashes: packHashes(buckets)})
		sent++
	}
}

func (m *Machine) onBuckets(from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != groupSize*hashLen || msg.Index >= groupCount {
		return
	}
	sum := &Message{Kind: KindRecordDigests}
	for i := 0; i < groupSize; i++ {
		b := int(msg.Index)*groupSize + i
		if hashAt(msg.Hashes, i) == uint32(m.roster.buckets[b]) {
			continue
		}
		if !m.summarize(sum, b) {
			break
		}
	}
	if len(sum.Buckets) > 0 {
		m.send(from, sum)
	}
}

// summarize adds bucket b to sum; false if it doesn't fit any more.
func (m *Machine) summarize(sum *Message, b int) bool {
	const each = sizePeer + hashLen
	n := 0
	m.roster.eachInBucket(b, func(*cell) { n++ })
	full := len(sum.Buckets) > 0 && sum.size()+n*each > MaxMessage
	if full || len(sum.Buckets) == maxBuckets {
		return false
	}
	sum.Buckets = append(sum.Buckets, uint16(b))
	m.roster.eachInBucket(b, func(c *cell) {
		if sum.size()+each > MaxMessage {
			return
		}
		sum.Peers = append(sum.Peers, c.key.addrPort())
		sum.Hashes = binary.BigEndian.AppendUint32(sum.Hashes, c.short())
	})
	return true
}

func (m *Machine) onSummary(from netip.AddrPort, msg *Message) {
	if len(msg.Hashes) != hashLen*len(msg.Peers) || len(msg.Buckets) > maxBuckets {
		return
	}
	listed := make(map[key]uint32, len(msg.Peers))
	want := &Message{Kind: KindRecordRequest}
	for i, p := range msg.Peers {
		h := hashAt(msg.Hashes, i)
		listed[keyOf(p)] = h
		if h != 0 && m.roster.find(keyOf(p)) == nil {
			want.Peers = append(want.Peers, p)
		}
	}
	var differ []Record
	for _, b := range msg.Buckets {
		if b >= bucketCount {
			return
		}
		m.roster.eachInBucket(int(b), func(c *cell) {
			h, ok := listed[c.key]
			if ok && h != c.short() || !ok && c.digested() {
				differ = append(differ, m.roster.record(c))
			}
		})
	}
	m.sendRecords(from, differ)
	if len(want.Peers) > 0 {
		m.send(from, want)
	}
}

func (m *Machine) onWant(from netip.AddrPort, msg *Message) {
	var list []Record
	for _, p := range msg.Peers {
		if c := m.roster.find(keyOf(p)); c != nil {
			list = append(list, m.roster.record(c))
		}
	}
	m.sendRecords(from, list)
}

// sendRecords sends records as repair, as far as the budget reaches. What is
// left out differs at the next comparison again.
func (m *Machine) sendRecords(to netip.AddrPort, list []Record) {
	for len(list) > 0 && m.tokens > 0 {
		msg := &Message{Kind: KindRepair}
		room := MaxMessage - sizeHead
		for len(list) > 0 && list[0].size() <= room {
			room -= list[0].size()
			msg.Records = append(msg.Records, list[0])
			list = list[1:]
		}
		m.send(to, msg)
	}
	if len(list) > 0 {
		m.stats.RateLimited++
	}
}

// short is the digest of one record in a summary, 0 for a dead one: a balancer
// that has forgotten a dead record must not ask for it.
func (c *cell) short() uint32 {
	if !c.digested() {
		return 0
	}
	return uint32(c.hash()) | 1
}

func (r *memberList) eachInBucket(b int, f func(*cell)) {
	for i := r.heads[b]; i >= 0; i = r.cells[i].next {
		f(&r.cells[i])
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
