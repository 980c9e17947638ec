package membership

import "time"

// storeSelf stores this balancer's own record in the member list.
func (m *Machine) storeSelf(now time.Time) {
	c := m.members.find(m.selfKey)
	rec := m.self.self
	if c != nil {
		if old := m.members.record(c); !rec.Newer(&old) {
			return
		}
	}
	m.apply(now, &rec, 0)
}

// merge stores a record if it is newer than the stored one, and reports whether
// it was.
func (m *Machine) merge(now time.Time, rec *Record, sent int) bool {
	if keyOf(rec.Addr) == m.selfKey {
		m.refute(now, rec)
		return false
	}
	if c := m.members.find(keyOf(rec.Addr)); c != nil {
		old := m.members.record(c)
		if !rec.Newer(&old) {
			return false
		}
		if rec.Incarnation == old.Incarnation && old.State == StateLeaving && rec.State != StateLeaving {
			return false
		}
	}
	m.apply(now, rec, sent)
	return true
}

// notGossiped, passed as the number of transmissions, keeps a record from being
// gossiped.
const notGossiped = -1

// apply stores a record, reports the change, and queues it for gossip with sent
// transmissions already counted.
func (m *Machine) apply(now time.Time, rec *Record, sent int) {
	known := m.members.find(keyOf(rec.Addr))
	full := known == nil || known.incarnation != rec.Incarnation
	c := m.members.put(rec)
	m.groupChangedAt[bucketOf(c.key)/groupSize] = now
	m.changes = append(m.changes, Change{Kind: ChangeRecord, Record: *rec})
	if rec.Verdict == VerdictDead {
		m.tombstones = append(m.tombstones, tombstone{c.key, rec.Incarnation, now})
	}
	if sent != notGossiped {
		m.queue.add(c.key, !rec.TakesWork(), full, sent)
	}
}

// refute answers a verdict about this balancer by announcing a higher version.
func (m *Machine) refute(now time.Time, rec *Record) {
	own := &m.self.self
	if rec.Incarnation > own.Incarnation {
		m.self.raiseIncarnation(now, rec.Incarnation)
	} else if rec.Incarnation == own.Incarnation && rec.Version >= own.Version && rec.Verdict != VerdictAlive {
		own.Version = rec.Version
		m.self.announceNewVersion(now)
	} else {
		return
	}
	m.stats.Refuted++
	m.storeSelf(now)
	m.sendSelfMessages()
}

// removeDead removes dead records after Timing.ForgetAfter. If they were removed
// earlier, a balancer that was cut off for hours would bring them back as alive.
func (m *Machine) removeDead(now time.Time) {
	for len(m.tombstones) > 0 && now.Sub(m.tombstones[0].at) >= m.cfg.Timing.ForgetAfter {
		t := m.tombstones[0]
		m.tombstones = m.tombstones[1:]
		c := m.members.find(t.key)
		if c == nil || c.verdict != VerdictDead || c.incarnation != t.incarnation {
			continue
		}
		m.changes = append(m.changes, Change{Kind: ChangeRemove, Record: m.members.record(c)})
		m.members.remove(t.key)
	}
}

// tombstone is a dead record that is removed later.
type tombstone struct {
	key         key
	incarnation uint64
	at          time.Time
}
