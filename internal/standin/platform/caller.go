package platform

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Router sends callers' packets to the balancers that report that they are ready. It
// chooses the balancer of a flow by rendezvous hashing, so that only the flows of a
// balancer that leaves the rotation move.
type Router struct {
	balancers []netip.AddrPort // packet addresses
	readiness []netip.AddrPort // readiness addresses
	stop      chan struct{}
	done      sync.WaitGroup

	mu           sync.Mutex
	failedProbes []int // by balancer: consecutive probes that did not find it ready
}

const (
	probeInterval   = 100 * time.Millisecond
	maxFailedProbes = 2
)

// NewRouter returns a router to balancers, which probes their readiness addresses.
func NewRouter(balancers, readiness []netip.AddrPort) *Router {
	r := &Router{balancers: balancers, readiness: readiness, failedProbes: make([]int, len(readiness)), stop: make(chan struct{})}
	for i := range readiness {
		r.failedProbes[i] = maxFailedProbes
		r.done.Go(func() { r.probe(i) })
	}
	return r
}

// Close stops the router's probes.
func (r *Router) Close() {
	close(r.stop)
	r.done.Wait()
}

// probe requests the readiness page of the i-th balancer until Close, and counts its
// consecutive failures.
func (r *Router) probe(i int) {
	c := http.Client{Timeout: 5 * probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := c.Get(fmt.Sprintf("http://%s/api/readiness", r.readiness[i]))
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		r.failedProbes[i]++
		if ready {
			r.failedProbes[i] = 0
		}
		r.mu.Unlock()
		select {
		case <-time.After(probeInterval):
		case <-r.stop:
			return
		}
	}
}

// Ready returns the number of balancers in rotation.
func (r *Router) Ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.failedProbes {
		if m < maxFailedProbes {
			n++
		}
	}
	return n
}

// pick returns the balancer of a flow. If no balancer is ready, it chooses among all.
func (r *Router) pick(src, dst netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var bestScore uint64
	for _, includeUnready := range [...]bool{false, true} {
		for i, b := range r.balancers {
			if r.failedProbes[i] >= maxFailedProbes && !includeUnready {
				continue
			}
			h := fnv.New64a()
			fmt.Fprint(h, src, dst, b)
			if score := h.Sum64(); !best.IsValid() || score > bestScore {
				best, bestScore = b, score
			}
		}
		if best.IsValid() {
			break
		}
	}
	return best
}

// Caller simulates a caller that opens flows from one address.
type Caller struct {
	addr    netip.AddrPort
	router  *Router
	journal *Journal
	udp     *net.UDPConn
	done    sync.WaitGroup

	mu    sync.Mutex
	flows map[uint16]*Flow
	port  uint16
}

// NewCaller returns a caller that receives packets at addr.
func NewCaller(addr netip.AddrPort, router *Router, journal *Journal) (*Caller, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &Caller{addr: addr, router: router, journal: journal, udp: udp, flows: map[uint16]*Flow{}, port: 20000}
	c.done.Go(c.read)
	return c, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() {
	c.udp.Close()
	c.done.Wait()
}

// Flow is one open flow.
type Flow struct {
	c        *Caller
	src, dst netip.AddrPort
	seq      uint32
	first    uint32 // the server's first sequence number
	ack      uint32
	packets  chan Header
}

// ResetError reports a flow that was reset. Open is whether the flow was open already.
type ResetError struct{ Open bool }

func (e *ResetError) Error() string {
	return fmt.Sprintf("flow reset, open %v; open a new one", e.Open)
}

// NoAnswerError reports that no answer arrived in time.
type NoAnswerError struct{ What string }

func (e *NoAnswerError) Error() string { return "no answer to " + e.What + "; open a new flow" }

// RefusedError reports a request that the server refused without running it.
type RefusedError struct{ ID string }

func (e *RefusedError) Error() string { return "server refused request " + e.ID + "; send it again" }

// refusedPrefix precedes the ID in the answer to a request that the server has not run.
const refusedPrefix = "refused:"

// ClosedError reports a flow that the server closed before the end of its answer.
type ClosedError struct{ ID string }

func (e *ClosedError) Error() string {
	return "server closed the flow of request " + e.ID + "; open a new one"
}

// firstPacketTimes holds the times after the start at which a first packet is sent. After
// openTimeout, Open returns a *NoAnswerError.
var firstPacketTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openTimeout = 1400 * time.Millisecond

// Open opens a flow to a service address.
func (c *Caller) Open(ctx context.Context, service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	f := &Flow{c: c, src: netip.AddrPortFrom(c.addr.Addr(), c.port), dst: service, seq: rand.Uint32(), packets: make(chan Header, 256)}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for i, after := range firstPacketTimes {
		until := openTimeout
		if i+1 < len(firstPacketTimes) {
			until = firstPacketTimes[i+1]
		}
		f.send(Header{Seq: f.seq, Ack: uint32(i), Flags: FlagSyn})
		h, err := f.wait(ctx, until-after, func(h Header) bool { return h.Flags&(FlagSyn|FlagRst) != 0 })
		if err != nil {
			continue
		}
		if h.Flags&FlagRst != 0 {
			f.Close()
			return nil, &ResetError{}
		}
		f.seq++
		f.first, f.ack = h.Seq, h.Seq+1
		f.send(Header{Seq: f.seq, Ack: f.ack, Flags: FlagAck})
		return f, nil
	}
	f.Close()
	return nil, &NoAnswerError{What: fmt.Sprintf("first packets for %v", time.Since(start).Round(time.Millisecond))}
}

func (f *Flow) send(h Header) {
	h.Src, h.Dst = f.src, f.dst
	f.c.udp.WriteToUDPAddrPort(h.Encode(), f.c.router.pick(f.src, f.dst))
}

// wait returns the next packet of the flow for which wanted returns true, and a
// *NoAnswerError if none arrives within limit.
func (f *Flow) wait(ctx context.Context, limit time.Duration, wanted func(Header) bool) (Header, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case h := <-f.packets:
			if wanted(h) {
				return h, nil
			}
		case <-t.C:
			return Header{}, &NoAnswerError{What: "a packet"}
		case <-ctx.Done():
			return Header{}, ctx.Err()
		}
	}
}

// Request sends a request on the flow and returns when its complete answer of size
// bytes has arrived. once means that the request must not run twice.
func (f *Flow) Request(ctx context.Context, id, service string, once bool, size int) error {
	line := []byte(fmt.Sprintf("%s %s %v %d", id, service, once, size))
	request := Header{Seq: f.seq, Flags: FlagAck, Data: line}
	f.seq += uint32(len(line))
	var body []byte
	retransmitDelay := firstPacketTimes[1]
	for len(body) < size {
		if len(body) == 0 {
			request.Ack = f.ack
			f.send(request)
		}
		h, err := f.wait(ctx, retransmitDelay, func(h Header) bool {
			return h.Flags&(FlagRst|FlagFin) != 0 || len(h.Data) > 0
		})
		switch {
		case ctx.Err() != nil:
			return &NoAnswerError{What: "request " + id}
		case err != nil:
			retransmitDelay = min(2*retransmitDelay, 1600*time.Millisecond)
			f.send(Header{Seq: f.seq, Ack: f.ack, Flags: FlagAck})
			continue
		case h.Flags&FlagRst != 0:
			return f.handleReset(h)
		case h.Flags&FlagFin != 0 && h.Seq == f.ack:
			return &ClosedError{ID: id}
		}
		if h.Seq == f.ack {
			body = append(body, h.Data...)
			f.ack += uint32(len(h.Data))
		}
		if string(body) == refusedPrefix+id+"\n" {
			f.send(Header{Seq: f.seq, Ack: f.ack, Flags: FlagAck})
			return &RefusedError{ID: id}
		}
		f.send(Header{Seq: f.seq, Ack: f.ack, Flags: FlagAck})
	}
	if got, _, _ := strings.Cut(string(body), "\n"); got != id || len(body) != size {
		f.c.journal.RecordViolation("caller of request %s received %d bytes of the answer to request %q", id, len(body), got)
	}
	return nil
}

// resetWindow is the maximum distance of a valid reset's sequence number from the
// caller's last acknowledgement, in bytes.
const resetWindow = 76800

// handleReset handles a reset on the open flow. It records a violation if the server
// still holds the flow.
func (f *Flow) handleReset(h Header) error {
	if d := int32(h.Seq - f.ack); d > resetWindow || d < -resetWindow {
		return &NoAnswerError{What: "a request; a reset with a sequence number outside the window was ignored"}
	}
	f.c.journal.mu.Lock()
	s := f.c.journal.openFlows[f.first]
	f.c.journal.mu.Unlock()
	if s != nil && s.holds(f.src, f.first) {
		f.c.journal.RecordViolation("flow %v was reset while server %s holds it", f.src, s.instance)
	}
	return &ResetError{Open: true}
}

// Close ends the flow.
func (f *Flow) Close() {
	f.send(Header{Seq: f.seq, Ack: f.ack, Flags: FlagFin | FlagAck})
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.src.Port())
}

// read passes each packet that arrives to its flow until the caller is closed.
func (c *Caller) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.udp.Read(b)
		if err != nil {
			return
		}
		h, genuine, ok := Decode(b[:n])
		if !ok || !genuine && h.Flags&FlagRst == 0 {
			c.journal.RecordViolation("caller %v received a packet that no server sent: %+v", c.addr, h)
			continue
		}
		c.mu.Lock()
		f := c.flows[h.Dst.Port()]
		c.mu.Unlock()
		if f == nil || f.dst != h.Src {
			continue
		}
		select {
		case f.packets <- h:
		default: // the flow's buffer is full; the sender retransmits the packet
		}
	}
}
