package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/health"
	"github.com/hemlockscale/hemlockscale/placement"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// The messages between balancers and agents.
const (
	// Open offers a new flow to an agent. The caller's first packet follows.
	Open MessageKind = 1 + iota
	// Pass forwards a packet of a flow to the agent that should hold it.
	Pass
	// Lookup carries a packet of a flow that the balancer does not know to an agent.
	// All agents answer; the one that holds the flow also forwards the packet to its
	// server.
	Lookup
	// Taken answers Open: the server accepted the flow and answered the caller.
	Taken
	// Refused answers Open or ReserveCapacity: the agent does not accept the flow.
	Refused
	// Queued answers Open or ReserveCapacity: the flow waits at the agent for capacity
	// of the server. Taken, CapacityReserved or Refused follows.
	Queued
	// Held answers Lookup: the server holds the flow.
	Held
	// NotHeld answers Lookup, and Pass if the server does not hold the flow. With
	// ReasonLost the server held the flow and lost it, so no server holds it any more.
	// An agent sends it with ReasonLost and ResetSeq of its own accord for idle flows.
	NotHeld
	// Hello asks an agent for a report.
	Hello
	// Report carries an agent's state and load.
	Report
	// MemberListRequest asks another balancer for the agents that it knows.
	MemberListRequest
	// MemberList answers MemberListRequest. The agents follow, in several messages if
	// necessary.
	MemberList
	// Balancers lists other balancers for one that has recently started. It comes from
	// an agent; the addresses follow.
	Balancers
	// Query asks an agent whether its server holds some flows; their keys follow.
	Query
	// QueryAnswer answers Query; the results follow.
	QueryAnswer
	// ReserveCapacity asks an agent to reserve capacity for the next flow of a caller
	// whose flow has ended, before the caller is notified that it has to open a new
	// one. The agent answers with Queued and then CapacityReserved, or with Refused.
	ReserveCapacity
	// CapacityReserved answers ReserveCapacity: the server has capacity for the
	// caller's new flow.
	CapacityReserved
	// Configured informs another balancer of the configuration in force at the sender,
	// and of the latest read of the store, whose number follows.
	Configured
	// Announce informs another balancer of agents that the sender has received a
	// message from for the first time. They follow as in MemberList.
	Announce
	// AnnounceEnded informs another balancer of agents whose servers have ended. They
	// follow as in MemberList.
	AnnounceEnded
	// AnnounceFailed informs another balancer of agents that have stopped answering. They
	// follow as in MemberList.
	AnnounceFailed
	// Introduce tells an agent of another one, which follows, before the other one's server
	// takes flows. Introductions answers it.
	Introduce
	// Introductions lists the agents that were introduced to the sender. They follow. It
	// also precedes the answer to a Lookup or Query with another ListVersion.
	Introductions
	// Introduced informs an agent that others have been told of it. Agents that the sender
	// knows follow.
	Introduced

	lastKind = Introduced
)

// kinds are the names that MessageKind.String returns. They stay the same when a constant
// is renamed.
var kinds = [...]string{"invalid", "open", "pass", "seek", "taken", "refused", "queued", "held", "not_held", "hello", "report", "ask_roster", "roster", "balancers", "query", "query_answer", "return", "room", "configured", "announce", "announce_ended", "announce_failed", "introduce", "introductions", "introduced"}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return kinds[0]
}

// BetweenBalancers reports whether k is sent by balancers to balancers.
func (k MessageKind) BetweenBalancers() bool {
	switch k {
	case MemberListRequest, MemberList, Configured, Announce, AnnounceEnded, AnnounceFailed:
		return true
	}
	return false
}

// FromAgent reports whether k is sent by agents.
func (k MessageKind) FromAgent() bool {
	switch k {
	case Taken, Refused, Queued, Held, NotHeld, Report, Balancers, QueryAnswer, CapacityReserved, Introductions:
		return true
	}
	return false
}

// CarriesPacket reports whether the payload of a message of this kind, if it has one,
// is a packet of a flow.
func (k MessageKind) CarriesPacket() bool {
	return k == Open || k == Pass || k == Lookup || k == NotHeld
}

// CarriesOrders reports whether a message of this kind carries the operator's order for
// the agent's availability zone. Those that carry packets of open flows do not: they
// are the bulk of all messages, and their handling does not depend on the order.
func (k MessageKind) CarriesOrders() bool { return k == Open || k == Hello || k == ReserveCapacity }

// Valid reports whether k is one of the kinds.
func (k MessageKind) Valid() bool { return k >= Open && k <= lastKind }

// Message is one message between processes. Kind determines which fields are used;
// Revision is used in all kinds. Builds from before a field was added send 0 for it.
type Message struct {
	Kind         MessageKind
	Reason       Reason              // Refused, NotHeld; ReasonState in Hello, MemberList: the sender has recently started; in Report and QueryAnswer, ReasonNotHeld: the server holds no flows and gets none, ReasonStarted: server and sender have recently started; in ReserveCapacity, ReasonStarted: the caller's packet may be a repeat of an old one
	State        ServerState         // sent by agents
	Priority     uint8               // Open, ReserveCapacity: of the route, 0 is the most urgent; MemberList: number of messages of the list that follow
	OnTime       time.Duration       // Open, ReserveCapacity: how long the flow may wait for its request to be answered within the latency objective
	Wait         time.Duration       // Open, ReserveCapacity: how long the flow may wait for capacity at all, 0 for not at all; Hello: interval between further reports; Report: interval at which the receiver is to send hello messages, 0: in turn
	Occupancy    placement.Occupancy // sent by agents
	Service      ServiceID           // Open, ReserveCapacity: the route's; Hello: the receiver's, if known; sent by agents: their server's
	Revision     uint64              // number of the operator's orders in force at the sender; sent by agents: the newest that they received from a balancer
	ColdRate     ColdRate            // Open, Hello, ReserveCapacity: of the service named, by the orders of that number
	ZoneOrder    ZoneOrder           // Open, Hello, ReserveCapacity: for the receiver's availability zone, by the orders of that number
	LastReceived time.Duration       // Report: time since the sender last received a message from the receiver
	ReadAge      ReadAge             // of the latest read of the configuration that the sender knows of
	Incarnation  uint64              // sent by agents: drawn at the start of the process; MemberListRequest, MemberList: number of the request; Configured: drawn by the process that read the store
	Key          Key                 // Taken, Refused, Queued, Held, NotHeld, ReserveCapacity, CapacityReserved
	Zone         uint32              // sent by agents: hash of the sender's availability zone
	Health       health.Report       // sent by agents: their judgement of their server
	AnswerTime   time.Duration       // Report: mean time from a request to its answer, 0: not known
	Target       time.Duration       // Open: the route's latency objective, 0: none
	Timeout      time.Duration       // Open: the route's timeout, 0: none
	Repeatable   bool                // Open: the route's requests may be repeated
	Trial        bool                // Open: the flow is offered as the trial of a server that is on trial
	Introduce    bool                // Report: the sender asks the receiver to introduce it to other agents
	Round        uint16              // Report, QueryAnswer: number of the sender's latest introduction; Introduced and with Introduce: of the one in progress
	ListVersion  uint16              // NotHeld, QueryAnswer, Introductions: version of the sender's list of introduced agents; Lookup, Query: version of the receiver's that the sender knows
	ResetSeq     uint32              // NotHeld, 0: not given: with ReasonLost, the sequence number with which the idle caller of a lost flow is reset; in an answer to Lookup, what the packet looked up acknowledges
}

// ReadAge is the age of a read of the configuration from the store, in milliseconds.
type ReadAge uint16

// ReadUnknown stands for an age that is unknown or too high to encode.
const ReadUnknown ReadAge = 1<<16 - 1

// AgeOf returns the age at now of a read made at the given time.
func AgeOf(now, at time.Time) ReadAge {
	if at.IsZero() {
		return ReadUnknown
	}
	ms := max(now.Sub(at).Milliseconds(), 0)
	return ReadAge(min(ms, int64(ReadUnknown)))
}

// ReadAt returns the time of a read of the given age, zero if unknown.
func ReadAt(now time.Time, age ReadAge) time.Time {
	if age == ReadUnknown {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// EffectKind says what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	// SendMessage sends Message to To, followed by Packet if there is one.
	SendMessage EffectKind = 1 + iota
	// SendServer passes Packet to the backend server.
	SendServer
	// SendCaller passes Packet to the caller of Message.Key.
	SendCaller
	// SendReset resets the flow at the caller of Message.Key with ResetSeq.
	SendReset
)

// Effect is one action for the caller of the package to carry out. Packet is the packet
// passed to the call that produced the effect, or one that the state machine kept; it
// is valid until the next call.
type Effect struct {
	Kind     EffectKind
	To       netip.AddrPort
	Message  Message
	Packet   []byte
	ResetSeq uint32
}
