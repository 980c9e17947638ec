package flow

import (
	"math"
	"time"
)

// ColdRate is how many requests a second a server bears while it is cold, in tenths;
// 0 is no limit.
type ColdRate uint16

// coldRateUnit is the part of a request a second that a ColdRate counts.
const coldRateUnit = 0.1

// ColdRateOf returns the rate of so many requests a second, 0 for none or less. A limit
// below the least rate stays a limit.
func ColdRateOf(perSecond float64) ColdRate {
	if !(perSecond > 0) {
		return 0
	}
	return ColdRate(min(max(perSecond/coldRateUnit, 1), math.MaxUint16))
}

// perSecond returns how many perSecond a second are allowed: one at least, so that a server
// of which little is asked gets any.
func (r ColdRate) perSecond() int { return max(1, int(float64(r)*coldRateUnit)) }

// coldWindow is the span in which requests count, longer than a second by what a packet
// to the server beside the agent may be late by.
const coldWindow = time.Second + 50*time.Millisecond

// coldQueueShare is the part of what a cold server bears in a flow's wait that may wait for
// it: requests on open flows take some of it.
const coldQueueShare = 0.8

// Cold servers.
//
// Load: after a loss of power, a release, or when a zone is given back, servers start
// cold and bear a fraction of their rate for some seconds, while callers come at the
// full rate and repeat what fails. Handed more, a server falls over, starts cold again
// and is handed more again; a tenth of all requests failed for as long as callers came.
//
// The limit is kept where all requests to a server pass, at its agent, in every sliding
// second, so nothing has to be agreed on. A bucket of tokens would let two seconds' worth
// into one.

// isCold reports whether the server counts as isCold: it says so, or has not said how long
// it is isCold since it may have become so.
func (g *Gate) isCold(now time.Time) bool {
	return g.server.coldUnknown || now.Before(g.server.coldUntil)
}

// coldLimited reports whether the limit for cold servers holds now.
func (g *Gate) coldLimited(now time.Time) bool {
	return g.orders.coldRate != 0 && g.orders.service == g.server.service && g.isCold(now)
}

// hasColdCapacity reports whether a cold server bears another request besides so many that are
// about to come. A server that is not cold does.
func (g *Gate) hasColdCapacity(now time.Time, coming int) bool {
	if !g.coldLimited(now) {
		return true
	}
	if !g.server.flowsComplete && now.Sub(g.started) < coldWindow {
		return false // what an earlier process passed on in the last second is not known
	}
	return g.recentRequests(now)+coming < g.orders.coldRate.perSecond()
}

// recentRequests returns the number of requests of the last second.
func (g *Gate) recentRequests(now time.Time) int {
	for g.requestTimes.len() > 0 && now.Sub(*g.requestTimes.first()) >= coldWindow {
		g.requestTimes.pop()
	}
	return g.requestTimes.len()
}

// countRequest counts a request, or another packet that the server may take for one.
func (g *Gate) countRequest(now time.Time) {
	g.recentRequests(now)
	g.requestTimes.push(now)
}

// coldCapacityAt returns when the server bears another request, zero if it does now.
func (g *Gate) coldCapacityAt(now time.Time) time.Time {
	if g.hasColdCapacity(now, g.reservations.len()) {
		return time.Time{}
	}
	at := now.Add(coldWindow)
	if g.requestTimes.len() > 0 {
		at = g.requestTimes.first().Add(coldWindow)
	}
	if !g.server.coldUnknown && g.server.coldUntil.Before(at) {
		at = g.server.coldUntil
	}
	return at
}

// coldLoad returns the requests at work that the load told to balancers stands for: the
// part of what a cold server bears that is taken, if that is more than is at work. Room
// under the limit is used up long before the slots are, and a server that seemed idle
// would be offered every flow.
func (g *Gate) coldLoad(now time.Time, busy int) int {
	if !g.coldLimited(now) {
		return busy
	}
	taken := float64(g.recentRequests(now)+len(g.queue)) / float64(g.orders.coldRate.perSecond())
	return max(busy, int(math.Ceil(taken*float64(g.requestCapacity()))))
}

// queueLimit returns how many flows may wait for the server until the given time: of a
// cold one, as many as it bears until then. The others can't be served, and are refused
// at once.
func (g *Gate) queueLimit(now, until time.Time) int {
	return min(queuePerSlot*g.server.slots, g.servableUntil(now, until))
}

// waitingCallerLimit is the same for callers that wait to be told, who come after the flows that
// wait.
func (g *Gate) waitingCallerLimit(now, until time.Time) int {
	return min(waitingCallersPerSlot*g.server.slots, g.servableUntil(now, until)-len(g.queue))
}

// servableUntil returns how many of those who wait a cold server serves until the given time;
// one without a limit, or that is warm before, has no bound.
func (g *Gate) servableUntil(now, until time.Time) int {
	if !g.coldLimited(now) || !g.server.coldUnknown && g.server.coldUntil.Before(until) {
		return math.MaxInt
	}
	return int(coldQueueShare * until.Sub(now).Seconds() * float64(g.orders.coldRate) * coldRateUnit)
}
