package lab

func (m *model) loseZone() {
	for i := range m.servers {
		s := &m.servers[i]
		if s.zone != m.c.Zones-1 {
			continue
		}
		s.settle(m.now)
		m.stats.broken += uint64(len(s.queue))
		s.alive, s.busy, s.conns, s.queue = false, 0, 0, nil
	}
}

func (m *model) startCold() {
	for i := range m.servers {
		if s := &m.servers[i]; s.cold {
			s.settle(m.now)
			s.alive = true
		}
	}
	m.tell()
}

// tell brings all rosters up to date.
func (m *model) tell() {
	for i := range m.servers {
		m.members[i] = m.servers[i].alive
	}
	m.policy.roster(m)
}

// endpoint is what the load endpoint of agent i answers.
func (m *model) endpoint(i int) int {
	if i < m.c.Lying {
		return 0
	}
	if len(m.history) == 0 {
		return 0
	}
	return int(m.history[0][i])
}

// lacks tells whether balancer b's roster lacks agent i.
func (m *model) lacks(b, i int) bool {
	d := (i - b*m.c.Differing) % m.c.Agents
	if d < 0 {
		d += m.c.Agents
	}
	return d < m.c.Differing
}
