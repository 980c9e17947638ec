package deployment

import (
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go/http3"

	"github.com/hemlockscale/hemlockscale/internal/agent"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
)

// Direct is an ordinary HTTP/3 server on a plain UDP socket that uses the handler,
// the admission and the backend server of a running agent. It is the baseline for
// measurements: it needs no fabric, balancers and frames.
type Direct struct {
	Addr   netip.AddrPort
	socket *net.UDPConn
	server *http3.Server
}

// Direct starts an additional server for the agent a.
func (d *Deployment) Direct(a *Agent) (*Direct, error) {
	cert, err := d.authority.Certificate(a.Service)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	server := &http3.Server{
		Handler:    a.Handler(),
		TLSConfig:  http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}}),
		QUICConfig: agent.QUICConfig(),
	}
	go server.Serve(socket)
	return &Direct{Addr: socket.LocalAddr().(*net.UDPAddr).AddrPort(), socket: socket, server: server}, nil
}

// Close stops the server.
func (s *Direct) Close() {
	s.server.Close()
	s.socket.Close()
}

// CallerTo returns a new caller of a service that sends its requests to addr.
func (d *Deployment) CallerTo(service string, addr netip.AddrPort) (*caller.Caller, error) {
	return caller.New(caller.Config{Address: addr, Service: service, Roots: d.authority.Pool()})
}
