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

	"github.com/hemlockscale/hemlockscale/health"
)

// exploreDepth is the number of events in the sequences that TestEveryOrder runs: 4
// take seconds, 5 half a minute, 6 ten minutes on eight processors.
var exploreDepth = flag.Int("flow.depth", 3, "number of events in the sequences that TestEveryOrder runs")

// event is one event of a sequence.
type event struct {
	name string
	do   func(x *sequenceRun)
}

// events are the events that sequences consist of. A flow opened at the start is held
// by one of three servers. Its port determines which one, so events refer to the
// holder, to another agent and to the third.
var events = []event{
	{"use A", func(x *sequenceRun) { x.request(balancerA) }},
	{"use B", func(x *sequenceRun) { x.request(balancerB) }},
	{"open through B", func(x *sequenceRun) { x.open(balancerB) }},
	{"caller uses its port again", func(x *sequenceRun) { x.reopen(balancerA) }},
	{"first packet of the earlier flow arrives at B", func(x *sequenceRun) { x.repeatEarlier(balancerB) }},
	{"holder drains", func(x *sequenceRun) { x.drain(x.holder) }},
	{"holder's server crashes and starts", func(x *sequenceRun) { x.crash(x.holder) }},
	{"another server crashes and starts", func(x *sequenceRun) { x.crash(x.other()) }},
	{"holder's server deregisters and ends", func(x *sequenceRun) { x.endServer(x.holder) }},
	{"holder's agent restarts", func(x *sequenceRun) { x.restartAgent(x.holder) }},
	{"another agent restarts", func(x *sequenceRun) { x.restartAgent(x.other()) }},
	{"A restarts", func(x *sequenceRun) { x.restartBalancer(balancerA) }},
	{"B restarts", func(x *sequenceRun) { x.restartBalancer(balancerB) }},
	{"holder is cut off from B", func(x *sequenceRun) { x.partition(agentAddr(x.holder), balancerB) }},
	{"holder's messages to A are dropped", func(x *sequenceRun) { x.dropOneWay(agentAddr(x.holder), balancerA) }},
	{"holder is cut off", func(x *sequenceRun) { x.isolate(agentAddr(x.holder)) }},
	{"network recovers", func(x *sequenceRun) { x.w.drops = nil }},
	{"another server stops responding", func(x *sequenceRun) { x.w.server(x.other()).unresponsive = true }},
	{"holder's server fails requests", func(x *sequenceRun) { x.setHealth(x.holder, health.NewReport(health.Failing, 1)) }},
	{"holder's server is on trial", func(x *sequenceRun) { x.setHealth(x.holder, health.NewReport(health.OnTrial, 1)) }},
	{"all servers are full", func(x *sequenceRun) { x.w.fillServers() }},
	{"all servers answer", func(x *sequenceRun) { x.w.finishRequests() }},
	{"A gets a newer configuration, B an older one", func(x *sequenceRun) { x.configure() }},
	{"100 ms", func(x *sequenceRun) { x.w.advance(100 * time.Millisecond) }},
	{"1 s", func(x *sequenceRun) { x.w.advance(time.Second) }},
	{"7 s", func(x *sequenceRun) { x.w.advance(7 * time.Second) }},
}

// sequenceRun is the run of one sequence.
type sequenceRun struct {
	w         *world
	callers   []*testCaller
	holder    int
	draining  [3]bool
	instances int
	revision  uint64
	checked   [3]int // number of packets that each server had received at the last check
	usedAt    time.Time
	idled     bool   // flows were once idle for so long that they may have been discarded
	violation string // the first violation
}

func newSequenceRun(t fataler) *sequenceRun {
	x := &sequenceRun{w: newWorld(t, 3), revision: 1}
	x.w.balancers[balancerA].AddBalancer(balancerB)
	x.w.balancers[balancerB].AddBalancer(balancerA)
	x.open(balancerA)
	x.usedAt = x.w.now
	x.holder = x.callers[0].holders()[0]
	x.request(balancerA)
	x.check()
	return x
}

func (x *sequenceRun) other() int { return (x.holder + 1) % 3 }

func (x *sequenceRun) open(via netip.AddrPort) {
	c := x.w.caller(uint16(1000+len(x.callers)), listingPort)
	x.callers = append(x.callers, c)
	c.open(via, 0)
}

// reopen has the first caller open another flow from the same port.
func (x *sequenceRun) reopen(via netip.AddrPort) {
	x.callers[0].seq += 1 << 30
	x.callers[0].open(via, 0)
}

// repeatEarlier sends the first packet of the flow that the first caller had before.
func (x *sequenceRun) repeatEarlier(via netip.AddrPort) {
	c := *x.callers[0]
	c.seq -= 1 << 30
	c.open(via, 0)
}

func (x *sequenceRun) request(via netip.AddrPort) {
	x.idled = x.idled || x.w.now.Sub(x.usedAt) >= testIdle*time.Millisecond
	x.usedAt = x.w.now
	for _, c := range x.callers {
		if _, ok := c.answer(); ok {
			c.request(via)
		}
	}
}

func (x *sequenceRun) heartbeat(n int) { x.w.heartbeat(n, x.w.server(n).sequence+1, x.draining[n]) }

func (x *sequenceRun) drain(n int) {
	x.draining[n] = true
	x.heartbeat(n)
}

func (x *sequenceRun) crash(n int) {
	x.instances++
	v := x.w.server(n)
	v.instance = fmt.Sprintf("i-new-%d", x.instances)
	v.flows = map[Key]*serverFlow{}
	v.seq += 1 << 20
	v.unresponsive = false
	x.draining[n] = false
	x.w.heartbeat(n, 1, false)
}

// endServer ends a server, which its agent learns from a deregistration and status checks.
func (x *sequenceRun) endServer(n int) {
	v := x.w.server(n)
	v.flows, v.unresponsive = map[Key]*serverFlow{}, true
	x.w.gate(n).Deregister(x.w.now, v.instance, 0)
	for range absentChecksNeeded {
		x.w.gate(n).StatusCheck(x.w.now, StatusCheckResult{Absent: true})
	}
	x.w.deliver()
}

func (x *sequenceRun) restartAgent(n int) {
	g := x.w.restartAgent(n)
	v := x.w.server(n)
	if v.unresponsive {
		return
	}
	g.StatusCheck(x.w.now, StatusCheckResult{Answered: true})
	x.heartbeat(n)
}

func (x *sequenceRun) restartBalancer(addr netip.AddrPort) {
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

func (x *sequenceRun) dropOneWay(a, b netip.AddrPort) {
	x.w.drops = func(from, to netip.AddrPort) bool { return from == a && to == b }
}

// setHealth has the n-th agent report a judgement of its server in all later messages.
func (x *sequenceRun) setHealth(n int, r health.Report) {
	x.w.health = map[netip.AddrPort]health.Report{agentAddr(n): r}
}

func (x *sequenceRun) partition(a, b netip.AddrPort) {
	x.w.drops = func(from, to netip.AddrPort) bool { return from == a && to == b || from == b && to == a }
}

func (x *sequenceRun) isolate(a netip.AddrPort) {
	x.w.drops = func(from, to netip.AddrPort) bool { return from == a || to == a }
}

func (x *sequenceRun) configure() {
	x.revision++
	x.w.balancers[balancerA].SetRoutes(testRoutes(x.revision))
	before := x.w.balancers[balancerB].Routes().Revision
	x.w.balancers[balancerB].SetRoutes(testRoutes(x.revision - 2))
	if after := x.w.balancers[balancerB].Routes().Revision; after < before {
		x.fail("configuration went from revision %d back to %d", before, after)
	}
}

func (x *sequenceRun) fail(format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf(format, args...)
	}
}

// check looks for violations since the last check.
func (x *sequenceRun) check() {
	for n := range 3 {
		v := x.w.server(n)
		for _, s := range v.received[x.checked[n]:] {
			if s.first() && x.draining[n] && v.flows[s.Key] == nil {
				x.fail("the draining server %d received a first packet", n)
			}
		}
		x.checked[n] = len(v.received)
	}
	if wrong := x.w.inconsistency(); wrong != "" {
		x.fail("%s", wrong)
	}
	for _, r := range x.w.resets {
		for n := range 3 {
			f := x.w.server(n).flows[r.Message.Key]
			if f != nil && f.open && r.ResetSeq-f.first < 1<<16 && x.w.drops == nil && !x.idled {
				x.fail("a flow was reset although server %d holds it", n)
			}
		}
	}
	x.w.resets = nil
}

// openLate advances the time by a second, within which flows that wait are opened late, and
// has their callers send requests at once.
func (x *sequenceRun) openLate() {
	answered := x.answered()
	for range 50 {
		x.w.advance(20 * time.Millisecond)
		if n := x.answered(); n > answered {
			answered = n
			x.request(balancerB)
		}
		x.check()
	}
}

// answered returns the number of flows whose first packet a server has answered.
func (x *sequenceRun) answered() (n int) {
	for _, c := range x.callers {
		if _, ok := c.answer(); ok {
			n++
		}
	}
	return n
}

// end advances the time by a second, within which every lookup ends.
func (x *sequenceRun) end() {
	if x.w.full() {
		x.openLate()
		x.w.finishRequests()
	}
	x.w.advance(time.Second)
	for _, d := range x.w.balancers {
		if n := d.lookupRetries.len(); n > 0 {
			x.fail("%d lookups still run a second after the last packet", n)
		}
	}
	x.check()
}

// runSequence runs the sequence with the given number and returns its events and the
// first violation.
func runSequence(t fataler, order, depth int) (names []string, violation string) {
	x := newSequenceRun(t)
	for range depth {
		e := events[order%len(events)]
		order /= len(events)
		names = append(names, e.name)
		e.do(x)
		x.check()
	}
	x.end()
	return names, x.violation
}

// TestEveryOrder runs every sequence of a few events in a world of two balancers, three
// agents and a flow that one of the servers holds. No flow is reset while a server
// holds it, no first packet reaches a draining server, every lookup ends, no balancer
// returns to an older configuration, and what waits at an agent is counted once.
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
				if names, violation := runSequence(t, order, *exploreDepth); violation != "" {
					broken.Add(1)
					t.Errorf("%s after: %s", violation, strings.Join(names, "; "))
				}
			}
		})
	}
	workers.Wait()
}
