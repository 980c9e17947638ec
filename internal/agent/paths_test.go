package agent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/frame"
)

var (
	epoch        = time.Unix(1_700_000_000, 0)
	testKey      = pathKey{caller: netip.MustParseAddrPort("192.0.2.1:5000"), address: netip.MustParseAddr("198.51.100.1")}
	balancerA    = netip.MustParseAddrPort("10.0.0.1:7700")
	balancerB    = netip.MustParseAddrPort("10.0.0.2:7700")
	balancerC    = netip.MustParseAddrPort("10.0.0.3:7700")
	allBalancers = []netip.AddrPort{balancerA, balancerB, balancerC}
)

// pathTest drives a table of paths in place of pathTest and balancers.
type pathTest struct {
	t   *paths
	now time.Time
	// echo holds the newest sequence number that each balancer got.
	echo map[netip.AddrPort]uint32
}

func newPathTest() *pathTest {
	return &pathTest{t: newPaths(), now: epoch, echo: make(map[netip.AddrPort]uint32)}
}

func (c *pathTest) receive(k pathKey, via netip.AddrPort) string {
	h := frame.Header{Kind: frame.KindForward, Caller: k.caller, Address: k.address, Via: via, Echo: c.echo[via]}
	return c.t.received(&h, c.now).String()
}

// send sends one packet and returns the balancers that it went to.
func (c *pathTest) send(k pathKey) []netip.AddrPort {
	var routes [maxReturnPaths]route
	n := c.t.routes(k, c.now, &routes)
	var to []netip.AddrPort
	for _, r := range routes[:n] {
		to = append(to, r.balancer)
		c.echo[r.balancer] = r.seq
	}
	return to
}

func callerKey(n int) pathKey {
	k := testKey
	k.caller = netip.AddrPortFrom(k.caller.Addr(), uint16(5000+n))
	return k
}

// TestOnePathThroughTwoBalancers: symptom: open downloads stall for 7.5 s after
// a balancer's death. Sequence: a caller is heard through two balancers, one of
// them dies. Cause: the balancer's port was part of the path's address, so that
// each path knew one way back only and QUIC saw a migrating caller.
func TestOnePathThroughTwoBalancers(t *testing.T) {
	c := newPathTest()
	if a, b := c.receive(testKey, balancerA), c.receive(testKey, balancerB); a != b {
		t.Fatalf("two paths: %s and %s", a, b)
	}
	other := testKey
	other.address = netip.MustParseAddr("198.51.100.2")
	if a, b := c.receive(testKey, balancerA), c.receive(other, balancerA); a == b {
		t.Fatal("two addresses of a service are one path")
	}
	k, ok := keyOf(testKey.virtualAddr())
	if !ok || k != testKey {
		t.Fatalf("key %v became %v", testKey, k)
	}
}

// TestSilentPathTriesOtherWays: a path whose packets go unanswered is tried by
// ways other than the one that it was on.
func TestSilentPathTriesOtherWays(t *testing.T) {
	c := newPathTest()
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	on := c.send(testKey)[0]
	c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
	if to := c.send(testKey); len(to) != 3 {
		t.Fatalf("silent on %v, tried %v", on, to)
	}
}

// TestForgedCallerGetsNoCopies: a path that is known by first packets only may
// have a forged address. Copies to it would amplify a stranger's traffic.
func TestForgedCallerGetsNoCopies(t *testing.T) {
	c := newPathTest()
	for _, b := range allBalancers {
		h := frame.Header{Kind: frame.KindForward, Flags: frame.FlagFirst, Caller: testKey.caller, Address: testKey.address, Via: b}
		c.t.received(&h, c.now)
	}
	tried := make(map[netip.AddrPort]bool)
	for range 6 {
		to := c.send(testKey)
		if len(to) != 1 {
			t.Fatalf("%d datagrams for one", len(to))
		}
		tried[to[0]] = true
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
	}
	if len(tried) != 3 {
		t.Fatalf("tried %v only", tried)
	}
}

// TestDeadBalancerIsLeftOut: symptom: flows crawl for half a minute after an
// availability zone's balancers die. Sequence: acknowledgements are lost, a
// path falls silent, copies go by ways that are dead as well, QUIC shrinks its
// window, and each further lost acknowledgement doubles the pause. Cause: dead
// balancers stayed in the rotation although no path heard them any more.
func TestDeadBalancerIsLeftOut(t *testing.T) {
	c := newPathTest()
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	c.now = c.now.Add(failedAfter + time.Millisecond)
	c.receive(callerKey(1), balancerA) // another path; this one hears nothing
	for range 6 {
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		c.receive(callerKey(1), balancerA)
		for _, b := range c.send(testKey) {
			if b != balancerA {
				t.Fatalf("sent to %v, which is dead", b)
			}
		}
	}
}

// TestWayThatLosesEverythingIsLeftOut: symptom: a third of what agents send is
// lost for as long as a balancer hears but reaches no caller. Sequence: such a
// balancer goes on being heard and echoing. Cause: packets of each path went by
// whichever balancer it was heard through last, so that every path lost a part
// and no way stood out. Here B loses all that goes to callers.
func TestWayThatLosesEverythingIsLeftOut(t *testing.T) {
	const paths, rounds = 12, 200
	c := newPathTest()
	lost, sent := 0, 0
	for round := range rounds {
		c.now = c.now.Add(20 * time.Millisecond)
		for i := range paths {
			k := callerKey(i)
			answered := round == 0
			for _, b := range c.send(k) {
				answered = answered || b != balancerB
				if round > rounds/2 {
					sent++
				}
				if b == balancerB && round > rounds/2 {
					lost++
				}
			}
			if answered {
				c.receive(k, allBalancers[(round+i)%3])
			}
		}
	}
	if lost*20 > sent {
		t.Fatalf("%d of %d packets went by the way that loses them", lost, sent)
	}
}

// TestNewFlowsAvoidWayThatLoses: flows that come up while a way loses all that
// goes to callers stall on it, unless what other flows have seen is used.
func TestNewFlowsAvoidWayThatLoses(t *testing.T) {
	const flows = 200
	c := newPathTest()
	lost := 0
	for i := range flows {
		k := callerKey(i)
		c.receive(k, allBalancers[i%3])
		first := c.send(k)[0]
		c.now = c.now.Add(minResponseTimeout / 2)
		if first != balancerB {
			c.receive(k, balancerB) // it hears and echoes; only callers get nothing
			continue
		}
		lost++
		c.now = c.now.Add(maxResponseTimeout)
		c.receive(callerKey(0), balancerA)
		c.receive(callerKey(0), balancerB)
		c.receive(callerKey(0), balancerC)
		c.send(k)
	}
	if lost*10 > flows {
		t.Fatalf("%d of %d new flows stalled", lost, flows)
	}
}

// TestVanishedCallersExcludeNoWay: callers that crash fall silent on sound
// ways. No way may be left out for that while others are answered on it.
func TestVanishedCallersExcludeNoWay(t *testing.T) {
	c := newPathTest()
	for round := range 300 {
		c.now = c.now.Add(70 * time.Millisecond)
		for i := range 6 {
			k := callerKey(i)
			c.receive(k, allBalancers[(round+i)%3])
			c.send(k)
		}
		for i := range 3 { // heard once, then never again
			c.receive(callerKey(100+3*round+i), allBalancers[i])
			c.send(callerKey(100 + 3*round + i))
			if round >= 9 {
				c.send(callerKey(100 + 3*(round-9) + i))
			}
		}
	}
	for _, b := range allBalancers {
		if w := c.t.returnPaths[b]; w.grade(c.now, c.t.newest) != gradeUsable {
			t.Errorf("%v is left out: %+v", b, *w)
		}
	}
}

// TestLivingWaysOutlastDeadOnes: symptom: after half of the balancers died a
// flow stalls for half a minute. Sequence: callers' acknowledgements get lost on
// their way to the dead balancers, paths fall silent on sound ways and count
// against them, until those are left out and only dead ones are tried. Cause:
// the living were measured by what the dead had delivered before they died.
func TestLivingWaysOutlastDeadOnes(t *testing.T) {
	c := newPathTest()
	dead := allBalancers[0]
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	c.now = c.now.Add(failedAfter)
	for range 50 {
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		for i, b := range allBalancers[1:] {
			c.receive(callerKey(1+i), b)
		}
		c.send(testKey) // falls silent on a living way
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		for i, b := range allBalancers[1:] {
			c.receive(callerKey(1+i), b)
		}
		for _, b := range c.send(testKey) {
			if b == dead {
				t.Fatal("sent to a dead balancer")
			}
		}
		c.receive(testKey, balancerB)
		c.receive(testKey, balancerC)
	}
	for _, b := range allBalancers[1:] {
		if w := c.t.returnPaths[b]; w.grade(c.now, c.t.newest) != gradeUsable {
			t.Errorf("%v is left out: %+v", b, *w)
		}
	}
}

// TestUnechoedWayIsCut: symptom: long flows stall. Sequence: a balancer hears
// callers but gets nothing from this agent. Cause: it was the one last heard.
func TestUnechoedWayIsCut(t *testing.T) {
	c := newPathTest()
	c.receive(testKey, balancerA)
	c.now = c.now.Add(time.Millisecond)
	c.receive(testKey, balancerB)
	if to := c.send(testKey); to[0] != balancerB {
		t.Fatalf("sent to %v", to)
	}
	c.echo[balancerB] = 0 // it never arrived
	c.now = c.now.Add(echoTimeout + time.Millisecond)
	c.receive(testKey, balancerA)
	c.receive(testKey, balancerB)
	to := c.send(testKey)
	if to[0] != balancerA {
		t.Fatalf("sent by the cut way: %v", to)
	}
	if len(to) != 2 || to[1] != balancerB {
		t.Fatalf("cut way not probed: %v", to)
	}
	c.receive(testKey, balancerB) // the probe is echoed
	if c.t.returnPaths[balancerB].broken {
		t.Fatal("healed way is still cut")
	}
}

// One of eight downloads stood still for 88 s while its agent's log had no line on it. A
// path that is sent to and not heard is told of once a silence, and of many at once in one
// line a second.
func TestSilentPathIsToldOf(t *testing.T) {
	c := newPathTest()
	var told []stall
	c.t.stalls.log = func(s stall) { told = append(told, s) }
	const callers = 20
	for i := range callers {
		c.receive(callerKey(i), balancerA)
	}
	silence := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
			for i := range callers {
				c.send(callerKey(i))
			}
		}
	}
	silence(stallTimeout - time.Second)
	if len(told) != 0 {
		t.Fatalf("told of %+v before the path stood still", told)
	}
	silence(5 * time.Second)
	if len(told) != 1 || len(told[0].returnPaths) != 1 || told[0].returnPaths[0].balancer != balancerA {
		t.Fatalf("told of %+v, want one line with the way", told)
	}
	c.receive(callerKey(0), balancerA)
	silence(stallTimeout + time.Second)
	if len(told) != 2 || told[1].key != callerKey(0) || told[1].others != callers-1 {
		t.Errorf("told of %+v, want another line once the path was heard in between", told)
	}
}
