package flow

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/placement"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// The messages between balancers and agents.
const (
	// Open offers a new flow: a caller's first packet follows. To an agent.
	Open MessageKind = 1 + iota
	// Pass brings a packet of a flow that the agent should hold. To an agent.
	Pass
	// Lookup brings a packet of a flow that the balancer does not know. Whoever
	// holds the flow passes the packet on; all answer. To an agent.
	Lookup
	// Taken answers Open: the server answered the caller.
	Taken
	// Refused answers Open: the flow is not with this agent.
	Refused
	// Queued answers Open: the flow waits for room at the server. Taken or
	// Refused follows.
	Queued
	// Held answers Seek.
	Held
	// NotHeld answers Seek, and Pass if the flow is not there. With ReasonLost
	// the flow is nowhere any more.
	NotHeld
	// Hello makes a balancer known to an agent.
	Hello
	// Report tells an agent's state and load.
	Report
	// MemberListRequest asks another balancer for the agents that it knows.
	MemberListRequest
	// MemberList answers MemberListRequest; the agents follow, in several messages if need be.
	MemberList
	// Balancers tells a balancer that has just started of others; their
	// addresses follow. From an agent.
	Balancers
	// Query asks whether the server holds some flows; they follow. To an agent.
	Query
	// QueryAnswer answers Query; what there is to say of the flows follows.
	QueryAnswer
	// ReserveCapacity asks for room for the caller of a flow that has ended, before the
	// caller is told to open a new one. To an agent, which answers with Queued
	// and then with Room, or with Refused.
	ReserveCapacity
	// CapacityReserved answers Return: the server has room for the caller's new flow.
	CapacityReserved
	// Configured tells another balancer of the configuration in force at the sender,
	// and of the latest read of the store, whose number follows.
	Configured
	// Announce tells another balancer of agents that were heard for the first time;
	// they follow as in Roster.
	Announce

	lastKind = Announce
)

var kinds = [...]string{"invalid", "open", "pass", "seek", "taken", "refused", "queued", "held", "not_held", "hello", "report", "ask_roster", "roster", "balancers", "query", "query_answer", "return", "room", "configured", "announce"}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	return kinds[0]
}

// BetweenBalancers reports whether k is sent by balancers to balancers.
func (k MessageKind) BetweenBalancers() bool {
	return k == MemberListRequest || k == MemberList || k == Configured || k == Announce
}

// CarriesPacket reports whether what follows a message of this kind, if anything
// does, is a packet of a flow.
func (k MessageKind) CarriesPacket() bool {
	return k == Open || k == Pass || k == Lookup || k == NotHeld
}

// CarriesOrders reports whether a message of this kind tells an agent the operator's order
// for its availability zone. Those that bring packets of open flows do not: they are
// most of all messages, and nothing that they ask for depends on it.
func (k MessageKind) CarriesOrders() bool { return k == Open || k == Hello || k == ReserveCapacity }

// Valid reports whether k is one of the kinds.
func (k MessageKind) Valid() bool { return k >= Open && k <= lastKind }

// Message is one message between processes. Which fields count
// depends on Kind; Revision does in all of them.
type Message struct {
	Kind         MessageKind
	Reason       Reason              // Refused, NotHeld; ReasonState in Hello, MemberList: the sender has just started; in Report, ReasonNotHeld: the server holds no flow and gets none, ReasonStarted: it and the sender have just started
	State        ServerState         // sent by agents
	Priority     uint8               // Open, Return: of the route, 0 is the most urgent; MemberList: messages of it that follow
	OnTime       time.Duration       // Open, Return: how long it may wait and still be answered in time
	Wait         time.Duration       // Open, Return: how long it may wait for room at all, 0 for not; Hello: time between the agent's reports
	Occupancy    placement.Occupancy // sent by agents
	Service      ServiceID           // Open, Return: the route's; Hello: the receiver's, as far as known; sent by agents: their server's
	Revision     uint64              // number of the operator's orders in force at the sender; sent by agents: the newest that a balancer had in force
	ColdRate     ColdRate            // Open, Hello, Return: of the service named, by the orders of that number
	ZoneOrder    ZoneOrder           // Open, Hello, Return: for the receiver's availability zone, by the orders of that number
	LastReceived time.Duration       // Report: since the sender last heard the receiver
	ReadAge      ReadAge             // of the latest read of the configuration that the sender knows of
	Incarnation  uint64              // sent by agents: drawn at the start of the process; MemberListRequest, MemberList: number of the request; Configured: drawn by the process that read the store
	Key          Key                 // Taken, Refused, Queued, Held, NotHeld, Return, Room
	Zone         uint32              // Report: hash of the sender's availability zone
}

// ReadAge is the age of a read of the configuration in the store, in
// milliseconds.
type ReadAge uint16

// ReadUnknown stands for an age that is unknown, or too high to tell.
const ReadUnknown ReadAge = 1<<16 - 1

// AgeOf returns the age at now of a read that was made at the given time.
func AgeOf(now, at time.Time) ReadAge {
	if at.IsZero() {
		return ReadUnknown
	}
	ms := max(now.Sub(at).Milliseconds(), 0)
	return ReadAge(min(ms, int64(ReadUnknown)))
}

// ReadAt returns when a read of the given age was made, zero if unknown.
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

// Effect is one thing to do. Packet is the packet of the call that produced the
// effect, or one that the state machine kept; it is valid until the next call.
type Effect struct {
	Kind     EffectKind
	To       netip.AddrPort
	Message  Message
	Packet   []byte
	ResetSeq uint32
}
