package agent

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/frame"
)

const (
	// pathIdle is after how much silence a path is forgotten. It is above
	// the idle timeout of connections, so no open connection loses its path.
	pathIdle = 2 * idleTimeout
	// silenceLeast and silenceMost bound how long a path may be silent after
	// something was sent on it before other ways back are tried. The least is
	// above the 25 ms by which QUIC delays acknowledgements; trying other ways
	// too early costs copies only.
	silenceLeast = 60 * time.Millisecond
	silenceMost  = 600 * time.Millisecond
	// answerGain is the weight of one observation in a path's answer time.
	answerGain = 1.0 / 8
	// settleTime is for how long after a path has changed its way answers may
	// still be to what it sent by the way before.
	settleTime = 30 * time.Millisecond
	// waysPerPath bounds the balancers remembered for one path.
	waysPerPath = 4
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
	way   *way
	heard time.Time
}

// path is one caller at one service address.
//
// It sends by one way for as long as that delivers. Were each packet sent by
// another way, a way that loses everything would cost every path its share of
// packets for as long as it lasts, and no one could tell which way it was.
type path struct {
	virtual *net.UDPAddr
	heard   time.Time
	sent    time.Time     // first send since the path was heard; zero if none
	answer  time.Duration // usual time from a first send until the path is heard
	ways    [waysPerPath]candidate
	// validated is set once the caller has used a connection ID that this
	// agent gave it. Until then its address may be forged, and copies would
	// have the fleet amplify a stranger's traffic towards it.
	validated bool
	stalled   bool // it was told of that the path stands still
	spacing   spacing

	on        *way // nil while the path looks for one
	onSince   time.Time
	countedAt time.Time // when on was last credited with a delivery
}

// note records that the path was heard through w.
func (p *path) note(w *way, now time.Time) {
	p.credit(now)
	p.heard = now
	p.sent = time.Time{}
	p.stalled = false
	oldest := 0
	for i := range p.ways {
		c := &p.ways[i]
		if c.way == w {
			c.heard = now
			return
		}
		if c.heard.Before(p.ways[oldest].heard) {
			oldest = i
		}
	}
	p.ways[oldest] = candidate{way: w, heard: now}
}

// credit learns from an answer how long answers take, and at most once in a
// silence limit that the path's way delivers.
func (p *path) credit(now time.Time) {
	if p.sent.IsZero() {
		return
	}
	if took := now.Sub(p.sent); took < silenceMost/2 {
		p.answer += time.Duration(float64(took-p.answer) * answerGain)
	}
	if p.on == nil || now.Sub(p.onSince) < settleTime || now.Sub(p.countedAt) < silenceLeast {
		return
	}
	p.countedAt = now
	p.on.delivered()
}

// silent reports whether nothing was heard since something was sent a while
// ago. Packets sent by the path's way may all be lost then: a caller that
// receives nothing has nothing to acknowledge, and so is never heard.
func (p *path) silent(now time.Time) bool {
	if p.sent.IsZero() {
		p.sent = now
		return false
	}
	limit := min(max(2*p.answer+silenceLeast/2, silenceLeast), silenceMost)
	return now.Sub(p.sent) > limit
}

// last returns the way that the path was heard through last, of those that are
// at least as good as least; nil if there is none.
func (p *path) last(least grade, now, newest time.Time) *way {
	var best *candidate
	for i := range p.ways {
		c := &p.ways[i]
		if c.way == nil || c.way.grade(now, newest) < least {
			continue
		}
		if best == nil || c.heard.After(best.heard) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.way
}

// probe returns a cut way that is due to be tried again, nil if there is none.
func (p *path) probe(now time.Time) *way {
	for i := range p.ways {
		if w := p.ways[i].way; w != nil && w != p.on && w.probeDue(now) {
			return w
		}
	}
	return nil
}

// known fills out with the path's ways that are at least as good as least.
func (p *path) known(out *[waysPerPath]*way, least grade, now, newest time.Time) (n int) {
	clear(out[:])
	for i := range p.ways {
		w := p.ways[i].way
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
	mu     sync.Mutex
	byKey  map[pathKey]*path
	ways   map[netip.AddrPort]*way
	newest time.Time // when any way was heard last
	swept  time.Time
	turn   int // of unvalidated paths among their ways
	stalls stalls
}

func newPaths() *paths {
	return &paths{byKey: make(map[pathKey]*path), ways: make(map[netip.AddrPort]*way)}
}

// heard records a forwarded packet and returns the address that QUIC knows
// its path by.
func (t *paths) heard(h *frame.Header, now time.Time) *net.UDPAddr {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	w := t.ways[h.Via]
	if w == nil {
		w = newWay(h.Via)
		t.ways[h.Via] = w
	}
	w.heardAt, t.newest = now, now
	// The echo on a handed-on packet is the one of the agent that handed it on.
	if h.Flags&frame.FlagHandedOn == 0 {
		w.heard(now, h.Echo)
	}
	key := pathKey{caller: h.Caller, address: h.Address}
	p := t.byKey[key]
	if p == nil {
		p = &path{virtual: key.virtualAddr()}
		t.byKey[key] = p
	}
	p.note(w, now)
	p.validated = p.validated || h.Flags&frame.FlagFirst == 0
	return p.virtual
}

// sweep forgets idle paths and balancers, once in a pathIdle.
func (t *paths) sweep(now time.Time) {
	if now.Sub(t.swept) < pathIdle {
		return
	}
	t.swept = now
	for k, p := range t.byKey {
		if now.Sub(p.heard) > pathIdle {
			delete(t.byKey, k)
		}
	}
	for a, w := range t.ways {
		if now.Sub(w.heardAt) > pathIdle {
			delete(t.ways, a)
		}
	}
}

// route is one way for a return datagram.
type route struct {
	balancer netip.AddrPort
	seq      uint32
}

// back fills out with where a packet for a path goes: one way, and more for
// copies when the path is silent or a cut way is to be probed. QUIC discards
// the copies that arrive.
func (t *paths) back(key pathKey, now time.Time, out *[waysPerPath]route) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return 0
	}
	var ways [waysPerPath]*way
	n = t.pick(p, now, &ways)
	if !p.sent.IsZero() {
		t.noteStall(key, p, now)
	}
	for i, w := range ways[:n] {
		out[i] = route{balancer: w.balancer, seq: w.next(now)}
	}
	return n
}

func (t *paths) pick(p *path, now time.Time, out *[waysPerPath]*way) (n int) {
	if p.silent(now) {
		p.spacing.start(now)
		if p.on != nil {
			p.on.failed(now, t.bestDelivery(now))
			p.on = nil // a path counts against its way once, however long it stays silent
		}
		return t.search(p, now, out)
	}
	if p.on == nil || p.on.grade(now, t.newest) < usable {
		t.choose(p, now)
	}
	out[0] = p.on
	if out[1] = p.probe(now); out[1] != nil {
		return 2
	}
	return 1
}

// choose puts a path on the usable way that it was heard through last, or on
// any usable one: the fabric hands a caller's packets to any balancer, so any
// balancer reaches the caller. If none is usable it is the one heard last.
func (t *paths) choose(p *path, now time.Time) {
	w := p.last(usable, now, t.newest)
	if w == nil {
		w = t.other(now, nil)
	}
	for least := alive; w == nil; least-- {
		w = p.last(least, now, t.newest)
	}
	if p.on != w {
		p.on, p.onSince = w, now
	}
}

// search fills out with ways for a path that is silent: all those that may
// deliver. Dead ways are left out while there are others. Were a packet lost
// once more, QUIC would take it for congestion, shrink its window to two
// packets, and then each lost acknowledgement would double the pause.
func (t *paths) search(p *path, now time.Time, out *[waysPerPath]*way) (n int) {
	n = p.known(out, usable, now, t.newest)
	if n < 2 {
		// A caller that never got an answer was heard by few balancers.
		if w := t.other(now, out[0]); w != nil {
			out[n] = w
			n++
		}
	}
	for least := alive; n == 0; least-- {
		n = p.known(out, least, now, t.newest)
	}
	if !p.validated && n > 1 {
		out[0] = out[t.turn%n]
		t.turn++
		return 1
	}
	return n
}

// other returns some usable way besides w, nil if there is none.
func (t *paths) other(now time.Time, w *way) *way {
	for _, o := range t.ways {
		if o != w && o.grade(now, t.newest) == usable {
			return o
		}
	}
	return nil
}

// bestDelivery returns the delivery of the best way that is alive. That of a
// dead one stays what it was, and no living way should be measured by it.
func (t *paths) bestDelivery(now time.Time) float64 {
	best := 0.0
	for _, w := range t.ways {
		if w.grade(now, t.newest) >= alive {
			best = max(best, w.delivery)
		}
	}
	return best
}
