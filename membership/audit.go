package membership

import "time"

// audit starts observing the processes of which this balancer is an observer and
// that have not reported here. Otherwise a process that fails together with all its
// observers would stay alive in every member list, since no other balancer expects
// its heartbeats.
func (m *Machine) audit(now time.Time) {
	cells := m.members.cells
	for n := len(cells)/auditSweep + 1; n > 0; n-- {
		m.auditIndex++
		if m.auditIndex >= len(cells) {
			m.auditIndex = 0
		}
		c := &cells[m.auditIndex]
		if c.key == 0 || c.key == m.selfKey || c.verdict == VerdictDead || !m.mayObserve(c) {
			continue
		}
		if _, ok := m.observationOf[c.key]; ok {
			continue
		}
		t := m.members.rank(c.key, c.role, c.zone)
		if contains(t.list(), m.selfKey) {
			m.observe(now, c.key)
		}
	}
}

// mayObserve is a cheap first check whether this balancer can be among the
// observers of c.
func (m *Machine) mayObserve(c *cell) bool {
	if c.zone == m.zone || len(m.members.live[c.zone]) <= observers {
		return true
	}
	if c.role == RoleAgent {
		return false
	}
	z, ok := m.members.farZone(c.key, c.zone)
	return ok && z == m.zone
}
