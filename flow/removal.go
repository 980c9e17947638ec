package flow

import (
	"cmp"
	"slices"
	"time"
)

// An agent answers that its server does not hold a flow if its table does not have the flow
// and is complete; the flow may then be reset. So each removal from the table is a claim about
// the server. The rule: a flow leaves the table if something proves that the server does not
// hold it any more, or that callers may not rely on it any longer. Every other removal makes
// the table incomplete for as long as the flow could have stayed; see removeFlow and complete.

const (
	// endedLinger is how long a flow stays in the table after its last packet if both ends
	// have closed it, because an end whose last packet was lost sends it again, or if it never
	// opened, because the caller repeats its first packet.
	endedLinger = 4 * time.Second
	// evictedShare is the share of a full table that is evicted at once, so that the table
	// is not searched for each new flow.
	evictedShare = 1.0 / 64
)

// Removal says why a flow left an agent's table.
type Removal uint8

// The reasons.
const (
	RemovedClosed   Removal = iota // both ends have closed the flow, or one has reset it
	RemovedUnopened                // the server did not answer its first packet, or a packet sent to probe for it
	RemovedExpired                 // no packet for the maximum age of a flow, after which it may be discarded
	RemovedBounced                 // the server sent a packet of the flow back
	RemovedEnded                   // the server that may have held it has ended
	RemovedReplaced                // its caller has opened another flow from the same port
	RemovedEvicted                 // the table was full; the server may still hold the flow

	Removals = iota // number of reasons
)

// removalNames are the names that Removal.String returns. They are label values of a metric.
var removalNames = [Removals]string{"closed", "unopened", "expired", "bounced", "server_ended", "replaced", "evicted"}

// String returns the reason's name.
func (r Removal) String() string {
	if int(r) < Removals {
		return removalNames[r]
	}
	return "invalid"
}

// provesNotHeld reports whether no server holds a flow that was removed for this reason, or
// callers may not rely on it.
func (r Removal) provesNotHeld() bool { return r != RemovedEvicted }

// mayBeHeld reports whether the server may hold the flow. A flow that the server has not
// answered is not open: its caller can't have accepted it. Whether the server holds a probed
// flow was not known before it was added to the table.
func (f *gateFlow) mayBeHeld() bool {
	return (f.state == gateAnswered || f.state == gateOpen) && !f.closed() || f.replaces != nil
}

// removeFlow removes a flow and keeps its memory for reuse. The table is incomplete from then
// on unless why proves that the server does not hold the flow.
func (g *Gate) removeFlow(key Key, why Removal) {
	f := g.flows[key]
	if f == nil {
		return
	}
	if f.mayBeHeld() && !why.provesNotHeld() {
		g.incompleteUntil = later(g.incompleteUntil, f.lastPacketAt.Add(g.cfg.MaxAge))
	}
	g.stats.Removed[why]++
	g.endRequest(f)
	g.forgetRequest(f)
	g.forgetKept(key, f)
	delete(g.flows, key)
	g.freeFlows = append(g.freeFlows, f)
}

// missFlow records that there is no space for a flow that the server holds.
func (g *Gate) missFlow(now time.Time) {
	g.stats.Dropped++
	g.incompleteUntil = later(g.incompleteUntil, now.Add(g.cfg.MaxAge))
}

// complete reports whether the table has every flow that the server holds: there was no
// server at the start of this process, every flow of this instance came through this
// process, or all flows from before have reached their maximum age; and no flow that the
// server may hold was removed.
func (g *Gate) complete(now time.Time) bool {
	if g.server.absent {
		return true
	}
	all := g.server.stateKnown && g.server.flowsComplete || now.Sub(g.started) >= g.cfg.MaxAge
	return all && !now.Before(g.incompleteUntil)
}

// setMaxAge changes the maximum age of flows. If it is raised, callers may rely for longer on
// the flows that were removed at the former one, or earlier.
func (g *Gate) setMaxAge(now time.Time, age time.Duration) {
	if raise := age - g.cfg.MaxAge; raise > 0 {
		g.incompleteUntil = later(g.incompleteUntil, now).Add(raise)
	}
	g.cfg.MaxAge = age
}

// expired reports whether a flow is to be removed, and why. An idle flow stays for its maximum
// age, whatever idle time-out the operator sets: the server and the caller may keep it that
// long, and the time-out may be raised meanwhile.
func (g *Gate) expired(now time.Time, f *gateFlow) (why Removal, expired bool) {
	idle := now.Sub(f.lastPacketAt)
	switch {
	case f.noticeDue:
		return 0, false
	case f.closed():
		return RemovedClosed, idle >= endedLinger
	case f.state == gateOffered || f.state == gateProbed:
		return RemovedUnopened, idle >= endedLinger
	}
	return RemovedExpired, idle >= g.cfg.MaxAge
}

// sweep removes expired flows and balancers whose subscription has expired, and ends requests
// that have reached their timeout.
func (g *Gate) sweep(now time.Time) {
	g.lastSweepAt = now
	g.idleFlows = 0
	for key, f := range g.flows {
		if f.requestActive && now.Sub(f.requestStartedAt) >= g.requestTimeout(f) {
			g.endRequest(f)
		}
		if why, expired := g.expired(now, f); expired {
			g.removeFlow(key, why)
			continue
		}
		if now.Sub(f.lastPacketAt) >= idleAfter {
			g.idleFlows++
		}
	}
	for addr, b := range g.balancers {
		if !now.Before(b.reportsUntil) {
			delete(g.balancers, addr)
		}
	}
	if len(g.balancers) == 0 {
		g.unaskedReports = 0 // no balancer may know this agent
	}
}

// makeSpace reports whether the table has space for another flow. If it is full, expired flows
// are removed, then those without a packet for the longest time.
func (g *Gate) makeSpace(now time.Time) bool {
	if len(g.flows) < g.cfg.MaxFlows {
		return true
	}
	g.sweep(now)
	if len(g.flows) >= g.cfg.MaxFlows {
		g.evict()
	}
	return len(g.flows) < g.cfg.MaxFlows
}

// evict removes the flows that callers miss least: first those that the server does not hold,
// then those without a packet for the longest time. A packet of an evicted flow is sent to the
// server, and the flow is in the table again with the server's next packet.
func (g *Gate) evict() {
	type candidate struct {
		key  Key
		flow *gateFlow
	}
	var list []candidate
	for key, f := range g.flows {
		if !f.requestActive && !f.answerPending && f.kept == nil && !f.noticeDue {
			list = append(list, candidate{key, f})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBool(a.flow.mayBeHeld(), b.flow.mayBeHeld()), a.flow.lastPacketAt.Compare(b.flow.lastPacketAt))
	})
	n := max(1, int(float64(g.cfg.MaxFlows)*evictedShare))
	for _, c := range list[:min(n, len(list))] {
		g.removeFlow(c.key, RemovedEvicted)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
