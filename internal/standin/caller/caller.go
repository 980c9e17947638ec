// Package caller simulates callers: ordinary HTTP/3 clients that check
// every byte that they receive.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/hemlockscale/hemlockscale/internal/standin/content"
	"github.com/hemlockscale/hemlockscale/internal/tracing"
)

// Config holds the settings of a caller.
type Config struct {
	Address     netip.AddrPort // service address with the fabric's port
	Service     string         // name in the certificate and in the answers
	Roots       *x509.CertPool
	Traces      *tracing.Provider // nil: tracing is off
	IdleTimeout time.Duration     // time without packets after which a connection is closed; default 30 s
}

// Caller is one caller, which uses one connection at a time.
type Caller struct {
	cfg       Config
	socket    *net.UDPConn
	quic      *quic.Transport
	transport *http3.Transport
}

// Error reports a wrong or missing answer.
type Error struct {
	Kind   ErrorKind
	Detail string
}

// ErrorKind is the type of an Error.
type ErrorKind string

// The kinds of errors. WrongAnswer and TruncatedAnswer must never occur. BrokenFlow is a
// failure that the caller can detect, such as a connection closed too early.
const (
	WrongAnswer     ErrorKind = "wrong answer"
	TruncatedAnswer ErrorKind = "truncated answer that looked complete"
	BrokenFlow      ErrorKind = "broken flow"
)

func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

const defaultIdle = 30 * time.Second

// New returns a caller, which connects when it sends its first request.
func New(cfg Config) (*Caller, error) {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdle
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	c := &Caller{cfg: cfg, socket: socket, quic: &quic.Transport{Conn: socket}}
	c.transport = &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: cfg.Roots, ServerName: cfg.Service, NextProtos: []string{http3.NextProtoH3}},
		QUICConfig:      &quic.Config{MaxIdleTimeout: cfg.IdleTimeout, KeepAlivePeriod: cfg.IdleTimeout / 4, HandshakeIdleTimeout: cfg.IdleTimeout / 3},
		Dial:            c.dial,
	}
	return c, nil
}

func (c *Caller) dial(ctx context.Context, _ string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
	return c.quic.DialEarly(ctx, net.UDPAddrFromAddrPort(c.cfg.Address), t, q)
}

// Close closes the caller's connection and socket.
func (c *Caller) Close() {
	c.transport.Close()
	c.quic.Close()
	c.socket.Close()
}

// Answer is the answer to one request.
type Answer struct {
	Status     int
	Header     http.Header
	Body       []byte
	Server     string // backend server that answered
	Outcome    string // header Hemlock-Outcome, empty if the request was run
	RetryAfter string
}

// Do sends one request and returns its complete answer.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*Answer, error) {
	resp, err := c.open(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &Error{Kind: BrokenFlow, Detail: err.Error()}
	}
	return &Answer{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       got,
		Server:     resp.Header.Get("Backend-Server"),
		Outcome:    resp.Header.Get("Hemlock-Outcome"),
		RetryAfter: resp.Header.Get("Retry-After"),
	}, nil
}

func (c *Caller) open(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.cfg.Service+path, r)
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.cfg.Traces.Call(req, c.transport.RoundTrip)
	if err != nil {
		return nil, &Error{Kind: BrokenFlow, Detail: err.Error()}
	}
	if s := resp.Header.Get("Backend-Service"); s != "" && s != c.cfg.Service {
		resp.Body.Close()
		return nil, &Error{Kind: WrongAnswer, Detail: fmt.Sprintf("asked %s, answered by %s", c.cfg.Service, s)}
	}
	return resp, nil
}

// Card requests a short answer and checks it.
func (c *Caller) Card(ctx context.Context, id string) (*Answer, error) {
	a, err := c.Do(ctx, http.MethodGet, "/card/"+id, nil, nil)
	if err != nil || a.Status != http.StatusOK {
		return a, err
	}
	if want := content.Card(c.cfg.Service, id); string(a.Body) != want {
		return a, &Error{Kind: WrongAnswer, Detail: fmt.Sprintf("card %s: %q", id, a.Body)}
	}
	return a, nil
}

// Reserve sends one non-idempotent request with an idempotency key.
func (c *Caller) Reserve(ctx context.Context, key, item string) (*Answer, error) {
	header := http.Header{"Idempotency-Key": {key}}
	a, err := c.Do(ctx, http.MethodPost, "/reserve", header, []byte(item))
	if err != nil || a.Status != http.StatusCreated {
		return a, err
	}
	if !strings.Contains(string(a.Body), item+" for "+key) {
		return a, &Error{Kind: WrongAnswer, Detail: fmt.Sprintf("reservation %s: %q", key, a.Body)}
	}
	return a, nil
}

// Download fetches size bytes and checks them. progress, if not nil, is called with
// the number of bytes received so far.
func (c *Caller) Download(ctx context.Context, size, seed uint64, progress func(uint64)) (server string, err error) {
	return c.DownloadAt(ctx, size, 0, seed, progress)
}

// DownloadAt is like Download, but the backend server sends rate bytes per
// second; 0 is no limit.
func (c *Caller) DownloadAt(ctx context.Context, size, rate, seed uint64, progress func(uint64)) (server string, err error) {
	resp, err := c.open(ctx, http.MethodGet, fmt.Sprintf("/download?bytes=%d&rate=%d&seed=%d", size, rate, seed), nil, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", &Error{Kind: BrokenFlow, Detail: resp.Status}
	}
	return resp.Header.Get("Backend-Server"), c.checkBody(resp.Body, size, seed, progress)
}

func (c *Caller) checkBody(body io.Reader, size, seed uint64, progress func(uint64)) error {
	source := content.New(c.cfg.Service, seed)
	got, expected := make([]byte, 32<<10), make([]byte, 32<<10)
	var total uint64
	for {
		n, err := body.Read(got)
		source.Read(expected[:n])
		if !bytes.Equal(got[:n], expected[:n]) {
			return &Error{Kind: WrongAnswer, Detail: fmt.Sprintf("download differs after %d bytes", total)}
		}
		total += uint64(n)
		if progress != nil {
			progress(total)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return &Error{Kind: BrokenFlow, Detail: fmt.Sprintf("after %d bytes: %v", total, err)}
		}
	}
	if total != size {
		return &Error{Kind: TruncatedAnswer, Detail: fmt.Sprintf("%d of %d bytes", total, size)}
	}
	return nil
}

// Feed reads a feed of events to its end and checks each event. progress, if not
// nil, is called with the number of events received so far.
func (c *Caller) Feed(ctx context.Context, events int, interval time.Duration, seed uint64, progress func(int)) (server string, err error) {
	path := fmt.Sprintf("/feed?events=%d&interval_ms=%d&seed=%d", events, interval.Milliseconds(), seed)
	header := http.Header{"Accept": {"text/event-stream"}}
	resp, err := c.open(ctx, http.MethodGet, path, header, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", &Error{Kind: BrokenFlow, Detail: resp.Status}
	}
	server = resp.Header.Get("Backend-Server")
	lines := bufio.NewReader(resp.Body)
	for n := range events {
		line, err := lines.ReadString('\n')
		if err != nil {
			return server, &Error{Kind: BrokenFlow, Detail: fmt.Sprintf("feed ended after %d of %d events: %v", n, events, err)}
		}
		if line != content.Event(c.cfg.Service, seed, n) {
			return server, &Error{Kind: WrongAnswer, Detail: fmt.Sprintf("event %d: %q", n, line)}
		}
		if progress != nil {
			progress(n + 1)
		}
	}
	return server, nil
}
