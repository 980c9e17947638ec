package flow

import (
	"time"
)

// A flow is reset as not held only if each agent that this balancer knows is ruled out as its
// holder (ruledOut), and this balancer knows all agents (knowsAllAgents, membersConfirmed).
// An agent takes flows only after it was introduced to others, so the second follows from the
// first if any of those others has answered; see introduction.go.

// ruledOut reports whether an agent's server certainly does not hold the flow of a lookup: the
// agent has answered, or its answer is not needed. That an agent was silent before the lookup
// does not count: the network may have recovered since.
func (d *Director) ruledOut(now time.Time, l *lookup, q *lookupTarget) bool {
	a := d.agents[q.agent]
	switch {
	case q.answered || a == nil || q.uncertain && d.uncertainMeansNotHeld(a):
		return true
	case !d.answerOptional(now, a):
		return false
	}
	return a.heldNoFlows(now) || l.retries > q.firstRetry+maxQueryAttempts
}

// uncertainMeansNotHeld reports whether a server of which its agent does not know whether it
// holds a flow does not hold it, because the whole fleet has recently started. An agent that
// has replaced another process since may have flows of that process.
func (d *Director) uncertainMeansNotHeld(a *agent) bool {
	return d.fleetRecentlyStarted && !a.replaced
}

// knowsAllAgents reports whether every agent that may hold a flow is known and none has
// failed: behind a network failure, an agent and its flows live on.
func (d *Director) knowsAllAgents(now time.Time) bool {
	return d.discoveryDone(now) && len(d.failedAgents) == 0
}

// discoveryDone reports whether this balancer knows all agents that may hold a flow, or
// maxDiscoveryTime has passed. It knows them once another balancer has sent a member list
// with agents, and the agents have had DiscoveryTime to report. If the whole fleet has
// recently started, as after a power loss, it need not wait for DiscoveryTime, and an agent
// that takes flows and another balancer's answer that it has recently started too are
// enough: flows opened since are at agents that were introduced to others. If only the
// balancers have recently started, that answer says nothing: servers hold flows whose agents
// neither may know.
func (d *Director) discoveryDone(now time.Time) bool {
	up := now.Sub(d.started)
	answered := d.memberListKnown || d.discoveredFleetStart()
	return up >= maxDiscoveryTime || answered && (d.fleetRecentlyStarted || up >= d.cfg.DiscoveryTime)
}

// discoveryBasis says why discoveryDone holds.
func (d *Director) discoveryBasis() string {
	switch {
	case d.memberListKnown:
		return "member list of " + d.memberListFrom.String()
	case d.discoveredFleetStart():
		return "fleet start"
	}
	return "time since start"
}

// discoveredFleetStart reports whether this balancer has found, together with other recently
// started processes, that the whole fleet has started.
func (d *Director) discoveredFleetStart() bool {
	return d.fleetRecentlyStarted && d.peerRecentlyStarted && d.introducedAgentReached
}

// answerOptional reports whether lookups need not wait for an agent's answer for longer than
// for three queries: its server held no flow before it became unresponsive; or it was added,
// has sent no message, and has left this balancer's messages unanswered for a time long
// enough to answer, since a key of the store outlives its process. An agent that another
// balancer has received messages from may be paused for a while, and its server may hold
// flows.
func (d *Director) answerOptional(now time.Time, a *agent) bool {
	switch {
	case a.ended() || a.unresponsive && a.heldNoFlows(now):
		return true
	case a.heldNoFlows(now) && a.unanswered >= maxQueryAttempts && now.Sub(a.firstUnansweredAt) >= maxQueryAttempts*queryRetryInterval:
		// Its server held no flow, and it has left every query unanswered. After a
		// power loss VMs whose servers had deregistered start once more and are then
		// removed; if they were waited for as long as others, each would hold up all
		// lookups for half a second.
		return true
	case !a.lastReceivedAt.IsZero():
		return false
	case a.heldNoFlows(now) && a.ignoresQueries(now):
		return true
	}
	limit := firstContactTimeout
	switch {
	case a.confirmedByPeer && !a.heldNoFlows(now):
		limit = d.cfg.AgentExpiry
	case a.introduced:
		limit = introducedContactTimeout
	}
	return a.unanswered > 0 && now.Sub(a.firstUnansweredAt) >= limit
}
