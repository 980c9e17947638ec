package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	backendDialTimeout = 2 * time.Second
	backendIdleConns   = 64
	backendIdleTimeout = 30 * time.Second
)

// CallError reports a request to the backend server that got no complete response
// header. Sent is true if any byte of the request may have reached the server. BodyFailed is
// true if the caller did not send the whole body of its request.
type CallError struct {
	Sent       bool
	BodyFailed bool
	Err        error
}

func (e *CallError) Error() string {
	if e.Sent {
		return fmt.Sprintf("backend server gave no answer after the request went out: %v; the request may have run", e.Err)
	}
	return fmt.Sprintf("backend server took no byte of the request: %v; it was not run and may be sent again", e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// backend sends requests to one backend server over HTTP/1.1.
type backend struct {
	url       *url.URL
	transport *http.Transport
}

func newBackend(u *url.URL) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{url: u, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: backendIdleConns,
		IdleConnTimeout:     backendIdleTimeout,
	}}
}

// countingConn counts the bytes written. The count shows after a failed call whether
// any byte of the request may have reached the backend server.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write, since a failed write may have sent a part.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// sendTracker records whether any byte of one call was written.
type sendTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*countingConn)
		if !ok {
			return
		}
		t.writtenBefore.Store(c.written.Load())
		t.conn.Store(c)
	}}
}

func (t *sendTracker) sent() bool {
	c := t.conn.Load()
	return c != nil && c.written.Load() > t.writtenBefore.Load()
}

// singleUse hides the type of a body, so that http.Transport can't send it again.
//
// Transport repeats a request on a new connection when the reused connection was
// closed before a response arrived, if the body is empty and the request has an
// Idempotency-Key. The backend server may have run the first copy, so the request
// could run twice. Transport never repeats a body that is neither nil nor rewindable.
type singleUse struct{ *callerBody }

// callerBody is the body of a caller's request. It records whether the caller sent all of it.
type callerBody struct {
	io.ReadCloser
	left   int64 // bytes until the length in the request's header; negative if that has none
	closed atomic.Bool
	failed atomic.Bool
}

// Close implements io.Closer. http.Transport calls it when the backend server fails, and reads
// that fail afterwards are not the caller's fault.
func (b *callerBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left = max(0, b.left-int64(n))
	}
	if err != nil && (err != io.EOF || b.left > 0) && !b.closed.Load() {
		b.failed.Store(true)
	}
	return n, err
}

// do sends a request once and returns the response. Errors: *CallError.
func (b *backend) do(ctx context.Context, in *http.Request, header http.Header) (*http.Response, error) {
	tracker := &sendTracker{}
	ctx = httptrace.WithClientTrace(ctx, tracker.trace())
	u := *b.url
	u.Path, u.RawPath, u.RawQuery = in.URL.Path, in.URL.RawPath, in.URL.RawQuery
	body := &callerBody{ReadCloser: in.Body, left: in.ContentLength}
	out := (&http.Request{
		Method:        in.Method,
		URL:           &u,
		Host:          in.Host,
		Header:        header,
		Body:          singleUse{body},
		ContentLength: in.ContentLength,
	}).WithContext(ctx)
	// A safe request counts as having a body only if its length is given, since
	// HTTP/3 leaves the length of an empty body unknown.
	if safeMethod(in.Method) && in.ContentLength <= 0 {
		out.Body, out.ContentLength = nil, 0
	}
	resp, err := b.transport.RoundTrip(out)
	if err != nil {
		return nil, &CallError{Sent: tracker.sent(), BodyFailed: body.failed.Load(), Err: err}
	}
	return resp, nil
}

// safeMethod reports whether requests with the method are safe to run any number of
// times (RFC 9110, 9.2.1).
func safeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions
}

func (b *backend) close() { b.transport.CloseIdleConnections() }

// asCallError returns the CallError in err. Any other error counts as one after the
// request was sent.
func asCallError(err error) *CallError {
	var e *CallError
	if errors.As(err, &e) {
		return e
	}
	return &CallError{Sent: true, Err: err}
}
