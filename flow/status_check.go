package flow

import "time"

const (
	// firstCheckDelay is the time from the agent's start to the first status check. A
	// server that starts together with its agent sends its first heartbeat within it, which
	// makes the check unnecessary.
	firstCheckDelay = 10 * time.Millisecond
	// statusCheckLead is how long before the state expires a status check is made: the time
	// that a slow server may take to answer it.
	statusCheckLead = 400 * time.Millisecond
	// minStatusCheckPause and maxStatusCheckPause bound the time to the next status check
	// after one that did not confirm the state. It doubles with each.
	minStatusCheckPause = 250 * time.Millisecond
	maxStatusCheckPause = 2 * time.Second
)

// StatusCheckResult is the result of a status check.
type StatusCheckResult struct {
	Absent   bool   // the server's address refused the connection
	Answered bool   // a server answered, with any status
	Instance string // identity of the server if it is ready, otherwise empty
}

// statusChecks schedules the status checks of an agent's server.
type statusChecks struct {
	pausedUntil time.Time     // no check before, because an earlier one confirmed nothing
	pause       time.Duration // length of that pause
}

// failed records a check that did not confirm the state.
func (c *statusChecks) failed(now time.Time) {
	c.pause = min(max(2*c.pause, minStatusCheckPause), maxStatusCheckPause)
	c.pausedUntil = now.Add(c.pause)
}

// confirm records that the known state still belongs to the server beside the agent. A
// heartbeat shows that, and a status check that names the server's instance. While the
// state is confirmed a packet of the server does too: the platform gives an address to
// another service only after a delay longer than StateTTL, so the packet is from the same
// server.
func (g *Gate) confirm(now time.Time) {
	g.server.confirmedAt = now
	g.statusChecks = statusChecks{}
}

// confirmed reports whether the state was confirmed within StateTTL.
func (g *Gate) confirmed(now time.Time) bool {
	return now.Sub(g.server.confirmedAt) < g.cfg.StateTTL
}

// NextStatusCheck returns when the server's status has to be checked next, if nothing
// confirms its state before. In a large fleet heartbeats come at intervals longer than
// StateTTL; without status checks between them a server with few flows would get none for
// most of the time. While no heartbeat was received since the start of this process, a
// status check lets the server's open flows go on and new ones begin.
func (g *Gate) NextStatusCheck(now time.Time) time.Time {
	v := &g.server
	at := g.started.Add(firstCheckDelay)
	switch {
	case g.awaitsEnd():
		at = later(v.deregisteredAt, v.confirmedAt).Add(minStatusCheckPause)
	case v.ended || v.stateKnown && v.draining:
		at = now.Add(g.cfg.StateTTL) // it gets no new flows
	case v.stateKnown:
		at = v.confirmedAt.Add(g.cfg.StateTTL - statusCheckLead)
	}
	if at.Before(g.statusChecks.pausedUntil) {
		return g.statusChecks.pausedUntil
	}
	return at
}

// StatusCheck processes the result of a status check. Errors of the check itself are
// results in which no field is set.
func (g *Gate) StatusCheck(now time.Time, c StatusCheckResult) {
	v := &g.server
	g.recordAbsence(now, c)
	if v.stateKnown {
		g.confirmInstance(now, c)
		return
	}
	g.statusChecks.failed(now)
	wasAbsent := v.absent
	v.absent = c.Absent || v.absent && !c.Answered
	v.responded = c.Answered || v.responded && !c.Absent
	if c.Instance == "" {
		return
	}
	v.flowsComplete = wasAbsent // it started after this process
	v.instance = c.Instance
	v.stateKnown = true
	v.coldUnknown = true // a status check does not show whether the server is cold
	v.lastHeartbeatAt = now
	v.lastActivityAt = now
	g.confirm(now)
	g.stateChanged(now, ServerUnknown, "status check")
}

// confirmInstance processes the result of a status check of a known server. If another
// instance answers, its first heartbeat is waited for: a status check does not name the
// service.
func (g *Gate) confirmInstance(now time.Time, c StatusCheckResult) {
	v := &g.server
	before := g.State(now)
	switch {
	case c.Absent:
		v.confirmedAt, v.absent = time.Time{}, true
		g.statusChecks.failed(now)
	case c.Instance == "" || c.Instance != v.instance:
		g.statusChecks.failed(now)
	default:
		if !g.confirmed(now) {
			v.coldUnknown = true // it may have been restarted under the same identity
		}
		g.confirm(now)
	}
	g.stateChanged(now, before, "status check")
	g.dequeue(now)
}
