// Package bulk transfers data that is too large for control datagrams between the
// system's processes: one request and one response per QUIC stream.
//
// Client and server authenticate each other with certificates whose key pair is
// derived from a fleet key.
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
	protocol            = "hemlock-bulk/1"
	certificateValidity = 100 * 365 * 24 * time.Hour // long, since the fleet key, not the date, ends the use of the certificate
	// maxRequestSize is the maximum size of a request in bytes.
	maxRequestSize = 1 << 10
	// maxServedTransfers is the maximum number of transfers served concurrently, which
	// bounds the memory used. A further one is refused immediately, so that the client
	// can try another process.
	maxServedTransfers = 4
	idleTimeout        = 5 * time.Second
	// responseTimeout is the time in which a response must begin, and progressTimeout the
	// time in which more of it must arrive. There is no limit on the total time, which
	// depends on the size of the catalogue and on the link.
	responseTimeout = 5 * time.Second
	progressTimeout = 3 * time.Second

	codeBusy    quic.ApplicationErrorCode = 1
	codeDone    quic.ApplicationErrorCode = 0
	codeAborted quic.StreamErrorCode      = 1
)

// Kind is the type of data that a request asks for.
type Kind byte

// The kinds of requests.
const (
	KindCatalogue  Kind = 1 // the request is a catalogue.Digest, the response a catalogue.Bulk
	KindMemberList Kind = 2 // the response is encoded by membership.Machine.EncodeAll
)

// PeerError reports a peer whose certificate does not belong to any fleet key.
type PeerError struct{}

func (*PeerError) Error() string {
	return "bulk: the peer has none of the fleet keys; configure the same keys on all processes of the fleet"
}

// Handler writes the response to a request.
type Handler func(ctx context.Context, kind Kind, request []byte, w io.Writer) error

// tlsConfig returns the TLS configuration of clients and servers.
func tlsConfig(ring fleetkey.Ring) (*tls.Config, error) {
	key := keyPair(ring[0])
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(certificateValidity)}
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
		InsecureSkipVerify: true, // host names are not used; VerifyConnection checks the public key
		VerifyConnection:   verify,
	}, nil
}

func keyPair(k fleetkey.Key) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(k.Derive("bulk", ed25519.SeedSize))
}

// Endpoint is the socket on which one process serves and fetches transfers.
type Endpoint struct {
	socket     *net.UDPConn
	transport  *quic.Transport
	listener   *quic.Listener
	tls        *tls.Config
	handler    Handler
	limits     transfer.Limits // of Fetch
	serveSlots chan struct{}
	wg         sync.WaitGroup
}

// Listen opens an endpoint at addr.
func Listen(ring fleetkey.Ring, addr netip.AddrPort, h Handler) (*Endpoint, error) {
	t, err := tlsConfig(ring)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	p := &Endpoint{socket: socket, transport: &quic.Transport{Conn: socket}, tls: t, handler: h, limits: transfer.Limits{ResponseTimeout: responseTimeout, ProgressTimeout: progressTimeout}, serveSlots: make(chan struct{}, maxServedTransfers)}
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

// Serve serves requests until Close.
func (p *Endpoint) Serve() error {
	for {
		conn, err := p.listener.Accept(context.Background())
		if errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case p.serveSlots <- struct{}{}:
			p.wg.Go(func() {
				p.serve(conn)
				<-p.serveSlots
			})
		default:
			conn.CloseWithError(codeBusy, "busy, ask another process")
		}
	}
}

// serve responds to the one request of a connection.
func (p *Endpoint) serve(conn *quic.Conn) {
	stream, err := conn.AcceptStream(conn.Context())
	if err != nil {
		return
	}
	request, err := io.ReadAll(io.LimitReader(stream, maxRequestSize))
	if err != nil || len(request) == 0 {
		conn.CloseWithError(codeDone, "")
		return
	}
	if err := p.handler(conn.Context(), Kind(request[0]), request[1:], stream); err != nil {
		stream.CancelWrite(codeAborted)
	}
	stream.Close()
	<-conn.Context().Done() // the client closes the connection after it has read the response
}

// Fetch sends a request to the endpoint at addr and passes the response to read. A
// transfer that makes no progress is aborted with a *transfer.StalledError.
func (p *Endpoint) Fetch(ctx context.Context, addr netip.AddrPort, kind Kind, request []byte, read func(io.Reader) error) error {
	ctx, e := transfer.Begin(ctx, p.limits)
	defer e.End()
	if err := p.exchange(ctx, e, addr, append([]byte{byte(kind)}, request...), read); err != nil {
		return fmt.Errorf("bulk: %v: %w", addr, transfer.Err(ctx, err))
	}
	return nil
}

// exchange sends a request on a new connection and passes the response to read.
func (p *Endpoint) exchange(ctx context.Context, e *transfer.Exchange, addr netip.AddrPort, request []byte, read func(io.Reader) error) error {
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

// Close ends Serve and all transfers, and waits for the transfers served.
func (p *Endpoint) Close() {
	p.listener.Close()
	p.transport.Close()
	p.socket.Close()
	p.wg.Wait()
}
