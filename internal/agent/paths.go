package agent

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/frame"
)

const (
	// pathIdleTimeout is after how much silence a path is forgotten. It is above
	// the idle timeout of connections, so no open connection loses its path.
	pathIdleTimeout = 2 * idleTimeout
	// minResponseTimeout and silenceMost bound how long a path may be silent after
	// something was sent on it before other ways back are tried. The least is
	// above the 25 ms by which QUIC delays acknowledgements; trying other ways
	// too early costs copies only.
	minResponseTimeout = 60 * time.Millisecond
	maxResponseTimeout = 600 * time.Millisecond
	// responseTimeGain is the weight of one observation in a path's answer time.
	responseTimeGain = 1.0 / 8
	// switchGrace is for how long after a path has changed its way answers may
	// still be to what it sent by the way before.
	switchGrace = 30 * time.Millisecond
	// maxReturnPaths bounds the balancers remembered for one path.
	maxReturnPaths = 4
)

// pathKey is a caller and the service address that it uses.
//
// The balancer is no part of it. Were it one, each balancer that a packet comes
// through would be another path: QUIC would take every packet for a migration
// of its caller, and no path would know more than one way back.
type pathKey struct {
	caller  netip.AddrPort
	address netip.Addr
}

// virtualAddr encodes a path key as one address for QUIC, so that two
// addresses of a service used from one caller socket stay two paths. The
// address is never sent to.
func (k pathKey) virtualAddr() *net.UDPAddr {
	var ip [16]byte
	ip[0] = 0xfd
	caller, address := k.caller.Addr().As4(), k.address.As4()
	copy(ip[4:8], caller[:])
	copy(ip[8:12], address[:])
	return &net.UDPAddr{IP: ip[:], Port: int(k.caller.Port())}
}

// keyOf reads a path key back from its virtual address.
func keyOf(a *net.UDPAddr) (k pathKey, ok bool) {
	if len(a.IP) != net.IPv6len {
		return k, false
	}
	caller := netip.AddrFrom4([4]byte(a.IP[4:8]))
	k.caller = netip.AddrPortFrom(caller, uint16(a.Port))
	k.address = netip.AddrFrom4([4]byte(a.IP[8:12]))
	return k, true
}

// candidate is a way that a path was heard through.
type candidate struct {
	returnPath *returnPath
	receivedAt time.Time
}

// path is one caller at one service address.
//
// It sends by one way for as long as that delivers. Were each packet sent by
// another way, a way that loses everything would cost every path its share of
// packets for as long as it lasts, and no one could tell which way it was.
type path struct {
	virtual      *net.UDPAddr
	receivedAt   time.Time
	sentAt       time.Time     // first send since the path was heard; zero if none
	responseTime time.Duration // usual time from a first send until the path is heard
	candidates   [maxReturnPaths]candidate
	// validated is set once the caller has used a connection ID that this
	// agent gave it. Until then its address may be forged, and copies would
	// have the fleet amplify a stranger's traffic towards it.
	validated     bool
	stallReported bool // it was told of that the path stands still
	spacing       spacing

	current      *returnPath // nil while the path looks for one
	currentSince time.Time
	creditedAt   time.Time // when on was last credited with a delivery
}

// recordReceived records that the path was heard through w.
func (p *path) recordReceived(w *returnPath, now time.Time) {
	p.recordAnswer(now)
	p.receivedAt = now
	p.sentAt = time.Time{}
	p.stallReported = false
	oldest := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.returnPath == w {
			c.receivedAt = now
			return
		}
		if c.receivedAt.Before(p.candidates[oldest].receivedAt) {
			oldest = i
		}
	}
	p.candidates[oldest] = candidate{returnPath: w, receivedAt: now}
}

// recordAnswer learns from an answer how long answers take, and at most once in a
// silence limit that the path's way delivers.
func (p *path) recordAnswer(now time.Time) {
	if p.sentAt.IsZero() {
		return
	}
	if took := now.Sub(p.sentAt); took < maxResponseTimeout/2 {
		p.responseTime += time.Duration(float64(took-p.responseTime) * responseTimeGain)
	}
	if p.current == nil || now.Sub(p.currentSince) < switchGrace || now.Sub(p.creditedAt) < minResponseTimeout {
		return
	}
	p.creditedAt = now
	p.current.recordDelivery()
}

// unresponsive reports whether nothing was heard since something was sent a while
// ago. Packets sent by the path's way may all be lost then: a caller that
// receives nothing has nothing to acknowledge, and so is never heard.
func (p *path) unresponsive(now time.Time) bool {
	if p.sentAt.IsZero() {
		p.sentAt = now
		return false
	}
	limit := min(max(2*p.responseTime+minResponseTimeout/2, minResponseTimeout), maxResponseTimeout)
	return now.Sub(p.sentAt) > limit
}

// mostRecent returns the way that the path was heard through mostRecent, of those that are
// at least as good as least; nil if there is none.
func (p *path) mostRecent(least grade, now, lastReceivedAt time.Time) *returnPath {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.returnPath == nil || c.returnPath.grade(now, lastReceivedAt) < least {
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

// dueProbe returns a cut way that is due to be tried again, nil if there is none.
func (p *path) dueProbe(now time.Time) *returnPath {
	for i := range p.candidates {
		if w := p.candidates[i].returnPath; w != nil && w != p.current && w.probeDue(now) {
			return w
		}
	}
	return nil
}

// listReturnPaths fills out with the path's ways that are at least as good as least.
func (p *path) listReturnPaths(out *[maxReturnPaths]*returnPath, least grade, now, newest time.Time) (n int) {
	clear(out[:])
	for i := range p.candidates {
		w := p.candidates[i].returnPath
		if w != nil && w.grade(now, newest) >= least {
			out[n] = w
			n++
		}
	}
	return n
}

// paths is the table of all paths and ways of an agent. Paths are bounded by
// the idle sweep; ways by the number of balancers.
type paths struct {
	mu              sync.Mutex
	byKey           map[pathKey]*path
	returnPaths     map[netip.AddrPort]*returnPath
	newest          time.Time // when any way was heard last
	sweptAt         time.Time
	unvalidatedTurn int // of unvalidated paths among their ways
	stalls          stalls
}

func newPaths() *paths {
	return &paths{byKey: make(map[pathKey]*path), returnPaths: make(map[netip.AddrPort]*returnPath)}
}

// received records a forwarded packet and returns the address that QUIC knows
// its path by.
func (t *paths) received(h *frame.Header, now time.Time) *net.UDPAddr {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	w := t.returnPaths[h.Via]
	if w == nil {
		w = newReturnPath(h.Via)
		t.returnPaths[h.Via] = w
	}
	w.receivedAt, t.newest = now, now
	// The echo on a handed-on packet is the one of the agent that handed it on.
	if h.Flags&frame.FlagHandedOn == 0 {
		w.receiveEcho(now, h.Echo)
	}
	key := pathKey{caller: h.Caller, address: h.Address}
	p := t.byKey[key]
	if p == nil {
		p = &path{virtual: key.virtualAddr()}
		t.byKey[key] = p
	}
	p.recordReceived(w, now)
	p.validated = p.validated || h.Flags&frame.FlagFirst == 0
	return p.virtual
}

// sweep forgets idle paths and balancers, once in a pathIdle.
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
	for a, w := range t.returnPaths {
		if now.Sub(w.receivedAt) > pathIdleTimeout {
			delete(t.returnPaths, a)
		}
	}
}

// route is one way for a return datagram.
type route struct {
	balancer netip.AddrPort
	seq      uint32
}

// routes fills out with where a packet for a path goes: one way, and more for
// copies when the path is silent or a cut way is to be probed. QUIC discards
// the copies that arrive.
func (t *paths) routes(key pathKey, now time.Time, out *[maxReturnPaths]route) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return 0
	}
	var ways [maxReturnPaths]*returnPath
	n = t.selectReturnPaths(p, now, &ways)
	if !p.sentAt.IsZero() {
		t.reportStall(key, p, now)
	}
	for i, w := range ways[:n] {
		out[i] = route{balancer: w.balancer, seq: w.nextSeq(now)}
	}
	return n
}

func (t *paths) selectReturnPaths(p *path, now time.Time, out *[maxReturnPaths]*returnPath) (n int) {
	if p.unresponsive(now) {
		p.spacing.start(now)
		if p.current != nil {
			p.current.recordFailure(now, t.bestDelivery(now))
			p.current = nil // a path counts against its way once, however long it stays silent
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

// switchReturnPath puts a path on the usable way that it was heard through last, or on
// any usable one: the fabric hands a caller's packets to any balancer, so any
// balancer reaches the caller. If none is usable it is the one heard last.
func (t *paths) switchReturnPath(p *path, now time.Time) {
	w := p.mostRecent(gradeUsable, now, t.newest)
	if w == nil {
		w = t.otherUsable(now, nil)
	}
	for least := gradeExcluded; w == nil; least-- {
		w = p.mostRecent(least, now, t.newest)
	}
	if p.current != w {
		p.current, p.currentSince = w, now
	}
}

// searchReturnPaths fills out with ways for a path that is silent: all those that may
// deliver. Dead ways are left out while there are others. Were a packet lost
// once more, QUIC would take it for congestion, shrink its window to two
// packets, and then each lost acknowledgement would double the pause.
func (t *paths) searchReturnPaths(p *path, now time.Time, out *[maxReturnPaths]*returnPath) (n int) {
	n = p.listReturnPaths(out, gradeUsable, now, t.newest)
	if n < 2 {
		// A caller that never got an answer was heard by few balancers.
		if w := t.otherUsable(now, out[0]); w != nil {
			out[n] = w
			n++
		}
	}
	for least := gradeExcluded; n == 0; least-- {
		n = p.listReturnPaths(out, least, now, t.newest)
	}
	if !p.validated && n > 1 {
		out[0] = out[t.unvalidatedTurn%n]
		t.unvalidatedTurn++
		return 1
	}
	return n
}

// otherUsable returns some usable way besides w, nil if there is none.
func (t *paths) otherUsable(now time.Time, w *returnPath) *returnPath {
	for _, o := range t.returnPaths {
		if o != w && o.grade(now, t.newest) == gradeUsable {
			return o
		}
	}
	return nil
}

// bestDelivery returns the delivery of the best way that is alive. That of a
// dead one stays what it was, and no living way should be measured by it.
func (t *paths) bestDelivery(now time.Time) float64 {
	best := 0.0
	for _, w := range t.returnPaths {
		if w.grade(now, t.newest) >= gradeExcluded {
			best = max(best, w.deliveryRate)
		}
	}
	return best
}
