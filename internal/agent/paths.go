package agent

import (
	"encoding/binary"
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
	// waysPerPath bounds the balancers remembered for one path.
	waysPerPath = 4
)

// pathKey is a caller and the service address that it uses.
type pathKey struct {
	caller, address netip.AddrPort
}

// virtualAddr encodes a path key as one address for QUIC, so that two
// addresses of a service used from one caller socket stay two paths. The
// address is never sent to.
func (k pathKey) virtualAddr() *net.UDPAddr {
	var ip [16]byte
	ip[0] = 0xfd
	caller, address := k.caller.Addr().As4(), k.address.Addr().As4()
	copy(ip[4:8], caller[:])
	copy(ip[8:12], address[:])
	binary.BigEndian.PutUint16(ip[12:14], k.address.Port())
	return &net.UDPAddr{IP: ip[:], Port: int(k.caller.Port())}
}

// keyOf reads a path key back from its virtual address.
func keyOf(a *net.UDPAddr) (k pathKey, ok bool) {
	if len(a.IP) != net.IPv6len {
		return k, false
	}
	caller := netip.AddrFrom4([4]byte(a.IP[4:8]))
	address := netip.AddrFrom4([4]byte(a.IP[8:12]))
	k.caller = netip.AddrPortFrom(caller, uint16(a.Port))
	k.address = netip.AddrPortFrom(address, binary.BigEndian.Uint16(a.IP[12:14]))
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
	ways    [waysPerPath]candidate
}

// note records that the path was heard through w.
func (p *path) note(w *way, now time.Time) {
	p.heard = now
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

// sweep forgets idle paths, once in a pathIdle.
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
}

// route is one way for a return datagram.
type route struct {
	balancer netip.AddrPort
	seq      uint32
}

// back returns where a packet for a path goes: the best way first, and a
// second one when a cut way is to be probed with a copy of the packet, which
// QUIC discards if both arrive.
func (t *paths) back(key pathKey, now time.Time, out *[2]route) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byKey[key]
	if p == nil {
		return 0
	}
	best, probe := p.best(now)
	for _, w := range [2]*way{best, probe} {
		if w != nil {
			out[n] = route{balancer: w.balancer, seq: w.next(now)}
			n++
		}
	}
	return n
}
