package membership

import "time"

// adoptSelf enters this balancer's own record into its roster.
func (m *Machine) adoptSelf(now time.Time) {
	c := m.roster.find(m.selfKey)
	rec := m.self.self
	if c != nil {
		if old := m.roster.record(c); !rec.Newer(&old) {
			return
		}
	}
	m.apply(now, &rec, 0)
}

// merge takes in a record and reports whether it was news.
func (m *Machine) merge(now time.Time, rec *Record, sent int) bool {
	if keyOf(rec.Addr) == m.selfKey {
		m.refute(now, rec)
		return false
	}
	if c := m.roster.find(keyOf(rec.Addr)); c != nil {
		old := m.roster.record(c)
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

// notGossiped in place of a number of transmissions keeps a record from being
// passed on.
const notGossiped = -1

// apply stores a record, reports the change and queues it for gossip as one
// that was sent so many times already.
func (m *Machine) apply(now time.Time, rec *Record, sent int) {
	known := m.roster.find(keyOf(rec.Addr))
	full := known == nil || known.incarnation != rec.Incarnation
	c := m.roster.put(rec)
	m.hotAt[bucketOf(c.key)/groupSize] = now
	m.changes = append(m.changes, Change{Kind: ChangeRecord, Record: *rec})
	if rec.Verdict == VerdictDead {
		m.dead = append(m.dead, tombstone{c.key, rec.Incarnation, now})
	}
	if sent != notGossiped {
		m.queue.add(c.key, !rec.TakesWork(), full, sent)
	}
}

// refute answers a verdict about this balancer with a higher version.
func (m *Machine) refute(now time.Time, rec *Record) {
	own := &m.self.self
	if rec.Incarnation > own.Incarnation {
		m.self.outlive(now, rec.Incarnation)
	} else if rec.Incarnation == own.Incarnation && rec.Version >= own.Version && rec.Verdict != VerdictAlive {
		own.Version = rec.Version
		m.self.bump(now)
	} else {
		return
	}
	m.stats.Refuted++
	m.adoptSelf(now)
	m.collectSelf()
}

// forgetDead removes dead records after Timing.ForgetAfter. They are kept for
// so long because a balancer that was cut off for hours would otherwise bring
// them back as alive.
func (m *Machine) forgetDead(now time.Time) {
	for len(m.dead) > 0 && now.Sub(m.dead[0].at) >= m.cfg.Timing.ForgetAfter {
		t := m.dead[0]
		m.dead = m.dead[1:]
		c := m.roster.find(t.key)
		if c == nil || c.verdict != VerdictDead || c.incarnation != t.incarnation {
			continue
		}
		m.changes = append(m.changes, Change{Kind: ChangeRemove, Record: m.roster.record(c)})
		m.roster.forget(t.key)
	}
}

// tombstone is a dead record to forget later.
type tombstone struct {
	key         key
	incarnation uint64
	at          time.Time
}
