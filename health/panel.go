package health

// Panel decides which agents of one service are left out of placement: those whose servers
// are failing or on trial, as long as they are at most half of the agents that could take
// flows. If more than half of the servers fail, the requests or something behind the
// servers is at fault; none is left out, because excluding servers in turn would leave the
// service without any.
//
// A Panel holds only counts, so a report costs the same for any number of agents. What it
// knows of an agent is kept by its user, in a Member for each agent of the service. The
// zero value has no members.
type Panel struct {
	able    int // members that could take flows
	failing int // of them, those that are failing
	onTrial int // of them, those that are on trial
}

// Member is what a Panel knows of one agent. The zero value is an agent that is in no
// panel. A Member belongs to one Panel at a time: Remove it before it joins another.
type Member struct {
	status Status
	able   bool
}

// Counts are the numbers of agents of a service.
type Counts struct {
	Able    int // could take flows
	Failing int // of them, those that are failing
	OnTrial int // of them, those that are on trial
	LeftOut int // of them, those that are left out of placement
}

// Set records whether an agent could take flows and the status of its server. It reports
// whether the set of agents that are left out has changed.
func (p *Panel) Set(m *Member, able bool, s Status) (changed bool) {
	next := Member{status: s, able: able}
	if *m == next {
		return false
	}
	leftOthersOut, wasLeftOut := p.leavesOut(), p.LeftOut(*m)
	p.count(*m, -1)
	others := p.failing + p.onTrial
	*m = next
	p.count(next, 1)
	return wasLeftOut != p.LeftOut(next) || others > 0 && leftOthersOut != p.leavesOut()
}

// Remove removes an agent. It reports whether the set of agents that are left out has
// changed.
func (p *Panel) Remove(m *Member) (changed bool) { return p.Set(m, false, Serving) }

func (p *Panel) count(m Member, n int) {
	if !m.able {
		return
	}
	p.able += n
	switch m.status {
	case Failing:
		p.failing += n
	case OnTrial:
		p.onTrial += n
	}
}

// leavesOut reports whether few enough agents are failing or on trial to leave them out.
func (p *Panel) leavesOut() bool { return 2*(p.failing+p.onTrial) <= p.able }

// LeftOut reports whether an agent of the panel gets no new flows because its server is
// failing or on trial. It is false for an agent that could not take flows anyway.
func (p *Panel) LeftOut(m Member) bool {
	return m.able && (m.status == Failing || m.status == OnTrial) && p.leavesOut()
}

// OnTrial reports whether an agent of the panel is left out and its server is on trial.
func (p *Panel) OnTrial(m Member) bool { return m.status == OnTrial && p.LeftOut(m) }

// Counts returns the numbers of agents.
func (p *Panel) Counts() Counts {
	c := Counts{Able: p.able, Failing: p.failing, OnTrial: p.onTrial}
	if p.leavesOut() {
		c.LeftOut = p.failing + p.onTrial
	}
	return c
}
