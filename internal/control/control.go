// Package control sends and receives control messages between the system's processes.
// Each datagram is one message, encoded as CBOR and encrypted with the fleet key.
package control

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

// Datagram is a received control datagram, still encrypted.
type Datagram struct {
	From netip.AddrPort
	Data []byte
}

// Link sends control datagrams on one socket and decrypts received ones. It is safe
// for concurrent use.
type Link struct {
	box    *seal.Box
	socket *udp.Conn
	// OnSent, if not nil, is called with the size of each datagram sent.
	OnSent func(bytes int)
}

// NewLink returns a link that sends on socket.
func NewLink(ring fleetkey.Ring, socket *udp.Conn) (*Link, error) {
	box, err := seal.NewBox(ring)
	if err != nil {
		return nil, err
	}
	return &Link{box: box, socket: socket}, nil
}

// SendBytes encrypts and sends an encoded message. Errors of the socket are ignored,
// since any datagram may be lost.
func (l *Link) SendBytes(t seal.Topic, to netip.AddrPort, b []byte) {
	d := l.box.Seal(t, b)
	if l.OnSent != nil {
		l.OnSent(len(d))
	}
	l.socket.WriteTo(d, to)
}

// Send encodes, encrypts and sends a message. Its errors are those of the encoding.
func (l *Link) Send(t seal.Topic, to netip.AddrPort, message any) error {
	b, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	l.SendBytes(t, to, b)
	return nil
}

// Open decrypts a datagram and returns the topic and the encoded message. The result is
// false if the datagram is malformed or was not encrypted with a fleet key.
func (l *Link) Open(d Datagram) (seal.Topic, []byte, bool) { return l.box.Open(d.Data) }

// Values of a membership ack's field for the version of the subject's catalogue entry,
// if there is no such version.
const (
	NoCatalogue uint64 = 0       // the balancer has no catalogue
	NoEntry     uint64 = 1 << 63 // the balancer's catalogue has no entry for the service number
)

// VoterListRequest requests from a balancer the voter list of a service: the agents
// that vote on its idempotency keys.
type VoterListRequest struct {
	Service uint32 `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // returned in the response
}

// MaxVoters is the maximum length of each list in a VoterListResponse, so that it fits
// into one datagram.
const MaxVoters = 32

// DepartedVoter is an agent that voted earlier and is no longer live.
type DepartedVoter struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	Age  uint32         `cbor:"2,keyasint"` // seconds since it failed or deregistered
	Left bool           `cbor:"3,keyasint,omitempty"`
}

// VoterListResponse is a service's voter list as the balancer knows it: of the live and
// of the departed agents, the MaxVoters ones with the lowest hash.
type VoterListResponse struct {
	Seq      uint64           `cbor:"1,keyasint"`
	Live     []netip.AddrPort `cbor:"2,keyasint"`
	Departed []DepartedVoter  `cbor:"3,keyasint,omitempty"`
	Complete bool             `cbor:"4,keyasint,omitempty"` // Departed covers the whole retention time
	Serving  uint32           `cbor:"5,keyasint,omitempty"` // number of agents of the service that accept new flows
}
