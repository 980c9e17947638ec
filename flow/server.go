package flow

import (
	"cmp"
	"time"
)

// server is what an agent knows about its backend server.
type server struct {
	instance          string
	startTimeMs       int64       // of this start; 0 if not known
	previousStart     serverStart // the one before
	sequence          uint64
	service           ServiceID
	slots             int
	draining          bool
	ended             bool
	unresponsive      bool // did not react to packets
	flowsComplete     bool // the agent has seen every flow of this instance
	stateKnown        bool // a heartbeat or a status check told of its state
	responded         bool // something has shown that there is a server
	absent            bool // a status check found no server, and nothing has shown one since
	lastHeartbeatAt   time.Time
	lastActivityAt    time.Time // last packet or heartbeat
	coldUntil         time.Time
	coldUnknown       bool        // it may have become cold since it said how long it is
	recentlyStarted   bool        // it and this process had just started when they first met
	candidate         serverStart // another start that sent a heartbeat
	candidateSequence uint64
}

// serverStart identifies one serverStart of a server.
type serverStart struct {
	instance string
	timeMs   int64 // as in Heartbeat
}

// matches reports whether b matches of this start, as far as both tell.
func (s serverStart) matches(b *Heartbeat) bool {
	return s.instance != "" && s.instance == b.Instance && (s.timeMs == b.StartTimeMs || s.timeMs == 0 || b.StartTimeMs == 0)
}

// currentStart returns which currentStart of the server is known.
func (v *server) currentStart() serverStart { return serverStart{v.instance, v.startTimeMs} }

// State returns what the agent believes about its server now.
func (g *Gate) State(now time.Time) ServerState {
	v := &g.server
	switch {
	case v.ended:
		return ServerEnded
	case !v.stateKnown:
		return ServerUnknown
	case v.draining:
		return ServerDraining
	case now.Sub(v.lastHeartbeatAt) >= g.cfg.HeartbeatTTL:
		return ServerUnknown
	case g.evacuated():
		return ServerEvacuated
	case v.unresponsive:
		return ServerUnresponsive
	}
	return ServerReady
}

// Heartbeat takes a heartbeat. It returns false for one that is older than what is
// known: held up on its way, or of an instance that has been replaced.
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
		v.recentlyStarted = b.Sequence <= recentlyStartedSequence && now.Sub(g.started) <= recentlyStartedAge
		defer g.report(now, true)
	}
	v.sequence = b.Sequence
	v.service = b.Service
	v.draining = b.Draining
	v.stateKnown = true
	v.responded, v.absent = true, false
	v.ended = false
	v.unresponsive = false
	v.lastHeartbeatAt = now
	v.lastActivityAt = now
	if b.Slots > 0 {
		v.slots = b.Slots
	}
	v.coldUntil, v.coldUnknown = now.Add(b.ColdFor), false
	g.stateChanged(now, before, "heartbeat")
	g.dequeue(now)
	return true
}

// accepts reports whether b tells something newer than what is known. A
// heartbeat of a start never seen may be one of an older start that was held up:
// while the known one is heard, an unknown one has to have just started, or to go
// on sending.
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
	// A clock that was set back gives a new start a lower number than the old one
	// has, so a lower number alone does not tell which is older.
	older := b.Instance == v.instance && b.StartTimeMs < v.startTimeMs
	if !v.stateKnown || now.Sub(v.lastHeartbeatAt) >= g.cfg.HeartbeatTTL || b.Sequence <= justStartedSequence && !older {
		return true
	}
	if v.candidate.matches(b) && b.Sequence > v.candidateSequence {
		return true
	}
	v.candidate, v.candidateSequence = serverStart{b.Instance, b.StartTimeMs}, b.Sequence
	return false
}

// fromOtherServer reports whether a heartbeat is of another writer than the server: it
// names another address, or another service while the server of the settings'
// service is heard. An address gets to another service only after a rest that is
// longer than a heartbeat vouches for.
func (g *Gate) fromOtherServer(now time.Time, b *Heartbeat) bool {
	v := &g.server
	if g.cfg.Server.IsValid() && b.Addr.IsValid() && b.Addr != g.cfg.Server {
		return true
	}
	heard := v.stateKnown && now.Sub(v.lastHeartbeatAt) < g.cfg.HeartbeatTTL
	return heard && b.Service != v.service && b.Service != g.cfg.Service
}

// recordServerStart notes that the server was started anew: its flows are gone.
func (g *Gate) recordServerStart(now time.Time, b *Heartbeat) {
	v := &g.server
	hadOne := v.instance != ""
	v.previousStart = v.currentStart()
	v.instance, v.startTimeMs = b.Instance, b.StartTimeMs
	v.sequence = 0
	v.candidate = serverStart{}
	// All flows of this instance came through this process if it heard of the
	// instance from its beginning, or knew the one before.
	v.flowsComplete = hadOne || v.absent || b.Sequence <= justStartedSequence
	for key, f := range g.flows {
		switch {
		case f.state == gateLost:
		case f.state != gateOpen:
			// Whether this server or another one had the flow was not known, so
			// it can't be called lost.
			g.removeFlow(key)
		case hadOne:
			g.endRequest(f)
			f.state = gateLost
		default:
			f.instance = v.instance
		}
	}
	g.unanswered = fifo[pendingFlow]{}
	g.trace.Instance(now, v.instance, b.Sequence, v.flowsComplete)
}

// StatusCheckResult is the outcome of a status check.
type StatusCheckResult struct {
	Absent   bool   // nobody listens at the server's address
	Answered bool   // a server answered, whatever it said
	Instance string // of the server, if it is ready
}

// StatusCheck takes the outcome of a status check made because no heartbeat has come
// yet: after a start of this process alone the server need not wait for its next
// one, and its open flows go on.
func (g *Gate) StatusCheck(now time.Time, c StatusCheckResult) {
	v := &g.server
	if v.stateKnown {
		return
	}
	v.absent = c.Absent
	v.responded = c.Answered
	if c.Instance == "" {
		return
	}
	v.instance = c.Instance
	v.stateKnown = true
	v.coldUnknown = true // a status check does not tell
	v.lastHeartbeatAt = now
	v.lastActivityAt = now
	g.stateChanged(now, ServerUnknown, "status check")
}

// Deregister notes that the instance has said that it ends. What an earlier start under
// the same identity said does not count.
func (g *Gate) Deregister(now time.Time, instance string, born int64) {
	if !g.server.currentStart().matches(&Heartbeat{Instance: instance, StartTimeMs: born}) {
		return
	}
	before := g.State(now)
	g.server.ended = true
	g.stateChanged(now, before, "deregistered")
}

// Close is the end of the process: its server has ended before it.
func (g *Gate) Close(now time.Time) {
	before := g.State(now)
	g.server.ended = true
	g.stateChanged(now, before, "stopping")
}

// stateChanged reports a new state to all balancers at once.
func (g *Gate) stateChanged(now time.Time, before ServerState, why string) {
	after := g.State(now)
	if after == before {
		return
	}
	g.trace.State(now, before, after, why)
	g.report(now, true)
}

// report reports to the balancers for which that is due, or to all.
func (g *Gate) report(now time.Time, all bool) {
	g.reportAt = now.Add(ReportEvery)
	for to, b := range g.balancers {
		if !all && now.Before(b.reportAt) {
			continue
		}
		// Half a tick early rather than one tick late.
		b.reportAt = now.Add(b.reportInterval - ReportEvery/2)
		g.reply(now, to, Message{Kind: Report}, nil)
	}
}

// recordActivity notes a sign of life of the server.
func (g *Gate) recordActivity(now time.Time) {
	v := &g.server
	v.lastActivityAt = now
	v.responded, v.absent = true, false
	if v.unresponsive {
		before := g.State(now)
		v.unresponsive = false
		g.stateChanged(now, before, "packet")
	}
}

// HeartbeatAge returns the time since the server's last heartbeat, negative if
// there was none.
func (g *Gate) HeartbeatAge(now time.Time) time.Duration {
	return ageSince(now, g.server.lastHeartbeatAt)
}
