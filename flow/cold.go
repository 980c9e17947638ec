package flow

import (
	"math"
	"time"
)

// ColdRate is the rate of requests that a server can process while it is cold, in tenths of
// a request per second; 0 means no limit.
type ColdRate uint16

// coldRateUnit is the unit of ColdRate in requests per second.
const coldRateUnit = 0.1

// ColdRateOf returns the ColdRate for a number of requests per second, 0 if that is not
// positive. A positive rate below one unit is rounded up, so that it does not mean no limit.
func ColdRateOf(perSecond float64) ColdRate {
	if !(perSecond > 0) {
		return 0
	}
	return ColdRate(min(max(perSecond/coldRateUnit, 1), math.MaxUint16))
}

// perSecond returns the number of requests allowed per second: at least one, so that a
// server with a lower rate gets requests at all.
func (r ColdRate) perSecond() int { return max(1, int(float64(r)*coldRateUnit)) }

// coldWindow is the time for which a request counts towards the limit: a second, plus the
// delay that a packet from the agent to its server may have.
const coldWindow = time.Second + 50*time.Millisecond

// coldQueueShare is the share of a cold server's capacity during a flow's wait that waiting
// flows may claim; requests on open flows use the rest.
const coldQueueShare = 0.8

// isCold reports whether the server counts as cold: its latest heartbeat reported it as
// cold, or it may have become cold since.
func (g *Gate) isCold(now time.Time) bool {
	return g.server.coldUnknown || now.Before(g.server.coldUntil)
}

// coldLimited reports whether the cold limit applies now: the limit on the rate of
// requests to a cold server.
//
// After a power loss, a release, or when an evacuated zone returns to service, servers
// start cold and process a fraction of their usual rate for some seconds, while callers
// send requests at the full rate and retry those that fail. A server that receives more
// than it can process crashes, starts cold again and is overloaded again. Without a limit
// a tenth of all requests fail for as long as the load lasts.
//
// The limit is enforced by the agent, through which all requests to its server pass, in
// every sliding second, so no coordination between processes is needed. A token bucket
// would admit the requests of two seconds within one.
func (g *Gate) coldLimited(now time.Time) bool {
	return g.orders.coldRate != 0 && g.orders.service == g.server.service && g.isCold(now)
}

// hasColdCapacity reports whether the cold limit allows another request in addition to the
// given number of expected ones. For a server without such a limit it returns true.
func (g *Gate) hasColdCapacity(now time.Time, expected int) bool {
	if !g.coldLimited(now) {
		return true
	}
	if !g.server.flowsComplete && now.Sub(g.started) < coldWindow {
		return false // requests that an earlier agent process sent in the last second are not known
	}
	return g.recentRequests(now)+expected < g.orders.coldRate.perSecond()
}

// recentRequests returns the number of requests within coldWindow.
func (g *Gate) recentRequests(now time.Time) int {
	for g.requestTimes.len() > 0 && now.Sub(*g.requestTimes.first()) >= coldWindow {
		g.requestTimes.pop()
	}
	return g.requestTimes.len()
}

// countRequest counts a request, or another packet that the server may process as one,
// towards the cold limit.
func (g *Gate) countRequest(now time.Time) {
	g.recentRequests(now)
	g.requestTimes.push(now)
}

// coldCapacityAt returns when the cold limit will allow another request, zero if it does
// now.
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

// coldLoad returns the number of busy slots to report for a cold server: the used share of
// its cold limit applied to its capacity, if that is higher than busy. The limit is reached
// long before the slots are busy, and a server that looked idle would be offered every
// flow.
func (g *Gate) coldLoad(now time.Time, busy int) int {
	if !g.coldLimited(now) {
		return busy
	}
	used := float64(g.recentRequests(now)+g.waiting.counts[waitingFlow]) / float64(g.orders.coldRate.perSecond())
	return max(busy, int(math.Ceil(used*float64(g.requestCapacity()))))
}

// queueLimit returns how many flows may wait for the server until the given time: for a
// cold one, as many as it can process until then. Further flows can't be served in time
// and are refused at once.
func (g *Gate) queueLimit(now, until time.Time) int {
	return min(queuePerSlot*g.server.slots, g.servableUntil(now, until))
}

// waitingCallerLimit returns how many callers may wait until the given time, in addition to
// the waiting flows.
func (g *Gate) waitingCallerLimit(now, until time.Time) int {
	return min(waitingCallersPerSlot*g.server.slots, g.servableUntil(now, until)-g.waiting.counts[waitingFlow])
}

// servableUntil returns how many waiting flows a cold server can process until the given
// time. It is unbounded for a server without a cold limit, or that is warm before then.
func (g *Gate) servableUntil(now, until time.Time) int {
	if !g.coldLimited(now) || !g.server.coldUnknown && g.server.coldUntil.Before(until) {
		return math.MaxInt
	}
	return int(coldQueueShare * until.Sub(now).Seconds() * float64(g.orders.coldRate) * coldRateUnit)
}
