package flow

import (
	"cmp"
	"time"
)

// server is what an agent knows about its backend server.
type server struct {
	instance          string
	startTimeMs       int64       // as in Heartbeat, 0 if not known
	previousStart     serverStart // the start before the current one
	sequence          uint64      // of the latest heartbeat
	service           ServiceID
	slots             int
	draining          bool
	ended             bool
	unresponsive      bool // did not answer a first packet in time
	flowsComplete     bool // every flow of this instance has passed through this process
	stateKnown        bool // from a heartbeat or a status check
	responded         bool // a heartbeat, packet or status check has shown that a server runs
	absent            bool // a status check found no server, and nothing has shown one since
	absentChecks      int  // number of status checks in a row that found none
	deregisteredAt    time.Time
	lastHeartbeatAt   time.Time
	confirmedAt       time.Time // when the state was last confirmed; see confirm
	lastActivityAt    time.Time // of the latest packet or heartbeat
	coldUntil         time.Time
	coldUnknown       bool        // the server may have become cold since its latest heartbeat
	recentlyStarted   bool        // the server and this process had both just started at the first heartbeat
	longRunning       bool        // the first heartbeat received was one of a server that has run for a while
	candidate         serverStart // unknown start whose heartbeat was rejected
	candidateSequence uint64      // of that heartbeat
}

// serverStart identifies one start of a server.
type serverStart struct {
	instance string
	timeMs   int64 // as in Heartbeat
}

// matches reports whether b is a heartbeat of this start. A start time that is not known
// matches any.
func (s serverStart) matches(b *Heartbeat) bool {
	return s.instance != "" && s.instance == b.Instance && (s.timeMs == b.StartTimeMs || s.timeMs == 0 || b.StartTimeMs == 0)
}

// currentStart returns the start that the known state belongs to.
func (v *server) currentStart() serverStart { return serverStart{v.instance, v.startTimeMs} }

// State returns the state of the server at now, as the agent reports it. A server that could
// take flows counts as unknown until other agents know of this one.
func (g *Gate) State(now time.Time) ServerState {
	if g.awaitsIntroduction(now) {
		return ServerUnknown
	}
	return g.serverState(now)
}

func (g *Gate) serverState(now time.Time) ServerState {
	v := &g.server
	switch {
	case v.ended:
		return ServerEnded
	case !v.stateKnown || g.stopping:
		return ServerUnknown
	case v.draining:
		return ServerDraining
	case !g.confirmed(now):
		return ServerUnknown
	case g.evacuated():
		return ServerEvacuated
	case v.unresponsive:
		return ServerUnresponsive
	}
	return ServerReady
}

// Heartbeat processes a heartbeat. It returns false for one that is not accepted: delayed
// in transit, of an instance that has been replaced, or of another server.
func (g *Gate) Heartbeat(now time.Time, b Heartbeat) bool {
	g.stats.Heartbeats++
	if !g.accepts(now, &b) {
		g.stats.OldHeartbeats++
		g.trace.OldHeartbeat(now, b.Instance, b.Sequence)
		return false
	}
	before := g.State(now)
	v := &g.server
	if !v.currentStart().matches(&b) {
		g.recordServerStart(now, &b)
	}
	v.startTimeMs = cmp.Or(b.StartTimeMs, v.startTimeMs)
	if v.sequence == 0 {
		v.longRunning = b.Sequence > g.cfg.recentlyStartedSequence()
		v.recentlyStarted = b.Sequence <= g.cfg.recentlyStartedSequence() && now.Sub(g.started) <= recentlyStartedAge
		defer g.report(now, true)
	}
	v.sequence = b.Sequence
	v.service = b.Service
	v.draining = b.Draining
	v.stateKnown = true
	v.responded, v.absent, v.absentChecks = true, false, 0
	v.ended = false
	v.unresponsive = false
	v.lastHeartbeatAt = now
	v.lastActivityAt = now
	g.confirm(now)
	if b.Slots > 0 {
		v.slots = b.Slots
		g.updateWork()
	}
	v.coldUntil, v.coldUnknown = now.Add(b.ColdFor), false
	g.stateChanged(now, before, "heartbeat")
	g.updateHealth(now)
	g.dequeue(now)
	return true
}

// accepts reports whether b is newer than the known state. A heartbeat of an unknown start
// may be a delayed one of an older start. So while the state of the current start is
// confirmed, an unknown start is accepted only if it has just started or sends a further
// heartbeat.
func (g *Gate) accepts(now time.Time, b *Heartbeat) bool {
	v := &g.server
	switch {
	case g.fromOtherServer(now, b):
		return false
	case v.currentStart().matches(b):
		return !v.stateKnown || b.Sequence > v.sequence || v.sequence == 0
	case v.previousStart.matches(b):
		return false
	}
	// After the server's clock was set back, a new start has a lower start time than the
	// old one, so the start times alone do not show which start is older.
	older := b.Instance == v.instance && b.StartTimeMs < v.startTimeMs
	if !v.stateKnown || !g.confirmed(now) || b.Sequence <= justStartedSequence && !older {
		return true
	}
	if v.candidate.matches(b) && b.Sequence > v.candidateSequence {
		return true
	}
	v.candidate, v.candidateSequence = serverStart{b.Instance, b.StartTimeMs}, b.Sequence
	return false
}

// fromOtherServer reports whether a heartbeat was sent by another process than the agent's
// server: it names another address, or, while the server's state is confirmed, a service
// that is neither the server's present one nor the configured one. The platform gives an
// address to another service only after a delay longer than StateTTL.
func (g *Gate) fromOtherServer(now time.Time, b *Heartbeat) bool {
	v := &g.server
	if g.cfg.Server.IsValid() && b.Addr.IsValid() && b.Addr != g.cfg.Server {
		return true
	}
	known := v.stateKnown && g.confirmed(now)
	return known && b.Service != v.service && b.Service != g.cfg.Service
}

// recordServerStart records a new start of the server. The open flows of the start before
// are lost.
func (g *Gate) recordServerStart(now time.Time, b *Heartbeat) {
	v := &g.server
	hadInstance := v.instance != ""
	v.previousStart = v.currentStart()
	v.instance, v.startTimeMs = b.Instance, b.StartTimeMs
	v.sequence = 0
	v.candidate = serverStart{}
	g.answers = answerMean{}
	// Every flow of this instance passes through this process if it knew the instance
	// before, found no server, or receives the instance's first heartbeat.
	v.flowsComplete = hadInstance || v.absent || b.Sequence <= justStartedSequence
	if hadInstance {
		g.loseFlows(now)
		g.incompleteUntil = time.Time{}
	} else {
		g.adoptFlows()
	}
	g.unanswered = fifo[pendingFlow]{}
	g.health.monitor.Restart(now)
	g.health.judgedFrom = now
	g.trace.Instance(now, v.instance, b.Sequence, v.flowsComplete)
}

// adoptFlows records that the flows in the table belong to the server whose identity has
// become known.
func (g *Gate) adoptFlows() {
	for _, f := range g.flows {
		if f.state != gateLost {
			f.instance = g.server.instance
		}
	}
}

// Deregister records that the instance has deregistered because it ends. Deregistrations
// of an earlier start under the same identity are ignored.
func (g *Gate) Deregister(now time.Time, instance string, startTimeMs int64) {
	if !g.server.currentStart().matches(&Heartbeat{Instance: instance, StartTimeMs: startTimeMs}) {
		return
	}
	before := g.State(now)
	g.server.ended, g.server.deregisteredAt = true, now
	g.stateChanged(now, before, "deregistered")
	g.dequeue(now)
}

// Close reports that the agent process ends, and sends all kept requests to the server. If
// its server has ended too, the balancers need not wait for the agent in lookups. Otherwise
// the server keeps its flows, and the agent's successor answers for them.
func (g *Gate) Close(now time.Time) {
	before := g.State(now)
	g.stopping = true
	g.server.ended = g.server.ended || g.server.absent
	g.stateChanged(now, before, "stopping")
	g.dequeue(now)
}

// stateChanged reports a new state to all balancers at once.
func (g *Gate) stateChanged(now time.Time, before ServerState, why string) {
	defer g.requestIntroduction(now)
	after := g.State(now)
	if after == before {
		return
	}
	if !judgedState(before) || !judgedState(after) {
		g.health.judgedFrom = now
	}
	if after == ServerReady {
		g.meter.Restart(now)
	}
	g.trace.State(now, before, after, why)
	g.report(now, true)
}

// report sends a report to the balancers for which one is due, or to all that are to be
// notified of a change.
func (g *Gate) report(now time.Time, all bool) {
	g.reportAt = now.Add(shortestReportInterval)
	for to, b := range g.balancers {
		if !now.Before(b.reportsUntil) || !all && now.Before(b.reportAt) {
			continue
		}
		// The next report may be half a tick early rather than one tick late.
		b.reportAt = now.Add(b.reportInterval - shortestReportInterval/2)
		g.reply(now, to, Message{Kind: Report}, nil)
	}
}

// recordActivity records a packet of the server, which shows that it is responsive.
func (g *Gate) recordActivity(now time.Time) {
	v := &g.server
	v.lastActivityAt = now
	v.responded, v.absent, v.absentChecks = true, false, 0
	if v.stateKnown && g.confirmed(now) {
		g.confirm(now)
	}
	if v.unresponsive {
		before := g.State(now)
		v.unresponsive = false
		g.stateChanged(now, before, "packet")
	}
}

// HeartbeatAge returns the time since the server's last heartbeat, negative if there was
// none.
func (g *Gate) HeartbeatAge(now time.Time) time.Duration {
	return ageSince(now, g.server.lastHeartbeatAt)
}
