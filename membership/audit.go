package membership

import "time"

// audit starts watches for processes that should report here but never did.
// Without it, a process that dies together with all its observers would stay
// alive in every roster: nobody else would notice its silence.
func (m *Machine) audit(now time.Time) {
	cells := m.roster.cells
	for n := len(cells)/auditSweep + 1; n > 0; n-- {
		m.auditAt++
		if m.auditAt >= len(cells) {
			m.auditAt = 0
		}
		c := &cells[m.auditAt]
		if c.key == 0 || c.key == m.selfKey || c.verdict == VerdictDead || !m.mayObserve(c) {
			continue
		}
		if _, ok := m.watchOf[c.key]; ok {
			continue
		}
		t := m.roster.rank(c.key, c.role, c.zone)
		if contains(t.list(), m.selfKey) {
			m.watchFor(now, c.key)
		}
	}
}

// mayObserve is a cheap first test of whether this balancer can be among the
// observers of c.
func (m *Machine) mayObserve(c *cell) bool {
	if c.zone == m.zone || len(m.roster.live[c.zone]) <= observers {
		return true
	}
	if c.role == RoleAgent {
		return false
	}
	z, ok := m.roster.farZone(c.key, c.zone)
	return ok && z == m.zone
}
