package flow

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a reset of an open flow whose server holds it: a balancer that was paused reads
// the report that an agent's server has ended only after another process of the agent was
// introduced and has taken flows, and does not query that agent any more.
func TestReportReadLateDoesNotRuleOutNewProcess(t *testing.T) {
	const agents = 4
	w := newWorld(t, agents)
	ended := clone(endReport(w, 0))
	if len(ended) != 1 {
		t.Fatalf("%d reports of the server's end to balancer B, want 1", len(ended))
	}
	v := w.server(0)
	v.instance, v.flows, v.sequence = "i-new", map[Key]*serverFlow{}, 0
	w.drops = func(from, to netip.AddrPort) bool { return from == agentAddr(0) && to == balancerB }
	w.restartAgent(0)
	w.heartbeat(0, 1, false)
	w.advance(500 * time.Millisecond)
	for n := 1; n < agents; n++ {
		w.server(n).rejecting = true
	}
	c := w.caller(1000, listingPort)
	c.open(balancerA, 0)
	c.request(balancerA)
	if h := c.holders(); len(h) != 1 || h[0] != 0 {
		t.Fatalf("held by %v, want agent 0", h)
	}
	w.drops = nil
	m := ended[0].Message
	w.balancers[balancerB].FromAgent(w.now, agentAddr(0), &m, nil, nil)
	w.deliver()
	c.request(balancerB)
	w.advance(time.Second)
	if len(w.resets) > 0 || c.served() != 2 {
		t.Errorf("%d resets, %d requests of 2 served; server %v holds the flow", len(w.resets), c.served(), c.holders())
	}
}

// endReport has the n-th agent report that its server has ended, and returns the report to
// balancer B, which does not receive it.
func endReport(w *world, n int) (reports []Effect) {
	g := w.gate(n)
	g.Deregister(w.now, w.server(n).instance, 0)
	for _, e := range clone(g.Effects()) {
		if e.To == balancerB && e.Message.Kind == Report {
			reports = append(reports, e)
			continue
		}
		w.carryFromAgent(agentAddr(n), w.agents[agentAddr(n)], e)
	}
	w.deliver()
	return reports
}

// Guards against callers of ended flows that are notified late: a balancer does not believe that the
// server of a restarted agent has ended, because it knows the introduction of the agent's earlier
// process, from which it never received a message.
func TestIntroductionOfEarlierProcessDoesNotOutdateEnd(t *testing.T) {
	const earlier, present = 1, 2
	for name, announced := range map[string]bool{"reported": false, "announced": true} {
		now := time.Unix(1000, 0)
		d := NewDirector(now, DirectorConfig{Zone: "a", Addr: balancerA}, nil)
		d.mergeIntroduced(now, introduced{addr: agentAddr(0), service: listing, incarnation: earlier, round: 1, at: now})
		now = now.Add(time.Minute)
		d.FromAgent(now, agentAddr(0), &Message{Kind: Report, State: ServerReady, Service: listing, Incarnation: present}, nil, nil)
		now = now.Add(time.Second)
		if announced {
			d.onEndAnnounced(now, member{addr: agentAddr(0), service: listing, receivedAt: now})
			d.mergeIntroduced(now, introduced{addr: agentAddr(0), service: listing, incarnation: present + 1, round: 1, at: now.Add(-500 * time.Millisecond)})
		} else {
			d.FromAgent(now, agentAddr(0), &Message{Kind: Report, State: ServerEnded, Service: listing, Incarnation: present}, nil, nil)
		}
		if a := d.agents[agentAddr(0)]; !a.ended() || !a.holdsNoFlows {
			t.Errorf("%s: state %v, holds no flows: %v", name, a.state, a.holdsNoFlows)
		}
	}
}
