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

// pathTest drives a table of paths in place of callers and balancers.
type pathTest struct {
	t   *paths
	now time.Time
	// echo holds the latest sequence number that each balancer has received.
	echo map[netip.AddrPort]uint32
}

func newPathTest() *pathTest {
	return &pathTest{t: newPaths(), now: epoch, echo: make(map[netip.AddrPort]uint32)}
}

func (c *pathTest) receive(k pathKey, via netip.AddrPort) string {
	h := frame.Header{Kind: frame.KindForward, Caller: k.caller, Address: k.address, Via: via, Echo: c.echo[via]}
	return c.t.received(&h, c.now).String()
}

// send sends one packet and returns the balancers to which it was sent.
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

// TestOnePathThroughTwoBalancers guards against open downloads that stall for 7.5 s after a
// balancer has failed, when a caller's packets arrive through two balancers. If the
// balancer were part of the path's address, each path would have only one return path, and QUIC
// would treat every switch as a migration.
func TestOnePathThroughTwoBalancers(t *testing.T) {
	c := newPathTest()
	if a, b := c.receive(testKey, balancerA), c.receive(testKey, balancerB); a != b {
		t.Fatalf("packets of one caller through two balancers are two paths: %s and %s", a, b)
	}
	other := testKey
	other.address = netip.MustParseAddr("198.51.100.2")
	if a, b := c.receive(testKey, balancerA), c.receive(other, balancerA); a == b {
		t.Fatal("packets for two addresses of a service are one path")
	}
	k, ok := keyOf(testKey.virtualAddr())
	if !ok || k != testKey {
		t.Fatalf("key %v decoded as %v", testKey, k)
	}
}

// TestUnresponsivePathTriesOtherReturnPaths checks that a path without responses is tried
// through return paths other than the one in use.
func TestUnresponsivePathTriesOtherReturnPaths(t *testing.T) {
	c := newPathTest()
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	used := c.send(testKey)[0]
	c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
	if to := c.send(testKey); len(to) != 3 {
		t.Fatalf("unresponsive on %v, tried %v, want all three balancers", used, to)
	}
}

// TestForgedCallerGetsNoCopies checks that no copies are sent on a path with first packets
// only. Its address may be forged, and copies would amplify an attacker's traffic.
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
			t.Fatalf("%d datagrams for one packet, want 1", len(to))
		}
		tried[to[0]] = true
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
	}
	if len(tried) != 3 {
		t.Fatalf("tried only %v, want all three balancers", tried)
	}
}

// TestFailedBalancerIsNotUsed guards against flows that are slow for half a minute after an
// availability zone's balancers have failed. Acknowledgements are lost, copies are sent
// through failed balancers from which no path receives packets, QUIC shrinks its window, and
// each further lost acknowledgement doubles the pause.
func TestFailedBalancerIsNotUsed(t *testing.T) {
	c := newPathTest()
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	c.now = c.now.Add(failedAfter + time.Millisecond)
	c.receive(callerKey(1), balancerA) // another path; testKey's receives nothing
	for range 6 {
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		c.receive(callerKey(1), balancerA)
		for _, b := range c.send(testKey) {
			if b != balancerA {
				t.Fatalf("sent to %v, which has failed", b)
			}
		}
	}
}

// TestReturnPathWithoutDeliveryIsExcluded guards against losing a third of the agents' packets
// for as long as a balancer forwards and echoes but reaches no caller, as B does here. If each
// path sent through the balancer of its last packet, every path would lose a part and no
// return path would stand out.
func TestReturnPathWithoutDeliveryIsExcluded(t *testing.T) {
	const paths, rounds = 12, 200
	c := newPathTest()
	lost, sent := 0, 0
	for round := range rounds {
		c.now = c.now.Add(20 * time.Millisecond)
		for i := range paths {
			k := callerKey(i)
			responded := round == 0
			for _, b := range c.send(k) {
				responded = responded || b != balancerB
				if round > rounds/2 {
					sent++
				}
				if b == balancerB && round > rounds/2 {
					lost++
				}
			}
			if responded {
				c.receive(k, allBalancers[(round+i)%3])
			}
		}
	}
	if lost*20 > sent {
		t.Fatalf("%d of %d packets sent through the balancer that loses them", lost, sent)
	}
}

// TestNewFlowsAvoidReturnPathWithoutDelivery guards against new flows that stall on a return
// path which loses all packets to callers, although other flows have already shown that it does.
func TestNewFlowsAvoidReturnPathWithoutDelivery(t *testing.T) {
	const flows = 200
	c := newPathTest()
	lost := 0
	for i := range flows {
		k := callerKey(i)
		c.receive(k, allBalancers[i%3])
		first := c.send(k)[0]
		c.now = c.now.Add(minResponseTimeout / 2)
		if first != balancerB {
			c.receive(k, balancerB) // B receives and echoes, but its packets to callers are lost
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
		t.Fatalf("%d of %d new flows sent through the balancer that loses their packets", lost, flows)
	}
}

// TestCrashedCallersExcludeNoReturnPath checks that callers that crash, and so stop responding
// on working return paths, do not exclude a return path on which other callers respond.
func TestCrashedCallersExcludeNoReturnPath(t *testing.T) {
	c := newPathTest()
	for round := range 300 {
		c.now = c.now.Add(70 * time.Millisecond)
		for i := range 6 {
			k := callerKey(i)
			c.receive(k, allBalancers[(round+i)%3])
			c.send(k)
		}
		for i := range 3 { // received once, then never again
			c.receive(callerKey(100+3*round+i), allBalancers[i])
			c.send(callerKey(100 + 3*round + i))
			if round >= 9 {
				c.send(callerKey(100 + 3*(round-9) + i))
			}
		}
	}
	for _, b := range allBalancers {
		if r := c.t.returnPaths[b]; r.grade(c.now, c.t.newest) != gradeUsable {
			t.Errorf("return path through %v is not usable: %+v", b, *r)
		}
	}
}

// TestReturnPathsAreNotComparedWithFailedOnes guards against a flow that stalls for half a
// minute after half of the balancers have failed. Acknowledgements to failed balancers are lost,
// so paths become unresponsive on working return paths. Compared with the failed ones' last
// delivery rate, the working ones would be excluded and only failed ones tried.
func TestReturnPathsAreNotComparedWithFailedOnes(t *testing.T) {
	c := newPathTest()
	failed := allBalancers[0]
	for _, b := range allBalancers {
		c.receive(testKey, b)
	}
	c.now = c.now.Add(failedAfter)
	for range 50 {
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		for i, b := range allBalancers[1:] {
			c.receive(callerKey(1+i), b)
		}
		c.send(testKey) // becomes unresponsive on a working return path
		c.now = c.now.Add(maxResponseTimeout + time.Millisecond)
		for i, b := range allBalancers[1:] {
			c.receive(callerKey(1+i), b)
		}
		for _, b := range c.send(testKey) {
			if b == failed {
				t.Fatal("sent to a failed balancer")
			}
		}
		c.receive(testKey, balancerB)
		c.receive(testKey, balancerC)
	}
	for _, b := range allBalancers[1:] {
		if r := c.t.returnPaths[b]; r.grade(c.now, c.t.newest) != gradeUsable {
			t.Errorf("return path through %v is not usable: %+v", b, *r)
		}
	}
}

// TestReturnPathWithoutEchoIsBroken guards against long flows that stall because the agent sends
// through the balancer of their last packet, which forwards callers' packets but receives nothing
// from this agent.
func TestReturnPathWithoutEchoIsBroken(t *testing.T) {
	c := newPathTest()
	c.receive(testKey, balancerA)
	c.now = c.now.Add(time.Millisecond)
	c.receive(testKey, balancerB)
	if to := c.send(testKey); to[0] != balancerB {
		t.Fatalf("sent to %v, want the balancer of the last packet first", to)
	}
	c.echo[balancerB] = 0 // the packet never arrived
	c.now = c.now.Add(echoTimeout + time.Millisecond)
	c.receive(testKey, balancerA)
	c.receive(testKey, balancerB)
	to := c.send(testKey)
	if to[0] != balancerA {
		t.Fatalf("sent through the broken return path: %v", to)
	}
	if len(to) != 2 || to[1] != balancerB {
		t.Fatalf("broken return path not probed: %v", to)
	}
	c.receive(testKey, balancerB) // the probe is echoed
	if c.t.returnPaths[balancerB].broken {
		t.Fatal("return path is still broken after its probe was echoed")
	}
}

// TestStalledPathIsReported guards against downloads that stall, such as one of eight for 88 s,
// without a line in their agent's log. A path that does not respond is reported once per stall,
// and many stalled paths in one report per second.
func TestStalledPathIsReported(t *testing.T) {
	c := newPathTest()
	var reported []stall
	c.t.stalls.log = func(s stall) { reported = append(reported, s) }
	const callers = 20
	for i := range callers {
		c.receive(callerKey(i), balancerA)
	}
	sendUnanswered := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(100 * time.Millisecond) {
			for i := range callers {
				c.send(callerKey(i))
			}
		}
	}
	sendUnanswered(stallTimeout - time.Second)
	if len(reported) != 0 {
		t.Fatalf("reported %+v before the path was stalled", reported)
	}
	sendUnanswered(5 * time.Second)
	if len(reported) != 1 || len(reported[0].returnPaths) != 1 || reported[0].returnPaths[0].balancer != balancerA {
		t.Fatalf("reported %+v, want one report with the return path", reported)
	}
	c.receive(callerKey(0), balancerA)
	sendUnanswered(stallTimeout + time.Second)
	if len(reported) != 2 || reported[1].key != callerKey(0) || reported[1].others != callers-1 {
		t.Errorf("reported %+v, want another report after the path had received a packet in between", reported)
	}
}
