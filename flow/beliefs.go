package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// DirectorBeliefs is what a balancer believes at one moment, for operators.
type DirectorBeliefs struct {
	Revision  uint64   `json:"revision"`     // of the configuration in force, 0 for none
	Orders    uint64   `json:"orders"`       // number of the operator's orders in force, 0 for none
	Newest    uint64   `json:"newest_heard"` // newest orders that any process spoke of
	Routes    int      `json:"routes"`       // in force
	Evacuated []uint32 `json:"evacuated"`    // availability zones that get no new flows, by ZoneID
	// Unconfirmed are zones that get none for as long as the operator may have yet to write
	// its orders again, after the store came back from an older copy.
	Unconfirmed []uint32         `json:"unconfirmed,omitempty"`
	ReadAge     time.Duration    `json:"read_age_ns"` // of the latest read of the orders by any process, negative if never
	Ready       bool             `json:"ready"`       // takes callers' packets
	Complete    bool             `json:"knows_all"`   // knows every agent that may hold a flow
	Flows       int              `json:"flows"`       // remembered
	Agents      []AgentBelief    `json:"agents"`      // in the order of their addresses
	Missing     []netip.AddrPort `json:"missing"`     // agents that fell silent without a word
	Balancers   []netip.AddrPort `json:"other_balancers"`
}

// AgentBelief is what a balancer believes about one agent.
type AgentBelief struct {
	Addr    netip.AddrPort `json:"address"`
	Service ServiceID      `json:"service"`
	State   string         `json:"state"`
	Silent  bool           `json:"silent"`       // left out of new flows
	Age     time.Duration  `json:"heard_age_ns"` // since it was heard, negative if never
}

// Beliefs returns what the balancer believes now.
func (d *Director) Beliefs(now time.Time) DirectorBeliefs {
	b := DirectorBeliefs{
		Newest: d.seen, ReadAge: ageSince(now, d.readAt), Ready: d.Ready(), Complete: d.complete(now), Flows: len(d.flows),
		Balancers: slices.Collect(maps.Keys(d.balancers)),
		Orders:    d.orders.Number, Evacuated: d.evacuatedZones(), Unconfirmed: slices.Sorted(maps.Keys(d.lacking.zones)),
	}
	if r := d.orders.Routes; r != nil {
		b.Revision, b.Routes = r.Revision, r.Len()
	}
	for _, a := range d.agents {
		b.Agents = append(b.Agents, AgentBelief{Addr: a.addr, Service: a.service, State: a.state.String(), Silent: a.silent, Age: ageSince(now, a.heard)})
	}
	for addr := range d.missing {
		b.Missing = append(b.Missing, addr)
	}
	slices.SortFunc(b.Agents, func(x, y AgentBelief) int { return x.Addr.Compare(y.Addr) })
	slices.SortFunc(b.Missing, netip.AddrPort.Compare)
	slices.SortFunc(b.Balancers, netip.AddrPort.Compare)
	return b
}

// never is the age of what has not happened.
const never = -time.Second

func ageSince(now, at time.Time) time.Duration {
	if at.IsZero() {
		return never
	}
	return now.Sub(at)
}

// GateBeliefs is what an agent believes at one moment, for operators.
type GateBeliefs struct {
	Service      ServiceID        `json:"service"`
	State        string           `json:"state"`
	Instance     string           `json:"instance"`
	Sequence     uint64           `json:"sequence"`         // of the latest heartbeat
	HeartbeatAge time.Duration    `json:"heartbeat_age_ns"` // negative if there was none
	Slots        int              `json:"slots"`
	Requests     int              `json:"requests"`  // at work
	Queued       int              `json:"queued"`    // flows that wait for room
	Flows        int              `json:"flows"`     // remembered
	Orders       uint64           `json:"orders"`    // number of the newest orders that the agent was told, 0 for none
	Evacuated    bool             `json:"evacuated"` // its availability zone gets no new flows
	KnowsAll     bool             `json:"knows_all"` // a flow that is not known is not at the server
	Balancers    []netip.AddrPort `json:"balancers"`
}

// Beliefs returns what the agent believes now.
func (g *Gate) Beliefs(now time.Time) GateBeliefs {
	v := &g.server
	b := GateBeliefs{
		Service: v.service, State: g.State(now).String(), Instance: v.instance, Sequence: v.sequence, HeartbeatAge: ageSince(now, v.heartbeatAt),
		Slots: v.slots, Requests: g.requests, Queued: len(g.queue), Flows: len(g.flows), KnowsAll: g.sure(now),
		Orders: g.told.number, Evacuated: g.evacuated(),
	}
	for addr := range g.balancers {
		b.Balancers = append(b.Balancers, addr)
	}
	slices.SortFunc(b.Balancers, netip.AddrPort.Compare)
	return b
}
