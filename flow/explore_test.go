package flow

import (
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// exploreDepth is the number of events in the orders that TestEveryOrder plays:
// 4 take seconds, 5 half a minute, 6 ten minutes of eight processors.
var exploreDepth = flag.Int("flow.depth", 3, "events in the orders that TestEveryOrder plays")

// event is one thing that happens in the small world.
type event struct {
	name string
	do   func(x *explored)
}

// events are what the orders are made of. A flow opened at the start is held by
// one of three servers; which one is decided by its port, so that events speak of
// the holder, of another agent and of the third.
var events = []event{
	{"use A", func(x *explored) { x.use(balancerA) }},
	{"use B", func(x *explored) { x.use(balancerB) }},
	{"open through B", func(x *explored) { x.open(balancerB) }},
	{"holder drains", func(x *explored) { x.drain(x.holder) }},
	{"holder's server crashes and starts", func(x *explored) { x.crash(x.holder) }},
	{"another server crashes and starts", func(x *explored) { x.crash(x.other()) }},
	{"holder's agent restarts", func(x *explored) { x.restartAgent(x.holder) }},
	{"another agent restarts", func(x *explored) { x.restartAgent(x.other()) }},
	{"A restarts", func(x *explored) { x.restartBalancer(balancerA) }},
	{"B restarts", func(x *explored) { x.restartBalancer(balancerB) }},
	{"holder is cut off from B", func(x *explored) { x.cutPair(agentAddr(x.holder), balancerB) }},
	{"what holder sends to A is cut", func(x *explored) { x.cutWay(agentAddr(x.holder), balancerA) }},
	{"holder is cut off", func(x *explored) { x.cutAll(agentAddr(x.holder)) }},
	{"cuts heal", func(x *explored) { x.w.cut = nil }},
	{"another server is mute", func(x *explored) { x.w.server(x.other()).mute = true }},
	{"A gets a newer configuration, B an older one", func(x *explored) { x.configure() }},
	{"100 ms", func(x *explored) { x.w.pass(100 * time.Millisecond) }},
	{"1 s", func(x *explored) { x.w.pass(time.Second) }},
	{"7 s", func(x *explored) { x.w.pass(7 * time.Second) }},
}

// explored is one order being played.
type explored struct {
	w         *world
	callers   []*testCaller
	holder    int
	draining  [3]bool
	instances int
	revision  uint64
	seen      [3]int // packets that each server was handed up to the last check
	usedAt    time.Time
	idled     bool   // flows were idle for so long once that they may have been discarded
	wrong     string // the first broken promise
}

func newExplored(t failer) *explored {
	x := &explored{w: newWorld(t, 3), revision: 1}
	x.w.balancers[balancerA].AddBalancer(balancerB)
	x.w.balancers[balancerB].AddBalancer(balancerA)
	x.open(balancerA)
	x.usedAt = x.w.now
	x.holder = x.callers[0].holders()[0]
	x.use(balancerA)
	x.check()
	return x
}

func (x *explored) other() int { return (x.holder + 1) % 3 }

func (x *explored) open(via netip.AddrPort) {
	c := x.w.caller(uint16(1000+len(x.callers)), listingPort)
	x.callers = append(x.callers, c)
	c.open(via, 0)
}

func (x *explored) use(via netip.AddrPort) {
	x.idled = x.idled || x.w.now.Sub(x.usedAt) >= testIdle*time.Millisecond
	x.usedAt = x.w.now
	for _, c := range x.callers {
		if _, ok := c.answer(); ok {
			c.request(via)
		}
	}
}

func (x *explored) beat(n int) { x.w.beat(n, x.w.server(n).sequence+1, x.draining[n]) }

func (x *explored) drain(n int) {
	x.draining[n] = true
	x.beat(n)
}

func (x *explored) crash(n int) {
	x.instances++
	v := x.w.server(n)
	v.instance = fmt.Sprintf("i-new-%d", x.instances)
	v.flows = map[Key]*serverFlow{}
	v.seq += 1 << 20
	v.mute = false
	x.draining[n] = false
	x.w.beat(n, 1, false)
}

func (x *explored) restartAgent(n int) {
	g := x.w.restartAgent(n)
	v := x.w.server(n)
	if v.mute {
		return
	}
	g.StatusCheck(x.w.now, StatusCheckResult{Answered: true})
	x.beat(n)
}

func (x *explored) restartBalancer(addr netip.AddrPort) {
	d := x.w.addBalancer(addr)
	d.SetRoutes(testRoutes(x.revision))
	for n := range 3 {
		d.AddAgent(x.w.now, agentAddr(n), listing, "a")
	}
	for b := range x.w.balancers {
		if b != addr {
			d.AddBalancer(b)
		}
	}
}

func (x *explored) cutWay(a, b netip.AddrPort) {
	x.w.cut = func(from, to netip.AddrPort) bool { return from == a && to == b }
}

func (x *explored) cutPair(a, b netip.AddrPort) {
	x.w.cut = func(from, to netip.AddrPort) bool { return from == a && to == b || from == b && to == a }
}

func (x *explored) cutAll(a netip.AddrPort) {
	x.w.cut = func(from, to netip.AddrPort) bool { return from == a || to == a }
}

func (x *explored) configure() {
	x.revision++
	x.w.balancers[balancerA].SetRoutes(testRoutes(x.revision))
	before := x.w.balancers[balancerB].Routes().Revision
	x.w.balancers[balancerB].SetRoutes(testRoutes(x.revision - 2))
	if after := x.w.balancers[balancerB].Routes().Revision; after < before {
		x.fail("configuration %d went back to %d", before, after)
	}
}

func (x *explored) fail(format string, args ...any) {
	if x.wrong == "" {
		x.wrong = fmt.Sprintf(format, args...)
	}
}

// check looks for broken promises since the last check.
func (x *explored) check() {
	for n := range 3 {
		v := x.w.server(n)
		for _, s := range v.got[x.seen[n]:] {
			if s.first() && x.draining[n] && v.flows[s.Key] == nil {
				x.fail("a first packet at the draining server %d", n)
			}
		}
		x.seen[n] = len(v.got)
	}
	for _, r := range x.w.resets {
		for n := range 3 {
			f := x.w.server(n).flows[r.Message.Key]
			if f != nil && f.open && r.ResetSeq-f.first < 1<<16 && x.w.cut == nil && !x.idled {
				x.fail("a flow was reset while server %d holds it", n)
			}
		}
	}
	x.w.resets = nil
}

// end lets a second pass: every search has ended then.
func (x *explored) end() {
	x.w.pass(time.Second)
	for _, d := range x.w.balancers {
		if n := d.asking.len(); n > 0 {
			x.fail("%d searches go on a second after the last packet", n)
		}
	}
	x.check()
}

// playOrder plays the order with the given number and returns what was broken.
func playOrder(t failer, order, depth int) (names []string, wrong string) {
	x := newExplored(t)
	for range depth {
		e := events[order%len(events)]
		order /= len(events)
		names = append(names, e.name)
		e.do(x)
		x.check()
	}
	x.end()
	return names, x.wrong
}

// TestEveryOrder plays every order of a few events in a world of two balancers,
// three agents and a flow that one of the servers holds. No flow is reset that a
// server holds, no first packet passes a drain, no search goes on without end, no
// configuration goes back.
func TestEveryOrder(t *testing.T) {
	total := 1
	for range *exploreDepth {
		total *= len(events)
	}
	var next, broken atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for order := int(next.Add(1)) - 1; order < total && broken.Load() < 10; order = int(next.Add(1)) - 1 {
				if names, wrong := playOrder(t, order, *exploreDepth); wrong != "" {
					broken.Add(1)
					t.Errorf("%s after: %s", wrong, strings.Join(names, "; "))
				}
			}
		})
	}
	workers.Wait()
}
