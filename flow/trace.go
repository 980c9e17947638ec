package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

// Tracer receives each decision of a Director as it is made, for logs and metrics.
// Calls must return at once.
type Tracer interface {
	// Taken: the agent's server answered the caller, after the given number of offers.
	Taken(now time.Time, id ID, route Route, agent netip.AddrPort, offers int, after time.Duration)
	// Refused: an agent did not accept the flow, which is offered to another one.
	Refused(now time.Time, key Key, route Route, agent netip.AddrPort, reason Reason, occupancy placement.Occupancy)
	// Abandoned: no agent accepted the flow. Its caller is sent a reset, or left to
	// repeat its first packet.
	Abandoned(now time.Time, id ID, route Route, reason Reason, offers int, after time.Duration, reset bool)
	// Reset: the caller is sent a reset because the flow is not open.
	Reset(now time.Time, key Key, reason Reason)
	// LookupStarted: an unknown flow is looked up at the given number of agents; all
	// reports whether these are all agents of the fleet.
	LookupStarted(now time.Time, key Key, agents int, all bool)
	// NotHeld: none of the given number of agents holds the flow that was looked up, and
	// these count as all. discovery says why they do since the start of this balancer;
	// confirmedBy is the balancer that confirmed it last, not valid if none answered.
	NotHeld(now time.Time, key Key, agents int, discovery string, confirmedBy netip.AddrPort)
	// Ended: no server holds the flow any more. Its caller is notified when an agent
	// has reserved capacity for its next flow, within atMost.
	Ended(now time.Time, key Key, reason Reason, agent netip.AddrPort, atMost time.Duration)
	// Found: an agent holds the flow that was looked up.
	Found(now time.Time, key Key, agent netip.AddrPort, after time.Duration)
	// Agent: the known state of an agent has changed.
	Agent(now time.Time, agent netip.AddrPort, service ServiceID, state ServerState, why string)
	// LeftOut: other agents of a service than before are left out of placement because
	// their servers are failing or on trial. agent is the one whose report or departure
	// changed that, not valid if there are several.
	LeftOut(now time.Time, service ServiceID, agent netip.AddrPort, report health.Report, counts health.Counts)
}

type noTracer struct{}

func (noTracer) Taken(time.Time, ID, Route, netip.AddrPort, int, time.Duration)             {}
func (noTracer) Refused(time.Time, Key, Route, netip.AddrPort, Reason, placement.Occupancy) {}
func (noTracer) Abandoned(time.Time, ID, Route, Reason, int, time.Duration, bool)           {}
func (noTracer) Reset(time.Time, Key, Reason)                                               {}
func (noTracer) LookupStarted(time.Time, Key, int, bool)                                    {}
func (noTracer) NotHeld(time.Time, Key, int, string, netip.AddrPort)                        {}
func (noTracer) Ended(time.Time, Key, Reason, netip.AddrPort, time.Duration)                {}
func (noTracer) Found(time.Time, Key, netip.AddrPort, time.Duration)                        {}
func (noTracer) Agent(time.Time, netip.AddrPort, ServiceID, ServerState, string)            {}
func (noTracer) LeftOut(time.Time, ServiceID, netip.AddrPort, health.Report, health.Counts) {}

// GateTracer receives each decision of a Gate as it is made. Calls must return at once.
type GateTracer interface {
	// Refused: a flow that a balancer offered is not passed to the server.
	Refused(now time.Time, key Key, reason Reason, state ServerState, requests int)
	// Answered: the server answered a flow's first packet.
	Answered(now time.Time, id ID, after time.Duration, requests int)
	// Opened: the caller confirmed the flow, which the balancer at via offered.
	Opened(now time.Time, id ID, via netip.AddrPort, after time.Duration)
	// NotHeld: a packet arrived for a flow that the server does not hold, and which evidence
	// shows that.
	NotHeld(now time.Time, key Key, reason Reason, basis Basis)
	// State: the known state of the server has changed.
	State(now time.Time, before, after ServerState, why string)
	// Instance: the server was restarted. complete says whether every flow of the
	// instance is known.
	Instance(now time.Time, instance string, sequence uint64, complete bool)
	// OldHeartbeat: a heartbeat was ignored because a newer one was received before.
	OldHeartbeat(now time.Time, instance string, sequence uint64)
	// Health: the judgement of the server has changed, for the counts given.
	Health(now time.Time, change health.Change)
}

type noGateTracer struct{}

func (noGateTracer) Refused(time.Time, Key, Reason, ServerState, int)    {}
func (noGateTracer) Answered(time.Time, ID, time.Duration, int)          {}
func (noGateTracer) Opened(time.Time, ID, netip.AddrPort, time.Duration) {}
func (noGateTracer) NotHeld(time.Time, Key, Reason, Basis)               {}
func (noGateTracer) State(time.Time, ServerState, ServerState, string)   {}
func (noGateTracer) Instance(time.Time, string, uint64, bool)            {}
func (noGateTracer) OldHeartbeat(time.Time, string, uint64)              {}
func (noGateTracer) Health(time.Time, health.Change)                     {}
