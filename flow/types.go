package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow: IPv4 addresses and ports of the caller and of the
// service address that it opened the flow to.
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

// hash spreads keys evenly; equal on all processes.
func (k Key) hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.Append(b[:0]))
}

// CallerAddr returns the caller's end.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Caller), k.CallerPort)
}

// ServiceAddr returns the service's end.
func (k Key) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Service), k.ServicePort)
}

// ID identifies one flow among those that a caller opens from the same port one
// after the other.
type ID struct {
	Key    Key
	Opener uint32 // sequence number of the first packet
}

// Append appends the encoded ID, 16 bytes, to b.
func (id ID) Append(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(id.Key.Append(b), id.Opener)
}

// Segment is what a packet's header says. Seq and Ack count bytes, as in TCP.
type Segment struct {
	Key     Key
	Seq     uint32
	Ack     uint32 // of a first packet: how many copies went before it
	Data    int    // bytes of data
	Syn     bool
	HasAck  bool
	Fin     bool
	Rst     bool
	Bounced bool // the server sent it back: it does not hold or can't accept the flow
}

// first reports whether s is the first packet that a caller sends.
func (s *Segment) first() bool { return s.Syn && !s.HasAck }

// ServiceID stands for a service's name in messages: a hash of 64 bits, so that
// no two of a fleet's services share one. 0 is no service.
type ServiceID uint64

// IDOf returns the ID of the service called name.
func IDOf(name string) ServiceID {
	if name == "" {
		return 0
	}
	return ServiceID(xxhash.Sum64String(name))
}

// ServerState is what an agent knows about its backend server.
type ServerState uint8

// The states of a backend server.
const (
	ServerUnknown      ServerState = iota // not heard of in this process, or not lately
	ServerReady                           // takes new flows
	ServerDraining                        // keeps its flows, takes no new ones
	ServerUnresponsive                    // does not react to packets
	ServerEnded                           // has ended
	ServerEvacuated                       // could take new flows, and its availability zone gets none
)

var serverStates = [...]string{"unknown", "ready", "draining", "silent", "gone", "evacuated"}

// String returns the state's name.
func (s ServerState) String() string {
	if int(s) < len(serverStates) {
		return serverStates[s]
	}
	return "invalid"
}

// Reason says why a flow was not taken, or is not held.
type Reason uint8

// The reasons.
const (
	ReasonNone         Reason = iota
	ReasonState               // the server is not ready: draining, gone or not heard of
	ReasonService             // the server belongs to another service
	ReasonBusy                // too many requests at work
	ReasonBounced             // the server sent the packet back
	ReasonUnresponsive        // the server did not answer in time
	ReasonTimeout             // the agent did not answer in time
	ReasonNoRoute             // no route of the configuration leads anywhere
	ReasonNoAgent             // no agent of the service is left to offer the flow to
	ReasonNotHeld             // the server holds no such flow
	ReasonLost                // the server held the flow and has lost it
	ReasonOverflow            // a bounded table is full
	ReasonResetPending        // the flow has ended, and its caller is told as soon as there is room for it
	ReasonStarted             // the server and its agent have just started
	ReasonEvacuated           // the operator has taken the availability zone out of service
	ReasonRegion              // all servers are in regions that the route does not name
)

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
