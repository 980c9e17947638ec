package agent

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/frame"
)

const (
	// pathIdleTimeout is how long after its last packet a path is removed. It is longer
	// than the idle timeout of connections, so no open connection loses its path.
	pathIdleTimeout = 2 * idleTimeout
	// minResponseTimeout and maxResponseTimeout bound how long after a packet was sent a
	// caller may send nothing before other return paths are tried. The minimum is
	// above the 25 ms by which QUIC delays acknowledgements; trying other return paths
	// too early costs only copies.
	minResponseTimeout = 60 * time.Millisecond
	maxResponseTimeout = 600 * time.Millisecond
	// responseTimeGain is the weight of one observation in a path's response time.
	responseTimeGain = 1.0 / 8
	// switchGrace is how long after a path has switched to another return path responses may
	// still be to packets sent through the previous one.
	switchGrace = 30 * time.Millisecond
	// maxReturnPaths bounds the return paths that are kept for one path.
	maxReturnPaths = 4
)

// pathKey identifies a path by a caller and the service address that it uses.
//
// The balancer is not part of the key. Otherwise each balancer that forwards a packet
// would create another path: QUIC would handle every packet as a migration of its caller,
// and no path would have more than one return path.
type pathKey struct {
	caller  netip.AddrPort
	address netip.Addr
}

// virtualAddr encodes a path key as one address for QUIC, so that two addresses of
// a service that are used from one caller socket are two paths. No datagram is sent
// to the virtual address.
func (k pathKey) virtualAddr() *net.UDPAddr {
	var ip [16]byte
	ip[0] = 0xfd
	caller, address := k.caller.Addr().As4(), k.address.As4()
	copy(ip[4:8], caller[:])
	copy(ip[8:12], address[:])
	return &net.UDPAddr{IP: ip[:], Port: int(k.caller.Port())}
}

// keyOf decodes the path key from its virtual address. ok is false for other addresses.
func keyOf(a *net.UDPAddr) (k pathKey, ok bool) {
	if len(a.IP) != net.IPv6len {
		return k, false
	}
	caller := netip.AddrFrom4([4]byte(a.IP[4:8]))
	k.caller = netip.AddrPortFrom(caller, uint16(a.Port))
	k.address = netip.AddrFrom4([4]byte(a.IP[8:12]))
	return k, true
}

// candidate is a return path through a balancer that has forwarded a path's packets.
type candidate struct {
	returnPath *returnPath
	receivedAt time.Time
}

// path is the state of one caller at one service address.
//
// It uses one return path for as long as that delivers. If each packet used another
// one, a return path that loses everything would cost every path a share of its packets
// for as long as the fault lasts, and it would not show which return path has the fault.
type path struct {
	virtual      *net.UDPAddr
	receivedAt   time.Time
	sentAt       time.Time     // first send since the last packet was received; zero if none
	responseTime time.Duration // average time from a first send until a packet is received
	candidates   [maxReturnPaths]candidate
	// validated is set when the caller has used a connection ID that this agent
	// has assigned. Until then its address may be forged, and copies would amplify
	// an attacker's traffic towards that address.
	validated     bool
	stallReported bool // reportStall has reported or counted this stall
	spacing       spacing

	current            *returnPath // return path in use; nil while the path searches for one
	currentSince       time.Time
	deliveryRecordedAt time.Time // when a delivery was last recorded for current
}

// recordReceived records that a packet of the path was received through r.
func (p *path) recordReceived(r *returnPath, now time.Time) {
	p.recordResponse(now)
	p.receivedAt = now
	p.sentAt = time.Time{}
	p.stallReported = false
	oldest := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.returnPath == r {
			c.receivedAt = now
			return
		}
		if c.receivedAt.Before(p.candidates[oldest].receivedAt) {
			oldest = i
		}
	}
	p.candidates[oldest] = candidate{returnPath: r, receivedAt: now}
}

// recordResponse updates the path's response time when a packet is received after a send. At
// most once per minResponseTimeout it also records a delivery for the current return path.
func (p *path) recordResponse(now time.Time) {
	if p.sentAt.IsZero() {
		return
	}
	if responseTime := now.Sub(p.sentAt); responseTime < maxResponseTimeout/2 {
		p.responseTime += time.Duration(float64(responseTime-p.responseTime) * responseTimeGain)
	}
	if p.current == nil || now.Sub(p.currentSince) < switchGrace || now.Sub(p.deliveryRecordedAt) < minResponseTimeout {
		return
	}
	p.deliveryRecordedAt = now
	p.current.recordDelivery()
}

// unresponsive reports whether nothing was received for longer than the response timeout
// after a send. The current return path may then lose all packets: a caller that receives
// nothing has nothing to acknowledge and sends nothing.
func (p *path) unresponsive(now time.Time) bool {
	if p.sentAt.IsZero() {
		p.sentAt = now
		return false
	}
	timeout := min(max(2*p.responseTime+minResponseTimeout/2, minResponseTimeout), maxResponseTimeout)
	return now.Sub(p.sentAt) > timeout
}

// mostRecent returns the return path through which the path's last packet was received, among
// those with at least the grade least; nil if there is none.
func (p *path) mostRecent(least grade, now, newest time.Time) *returnPath {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.returnPath == nil || c.returnPath.grade(now, newest) < least {
			continue
		}
		if best == nil || c.receivedAt.After(best.receivedAt) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.returnPath
}

// dueProbe returns a broken return path that is due to be probed, nil if there is none.
func (p *path) dueProbe(now time.Time) *returnPath {
	for i := range p.candidates {
		if r := p.candidates[i].returnPath; r != nil && r != p.current && r.probeDue(now) {
			return r
		}
	}
	return nil
}

// listReturnPaths fills out with the path's return paths that have at least the grade least.
func (p *path) listReturnPaths(out *[maxReturnPaths]*returnPath, least grade, now, newest time.Time) (n int) {
	clear(out[:])
	for i := range p.candidates {
		r := p.candidates[i].returnPath
		if r != nil && r.grade(now, newest) >= least {
			out[n] = r
			n++
		}
	}
	return n
}

// paths is the table of all paths and return paths of an agent. Idle paths are removed;
// return paths are bounded by the number of balancers.
type paths struct {
	mu                  sync.Mutex
	byKey               map[pathKey]*path
	returnPaths         map[netip.AddrPort]*returnPath
	newest              time.Time // when a packet was last received through any return path
	sweptAt             time.Time
	unvalidatedSearches int // number of searches for unvalidated paths; rotates them among their return paths
	stalls              stalls
}

func newPaths() *paths {
	return &paths{byKey: make(map[pathKey]*path), returnPaths: make(map[netip.AddrPort]*returnPath)}
}

// received records a forwarded packet and returns the virtual address of its path.
func (t *paths) received(h *frame.Header, now time.Time) *net.UDPAddr {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	r := t.returnPaths[h.Via]
	if r == nil {
		r = newReturnPath(h.Via)
		t.returnPaths[h.Via] = r
	}
	r.receivedAt, t.newest = now, now
	// The echo in a packet forwarded by another agent belongs to that agent.
	if h.Flags&frame.FlagForwarded == 0 {
		r.receiveEcho(now, h.Echo)
	}
	key := pathKey{caller: h.Caller, address: h.Address}
	p := t.byKey[key]
	if p == nil {
		p = &path{virtual: key.virtualAddr()}
		t.byKey[key] = p
	}
	p.recordReceived(r, now)
	p.validated = p.validated || h.Flags&frame.FlagFirst == 0
	return p.virtual
}

// sweep removes idle paths and return paths, at most once per pathIdleTimeout.
func (t *paths) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < pathIdleTimeout {
		return
	}
	t.sweptAt = now
	for k, p := range t.byKey {
		if now.Sub(p.receivedAt) > pathIdleTimeout {
			delete(t.byKey, k)
		}
	}
	for a, r := range t.returnPaths {
		if now.Sub(r.receivedAt) > pathIdleTimeout {
			delete(t.returnPaths, a)
		}
	}
}

// route is the balancer and the sequence number of one return datagram.
type route struct {
	balancer netip.AddrPort
	seq      uint32
}

// routes fills out with the routes of a packet for a path: one return path, and more for
// copies when the path is unresponsive or a broken return path is to be probed. QUIC
// discards duplicates.
func (t *paths) routes(key pathKey, now time.Time, out *[maxReturnPaths]route) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return 0
	}
	var selected [maxReturnPaths]*returnPath
	n = t.selectReturnPaths(p, now, &selected)
	if !p.sentAt.IsZero() {
		t.reportStall(key, p, now)
	}
	for i, r := range selected[:n] {
		out[i] = route{balancer: r.balancer, seq: r.nextSeq(now)}
	}
	return n
}

func (t *paths) selectReturnPaths(p *path, now time.Time, out *[maxReturnPaths]*returnPath) (n int) {
	if p.unresponsive(now) {
		p.spacing.start(now)
		if p.current != nil {
			p.current.recordFailure(now, t.bestDelivery(now))
			p.current = nil // a path records one failure, however long it stays unresponsive
		}
		return t.searchReturnPaths(p, now, out)
	}
	if p.current == nil || p.current.grade(now, t.newest) < gradeUsable {
		t.switchReturnPath(p, now)
	}
	out[0] = p.current
	if out[1] = p.dueProbe(now); out[1] != nil {
		return 2
	}
	return 1
}

// switchReturnPath switches a path to the usable return path through which it received its
// last packet, or to any usable one: the network may route a caller's packets to any balancer,
// so any balancer can reach the caller. If none is usable it selects the most recent one of
// the best grade.
func (t *paths) switchReturnPath(p *path, now time.Time) {
	r := p.mostRecent(gradeUsable, now, t.newest)
	if r == nil {
		r = t.otherUsable(now, nil)
	}
	for least := gradeExcluded; r == nil; least-- {
		r = p.mostRecent(least, now, t.newest)
	}
	if p.current != r {
		p.current, p.currentSince = r, now
	}
}

// searchReturnPaths fills out with all return paths that may deliver, for a path that is
// unresponsive. It omits failed ones while there are others. If a packet were lost again,
// QUIC would assume congestion and shrink its window to two packets, and then each lost
// acknowledgement would double the pause.
func (t *paths) searchReturnPaths(p *path, now time.Time, out *[maxReturnPaths]*returnPath) (n int) {
	n = p.listReturnPaths(out, gradeUsable, now, t.newest)
	if n < 2 {
		// A caller that never got a response has sent few packets, through few balancers.
		if r := t.otherUsable(now, out[0]); r != nil {
			out[n] = r
			n++
		}
	}
	for least := gradeExcluded; n == 0; least-- {
		n = p.listReturnPaths(out, least, now, t.newest)
	}
	if !p.validated && n > 1 {
		out[0] = out[t.unvalidatedSearches%n]
		t.unvalidatedSearches++
		return 1
	}
	return n
}

// otherUsable returns any usable return path except r, nil if there is none.
func (t *paths) otherUsable(now time.Time, r *returnPath) *returnPath {
	for _, o := range t.returnPaths {
		if o != r && o.grade(now, t.newest) == gradeUsable {
			return o
		}
	}
	return nil
}

// bestDelivery returns the highest delivery rate of the return paths that have not failed.
// That of a failed one no longer changes, so others must not be compared with it.
func (t *paths) bestDelivery(now time.Time) float64 {
	best := 0.0
	for _, r := range t.returnPaths {
		if r.grade(now, t.newest) >= gradeExcluded {
			best = max(best, r.deliveryRate)
		}
	}
	return best
}
