package flow

import (
	"net/netip"
	"time"
)

const (
	// MinHelloInterval is the shortest interval between two hello messages of a balancer to
	// an agent in turn.
	MinHelloInterval = 500 * time.Millisecond
	// hellosPerSecond is the number of hello messages that a balancer sends in turn. Their
	// answers, 84 bytes each with headers, are 6 KB/s of the 8 KB/s that control traffic may
	// take.
	hellosPerSecond = 75
	// hellosPerAgent is the number of hello messages per second that an agent gets in turn
	// from all balancers together.
	hellosPerAgent = 3
	// maxWatchers is the number of balancers that an agent asks for a hello message every
	// watchInterval. They notice its failure within watchInterval and AgentTimeout, and
	// announce it to the others.
	maxWatchers   = 4
	watchInterval = 750 * time.Millisecond
	// watcherTimeout is the time without a message after which an agent asks another
	// balancer.
	watcherTimeout = 3 * watchInterval
	// maxHelloRate is the number of further hello messages per second, and
	// maxImmediateHellos the number that is sent at once.
	maxHelloRate       = 75
	maxImmediateHellos = 64
	// firstHellosPerAgent is the number of balancers that send a hello message to an agent
	// that they have learned of, out of all. The others learn its state from the answer to
	// their first offer, or from a hello message in turn.
	firstHellosPerAgent = 32
	// maxBalancerRequests is the number of agents that a recently started balancer asks for
	// other balancers.
	maxBalancerRequests = 8
	// requestedHelloPause is the shortest pause between two groups of them.
	requestedHelloPause = 50 * time.Millisecond
	// helloRetryInterval is the time after which an agent that has not answered is sent
	// another hello message, and suspectHelloInterval the time between those to an agent
	// that has counted as unresponsive for that long.
	helloRetryInterval   = 250 * time.Millisecond
	suspectHelloInterval = time.Second
	// unansweredTimeout is the time after which an agent that has answered none of
	// maxQueryAttempts queries counts as unresponsive. It is six times the time between two
	// queries, and above the pauses of a process on a busy VM.
	unansweredTimeout = 500 * time.Millisecond
	// stateTTL is how long an agent reports changes of its state to a balancer after the
	// last message received from it.
	stateTTL = 4 * time.Second
	// endedTTL is how long an agent whose server has ended is kept. It is above the age of
	// a list of the store that may still name it.
	endedTTL = 20 * time.Second
	// noPeriodicReports is the report interval in hello messages. It is longer than
	// stateTTL, after which an agent stops reporting.
	noPeriodicReports = time.Minute
	// tickInterval is the longest time between two ticks.
	tickInterval = 250 * time.Millisecond
)

// helloInterval is the interval between two hello messages to an agent in turn. It grows
// with the fleet, so that neither the messages that a balancer sends nor those that an
// agent receives do. New flows don't depend on it: the answer to each offer carries the
// agent's state and load, an agent that does not answer is excluded after OpenTimeout, and
// changes of state are reported to the balancers that offered a flow recently.
func (d *Director) helloInterval() time.Duration {
	ownRate := time.Duration(len(d.agents)) * time.Second / hellosPerSecond
	agentsRate := time.Duration(d.peers.len()+1) * time.Second / hellosPerAgent
	return max(MinHelloInterval, ownRate, agentsRate)
}

// sendHellos sends the hello messages that are due.
func (d *Director) sendHellos(now time.Time) {
	d.contacts.SetInterval(d.helloInterval())
	for addr, ok := d.contacts.Next(now); ok; addr, ok = d.contacts.Next(now) {
		d.sendHello(now, addr)
	}
}

// requestFirstHello requests a hello message to an agent that this balancer has learned
// of. In a large fleet only some of the balancers do so.
func (d *Director) requestFirstHello(to netip.AddrPort) {
	if d.cfg.Random.IntN(d.peers.len()+1) < firstHellosPerAgent {
		d.contacts.Request(to)
	}
}

// nextRequestedHello returns when the next hello message that was requested is due; ok is
// false if there is none.
func (d *Director) nextRequestedHello(now time.Time) (at time.Time, ok bool) {
	at, ok = d.contacts.RequestDue()
	if at.After(now) {
		at = later(at, now.Add(requestedHelloPause))
	}
	return at, ok
}

func (d *Director) sendHello(now time.Time, to netip.AddrPort) {
	m := Message{Kind: Hello, Wait: noPeriodicReports}
	if a := d.agents[to]; a != nil {
		m.Service = a.service
		d.recordRequest(now, a)
	}
	if !d.memberListKnown && now.Sub(d.started) < maxDiscoveryTime && d.balancerRequests < maxBalancerRequests {
		d.balancerRequests++
		m.Reason = ReasonState
	}
	d.send(to, m, nil)
}

// setWatched records whether an agent asks for hello messages every watchInterval.
func (d *Director) setWatched(now time.Time, a *agent, watched bool) {
	switch {
	case watched && !a.watched:
		d.watched[a.addr] = a
		a.nextHelloAt = now.Add(watchInterval)
	case !watched && a.watched:
		delete(d.watched, a.addr)
	}
	a.watched = watched
}

// helloWatched sends hello messages to the agents that asked for one every watchInterval,
// unless they are sent them as suspects.
func (d *Director) helloWatched(now time.Time) {
	for addr, a := range d.watched {
		if d.suspects[addr] != nil || now.Before(a.nextHelloAt) {
			continue
		}
		// The next one may be half a tick early rather than one tick late.
		a.nextHelloAt = now.Add(watchInterval - tickInterval/2)
		d.sendHello(now, addr)
	}
}

// awaitedAnswer is an agent that has been sent a message that it has to answer.
type awaitedAnswer struct {
	agent netip.AddrPort
	at    time.Time // when it is asked again
}

// recordRequest records that an agent was sent a message that it has to answer.
func (d *Director) recordRequest(now time.Time, a *agent) {
	if a.unanswered == 0 {
		a.firstUnansweredAt = now
		d.awaited.push(awaitedAnswer{a.addr, now.Add(helloRetryInterval)})
	}
	a.unanswered++
}

// checkAwaited suspects the agents that have not answered in time.
func (d *Director) checkAwaited(now time.Time) {
	for d.awaited.len() > 0 && !d.awaited.first().at.After(now) {
		a := d.agents[d.awaited.pop().agent]
		if a != nil && a.unanswered > 0 && now.Sub(a.firstUnansweredAt) >= helloRetryInterval {
			d.suspect(now, a)
		}
	}
}

// suspect has an agent sent hello messages until it answers or expires.
func (d *Director) suspect(now time.Time, a *agent) {
	if d.suspects[a.addr] == nil && !a.ended() {
		d.suspects[a.addr] = a
		a.nextHelloAt = now
	}
}

func (d *Director) checkSuspects(now time.Time) {
	for addr, a := range d.suspects {
		if a.ended() || a.unanswered == 0 && !a.unresponsive {
			delete(d.suspects, addr)
			a.answerOptional = false
			continue
		}
		d.checkSuspect(now, a)
	}
}

// checkSuspect excludes an agent from new flows, or removes it, when it has left messages
// unanswered for too long. Silence alone does not count, since most agents exchange no
// messages with a balancer for a while.
func (d *Director) checkSuspect(now time.Time, a *agent) {
	silent := time.Duration(0)
	if a.unanswered > 0 {
		silent = now.Sub(a.firstUnansweredAt)
	}
	if silent >= d.cfg.AgentExpiry {
		d.expireAgent(now, a)
		return
	}
	if silent >= d.cfg.AgentTimeout || a.ignoresQueries(now) {
		d.setUnresponsive(now, a.addr)
		d.announceFailure(now, a)
	}
	if !now.Before(a.nextHelloAt) {
		d.sendHello(now, a.addr)
		a.nextHelloAt = now.Add(helloRetryInterval)
		if a.unresponsive && now.Sub(a.unresponsiveSince) >= suspectHelloInterval {
			a.nextHelloAt = now.Add(suspectHelloInterval)
		}
	}
	optional := d.answerOptional(now, a)
	d.recheckBlocked = d.recheckBlocked || optional && !a.answerOptional
	a.answerOptional = optional
}

// announceFailure announces to other balancers that an agent has stopped answering, if this
// one has received messages from it until then.
func (d *Director) announceFailure(now time.Time, a *agent) {
	if a.announcedFailed || a.failureAnnounced || a.firstUnansweredAt.Sub(a.lastReceivedAt) > stateTTL {
		return
	}
	a.announcedFailed = true
	m := a.member()
	m.receivedAt = a.firstUnansweredAt
	d.failed.add(now, m)
}

// expireAgent removes an agent that does not answer. If it was reached before and its
// server may hold flows, it counts as failed until it answers. One that was never reached
// is still queried in lookups, since its flows may be older than this process.
func (d *Director) expireAgent(now time.Time, a *agent) {
	if a.lastReceivedAt.IsZero() && !a.heldNoFlows(now) {
		delete(d.suspects, a.addr)
		d.neverReached.push(neverReached{a, now.Add(d.cfg.MaxAge)})
		return
	}
	d.removeAgent(now, a, "forgotten")
	if !a.lastReceivedAt.IsZero() && !a.heldNoFlows(now) {
		d.failedAgents[a.addr] = now
	}
}

// neverReached is an agent that has expired without ever sending a message.
type neverReached struct {
	agent *agent
	at    time.Time // when it is removed
}

// removeNeverReached removes the agents that expired MaxAge ago, whose flows have reached their
// greatest age, and that have still sent no message.
func (d *Director) removeNeverReached(now time.Time) {
	for d.neverReached.len() > 0 && !d.neverReached.first().at.After(now) {
		a := d.neverReached.pop().agent
		if d.agents[a.addr] == a && a.lastReceivedAt.IsZero() {
			d.removeAgent(now, a, "forgotten")
		}
	}
}

// ignoresQueries reports whether an agent leaves queries unanswered.
func (a *agent) ignoresQueries(now time.Time) bool {
	return a.unanswered >= maxQueryAttempts && now.Sub(a.firstUnansweredAt) >= unansweredTimeout
}

// restartAgentTimeouts restarts the timeouts of all agents after this process was
// paused: it may not have received their answers.
func (d *Director) restartAgentTimeouts(now time.Time) {
	for _, a := range d.agents {
		a.unanswered = 0
		a.nextHelloAt = now
	}
}

// endedAgent is an agent whose server has ended.
type endedAgent struct {
	agent netip.AddrPort
	at    time.Time // when it is removed
}

// recordEnded handles the end of an agent's server and announces it to other balancers.
// An agent that did not announce its end would be waited for in lookups and then count as
// failed.
func (d *Director) recordEnded(now time.Time, a *agent) {
	a.endedAt = now
	a.holdsNoFlows, a.flowsKnownAt = true, now
	d.recheckBlocked = true
	d.tablesChanged(a.service)
	d.endedAgents.push(endedAgent{a.addr, now.Add(endedTTL)})
	d.ended.add(now, a.member())
}

// removeEndedAgents removes the agents whose servers ended endedTTL ago.
func (d *Director) removeEndedAgents(now time.Time) {
	for d.endedAgents.len() > 0 && !d.endedAgents.first().at.After(now) {
		a := d.agents[d.endedAgents.pop().agent]
		if a != nil && a.ended() && now.Sub(a.endedAt) >= endedTTL {
			d.removeAgent(now, a, "forgotten")
		}
	}
}
