package membership

import (
	"net/netip"
	"time"
)

// onAnnounce merges a record that its own process sent.
func (m *Machine) onAnnounce(now time.Time, from netip.AddrPort, msg *Message) {
	if len(msg.Records) != 1 || msg.Records[0].Addr != from || msg.Records[0].Verdict != VerdictAlive {
		return
	}
	m.merge(now, &msg.Records[0], 0)
	m.acknowledge(now, from, msg.Records[0].Incarnation, msg)
}

// onHeartbeat answers a heartbeat. It requests the record if the heartbeat's
// version is not known here.
func (m *Machine) onHeartbeat(now time.Time, from netip.AddrPort, msg *Message) {
	c := m.members.find(keyOf(from))
	if c == nil || msg.Incarnation > c.incarnation || msg.Incarnation == c.incarnation && msg.Version > c.version {
		m.send(from, &Message{Kind: KindAck, Incarnation: msg.Incarnation, Flags: FlagSendRecord, EntryVersion: m.ackEntryVersion(0)})
		return
	}
	m.acknowledge(now, from, msg.Incarnation, msg)
}

// omitAck reports whether the ack of a heartbeat may be omitted: it carries no
// flags or peers, and the previous ack was sent. Acks are the largest part of
// what a balancer sends.
func (m *Machine) omitAck(o *observation, msg *Message, ack *Message) bool {
	o.ackOmitted = !o.ackOmitted && msg.Kind == KindHeartbeat && ack.Flags == 0 && len(ack.Peers) == 0
	return o.ackOmitted
}

// acknowledge answers a process with the version known here, and names its
// observers if it reports to others.
func (m *Machine) acknowledge(now time.Time, from netip.AddrPort, incarnation uint64, msg *Message) {
	c := m.members.find(keyOf(from))
	if c == nil || c.key == m.selfKey {
		return
	}
	ack := &Message{Kind: KindAck, Incarnation: c.incarnation, Version: c.version, EntryVersion: m.ackEntryVersion(c.service)}
	if incarnation == c.incarnation {
		if c.verdict != VerdictAlive {
			ack.Flags = FlagSuspected
		}
		m.recordReport(now, c.key)
		o := m.observe(now, c.key)
		if rank := m.rankOf(o, c); hashKeys(rank.list()) != msg.Hash {
			for _, k := range rank.list() {
				ack.Peers = append(ack.Peers, k.addrPort())
			}
		}
		if m.omitAck(o, msg, ack) {
			return
		}
	}
	m.send(from, ack)
}

// ackEntryVersion returns the value that an ack carries to a process of a service.
func (m *Machine) ackEntryVersion(service uint32) uint64 {
	if m.cfg.EntryVersion == nil {
		return 0
	}
	return m.cfg.EntryVersion(service)
}

// onAck passes an ack to this balancer's own Announcer. The observers named in it
// are used only while the member list holds no other live balancer, since the
// member list is as good a source.
func (m *Machine) onAck(now time.Time, from netip.AddrPort, msg *Message) {
	if m.members.find(keyOf(from)) == nil {
		m.sendRootDigest(from)
	}
	if len(msg.Peers) > 0 && len(m.members.liveAll()) > 1 {
		own := *msg
		own.Peers = nil
		msg = &own
	}
	m.self.Receive(now, from, msg)
	m.storeSelf(now)
	m.sendSelfMessages()
}
