package platform

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// linkBurst is the number of bytes that a Link passes without delay.
const linkBurst = 4 << 10

// Link simulates the limited bandwidth of a VM's network link, which all its connections
// share. The nil Link has no limit.
type Link struct{ limiter *rate.Limiter }

// NewLink returns a link with a bandwidth of bytesPerS bytes per second.
func NewLink(bytesPerS int) *Link {
	return &Link{rate.NewLimiter(rate.Limit(bytesPerS), linkBurst)}
}

// Limit returns a connection whose writes are limited to the link's bandwidth.
func (l *Link) Limit(c net.Conn) net.Conn {
	if l == nil {
		return c
	}
	return &linkConn{c, l}
}

// Listen returns a listener whose connections' writes are limited to the link's
// bandwidth.
func (l *Link) Listen(ln net.Listener) net.Listener { return &linkListener{ln, l} }

type linkListener struct {
	net.Listener
	link *Link
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Limit(c), nil
}

type linkConn struct {
	net.Conn
	link *Link
}

func (c *linkConn) Write(b []byte) (int, error) { return c.link.write(c.Conn, b) }

// write writes b to c, limited to the link's bandwidth.
func (l *Link) write(c net.Conn, b []byte) (int, error) {
	if l == nil {
		return c.Write(b)
	}
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+linkBurst)]
		if err := l.limiter.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := c.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
