// Package control carries control messages between the system's processes:
// CBOR, sealed under the fleet key, one message a datagram.
package control

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/internal/udp"
)

// Datagram is a control datagram as it arrived.
type Datagram struct {
	From netip.AddrPort
	Data []byte
}

// Link sends and opens control datagrams on one socket. It is safe for
// concurrent use.
type Link struct {
	box    *seal.Box
	socket *udp.Conn
	// Sent, if not nil, is told the bytes of each datagram sent.
	Sent func(bytes int)
}

// NewLink returns a link over socket.
func NewLink(ring fleetkey.Ring, socket *udp.Conn) (*Link, error) {
	box, err := seal.NewBox(ring)
	if err != nil {
		return nil, err
	}
	return &Link{box: box, socket: socket}, nil
}

// SendBytes sends an encoded message. A datagram that the kernel refuses is
// lost, as any may be.
func (l *Link) SendBytes(t seal.Topic, to netip.AddrPort, b []byte) {
	d := l.box.Seal(t, b)
	if l.Sent != nil {
		l.Sent(len(d))
	}
	l.socket.WriteTo(d, to)
}

// Send encodes and sends a message.
func (l *Link) Send(t seal.Topic, to netip.AddrPort, message any) error {
	b, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	l.SendBytes(t, to, b)
	return nil
}

// Open returns the topic and the encoded message of a datagram.
func (l *Link) Open(d Datagram) (seal.Topic, []byte, bool) { return l.box.Open(d.Data) }

// What a membership ack says of the subject's catalogue entry, beside the
// entry's version.
const (
	NoCatalogue uint64 = 0       // the balancer has no catalogue
	NoEntry     uint64 = 1 << 63 // its catalogue has no entry for the service number
)

// RosterRequest asks a balancer which agents of a service vote on idempotency
// keys.
type RosterRequest struct {
	Service uint32 `cbor:"1,keyasint"`
	Seq     uint64 `cbor:"2,keyasint"` // comes back in the answer
}

// MaxVoters bounds each list of a RosterAnswer, so that it fits one datagram.
const MaxVoters = 32

// GoneVoter is an agent that voted and is not live any more.
type GoneVoter struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	Age  uint32         `cbor:"2,keyasint"` // seconds since it vanished or left
	Left bool           `cbor:"3,keyasint,omitempty"`
}

// RosterAnswer is the balancer's view of a service's voters: the MaxVoters
// agents of lowest hash, live and gone.
type RosterAnswer struct {
	Seq      uint64           `cbor:"1,keyasint"`
	Live     []netip.AddrPort `cbor:"2,keyasint"`
	Gone     []GoneVoter      `cbor:"3,keyasint,omitempty"`
	Complete bool             `cbor:"4,keyasint,omitempty"` // Gone reaches back over the whole retention
	Serving  uint32           `cbor:"5,keyasint,omitempty"` // agents of the service that take new flows
}
