// Package bulk carries transfers too large for control datagrams between the
// system's processes: one request and one answer a QUIC stream.
//
// Both ends prove by their certificate that they hold a fleet key: the
// certificate's key pair is derived from it.
package bulk

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/transfer"
)

const (
	protocol    = "hemlock-bulk/1"
	certificate = 100 * 365 * 24 * time.Hour // the fleet key, not the date, ends its use
	// maxRequest bounds a request in bytes.
	maxRequest = 1 << 10
	// maxServed bounds the transfers served at once. One more is refused at
	// once: the asker turns to another process, and the memory of this one
	// stays within its share.
	maxServed   = 4
	idleTimeout = 5 * time.Second
	// answerTimeout is the time in which an answer has to begin, and stepTimeout that in
	// which more of it has to arrive: how long the whole takes depends on the catalogue and
	// on the link.
	answerTimeout = 5 * time.Second
	stepTimeout   = 3 * time.Second

	codeBusy  quic.ApplicationErrorCode = 1
	codeDone  quic.ApplicationErrorCode = 0
	streamCut quic.StreamErrorCode      = 1
)

// Kind tells what a request asks for.
type Kind byte

// The kinds of request.
const (
	KindCatalogue Kind = 1 // the request is a catalogue.Digest, the answer a catalogue.Bulk
	KindRoster    Kind = 2 // the answer is what membership.Machine.EncodeAll returns
)

// PeerError reports a peer that does not hold a fleet key.
type PeerError struct{}

func (*PeerError) Error() string {
	return "bulk: the peer holds no fleet key; give all processes of the fleet the same keys"
}

// Handler writes the answer to a request.
type Handler func(ctx context.Context, kind Kind, request []byte, w io.Writer) error

// tlsConfig returns the configuration of both ends.
func tlsConfig(ring fleetkey.Ring) (*tls.Config, error) {
	key := keyPair(ring[0])
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(certificate)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	verify := func(s tls.ConnectionState) error {
		for _, k := range ring {
			if len(s.PeerCertificates) > 0 && keyPair(k).Public().(ed25519.PublicKey).Equal(s.PeerCertificates[0].PublicKey) {
				return nil
			}
		}
		return &PeerError{}
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // names mean nothing here; VerifyConnection compares the keys
		VerifyConnection:   verify,
	}, nil
}

func keyPair(k fleetkey.Key) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(k.Derive("bulk", ed25519.SeedSize))
}

// Port is the socket for transfers of one process, both ways.
type Port struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	handler   Handler
	limits    transfer.Limits // of Fetch
	served    chan struct{}
	wg        sync.WaitGroup
}

// Listen opens a port at addr.
func Listen(ring fleetkey.Ring, addr netip.AddrPort, h Handler) (*Port, error) {
	t, err := tlsConfig(ring)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &Port{socket: socket, transport: &quic.Transport{Conn: socket}, tls: t, handler: h, limits: transfer.Limits{Answer: answerTimeout, Step: stepTimeout}, served: make(chan struct{}, maxServed)}
	p.listener, err = p.transport.Listen(t, quicConfig())
	if err != nil {
		socket.Close()
		return nil, err
	}
	return p, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 1, MaxIncomingUniStreams: -1}
}

// Serve answers requests until Close.
func (p *Port) Serve() error {
	for {
		conn, err := p.listener.Accept(context.Background())
		if errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case p.served <- struct{}{}:
			p.wg.Go(func() {
				p.serve(conn)
				<-p.served
			})
		default:
			conn.CloseWithError(codeBusy, "busy, ask another process")
		}
	}
}

func (p *Port) serve(conn *quic.Conn) {
	stream, err := conn.AcceptStream(conn.Context())
	if err != nil {
		return
	}
	request, err := io.ReadAll(io.LimitReader(stream, maxRequest))
	if err != nil || len(request) == 0 {
		conn.CloseWithError(codeDone, "")
		return
	}
	if err := p.handler(conn.Context(), Kind(request[0]), request[1:], stream); err != nil {
		stream.CancelWrite(streamCut)
	}
	stream.Close()
	<-conn.Context().Done() // the asker closes once it has everything
}

// Fetch asks the port at addr and passes the answer to read. Errors:
// *transfer.StalledError.
func (p *Port) Fetch(ctx context.Context, addr netip.AddrPort, kind Kind, request []byte, read func(io.Reader) error) error {
	ctx, e := transfer.Begin(ctx, p.limits)
	defer e.End()
	if err := p.exchange(ctx, e, addr, append([]byte{byte(kind)}, request...), read); err != nil {
		return fmt.Errorf("bulk: %v: %w", addr, transfer.Err(ctx, err))
	}
	return nil
}

func (p *Port) exchange(ctx context.Context, e *transfer.Exchange, addr netip.AddrPort, request []byte, read func(io.Reader) error) error {
	conn, err := p.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), p.tls, quicConfig())
	if err != nil {
		return err
	}
	defer conn.CloseWithError(codeDone, "")
	stop := context.AfterFunc(ctx, func() { conn.CloseWithError(codeDone, "") })
	defer stop()
	stream, err := conn.OpenStream()
	if err != nil {
		return err
	}
	if _, err := stream.Write(request); err != nil {
		return err
	}
	stream.Close()
	return read(e.Body(stream, -1))
}

// Close ends Serve and every transfer, and waits for them.
func (p *Port) Close() {
	p.listener.Close()
	p.transport.Close()
	p.socket.Close()
	p.wg.Wait()
}
