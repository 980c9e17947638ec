package flow

import (
	"net/netip"
	"slices"
	"time"
)

// Route says which service new flows to an address go to.
type Route struct {
	Name     string
	Service  ServiceID
	Split    []Share // if not empty, new flows are shared out among these services
	Priority uint8   // 0 is the most urgent
	// Regions, if not empty, are those whose servers may get the route's requests, by
	// ZoneID of their names.
	Regions []uint32
	// Target is the latency objective of requests, Timeout the time after
	// which their callers give up; 0 if the configuration names none.
	Target, Timeout time.Duration
}

const (
	// serviceTime is what a request takes with the exchanges before it, until half
	// of them are answered at a cold server. Flows that wait are taken for late from
	// so long before their latency objective on. At 100 ms a request with an
	// objective of 120 ms was late after 20 ms of waiting, before it had met a free
	// slot; gain of 60 ms: 0.001 of a day's worth, four runs each way, less than
	// single runs differ by.
	serviceTime = 60 * time.Millisecond
	// firstCopy and secondCopy are when a caller repeats a first packet.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	// longestPause is the longest time between two of a caller's packets on a flow
	// that is not answered.
	longestPause = 1600 * time.Millisecond
	// attemptEnd is the time after its first packet until which a caller takes a
	// server's answer, less the way there and back. A flow that waits for longer is
	// answered to nobody, and takes a server's room for confirmTimeout.
	attemptEnd = 1350 * time.Millisecond
)

// waits returns how long a flow may wait for room, and for how long of that its
// request can be in time. copies counts the first packets before this one.
func (r *Route) waits(copies uint32) (onTime, wait time.Duration) {
	passed := [...]time.Duration{0, firstCopy, secondCopy}[min(copies, lastCopy)]
	onTime = max(r.Target-passed-serviceTime, 0)
	wait = min(max(r.Timeout-passed-2*serviceTime, 0), attemptEnd-passed)
	return onTime, wait
}

// allows reports whether requests of the route may reach a region; 0 is one that is not
// known.
func (r *Route) allows(region uint32) bool {
	return len(r.Regions) == 0 || region != 0 && slices.Contains(r.Regions, region)
}

// Share is one service's part of a route.
type Share struct {
	Service ServiceID
	Weight  int // relative, above 0
}

// ServiceFor returns the service that a new flow goes to. Copies of a flow's
// first packet go to the same one at every balancer.
func (r *Route) ServiceFor(key Key) ServiceID {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		return r.Service
	}
	at := int(key.hash() % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Service
}

// Routes is one revision of the configuration. It is immutable.
type Routes struct {
	Revision uint64
	IdleMs   int // a flow that is idle for so long may be discarded
	// ColdRates is what cold servers bear, by service; a service that is not named has no
	// limit. It is set before the routes are used.
	ColdRates map[ServiceID]ColdRate
	byAddr    map[netip.AddrPort]Route
}

// NewRoutes returns the routes of one revision.
func NewRoutes(revision uint64, idleMs int, byAddr map[netip.AddrPort]Route) *Routes {
	return &Routes{Revision: revision, IdleMs: idleMs, byAddr: byAddr}
}

// newerThan reports whether the operator made r after other. Either may be nil for none.
func (r *Routes) newerThan(other *Routes) bool {
	return r != nil && (other == nil || r.Revision > other.Revision)
}

// Lookup returns the route of a service address.
func (r *Routes) Lookup(addr netip.AddrPort) (Route, bool) {
	route, ok := r.byAddr[addr]
	return route, ok
}

// Len returns the number of routes.
func (r *Routes) Len() int { return len(r.byAddr) }
