package agent

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/frame"
)

const (
	// wayMemory is how long a balancer stays a candidate for the way back
	// after a path was last heard through it.
	wayMemory = 5 * time.Second
	// echoTimeout is how long a return datagram may stay unechoed by a
	// balancer that goes on sending before its way back counts as cut.
	echoTimeout = 400 * time.Millisecond
	// probeInterval is how often a cut way is tried again.
	probeInterval = 500 * time.Millisecond
	// pathIdle is after how much silence a path is forgotten. It is above
	// the idle timeout of connections, so no open connection loses its path.
	pathIdle = 2 * idleTimeout
	// silenceLimit is how long a path may be silent after something was sent
	// on it before other ways back are tried. It is above the round trip and
	// the 25 ms by which QUIC delays acknowledgements; trying other ways too
	// early costs some reordering only.
	silenceLimit = 60 * time.Millisecond
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

// way is the way back through one balancer, shared by all paths.
//
// A balancer that still receives from callers but gets nothing from this agent
// goes on being heard, and the packets sent back through it vanish: long flows
// stall. It shows as return datagrams whose sequence number never comes back
// as an echo, so such a way is left out until a probe is echoed.
type way struct {
	balancer netip.AddrPort
	heardAt  time.Time
	seq      uint32
	sample   uint32    // sequence number whose echo is awaited
	sampleAt time.Time // when it was sent; zero if none is awaited
	cut      bool
	probedAt time.Time
}

// heard takes in a datagram from the balancer at now with its echo.
func (w *way) heard(now time.Time, echo uint32) {
	if w.sampleAt.IsZero() {
		return
	}
	if int32(echo-w.sample) >= 0 {
		w.sampleAt = time.Time{}
		w.cut = false
		return
	}
	if now.Sub(w.sampleAt) > echoTimeout {
		w.cut = true
	}
}

// next numbers a return datagram sent through w at now.
func (w *way) next(now time.Time) uint32 {
	w.seq++
	if w.sampleAt.IsZero() || w.cut {
		w.sample, w.sampleAt = w.seq, now
	}
	return w.seq
}

// probeDue reports whether a cut way is to be tried again.
func (w *way) probeDue(now time.Time) bool {
	if !w.cut || now.Sub(w.probedAt) < probeInterval {
		return false
	}
	w.probedAt = now
	return true
}

// candidate is a way that a path was heard through.
type candidate struct {
	way   *way
	heard time.Time
}

// path is one caller at one service address.
type path struct {
	virtual *net.UDPAddr
	heard   time.Time
	sent    time.Time // first send since the path was heard; zero if none
	turn    uint8     // of the rotation among ways while the path is silent
	ways    [waysPerPath]candidate
}

// note records that the path was heard through w.
func (p *path) note(w *way, now time.Time) {
	p.heard = now
	p.sent = time.Time{}
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

// best returns the way that was heard last among those that are not cut, or
// the last heard one if all are; probe is a cut way that is due to be tried.
func (p *path) best(now time.Time) (best, probe *way) {
	var bestAt, cutAt time.Time
	var cut *way
	for i := range p.ways {
		c := &p.ways[i]
		if c.way == nil || now.Sub(c.heard) > wayMemory && c.heard != p.heard {
			continue
		}
		if c.way.cut {
			if cut == nil || c.heard.After(cutAt) {
				cut, cutAt = c.way, c.heard
			}
			continue
		}
		if best == nil || c.heard.After(bestAt) {
			best, bestAt = c.way, c.heard
		}
	}
	if best == nil {
		return cut, nil
	}
	if cut != nil && cut.probeDue(now) {
		probe = cut
	}
	return best, probe
}

// silent reports whether nothing was heard since something was sent a while
// ago. Packets sent by the last way may all be lost then: a balancer that died
// stays the one last heard, because a caller that receives nothing has nothing
// to acknowledge and so is never heard through another.
func (p *path) silent(now time.Time) bool {
	if p.sent.IsZero() {
		p.sent = now
		return false
	}
	return now.Sub(p.sent) > silenceLimit
}

// rotate returns two ways, others on each call, for a path that is silent.
func (p *path) rotate() (first, second *way) {
	var known [waysPerPath]*way
	n := 0
	for i := range p.ways {
		if w := p.ways[i].way; w != nil {
			known[n] = w
			n++
		}
	}
	if n == 0 {
		return nil, nil
	}
	p.turn++
	first = known[int(p.turn)%n]
	if n > 1 {
		second = known[int(p.turn+1)%n]
	}
	return first, second
}

// paths is the table of all paths and ways of an agent. Paths are bounded by
// the idle sweep; ways by the number of balancers.
type paths struct {
	mu    sync.Mutex
	byKey map[pathKey]*path
	ways  map[netip.AddrPort]*way
	swept time.Time
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
		w = &way{balancer: h.Via}
		t.ways[h.Via] = w
	}
	w.heardAt = now
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

// back returns where a packet for a path goes: one way, and a second for a copy
// when the path is silent or a cut way is to be probed. QUIC discards the copy
// if both arrive.
func (t *paths) back(key pathKey, now time.Time, out *[2]route) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return 0
	}
	first, second := p.best(now)
	if p.silent(now) {
		first, second = p.rotate()
	}
	for _, w := range [2]*way{first, second} {
		if w != nil {
			out[n] = route{balancer: w.balancer, seq: w.next(now)}
			n++
		}
	}
	return n
}
