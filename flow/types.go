package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the IPv4 addresses and ports of the caller and of the
// service address that the caller opened the flow to.
type Key struct {
	Caller, Service         [4]byte
	CallerPort, ServicePort uint16
}

// KeySize is the length of an encoded key in bytes.
const KeySize = 12

// Append appends the encoded key to b.
func (k Key) Append(b []byte) []byte {
	b = append(b, k.Caller[:]...)
	b = append(b, k.Service[:]...)
	b = binary.LittleEndian.AppendUint16(b, k.CallerPort)
	return binary.LittleEndian.AppendUint16(b, k.ServicePort)
}

// DecodeKey reads a key from the start of b. ok is false if b is too short.
func DecodeKey(b []byte) (k Key, ok bool) {
	if len(b) < KeySize {
		return Key{}, false
	}
	copy(k.Caller[:], b)
	copy(k.Service[:], b[4:])
	k.CallerPort = binary.LittleEndian.Uint16(b[8:])
	k.ServicePort = binary.LittleEndian.Uint16(b[10:])
	return k, true
}

// hash distributes keys evenly. All processes compute the same value.
func (k Key) hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.Append(b[:0]))
}

// CallerAddr returns the caller's address and port.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Caller), k.CallerPort)
}

// ServiceAddr returns the service's address and port.
func (k Key) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Service), k.ServicePort)
}

// ID identifies one flow among those that a caller opens one after the other from the
// same port.
type ID struct {
	Key    Key
	Opener uint32 // sequence number of the first packet
}

// Append appends the encoded ID, 16 bytes, to b.
func (id ID) Append(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(id.Key.Append(b), id.Opener)
}

// Segment holds the header fields of a packet. Seq and Ack count bytes, as in TCP.
type Segment struct {
	Key     Key
	Seq     uint32
	Ack     uint32 // of a first packet: number of copies sent before it
	Data    int    // bytes of data
	Syn     bool
	HasAck  bool
	Fin     bool
	Rst     bool
	Bounced bool // sent back by the server, which does not hold or can't accept the flow
}

// first reports whether s is the first packet of a flow, sent by the caller.
func (s *Segment) first() bool { return s.Syn && !s.HasAck }

// ServiceID identifies a service in messages. It is a 64-bit hash of the service's
// name, wide enough that no two services of a fleet share one; 0 means no service.
type ServiceID uint64

// IDOf returns the ID of the service called name.
func IDOf(name string) ServiceID {
	if name == "" {
		return 0
	}
	return ServiceID(xxhash.Sum64String(name))
}

// ServerState is the state of a backend server as its agent knows it.
type ServerState uint8

// The states of a backend server.
const (
	ServerUnknown      ServerState = iota // no heartbeat in this process, or none recently
	ServerReady                           // accepts new flows
	ServerDraining                        // keeps its flows, accepts no new ones
	ServerUnresponsive                    // does not react to packets
	ServerEnded                           // has stopped
	ServerEvacuated                       // could accept new flows, but its availability zone gets none
)

// serverStates are the names of the states outside the process, as in logs and metrics.
// They stay the same when a constant is renamed.
var serverStates = [...]string{"unknown", "ready", "draining", "silent", "gone", "evacuated"}

// String returns the state's name.
func (s ServerState) String() string {
	if int(s) < len(serverStates) {
		return serverStates[s]
	}
	return "invalid"
}

// Reason says why a flow was refused, reset or is not held.
type Reason uint8

// The reasons.
const (
	ReasonNone         Reason = iota
	ReasonState               // the server is not ready: draining, ended or unknown
	ReasonService             // the server belongs to another service
	ReasonBusy                // too many requests in progress
	ReasonBounced             // the server sent the packet back
	ReasonUnresponsive        // the server did not answer in time
	ReasonTimeout             // the agent did not answer in time
	ReasonNoRoute             // no route of the configuration matches the service address
	ReasonNoAgent             // no agent of the service is left to offer the flow to
	ReasonNotHeld             // the server does not hold the flow
	ReasonLost                // the server held the flow and lost it
	ReasonOverflow            // a bounded table is full
	ReasonResetPending        // the flow has ended; its caller is notified once a server has capacity for a new flow
	ReasonStarted             // the server and its agent have recently started
	ReasonEvacuated           // the operator has taken the availability zone out of service
	ReasonRegion              // all servers of the service are in regions that the route does not name
)

// reasons are the names of the reasons outside the process, as in logs and metrics. They
// stay the same when a constant is renamed.
var reasons = [...]string{"none", "state", "service", "busy", "bounced", "silent", "timeout", "no_route", "no_agent", "not_held", "lost", "overflow", "return", "started", "evacuated", "region"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "invalid"
}

// Reasons is the number of reasons.
const Reasons = len(reasons)
