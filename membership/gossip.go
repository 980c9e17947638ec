package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

const (
	// fanOut is the number of balancers that get each gossip message: with 3 a
	// change is known to four times as many balancers after each period.
	fanOut = 3
	// farFanOut of them are picked from the whole fleet, the rest from the sender's
	// availability zone, where latency and traffic cost least.
	farFanOut = 1
	// repairTransmissions is how often a record received by repair is gossiped:
	// most balancers know it already.
	repairTransmissions = 3
	// backlog is the number of waiting changes above which each is sent only
	// backlogTransmissions times, so that a burst reaches most balancers soon;
	// repair fetches the rest.
	backlog              = 16
	backlogTransmissions = 9
	// minBackloggedSpace is the least space in bytes for changes in a message
	// while there is a backlog: small messages would spend the byte rate on headers.
	minBackloggedSpace = 400
	// spareTransmissions are added to the logarithm of the fleet size to make up
	// for lost messages.
	spareTransmissions = 6
)

// transmissions returns how often each balancer passes on one change. It grows
// with the logarithm of the fleet size: each further transmission divides the
// share of balancers that miss a change by e, and repair fetches the rest. While
// there is a backlog it is at most backlogTransmissions.
func (m *Machine) transmissions() int {
	n := bits.Len(uint(len(m.members.liveAll()))) + spareTransmissions
	if m.backlogged() {
		return min(n, backlogTransmissions)
	}
	return n
}

// gossipQueue orders changes by urgency, then by fewest transmissions. Changes
// after which a process takes no new work are urgent: until they spread, work is
// sent to a process that will not do it.
type gossipQueue struct {
	position map[key]queuePos
	levels   [2][32][]key // by class and number of transmissions, each first in, first out
}

type queuePos struct {
	class uint8 // 0 if urgent, else 1
	sent  uint8 // transmissions so far
	full  bool  // send the full record: the receivers don't know this incarnation yet
}

// add queues a change. It stays a full record if an earlier change of it is
// queued as one.
func (q *gossipQueue) add(k key, urgent, full bool, sent int) {
	if q.position == nil {
		q.position = map[key]queuePos{}
	}
	p := queuePos{class: 1, sent: uint8(min(max(sent, 0), 31)), full: full || q.position[k].full}
	if urgent {
		p.class = 0
	}
	q.position[k] = p
	q.levels[p.class][p.sent] = append(q.levels[p.class][p.sent], k)
}

// take removes the next change in order; ok is false if the queue is empty.
func (q *gossipQueue) take() (k key, p queuePos, ok bool) {
	for class := range q.levels {
		for sent := range q.levels[class] {
			list := &q.levels[class][sent]
			for len(*list) > 0 {
				k = (*list)[0]
				*list = (*list)[1:]
				p, ok = q.position[k]
				if ok && int(p.class) == class && int(p.sent) == sent {
					delete(q.position, k)
					return k, p, true
				}
			}
			*list = nil
		}
	}
	return 0, queuePos{}, false
}

// gossip sends queued changes to a few balancers: urgent ones first, then those with the
// fewest transmissions.
func (m *Machine) gossip(now time.Time) {
	targets := m.gossipTargets()
	if len(targets) == 0 {
		return
	}
	limit := m.transmissions()
	msg := m.gossipMessage(limit, len(targets))
	if msg == nil {
		return
	}
	for _, t := range targets {
		m.send(t, msg)
	}
}

// gossipMessage packs as many changes as the byte budget allows. It returns nil
// if there are none or the budget is too small.
func (m *Machine) gossipMessage(limit, copies int) *Message {
	if len(m.queue.position) == 0 && !m.zoneStatusPending(limit) {
		return nil
	}
	space := min(MaxMessage-sizeHead, int(m.tokens)/copies-sizeTypical-sizeOnWire)
	least := maxRecord
	if m.backlogged() {
		least = max(maxRecord, min(minBackloggedSpace, m.cfg.Rate/2*3/4/copies-sizeTypical-sizeOnWire))
	}
	if space < least {
		m.stats.RateLimited++
		return nil
	}
	msg := &Message{Kind: KindGossip}
	space = m.addZoneStatuses(msg, space)
	type queued struct {
		k key
		p queuePos
	}
	var requeue []queued
	for space >= maxRecord {
		k, p, ok := m.queue.take()
		if !ok {
			break
		}
		c := m.members.find(k)
		if c == nil {
			continue
		}
		space -= m.pack(msg, c, p.full)
		p.sent += uint8(copies)
		if int(p.sent) < limit {
			requeue = append(requeue, queued{k, p})
		}
	}
	for _, t := range requeue {
		m.queue.add(t.k, t.p.class == 0, t.p.full, int(t.p.sent))
	}
	if len(msg.Records) == 0 && len(msg.Deltas) == 0 && len(msg.Zones) == 0 {
		return nil
	}
	return msg
}

// pack adds a change to a message and returns its encoded size in bytes.
func (m *Machine) pack(msg *Message, c *cell, full bool) int {
	if full {
		rec := m.members.record(c)
		msg.Records = append(msg.Records, rec)
		return rec.size()
	}
	d := c.delta()
	msg.Deltas = append(msg.Deltas, d)
	return d.size()
}

func (m *Machine) zoneStatusPending(limit int) bool {
	for z := range m.zoneStates {
		if m.zoneStates[z].sent < limit {
			return true
		}
	}
	return false
}

// gossipTargets picks distinct balancers, most of them in this balancer's zone.
func (m *Machine) gossipTargets() []netip.AddrPort {
	targets := make([]netip.AddrPort, 0, fanOut)
	near, all := m.members.live[m.zone], m.members.liveAll()
	targets = m.pick(targets, near, fanOut-farFanOut)
	return m.pick(targets, all, fanOut-len(targets))
}

// pick adds up to n random balancers of list that are not yet in targets.
func (m *Machine) pick(targets []netip.AddrPort, list []key, n int) []netip.AddrPort {
	const tries = 4
	for i := 0; i < n*tries && n > 0 && len(list) > 0; i++ {
		k := list[m.rng.IntN(len(list))]
		a := k.addrPort()
		if k == m.selfKey || contains(targets, a) {
			continue
		}
		targets = append(targets, a)
		n--
	}
	return targets
}

func contains[T comparable](list []T, v T) bool {
	for i := range list {
		if list[i] == v {
			return true
		}
	}
	return false
}

// onRecords merges the records, deltas and zone statuses of a gossip or repair
// message. An outdated record in a repair is answered with the newer one. In
// gossip it is not, since the sender will receive the newer one by gossip too.
func (m *Machine) onRecords(now time.Time, from netip.AddrPort, msg *Message) {
	for i := range msg.Zones {
		m.mergeZoneStatus(now, &msg.Zones[i])
	}
	sent := 0
	if msg.Kind == KindRepair {
		sent = m.transmissions() - repairTransmissions
	}
	var newer []Record
	for i := range msg.Records {
		rec := &msg.Records[i]
		if m.merge(now, rec, sent) || msg.Kind != KindRepair {
			continue
		}
		if c := m.members.find(keyOf(rec.Addr)); c != nil {
			if own := m.members.record(c); own.Newer(rec) {
				newer = append(newer, own)
			}
		}
	}
	m.sendRecords(from, newer)
	m.mergeDeltas(now, from, msg.Deltas)
}
