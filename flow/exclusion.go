package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

const (
	// reportCheckInterval is the time between two checks of an agent whose server is failing
	// or on trial: whether its report has expired, or will before the next check.
	reportCheckInterval = time.Second
	// maxTrialTime is how long an agent on trial gets only trials. Five answers end a trial
	// and a failure does too, so one that lasts longer shows that hardly any flow may be a
	// trial. Without this limit an agent of a service without repeatable requests would be
	// left out for good.
	maxTrialTime = 10 * time.Second
	// renewalsPerAgent is the number of balancers that renew the report of an agent that
	// they leave out, out of all. Each sends it a hello message every 3 to 4 s: at most 85 a
	// second and 7 KB/s in all, below the 8 KB/s that control traffic may take.
	renewalsPerAgent = 256
)

// reportCheck is the time at which an agent's report is checked for expiry.
type reportCheck struct {
	agent *agent
	at    time.Time
}

// recordHealth records what a message says about the health of its sender's server.
func (d *Director) recordHealth(now time.Time, a *agent, r health.Report) {
	if r.Status() == health.OnTrial && (a.health.Status() != health.OnTrial || a.onTrialSince.IsZero()) {
		a.onTrialSince = now
	}
	a.health = r
	if r.Status() != health.Serving && !a.reportCheckQueued {
		d.scheduleReportCheck(now, a)
	}
	d.judge(now, a)
}

// effectiveStatus returns the status that decides whether an agent is left out of placement.
// A report that is not current any more does not count: the agent may have reported another
// status to other balancers only.
func (a *agent) effectiveStatus(now time.Time) health.Status {
	s := a.health.Status()
	if !a.stateIsCurrent(now) || s == health.OnTrial && now.Sub(a.onTrialSince) >= maxTrialTime {
		return health.Serving
	}
	return s
}

func (d *Director) scheduleReportCheck(now time.Time, a *agent) {
	a.reportCheckQueued = true
	d.reportChecks.push(reportCheck{a, now.Add(reportCheckInterval)})
}

// checkHealth updates the panels for reports that have expired. Those of agents that are
// left out, and that hence answer no offers, are renewed before.
func (d *Director) checkHealth(now time.Time) {
	for d.reportChecks.len() > 0 && !d.reportChecks.first().at.After(now) {
		a := d.reportChecks.pop().agent
		a.reportCheckQueued = false
		if d.agents[a.addr] != a || a.health.Status() == health.Serving {
			continue
		}
		if a.stateIsCurrent(now) {
			d.scheduleReportCheck(now, a)
			d.renewReport(now, a)
		} else {
			a.onTrialSince = time.Time{}
		}
		d.judge(now, a)
	}
}

// renewReport requests a hello message to an agent that is left out and whose report
// expires before the next check. Otherwise every balancer would offer it a flow every
// stateTTL. Renewals use only what other requested hello messages leave of their rate.
func (d *Director) renewReport(now time.Time, a *agent) {
	if !d.leftOut(a) || a.stateIsCurrent(now.Add(reportCheckInterval)) || d.cfg.Random.IntN(d.peers.len()+1) >= renewalsPerAgent {
		return
	}
	if at, _ := d.contacts.RequestDue(); !at.After(now) {
		d.contacts.Request(a.addr)
	}
}

// leftOut reports whether an agent gets no new flows because its server is failing or on
// trial, as of the latest update of the panel.
func (d *Director) leftOut(a *agent) bool {
	v := d.services[a.service]
	return v != nil && v.panel.LeftOut(a.standing)
}

// judge updates the panel of an agent's service, and has the placement tables rebuilt if
// other agents than before are left out.
func (d *Director) judge(now time.Time, a *agent) {
	v := d.services[a.service]
	if d.updatePanel(now, v, a) {
		v.stale = true
		d.trace.LeftOut(now, a.service, a.addr, a.health, v.panel.Counts())
	}
}

// judgeAll updates the panel for all agents of a service. What makes an agent able to take
// flows has changed for some of them, such as the operator's order for their zone.
func (d *Director) judgeAll(now time.Time, id ServiceID, v *service) {
	before := v.panel.Counts().LeftOut
	for _, a := range v.agents {
		d.updatePanel(now, v, a)
	}
	if counts := v.panel.Counts(); counts.LeftOut != before {
		d.trace.LeftOut(now, id, netip.AddrPort{}, 0, counts)
	}
}

// updatePanel updates the panel for one agent and reports whether the set of agents that
// are left out has changed.
func (d *Director) updatePanel(now time.Time, v *service, a *agent) (changed bool) {
	able, status := d.mayOffer(a), a.effectiveStatus(now)
	before := a.standing
	changed = v.panel.Set(&a.standing, able, status)
	if a.standing != before {
		v.setOnTrial(a, able && status == health.OnTrial)
	}
	return changed
}

// removeFromPanel removes an agent from the panel of the service that it leaves.
func (d *Director) removeFromPanel(v *service, a *agent) {
	v.setOnTrial(a, false)
	if v.panel.Remove(&a.standing) {
		d.trace.LeftOut(d.now, a.service, a.addr, a.health, v.panel.Counts())
	}
}

// setOnTrial records whether an agent that could take flows is on trial.
func (v *service) setOnTrial(a *agent, onTrial bool) {
	if _, was := v.onTrial[a.addr]; was == onTrial {
		return
	}
	v.trials = nil
	if !onTrial {
		delete(v.onTrial, a.addr)
		return
	}
	if v.onTrial == nil {
		v.onTrial = make(map[netip.AddrPort]*agent)
	}
	v.onTrial[a.addr] = a
}

// trialsOf returns the table of a service's agents on trial. It is apart from the table of
// those that serve, which is larger and need not be rebuilt when a trial begins or ends.
func (d *Director) trialsOf(v *service) *placement.Table {
	if v.trials == nil {
		list := make([]placement.Agent, 0, len(v.onTrial))
		for addr := range v.onTrial {
			list = append(list, placement.Agent{Addr: addr, Zone: otherZone, Weight: placement.FullWeight})
		}
		v.trials = d.newTable(list)
	}
	return v.trials
}

// chooseTrial returns the agent on trial that a new flow is offered to first. ok is false
// if there is none: the flow's requests may not be repeated, or its rendezvous rank among
// the agents that serve or are on trial falls on one that serves. So an agent on trial is
// offered at most its share of the flows.
func (d *Director) chooseTrial(o *opening) (to netip.AddrPort, ok bool) {
	if !o.route.Repeatable {
		return netip.AddrPort{}, false
	}
	v := d.tables(o.service)
	if v == nil || len(v.onTrial) == 0 {
		return netip.AddrPort{}, false
	}
	id := o.key.hash()
	to, score, ok := d.trialsOf(v).Top(id)
	if !ok || !v.panel.OnTrial(v.onTrial[to].standing) || !d.mayServe(v.onTrial[to], &o.route) {
		return netip.AddrPort{}, false
	}
	_, serving, ok := v.ready.Top(id)
	return to, !ok || score > serving
}
