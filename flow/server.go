package flow

import (
	"cmp"
	"time"
)

// server is what an agent knows about its backend server.
type server struct {
	instance    string
	born        int64 // of this start; 0 if not known
	previous    start // the one before
	sequence    uint64
	service     ServiceID
	slots       int
	draining    bool
	gone        bool
	silent      bool // did not react to packets
	complete    bool // the agent has seen every flow of this instance
	known       bool // a heartbeat or a status check told of its state
	alive       bool // something has shown that there is a server
	absent      bool // a status check found no server, and nothing has shown one since
	heartbeatAt time.Time
	spokeAt     time.Time // last packet or heartbeat
	coldUntil   time.Time
	coldUnknown bool  // it may have become cold since it said how long it is
	young       bool  // it and this process had just started when they first met
	rival       start // another start that sent a heartbeat
	rivalSeq    uint64
}

// start identifies one start of a server.
type start struct {
	instance string
	born     int64 // as in Heartbeat
}

// is reports whether b is of this start, as far as both tell.
func (s start) is(b *Heartbeat) bool {
	return s.instance != "" && s.instance == b.Instance && (s.born == b.StartTimeMs || s.born == 0 || b.StartTimeMs == 0)
}

// start returns which start of the server is known.
func (v *server) start() start { return start{v.instance, v.born} }

// State returns what the agent believes about its server now.
func (g *Gate) State(now time.Time) ServerState {
	v := &g.server
	switch {
	case v.gone:
		return ServerEnded
	case !v.known:
		return ServerUnknown
	case v.draining:
		return ServerDraining
	case now.Sub(v.heartbeatAt) >= g.cfg.HeartbeatTTL:
		return ServerUnknown
	case g.evacuated():
		return ServerEvacuated
	case v.silent:
		return ServerUnresponsive
	}
	return ServerReady
}

// Heartbeat takes a heartbeat. It returns false for one that is older than what is
// known: held up on its way, or of an instance that has been replaced.
func (g *Gate) Heartbeat(now time.Time, b Heartbeat) bool {
	g.stats.Heartbeats++
	if !g.current(now, &b) {
		g.stats.OldHeartbeats++
		g.trace.OldHeartbeat(now, b.Instance, b.Sequence)
		return false
	}
	before := g.State(now)
	v := &g.server
	if !v.start().is(&b) {
		g.newInstance(now, &b)
	}
	v.born = cmp.Or(b.StartTimeMs, v.born)
	if v.sequence == 0 {
		v.young = b.Sequence <= youngSequence && now.Sub(g.started) <= youngAge
		defer g.report(now, true)
	}
	v.sequence = b.Sequence
	v.service = b.Service
	v.draining = b.Draining
	v.known = true
	v.alive, v.absent = true, false
	v.gone = false
	v.silent = false
	v.heartbeatAt = now
	v.spokeAt = now
	if b.Slots > 0 {
		v.slots = b.Slots
	}
	v.coldUntil, v.coldUnknown = now.Add(b.ColdFor), false
	g.stateChanged(now, before, "heartbeat")
	g.dequeue(now)
	return true
}

// current reports whether b tells something newer than what is known. A
// heartbeat of a start never seen may be one of an older start that was held up:
// while the known one is heard, an unknown one has to have just started, or to go
// on sending.
func (g *Gate) current(now time.Time, b *Heartbeat) bool {
	v := &g.server
	switch {
	case g.foreign(now, b):
		return false
	case v.start().is(b):
		return !v.known || b.Sequence > v.sequence || v.sequence == 0
	case v.previous.is(b):
		return false
	}
	// A clock that was set back gives a new start a lower number than the old one
	// has, so a lower number alone does not tell which is older.
	older := b.Instance == v.instance && b.StartTimeMs < v.born
	if !v.known || now.Sub(v.heartbeatAt) >= g.cfg.HeartbeatTTL || b.Sequence <= earlySequence && !older {
		return true
	}
	if v.rival.is(b) && b.Sequence > v.rivalSeq {
		return true
	}
	v.rival, v.rivalSeq = start{b.Instance, b.StartTimeMs}, b.Sequence
	return false
}

// foreign reports whether a heartbeat is of another writer than the server: it
// names another address, or another service while the server of the settings'
// service is heard. An address gets to another service only after a rest that is
// longer than a heartbeat vouches for.
func (g *Gate) foreign(now time.Time, b *Heartbeat) bool {
	v := &g.server
	if g.cfg.Server.IsValid() && b.Addr.IsValid() && b.Addr != g.cfg.Server {
		return true
	}
	heard := v.known && now.Sub(v.heartbeatAt) < g.cfg.HeartbeatTTL
	return heard && b.Service != v.service && b.Service != g.cfg.Service
}

// newInstance notes that the server was started anew: its flows are gone.
func (g *Gate) newInstance(now time.Time, b *Heartbeat) {
	v := &g.server
	hadOne := v.instance != ""
	v.previous = v.start()
	v.instance, v.born = b.Instance, b.StartTimeMs
	v.sequence = 0
	v.rival = start{}
	// All flows of this instance came through this process if it heard of the
	// instance from its beginning, or knew the one before.
	v.complete = hadOne || v.absent || b.Sequence <= earlySequence
	for key, f := range g.flows {
		switch {
		case f.state == gateLost:
		case f.state != gateOpen:
			// Whether this server or another one had the flow was not known, so
			// it can't be called lost.
			g.forget(key)
		case hadOne:
			g.end(f)
			f.state = gateLost
		default:
			f.instance = v.instance
		}
	}
	g.waiting = fifo[waiting]{}
	g.trace.Instance(now, v.instance, b.Sequence, v.complete)
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
	if v.known {
		return
	}
	v.absent = c.Absent
	v.alive = c.Answered
	if c.Instance == "" {
		return
	}
	v.instance = c.Instance
	v.known = true
	v.coldUnknown = true // a status check does not tell
	v.heartbeatAt = now
	v.spokeAt = now
	g.stateChanged(now, ServerUnknown, "status check")
}

// Deregister notes that the instance has said that it ends. What an earlier start under
// the same identity said does not count.
func (g *Gate) Deregister(now time.Time, instance string, born int64) {
	if !g.server.start().is(&Heartbeat{Instance: instance, StartTimeMs: born}) {
		return
	}
	before := g.State(now)
	g.server.gone = true
	g.stateChanged(now, before, "deregistered")
}

// Close is the end of the process: its server has ended before it.
func (g *Gate) Close(now time.Time) {
	before := g.State(now)
	g.server.gone = true
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
		b.reportAt = now.Add(b.every - ReportEvery/2)
		g.reply(now, to, Message{Kind: Report}, nil)
	}
}

// spoke notes a sign of life of the server.
func (g *Gate) spoke(now time.Time) {
	v := &g.server
	v.spokeAt = now
	v.alive, v.absent = true, false
	if v.silent {
		before := g.State(now)
		v.silent = false
		g.stateChanged(now, before, "packet")
	}
}

// HeartbeatAge returns the time since the server's last heartbeat, negative if
// there was none.
func (g *Gate) HeartbeatAge(now time.Time) time.Duration { return ageSince(now, g.server.heartbeatAt) }
