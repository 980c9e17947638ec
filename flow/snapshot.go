package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
)

// DirectorSnapshot is the state of a balancer at one moment, for operators. The JSON
// names stay the same when a field is renamed.
type DirectorSnapshot struct {
	Revision  uint64   `json:"revision"`     // of the configuration in force, 0 for none
	Orders    uint64   `json:"orders"`       // number of the operator's orders in force, 0 for none
	Newest    uint64   `json:"newest_heard"` // number of the newest orders that any process has reported
	Routes    int      `json:"routes"`       // in force
	Evacuated []uint32 `json:"evacuated"`    // availability zones that get no new flows, by ZoneID
	// Unconfirmed are zones that get no new flows until the operator has had time to
	// write its orders again, after the store came back from an older copy.
	Unconfirmed []uint32      `json:"unconfirmed,omitempty"`
	ReadAge     time.Duration `json:"read_age_ns"` // since the latest read of the orders by any process, negative if there was none
	Ready       bool          `json:"ready"`       // accepts callers' packets
	Complete    bool          `json:"knows_all"`   // knows every agent that may hold a flow
	Flows       int           `json:"flows"`       // number of flows in the table
	// UsualTimes are the usual times from a request to its answer, by service; those that
	// are not known are left out.
	UsualTimes map[ServiceID]time.Duration `json:"usual_answer_times_ns,omitempty"`
	Agents     []AgentSnapshot             `json:"agents"`  // ordered by address
	Failed     []netip.AddrPort            `json:"missing"` // agents that stopped sending without deregistering
	Balancers  []netip.AddrPort            `json:"other_balancers"`
}

// AgentSnapshot is the state of one agent as a balancer knows it.
type AgentSnapshot struct {
	Addr         netip.AddrPort `json:"address"`
	Service      ServiceID      `json:"service"`
	State        string         `json:"state"`
	Unresponsive bool           `json:"silent"`       // gets no new flows
	Health       string         `json:"health"`       // of its server, as of its last report: serving, failing or on_trial
	LeftOut      bool           `json:"excluded"`     // gets no new flows because of its health
	Age          time.Duration  `json:"heard_age_ns"` // since the last message from it, negative if there was none
	// AnswerTime is the mean time from a request to its answer that it last reported, 0 if
	// not known, and TimeRatio the ratio to the usual time by which its load is scaled.
	AnswerTime time.Duration `json:"answer_time_ns"`
	TimeRatio  float64       `json:"time_ratio"`
}

// Snapshot returns the balancer's state at now.
func (d *Director) Snapshot(now time.Time) DirectorSnapshot {
	b := DirectorSnapshot{
		Newest: d.newestOrders, ReadAge: ageSince(now, d.readAt), Ready: d.Ready(), Complete: d.knowsAllAgents(now), Flows: len(d.flows),
		Balancers: slices.Clone(d.peers.order),
		Orders:    d.orders.Number, Evacuated: d.evacuatedZones(), Unconfirmed: slices.Sorted(maps.Keys(d.unconfirmedZones.zones)),
	}
	if r := d.orders.Routes; r != nil {
		b.Revision, b.Routes = r.Revision, r.Len()
	}
	for id, v := range d.services {
		if usual := v.usualTime.Value(); usual > 0 {
			if b.UsualTimes == nil {
				b.UsualTimes = make(map[ServiceID]time.Duration)
			}
			b.UsualTimes[id] = time.Duration(usual)
		}
	}
	for _, a := range d.agents {
		b.Agents = append(b.Agents, d.snapshotOf(now, a))
	}
	for addr := range d.failedAgents {
		b.Failed = append(b.Failed, addr)
	}
	slices.SortFunc(b.Agents, func(x, y AgentSnapshot) int { return x.Addr.Compare(y.Addr) })
	slices.SortFunc(b.Failed, netip.AddrPort.Compare)
	slices.SortFunc(b.Balancers, netip.AddrPort.Compare)
	return b
}

// AgentSnapshot returns the state of one agent at now; ok is false if it is not known.
func (d *Director) AgentSnapshot(now time.Time, agent netip.AddrPort) (s AgentSnapshot, ok bool) {
	a := d.agents[agent]
	if a == nil {
		return AgentSnapshot{}, false
	}
	return d.snapshotOf(now, a), true
}

func (d *Director) snapshotOf(now time.Time, a *agent) AgentSnapshot {
	return AgentSnapshot{
		Addr: a.addr, Service: a.service, State: a.state.String(), Unresponsive: a.unresponsive, Age: ageSince(now, a.lastReceivedAt),
		Health: a.health.Status().String(), LeftOut: d.leftOut(a), AnswerTime: a.answerTime, TimeRatio: d.timeRatio(a),
	}
}

// never is the age of an event that has not happened.
const never = -time.Second

func ageSince(now, at time.Time) time.Duration {
	if at.IsZero() {
		return never
	}
	return now.Sub(at)
}

// GateSnapshot is the state of an agent at one moment, for operators.
type GateSnapshot struct {
	Service      ServiceID        `json:"service"`
	State        string           `json:"state"`
	Instance     string           `json:"instance"`
	Sequence     uint64           `json:"sequence"`         // of the latest heartbeat
	HeartbeatAge time.Duration    `json:"heartbeat_age_ns"` // negative if there was none
	Slots        int              `json:"slots"`
	Requests     int              `json:"requests"`         // in progress
	Queued       int              `json:"queued"`           // flows waiting for capacity
	Callers      int              `json:"callers_waiting"`  // callers of ended flows waiting for capacity
	Kept         int              `json:"requests_waiting"` // requests on open flows waiting for capacity
	LongestWait  time.Duration    `json:"longest_wait_ns"`  // of what waits now
	ExpectedTime time.Duration    `json:"expected_time_ns"` // within which four of five requests are answered
	Flows        int              `json:"flows"`            // number of flows in the table
	Orders       uint64           `json:"orders"`           // number of the newest orders received, 0 for none
	Evacuated    bool             `json:"evacuated"`        // its availability zone gets no new flows
	Complete     bool             `json:"knows_all"`        // every flow of the server is in the table
	Health       HealthSnapshot   `json:"health"`
	Balancers    []netip.AddrPort `json:"balancers"`
}

// HealthSnapshot is an agent's judgement of its server at one moment.
type HealthSnapshot struct {
	health.Snapshot
	Pending int `json:"pending"` // requests that the server has not answered
}

// Snapshot returns the agent's state at now.
func (g *Gate) Snapshot(now time.Time) GateSnapshot {
	v := &g.server
	b := GateSnapshot{
		Service: v.service, State: g.State(now).String(), Instance: v.instance, Sequence: v.sequence, HeartbeatAge: ageSince(now, v.lastHeartbeatAt),
		Slots: v.slots, Requests: g.requests, Queued: g.waiting.counts[waitingFlow], Callers: g.waiting.counts[waitingCaller], Kept: g.waiting.counts[waitingRequest],
		LongestWait: g.waiting.queue.LongestWait(now), ExpectedTime: g.margin(), Flows: len(g.flows), Complete: g.complete(now),
		Orders: g.orders.number, Evacuated: g.evacuated(), Health: g.healthSnapshot(now),
	}
	for addr := range g.balancers {
		b.Balancers = append(b.Balancers, addr)
	}
	slices.SortFunc(b.Balancers, netip.AddrPort.Compare)
	return b
}

func (g *Gate) healthSnapshot(now time.Time) HealthSnapshot {
	h := &g.health
	trial := h.trial.inProgress && !g.trialOver(now)
	return HealthSnapshot{Snapshot: h.monitor.Snapshot(now, trial), Pending: h.pending}
}
