package flow

import (
	"net/netip"
	"slices"
	"time"
)

// Route determines the service of new flows to an address.
type Route struct {
	Name     string
	Service  ServiceID
	Split    []Share // if not empty, new flows are split among these services
	Priority uint8   // 0 is the most urgent
	// Repeatable is whether the route's requests may be repeated.
	Repeatable bool
	// Regions, if not empty, are the regions whose servers may get the route's
	// requests, by ZoneID of their names.
	Regions []uint32
	// Target is the latency objective of requests, Timeout the time after which their
	// callers give up; 0 if the configuration has none.
	Target, Timeout time.Duration
}

const (
	// requestTime is the time of a request with the round trips before it, until half
	// of the requests are answered at a cold server. A waiting flow counts as late from
	// that long before its latency objective. With 100 ms a request with an objective
	// of 120 ms was late after a wait of 20 ms, before a slot became free.
	requestTime = 60 * time.Millisecond
	// firstRetransmission and secondRetransmission are the times after which a caller
	// repeats a first packet.
	firstRetransmission  = 200 * time.Millisecond
	secondRetransmission = 600 * time.Millisecond
	// maxRetransmissionPause is the longest time between two packets of a caller on a
	// flow that is not answered.
	maxRetransmissionPause = 1600 * time.Millisecond
	// attemptTimeout is the time after its first packet until which a caller accepts a
	// server's answer, less the network delay in both directions. A flow that waits
	// longer is answered in vain, and takes a server's capacity for confirmTimeout.
	attemptTimeout = 1350 * time.Millisecond
)

// waitLimits returns how long a flow may wait for capacity, and for how long of that
// its request can still be in time. copies counts the first packets before this one.
func (r *Route) waitLimits(copies uint32) (onTime, wait time.Duration) {
	passed := [...]time.Duration{0, firstRetransmission, secondRetransmission}[min(copies, lastRetransmission)]
	onTime = max(r.Target-passed-requestTime, 0)
	wait = min(max(r.Timeout-passed-2*requestTime, 0), attemptTimeout-passed)
	return onTime, wait
}

// offerMessage returns a message that offers a flow of the route to an agent of a service.
func (r *Route) offerMessage(service ServiceID) Message {
	return Message{Kind: Open, Service: service, Priority: r.Priority, Target: r.Target, Timeout: r.Timeout, Repeatable: r.Repeatable}
}

// allows reports whether requests of the route may reach a region; 0 is an unknown
// region.
func (r *Route) allows(region uint32) bool {
	return len(r.Regions) == 0 || region != 0 && slices.Contains(r.Regions, region)
}

// Share is the share of one service in a route's new flows.
type Share struct {
	Service ServiceID
	Weight  int64 // relative, above 0
}

// MaxShareWeight is the highest weight of a share; a higher one counts as this. The sum of
// the weights of a split can't overflow with it.
const MaxShareWeight = 1 << 31

// weight returns the weight that counts: a negative one is 0.
func (s Share) weight() uint64 { return uint64(min(max(s.Weight, 0), MaxShareWeight)) }

// ServiceFor returns the service that a new flow goes to. Every balancer chooses the
// same one for all copies of a flow's first packet.
func (r *Route) ServiceFor(key Key) ServiceID {
	total := uint64(0)
	for _, s := range r.Split {
		total += s.weight()
	}
	if total == 0 {
		return r.Service
	}
	at := key.hash() % total
	for _, s := range r.Split {
		if at < s.weight() {
			return s.Service
		}
		at -= s.weight()
	}
	return r.Service
}

// Routes is one revision of the configuration. It is immutable.
type Routes struct {
	Revision uint64
	IdleMs   int // time without packets after which a flow may be discarded
	// ColdRates are the request rates that cold servers can handle, by service;
	// services without an entry have no limit. It is set before the routes are used.
	ColdRates map[ServiceID]ColdRate
	byAddr    map[netip.AddrPort]Route
}

// NewRoutes returns the routes of one revision.
func NewRoutes(revision uint64, idleMs int, byAddr map[netip.AddrPort]Route) *Routes {
	return &Routes{Revision: revision, IdleMs: idleMs, byAddr: byAddr}
}

// newerThan reports whether r is a newer revision than other. Either may be nil for
// none.
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
