// Package udp reads and writes UDP datagrams in batches without allocating
// per datagram, and reports the local address that each one was sent to.
//
// It calls recvmmsg and sendmmsg directly, because the batch calls of
// golang.org/x/net allocate an address for every datagram read.
package udp

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// Batch is the maximum number of datagrams that one call reads or writes.
	Batch = 32
	// Headroom is the number of bytes kept free before each datagram read, so
	// that a header can be prepended without copying.
	Headroom = 64
	// MaxDatagram is the size in bytes up to which datagrams are read completely.
	// Truncated reports that a datagram was longer.
	MaxDatagram = 2048

	pktinfoLen       = 12
	socketBufferSize = 4 << 20 // bytes
)

var controlSpace = unix.CmsgSpace(pktinfoLen)

// Conn is a UDP socket over IPv4.
type Conn struct {
	conn *net.UDPConn
	raw  syscall.RawConn
}

// Listen opens a socket at addr. With an unspecified address it receives datagrams
// to all local addresses.
func Listen(addr netip.AddrPort) (*Conn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_PKTINFO, 1)
	})
	if err == nil {
		err = optErr
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	// The kernel may grant less. Errors are ignored, since a smaller buffer only means
	// more packet loss under load.
	c.SetReadBuffer(socketBufferSize)
	c.SetWriteBuffer(socketBufferSize)
	return &Conn{conn: c, raw: raw}, nil
}

// LocalAddr returns the address that the socket is bound to.
func (c *Conn) LocalAddr() netip.AddrPort {
	a := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket; blocked reads return net.ErrClosed.
func (c *Conn) Close() error {
	return c.conn.Close()
}

// IgnoreClosed returns nil for net.ErrClosed and err otherwise. Closing the socket is
// the regular way to end a goroutine that reads from it.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// WriteTo sends one datagram.
func (c *Conn) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := c.conn.WriteToUDPAddrPort(b, to)
	return err
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// Reader reads batches from one socket. It is not safe for concurrent use.
type Reader struct {
	conn  *Conn
	msgs  [Batch]mmsghdr
	iovs  [Batch]unix.Iovec
	names [Batch]unix.RawSockaddrInet4
	ctrl  []byte
	bufs  []byte
	n     int
	errno syscall.Errno
	read  func(fd uintptr) bool
}

const stride = Headroom + MaxDatagram

// NewReader returns a reader of c.
func NewReader(c *Conn) *Reader {
	r := &Reader{
		conn: c,
		ctrl: make([]byte, Batch*controlSpace),
		bufs: make([]byte, Batch*stride),
	}
	for i := range r.msgs {
		r.iovs[i].Base = &r.bufs[i*stride+Headroom]
		r.iovs[i].SetLen(MaxDatagram)
		h := &r.msgs[i].hdr
		h.Iov = &r.iovs[i]
		h.Iovlen = 1
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
		h.Control = &r.ctrl[i*controlSpace]
	}
	r.read = r.recv
	return r
}

func (r *Reader) recv(fd uintptr) bool {
	for i := range r.msgs {
		h := &r.msgs[i].hdr
		h.Namelen = unix.SizeofSockaddrInet4
		h.SetControllen(controlSpace)
	}
	n, _, errno := syscall.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.msgs[0])), Batch, unix.MSG_DONTWAIT, 0, 0)
	if errno == syscall.EAGAIN || errno == syscall.EINTR {
		return false
	}
	r.n, r.errno = int(n), errno
	return true
}

// Read waits for datagrams and returns how many were read. They are valid until
// the next Read.
func (r *Reader) Read() (int, error) {
	if err := r.conn.raw.Read(r.read); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.n, nil
}

// Datagram returns the i-th datagram of the batch.
func (r *Reader) Datagram(i int) []byte {
	at := i*stride + Headroom
	return r.bufs[at : at+int(r.msgs[i].len)]
}

// WithHeadroom returns the i-th datagram preceded by n free bytes, up to Headroom.
func (r *Reader) WithHeadroom(i, n int) []byte {
	at := i*stride + Headroom
	return r.bufs[at-n : at+int(r.msgs[i].len)]
}

// Truncated reports whether the i-th datagram was longer than MaxDatagram.
func (r *Reader) Truncated(i int) bool {
	return r.msgs[i].hdr.Flags&unix.MSG_TRUNC != 0
}

// Source returns the sender of the i-th datagram.
func (r *Reader) Source(i int) netip.AddrPort {
	n := &r.names[i]
	p := (*[2]byte)(unsafe.Pointer(&n.Port))
	return netip.AddrPortFrom(netip.AddrFrom4(n.Addr), uint16(p[0])<<8|uint16(p[1]))
}

// Destination returns the local address that the i-th datagram was sent to. ok is false
// if the kernel did not report it.
func (r *Reader) Destination(i int) (addr [4]byte, ok bool) {
	c := r.ctrl[i*controlSpace:]
	h := (*unix.Cmsghdr)(unsafe.Pointer(&c[0]))
	if r.msgs[i].hdr.Controllen < uint64(unix.CmsgLen(pktinfoLen)) || h.Level != unix.IPPROTO_IP || h.Type != unix.IP_PKTINFO {
		return addr, false
	}
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&c[unix.CmsgLen(0)]))
	return info.Addr, true
}

// Writer collects datagrams and sends them in batches. It is not safe for concurrent
// use. Datagrams that were added must not be modified until Flush.
type Writer struct {
	conn  *Conn
	msgs  [Batch]mmsghdr
	iovs  [Batch]unix.Iovec
	names [Batch]unix.RawSockaddrInet4
	ctrl  []byte
	n     int
	sent  int
	errno syscall.Errno
	write func(fd uintptr) bool
}

// NewWriter returns a writer to c.
func NewWriter(c *Conn) *Writer {
	w := &Writer{conn: c, ctrl: make([]byte, Batch*controlSpace)}
	for i := range w.msgs {
		h := &w.msgs[i].hdr
		h.Iov = &w.iovs[i]
		h.Iovlen = 1
		h.Name = (*byte)(unsafe.Pointer(&w.names[i]))
		h.Namelen = unix.SizeofSockaddrInet4
		w.names[i].Family = unix.AF_INET
		cm := (*unix.Cmsghdr)(unsafe.Pointer(&w.ctrl[i*controlSpace]))
		cm.Level = unix.IPPROTO_IP
		cm.Type = unix.IP_PKTINFO
		cm.SetLen(unix.CmsgLen(pktinfoLen))
	}
	w.write = w.send
	return w
}

// Add queues the datagram b, which must not be empty, for sending to to. If from is
// valid, it is the source address of the datagram. A full batch is flushed first;
// dropped is the number of datagrams that this flush could not send.
func (w *Writer) Add(b []byte, to netip.AddrPort, from netip.Addr) (dropped int) {
	if w.n == Batch {
		dropped = w.Flush()
	}
	i := w.n
	w.iovs[i].Base = &b[0]
	w.iovs[i].SetLen(len(b))
	w.names[i].Addr = to.Addr().As4()
	p := (*[2]byte)(unsafe.Pointer(&w.names[i].Port))
	p[0], p[1] = byte(to.Port()>>8), byte(to.Port())
	w.setSource(i, from)
	w.n++
	return dropped
}

func (w *Writer) setSource(i int, from netip.Addr) {
	h := &w.msgs[i].hdr
	if !from.IsValid() {
		h.Control = nil
		h.SetControllen(0)
		return
	}
	h.Control = &w.ctrl[i*controlSpace]
	h.SetControllen(controlSpace)
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&w.ctrl[i*controlSpace+unix.CmsgLen(0)]))
	info.Spec_dst = from.As4()
}

func (w *Writer) send(fd uintptr) bool {
	n, _, errno := syscall.Syscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&w.msgs[w.sent])), uintptr(w.n-w.sent), unix.MSG_DONTWAIT, 0, 0)
	if errno == syscall.EAGAIN || errno == syscall.EINTR {
		return false
	}
	if errno != 0 {
		n = 1 // skip the first remaining datagram, which can't be sent
		w.errno = errno
	}
	w.sent += int(n)
	return true
}

// Flush sends the queued datagrams and returns the number that the kernel
// refused. Refused datagrams are skipped, so that one unreachable receiver does
// not block the others in the batch.
func (w *Writer) Flush() (dropped int) {
	w.sent = 0
	for w.sent < w.n {
		w.errno = 0
		if w.conn.raw.Write(w.write) != nil {
			dropped += w.n - w.sent
			break
		}
		if w.errno != 0 {
			dropped++
		}
	}
	w.n = 0
	return dropped
}
