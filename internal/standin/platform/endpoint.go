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

// Endpoint is one more address of the store, for some of its callers.
type Endpoint struct {
	store *Store
	http  *httptest.Server
	fault Fault // guarded by store.mu; the zero fault leaves the store's own
	// Translate, if not nil, changes what lists name by this endpoint, keys and values. It
	// has to be set before the endpoint is used.
	Translate func(value []byte) []byte

	mu    sync.Mutex
	link  *Link
	conns []*droppingConn
}

// endpointKey marks a request's context with its Endpoint.
type endpointKey struct{}

// endpointOf returns the endpoint that a request came by, nil for none.
func endpointOf(r *http.Request) *Endpoint {
	d, _ := r.Context().Value(endpointKey{}).(*Endpoint)
	return d
}

// Addr returns the endpoint's address.
func (d *Endpoint) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(d.http.URL, "http://"))
}

// SetFault sets what is wrong for those who come by this endpoint. Calls under way
// end.
func (d *Endpoint) SetFault(f Fault) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.fault = f
	d.store.notifyWatches()
}

// SetLink sets the link that those who come by this endpoint read answers by.
func (d *Endpoint) SetLink(l *Link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.link = l
}

// DropOpenConnections makes the connections that are open now go silent for good, without
// an end; new ones work.
func (d *Endpoint) DropOpenConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.dropping.Store(true)
	}
	d.conns = nil
}

// droppingListener accepts connections that can go silent.
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

// droppingConn swallows what comes and goes once it is silent.
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
