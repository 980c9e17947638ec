package lab

// failZone ends the backend servers of the last zone.
func (m *model) failZone() {
	for i := range m.servers {
		s := &m.servers[i]
		if s.zone != m.c.Zones-1 {
			continue
		}
		s.accumulate(m.now)
		m.stats.broken += uint64(len(s.queue))
		s.alive, s.busy, s.conns, s.queue = false, 0, 0, nil
	}
}

// startCold starts the cold backend servers and adds them to the member lists.
func (m *model) startCold() {
	for i := range m.servers {
		if s := &m.servers[i]; s.cold {
			s.accumulate(m.now)
			s.alive = true
		}
	}
	m.updateMembers()
}

// updateMembers updates the member lists to the running backend servers.
func (m *model) updateMembers() {
	for i := range m.servers {
		m.members[i] = m.servers[i].alive
	}
	m.policy.membersChanged(m)
}

// reportedLoad returns the number of outstanding requests that the load endpoint
// of agent i answers, which is Case.Lag old.
func (m *model) reportedLoad(i int) int {
	if i < m.c.ZeroEndpoints {
		return 0
	}
	if len(m.history) == 0 {
		return 0
	}
	return int(m.history[0][i])
}

// omits reports whether balancer b's member list omits agent i.
func (m *model) omits(b, i int) bool {
	d := (i - b*m.c.Omitted) % m.c.Agents
	if d < 0 {
		d += m.c.Agents
	}
	return d < m.c.Omitted
}
