package membership

import (
	"net/netip"
	"time"
)

// onAnnounce takes a full record from its process.
func (m *Machine) onAnnounce(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Records) != 1 || msg.Records[0].Addr != from || msg.Records[0].Verdict != VerdictAlive {
		return
	}
	m.merge(now, &msg.Records[0], 0)
	m.acknowledge(now, from, msg.Records[0].Incarnation, msg)
}

// onHeartbeat takes a sign of life.
func (m *Machine) onHeartbeat(now time.Time, from netip.AddrPort, msg *Message) {
	c := m.roster.find(keyOf(from))
	if c == nil || msg.Incarnation > c.incarnation || msg.Incarnation == c.incarnation && msg.Version > c.version {
		m.send(from, &Message{Kind: KindAck, Incarnation: msg.Incarnation, Flags: FlagSendRecord, EntryVersion: m.entry(0)})
		return
	}
	m.acknowledge(now, from, msg.Incarnation, msg)
}

// quiet tells that the ack of a heartbeat may be left out: it has nothing to
// say, and the one before was sent. Acks are the largest part of what a
// balancer sends.
func (m *Machine) quiet(w *watch, msg *Message, ack *Message) bool {
	w.skipped = !w.skipped && msg.Kind == KindHeartbeat && ack.Flags == 0 && len(ack.Peers) == 0
	return w.skipped
}

// acknowledge answers a process with what is known of it here, and with its
// observers if it reports to others.
func (m *Machine) acknowledge(now time.Time, from netip.AddrPort, incarnation uint64, msg *Message) {
	c := m.roster.find(keyOf(from))
	if c == nil || c.key == m.selfKey {
		return
	}
	ack := &Message{Kind: KindAck, Incarnation: c.incarnation, Version: c.version, EntryVersion: m.entry(c.service)}
	if incarnation == c.incarnation {
		if c.verdict != VerdictAlive {
			ack.Flags = FlagSuspected
		}
		m.heard(now, c.key)
		w := m.watchFor(now, c.key)
		if rank := m.rankOf(w, c); hashKeys(rank.list()) != msg.Hash {
			for _, k := range rank.list() {
				ack.Peers = append(ack.Peers, k.addrPort())
			}
		}
		if m.quiet(w, msg, ack) {
			return
		}
	}
	m.send(from, ack)
}

// entry returns the value that an ack carries to a process of a service.
func (m *Machine) entry(service uint32) uint64 {
	if m.cfg.EntryVersion == nil {
		return 0
	}
	return m.cfg.EntryVersion(service)
}

// onAck hands an ack to this balancer's own Announcer. The observers that it
// names count only while the own roster is empty, since that one is as good.
func (m *Machine) onAck(now time.Time, from netip.AddrPort, msg *Message) {
	if m.roster.find(keyOf(from)) == nil {
		m.sendRoot(from)
	}
	if len(msg.Peers) > 0 && len(m.roster.liveAll()) > 1 {
		own := *msg
		own.Peers = nil
		msg = &own
	}
	m.self.Receive(now, from, msg)
	m.adoptSelf(now)
	m.collectSelf()
}
