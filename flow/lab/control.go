package lab

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/lab/figure"
	"github.com/hemlockscale/hemlockscale/lab/simtime"
)

// ControlConfig configures a fleet without callers, whose control messages are counted.
type ControlConfig struct {
	Seed      uint64
	Balancers int
	Agents    int
	Services  int // among which the agents are divided
	Span      time.Duration
}

// DefaultControlConfig returns a fleet of about a thousand VMs.
func DefaultControlConfig() ControlConfig {
	return ControlConfig{Seed: 1, Balancers: 304, Agents: 678, Services: 2, Span: 20 * time.Second}
}

func (c ControlConfig) check() error {
	switch {
	case c.Balancers < 2 || c.Balancers > 20000:
		return &ConfigError{"balancers", "2 to 20000"}
	case c.Agents < 1 || c.Agents > 100000:
		return &ConfigError{"agents", "1 to 100000"}
	case c.Services < 1 || c.Services > c.Agents:
		return &ConfigError{"services", "1 to the number of agents"}
	case c.Span < time.Second || c.Span > time.Hour:
		return &ConfigError{"span", "1s to 1h"}
	}
	return nil
}

// ControlExperiments count the control messages of a fleet, in total of a process and per
// second. Sizes include 28 bytes of IP and UDP headers.
var ControlExperiments = []figure.Experiment[ControlConfig]{
	{Name: "rest", Run: checkedControl(rest), Summary: "messages and bytes per second of a process at rest: mean and busiest"},
	{Name: "start", Run: checkedControl(fleetStart), Summary: "messages of a process in the second after all have started, and how long until all servers may be offered flows"},
	{Name: "failure", Run: checkedControl(failure), Summary: "how long until balancers exclude an agent that has failed, one whose server has ended, and offer flows to one that is back"},
}

func checkedControl(run func(ControlConfig) []figure.Figure) func(ControlConfig) ([]figure.Figure, error) {
	return figure.Guard[*ConfigError](ControlConfig.check, run)
}

const (
	// settleTime is the time from the start until the fleet is at rest.
	settleTime = 30 * time.Second
	// serverHeartbeatInterval is that of a large fleet.
	serverHeartbeatInterval = 5 * time.Second
	frameHeader             = 56 + 28 // bytes of a message without its payload
)

// traffic counts the messages of one process.
type traffic struct{ sent, received, bytesSent, bytesReceived int }

// controlFleet is a fleet without callers.
type controlFleet struct {
	*simtime.Clock
	c         ControlConfig
	rng       *rand.Rand
	balancers map[netip.AddrPort]*controlBalancer
	agents    map[netip.AddrPort]*controlAgent
	addrs     []netip.AddrPort // of the balancers
	agentAddr []netip.AddrPort
}

type controlBalancer struct {
	addr   netip.AddrPort
	d      *flow.Director
	tickAt time.Time
	count  traffic
}

type controlAgent struct {
	g        *flow.Gate // nil once the process has failed
	service  flow.ServiceID
	sequence uint64
	tickAt   time.Time
	count    traffic
}

// controlAddr returns the address of the n-th process of a kind.
func controlAddr(kind byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, kind | byte(n>>16)<<1, byte(n >> 8), byte(n)}), 7700)
}

func newControlFleet(c ControlConfig) *controlFleet {
	f := &controlFleet{
		Clock: simtime.New(), c: c, rng: rand.New(rand.NewPCG(c.Seed, 5)),
		balancers: map[netip.AddrPort]*controlBalancer{}, agents: map[netip.AddrPort]*controlAgent{},
	}
	for n := range c.Balancers {
		f.addrs = append(f.addrs, controlAddr(0, n))
	}
	for n := range c.Agents {
		f.agentAddr = append(f.agentAddr, controlAddr(1, n))
	}
	for _, addr := range f.addrs {
		b := &controlBalancer{addr: addr}
		f.balancers[addr] = b
		f.After(f.startTime(), func() { f.startBalancer(b) })
	}
	for n, addr := range f.agentAddr {
		a := &controlAgent{service: serviceOf(n % c.Services)}
		f.agents[addr] = a
		f.After(f.startTime(), func() { f.startAgent(addr, a) })
	}
	return f
}

func serviceOf(n int) flow.ServiceID { return flow.IDOf(fmt.Sprintf("service-%d", n)) }

func (f *controlFleet) startTime() time.Duration {
	return time.Duration(f.rng.Int64N(int64(startTimeSpread)))
}

// startBalancer starts a balancer that has read the keys of all processes from the store.
func (f *controlFleet) startBalancer(b *controlBalancer) {
	b.d = flow.NewDirector(f.Now(), flow.DirectorConfig{Zone: "a", Addr: b.addr, Random: balancerRandom(f.c.Seed, b.addr, f.Now())}, nil)
	b.d.SetRoutes(flow.NewRoutes(1, 15000, nil))
	for _, addr := range f.addrs {
		if f.balancers[addr] != b {
			b.d.AddBalancer(addr)
		}
	}
	for _, addr := range f.agentAddr {
		b.d.AddAgent(f.Now(), addr, f.agents[addr].service, "a")
	}
	b.d.StoreListed()
	f.runBalancer(b)
}

// startAgent starts an agent that has read the keys of the balancers from the store.
func (f *controlFleet) startAgent(addr netip.AddrPort, a *controlAgent) {
	a.g = flow.NewGate(f.Now(), flow.GateConfig{Zone: "a", Incarnation: f.rng.Uint64(), Service: a.service, Introduce: true, HeartbeatInterval: serverHeartbeatInterval}, nil)
	for _, n := range f.rng.Perm(len(f.addrs)) {
		a.g.AddBalancer(f.Now(), f.addrs[n])
	}
	f.heartbeat(addr, a, a.g)
	f.statusChecks(addr, a, a.g)
	f.runAgent(addr, a)
}

// heartbeat sends a heartbeat of the agent's server, and schedules the next one.
func (f *controlFleet) heartbeat(addr netip.AddrPort, a *controlAgent, g *flow.Gate) {
	if a.g != g {
		return
	}
	a.sequence++
	g.Heartbeat(f.Now(), flow.Heartbeat{Instance: "i", Sequence: a.sequence, Service: a.service, Slots: 2})
	f.runAgent(addr, a)
	f.After(serverHeartbeatInterval, func() { f.heartbeat(addr, a, g) })
}

// statusChecks makes the agent's status checks of its server.
func (f *controlFleet) statusChecks(addr netip.AddrPort, a *controlAgent, g *flow.Gate) {
	if a.g != g {
		return
	}
	at := g.NextStatusCheck(f.Now())
	if !at.After(f.Now()) {
		g.StatusCheck(f.Now(), flow.StatusCheckResult{Answered: true, Instance: "i"})
		f.runAgent(addr, a)
		at = g.NextStatusCheck(f.Now())
	}
	f.After(max(at.Sub(f.Now()), time.Millisecond), func() { f.statusChecks(addr, a, g) })
}

func (f *controlFleet) runBalancer(b *controlBalancer) {
	f.send(b.addr, &b.count, b.d.Effects())
	next := b.d.NextTick(f.Now())
	if b.tickAt.After(f.Now()) && !next.Before(b.tickAt) {
		return
	}
	b.tickAt = next
	f.After(max(next.Sub(f.Now()), time.Millisecond), func() {
		if !f.Now().Before(b.tickAt) {
			b.d.Tick(f.Now())
			f.runBalancer(b)
		}
	})
}

func (f *controlFleet) runAgent(addr netip.AddrPort, a *controlAgent) {
	f.send(addr, &a.count, a.g.Effects())
	next := a.g.NextTick(f.Now())
	if a.tickAt.After(f.Now()) && !next.Before(a.tickAt) {
		return
	}
	a.tickAt = next
	g := a.g
	f.After(max(next.Sub(f.Now()), time.Millisecond), func() {
		if a.g == g && !f.Now().Before(a.tickAt) {
			g.Tick(f.Now())
			f.runAgent(addr, a)
		}
	})
}

// send delivers the messages among the effects.
func (f *controlFleet) send(from netip.AddrPort, count *traffic, effects []flow.Effect) {
	// Some effects come in the order of a map.
	slices.SortStableFunc(effects, func(a, b flow.Effect) int { return a.To.Compare(b.To) })
	for _, e := range effects {
		if e.Kind != flow.SendMessage {
			continue
		}
		size := frameHeader + len(e.Packet)
		count.sent++
		count.bytesSent += size
		m, to, payload := e.Message, e.To, bytes.Clone(e.Packet)
		f.After(vmDelay, func() { f.receive(from, to, m, payload, size) })
	}
}

func (f *controlFleet) receive(from, to netip.AddrPort, m flow.Message, payload []byte, size int) {
	if a := f.agents[to]; a != nil && a.g != nil {
		a.count.received++
		a.count.bytesReceived += size
		a.g.FromBalancer(f.Now(), from, &m, nil, payload)
		f.runAgent(to, a)
	}
	if b := f.balancers[to]; b != nil && b.d != nil {
		b.count.received++
		b.count.bytesReceived += size
		if m.Kind.BetweenBalancers() {
			b.d.FromBalancer(f.Now(), from, &m, payload)
		} else {
			b.d.FromAgent(f.Now(), from, &m, nil, payload)
		}
		f.runBalancer(b)
	}
}

// counts returns the counts of all balancers and of all agents, and clears them.
func (f *controlFleet) counts() (balancers, agents []traffic) {
	for _, b := range f.balancers {
		balancers = append(balancers, b.count)
		b.count = traffic{}
	}
	for _, a := range f.agents {
		agents = append(agents, a.count)
		a.count = traffic{}
	}
	return balancers, agents
}

func (c ControlConfig) name() string {
	return fmt.Sprintf("%d balancers, %d agents", c.Balancers, c.Agents)
}

// figures returns the counts of a role per second over a time.
func (c ControlConfig) figures(role string, list []traffic, span time.Duration) (out []figure.Figure) {
	for _, q := range []struct {
		name  string
		value func(traffic) int
	}{
		{"messages sent a second", func(t traffic) int { return t.sent }},
		{"messages received a second", func(t traffic) int { return t.received }},
		{"bytes sent a second", func(t traffic) int { return t.bytesSent }},
		{"bytes received a second", func(t traffic) int { return t.bytesReceived }},
	} {
		sum, most := 0, 0
		for _, t := range list {
			sum += q.value(t)
			most = max(most, q.value(t))
		}
		name := c.name() + ", each " + role
		out = append(out,
			figure.Figure{Case: name, Quantity: q.name, Value: float64(sum) / float64(len(list)) / span.Seconds()},
			figure.Figure{Case: name, Quantity: q.name + ", busiest", Value: float64(most) / span.Seconds()})
	}
	return out
}

func rest(c ControlConfig) []figure.Figure {
	f := newControlFleet(c)
	f.Run(settleTime, nil)
	f.counts()
	f.Run(c.Span, nil)
	balancers, agents := f.counts()
	return append(c.figures("balancer", balancers, c.Span), c.figures("agent", agents, c.Span)...)
}

func fleetStart(c ControlConfig) []figure.Figure {
	f := newControlFleet(c)
	f.Run(startTimeSpread+time.Second, nil)
	balancers, agents := f.counts()
	return append(c.figures("balancer", balancers, time.Second), c.figures("agent", agents, time.Second)...)
}

// failure measures how long balancers take to learn of the failure, the return and the end
// of one agent, with each of several agents in turn.
func failure(c ControlConfig) (list []figure.Figure) {
	const agents, limit = 5, 30 * time.Second
	const pause = time.Second // between two events
	f := newControlFleet(c)
	f.Run(settleTime, nil)
	var failed, back, ended []time.Duration
	for n := range min(agents, c.Agents) {
		addr := f.agentAddr[n]
		a := f.agents[addr]
		a.g = nil
		failed = append(failed, f.untilAll(addr, limit, func(s flow.AgentSnapshot) bool { return s.Unresponsive })...)
		f.Run(pause, nil)
		f.startAgent(addr, a)
		back = append(back, f.untilAll(addr, limit, func(s flow.AgentSnapshot) bool { return !s.Unresponsive })...)
		f.Run(pause, nil)
		a.g.Deregister(f.Now(), "i", 0)
		f.runAgent(addr, a)
		ended = append(ended, f.untilAll(addr, limit, func(s flow.AgentSnapshot) bool { return s.State == flow.ServerEnded.String() })...)
	}
	name := c.name()
	for _, q := range []struct {
		name  string
		times []time.Duration
	}{{"failed agent excluded", failed}, {"agent offered flows again", back}, {"end of a server known", ended}} {
		for _, part := range []struct {
			name  string
			share float64
		}{{"half", 0.5}, {"99 of 100", 0.99}, {"all", 1}} {
			list = append(list, figure.Figure{Case: name, Quantity: q.name + " by " + part.name, Unit: "s", Value: figure.Quantile(q.times, part.share).Seconds()})
		}
	}
	return list
}

// untilAll returns how long each balancer takes until a condition holds for an agent, at
// most limit. A balancer that does not know the agent counts as excluding it.
func (f *controlFleet) untilAll(addr netip.AddrPort, limit time.Duration, holds func(flow.AgentSnapshot) bool) []time.Duration {
	const step = 10 * time.Millisecond
	times := make([]time.Duration, 0, len(f.addrs))
	waiting := slices.Clone(f.addrs)
	for after := step; len(waiting) > 0 && after <= limit; after += step {
		f.Run(step, nil)
		kept := waiting[:0]
		for _, b := range waiting {
			s, known := f.balancers[b].d.AgentSnapshot(f.Now(), addr)
			if !known || holds(s) {
				times = append(times, after)
			} else {
				kept = append(kept, b)
			}
		}
		waiting = kept
	}
	for range waiting {
		times = append(times, limit)
	}
	return times
}
