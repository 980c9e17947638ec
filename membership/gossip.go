package membership

import (
	"math/bits"
	"net/netip"
	"time"
)

const (
	// fanOut balancers get each gossip message: with 3 a change is known to
	// four times as many after each period.
	fanOut = 3
	// farFanOut of them are picked from the whole fleet, the rest from the
	// own availability zone, where latency and traffic cost least.
	farFanOut = 1
	// repairedLeft transmissions are spent on a record that came by repair:
	// most others know it already.
	repairedLeft = 3
	// backlog of changes above which each gets only backlogTransmissions, so
	// that a burst reaches most balancers soon; repair fetches the rest.
	backlog              = 16
	backlogTransmissions = 9
	// floodedRoom is what a message must hold while changes wait: small ones
	// would spend the byte rate on headers.
	floodedRoom = 400
	// spareTransmissions beyond the logarithm of the fleet make up for loss.
	spareTransmissions = 6
)

// transmissions is how often each balancer passes on one change. It grows with
// the logarithm of the fleet: the share that a change misses falls by e with
// each further transmission, and repair fetches the rest.
func (m *Machine) transmissions() int {
	n := bits.Len(uint(len(m.roster.liveAll()))) + spareTransmissions
	if m.flooded() {
		return min(n, backlogTransmissions)
	}
	return n
}

// gossipQueue orders changes by urgency, then by fewest transmissions. The
// urgent ones take work away from a process: if they are late, work goes to a
// process that won't do it.
type gossipQueue struct {
	level  map[key]queuePos
	levels [2][32][]key // by class and transmissions, first in first out
}

type queuePos struct {
	class uint8
	sent  uint8
	full  bool // the receivers don't know the incarnation yet
}

// add queues a change; full is kept if an earlier change of it waits as such.
func (q *gossipQueue) add(k key, urgent, full bool, sent int) {
	if q.level == nil {
		q.level = map[key]queuePos{}
	}
	p := queuePos{class: 1, sent: uint8(min(max(sent, 0), 31)), full: full || q.level[k].full}
	if urgent {
		p.class = 0
	}
	q.level[k] = p
	q.levels[p.class][p.sent] = append(q.levels[p.class][p.sent], k)
}

// take removes the next change in order; ok is false when none is left.
func (q *gossipQueue) take() (k key, p queuePos, ok bool) {
	for class := range q.levels {
		for sent := range q.levels[class] {
			list := &q.levels[class][sent]
			for len(*list) > 0 {
				k = (*list)[0]
				*list = (*list)[1:]
				p, ok = q.level[k]
				if ok && int(p.class) == class && int(p.sent) == sent {
					delete(q.level, k)
					return k, p, true
				}
			}
			*list = nil
		}
	}
	return 0, queuePos{}, false
}

// gossip sends the changes that have been sent least to a few balancers.
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

// gossipMessage packs as many changes as the byte budget allows, nil if there
// are none.
func (m *Machine) gossipMessage(limit, copies int) *Message {
	if len(m.queue.level) == 0 && !m.factsWait(limit) {
		return nil
	}
	room := min(MaxMessage-sizeHead, int(m.tokens)/copies-sizeTypical-sizeOnWire)
	least := maxRecord
	if m.flooded() {
		least = max(maxRecord, min(floodedRoom, m.cfg.Rate/2*3/4/copies-sizeTypical-sizeOnWire))
	}
	if room < least {
		m.stats.RateLimited++
		return nil
	}
	msg := &Message{Kind: KindGossip}
	room = m.zoneFacts(msg, room)
	type taken struct {
		k key
		p queuePos
	}
	var again []taken
	for room >= maxRecord {
		k, p, ok := m.queue.take()
		if !ok {
			break
		}
		c := m.roster.find(k)
		if c == nil {
			continue
		}
		room -= m.pack(msg, c, p.full)
		p.sent += uint8(copies)
		if int(p.sent) < limit {
			again = append(again, taken{k, p})
		}
	}
	for _, t := range again {
		m.queue.add(t.k, t.p.class == 0, t.p.full, int(t.p.sent))
	}
	if len(msg.Records) == 0 && len(msg.Deltas) == 0 && len(msg.Zones) == 0 {
		return nil
	}
	return msg
}

// pack adds a change to a message and returns its size.
func (m *Machine) pack(msg *Message, c *cell, full bool) int {
	if full {
		rec := m.roster.record(c)
		msg.Records = append(msg.Records, rec)
		return rec.size()
	}
	d := c.delta()
	msg.Deltas = append(msg.Deltas, d)
	return d.size()
}

func (m *Machine) factsWait(limit int) bool {
	for z := range m.views {
		if m.views[z].sent < limit {
			return true
		}
	}
	return false
}

// gossipTargets picks distinct balancers, mostly of the own zone.
func (m *Machine) gossipTargets() []netip.AddrPort {
	targets := make([]netip.AddrPort, 0, fanOut)
	near, all := m.roster.live[m.zone], m.roster.liveAll()
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

// onRecords takes in gossip or repair. A repair that is older than what is
// known here is answered with the newer record; gossip isn't, since the
// sender will get it by gossip too.
func (m *Machine) onRecords(now time.Time, from netip.AddrPort, msg *Message) {
	for i := range msg.Zones {
		m.mergeFact(now, &msg.Zones[i])
	}
	sent := 0
	if msg.Kind == KindRepair {
		sent = m.transmissions() - repairedLeft
	}
	var newer []Record
	for i := range msg.Records {
		rec := &msg.Records[i]
		if m.merge(now, rec, sent) || msg.Kind != KindRepair {
			continue
		}
		if c := m.roster.find(keyOf(rec.Addr)); c != nil {
			if own := m.roster.record(c); own.Newer(rec) {
				newer = append(newer, own)
			}
		}
	}
	m.sendRecords(from, newer)
	m.mergeDeltas(now, from, msg.Deltas)
}
