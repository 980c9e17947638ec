package platform

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
)

// Endpoint is an additional address of the store, with its own faults, for some of its
// clients.
type Endpoint struct {
	store *Store
	http  *httptest.Server
	fault Fault // guarded by store.mu; if zero, the store's fault applies
	// Translate, if not nil, is applied to the keys and values in the lists that this
	// endpoint returns. It must be set before the endpoint is used.
	Translate func(value []byte) []byte

	mu    sync.Mutex
	link  *Link
	conns []*droppingConn
}

// endpointKey is the context key of a request's Endpoint.
type endpointKey struct{}

// endpointOf returns the endpoint that received a request, nil for the store's own
// address.
func endpointOf(r *http.Request) *Endpoint {
	e, _ := r.Context().Value(endpointKey{}).(*Endpoint)
	return e
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(e.http.URL, "http://"))
}

// SetFault sets the fault for the clients of this endpoint. Pending watches evaluate it
// immediately.
func (e *Endpoint) SetFault(f Fault) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.fault = f
	e.store.notifyWatches()
}

// SetLink sets the link over which the clients of this endpoint receive responses.
func (e *Endpoint) SetLink(l *Link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link = l
}

// DropOpenConnections drops all further data on the connections that are open now, without
// closing them. New connections work.
func (e *Endpoint) DropOpenConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.dropping.Store(true)
	}
	e.conns = nil
}

// droppingListener accepts connections whose data can be dropped.
type droppingListener struct {
	net.Listener
	endpoint *Endpoint
}

func (l *droppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	s := &droppingConn{Conn: c, endpoint: l.endpoint}
	l.endpoint.conns = append(l.endpoint.conns, s)
	return s, nil
}

// droppingConn discards all data read and written once dropping is set.
type droppingConn struct {
	net.Conn
	endpoint *Endpoint
	dropping atomic.Bool
}

func (c *droppingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropping.Load() {
			return n, err
		}
	}
}

func (c *droppingConn) Write(b []byte) (int, error) {
	if c.dropping.Load() {
		return len(b), nil
	}
	c.endpoint.mu.Lock()
	link := c.endpoint.link
	c.endpoint.mu.Unlock()
	return link.write(c.Conn, b)
}
