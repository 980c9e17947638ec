package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockscale/hemlockscale/internal/transfer"
)

// Defaults of Config.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultWatchTimeout = 30 * time.Second
)

// maxResponseBytes is the limit for a response body: a value of MaxValue in base64 and the
// JSON around it.
const maxResponseBytes = 2 * MaxValue

// maxUnsentBytes is the limit for the request data that the kernel buffers before it is sent.
// Without a limit the kernel would accept a whole value at once, and the progress of its
// transfer could not be observed.
const maxUnsentBytes = 16 << 10

// setNotSentLowat sets TCP_NOTSENT_LOWAT.
func setNotSentLowat(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	if err != nil {
		return err
	}
	return opt
}

// Config configures a Client.
type Config struct {
	URL string // base URL such as http://10.0.0.1:7000
	// Timeout is the time within which the response to any call but Watch has to begin, and
	// the longest pause within a transfer; default DefaultTimeout.
	Timeout time.Duration
	// WatchTimeout is the time within which the response to Watch has to begin. It has to be
	// longer than the store holds a watch; default DefaultWatchTimeout.
	WatchTimeout time.Duration
}

// Client implements Interface over HTTP/1.1. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

var _ Interface = (*Client)(nil)

// New returns a client of the store at cfg.URL.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("store: URL %q is not of the form http://address:port; correct the setting", cfg.URL)
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchTimeout <= 0 {
		cfg.WatchTimeout = DefaultWatchTimeout
	}
	dialer := &net.Dialer{Timeout: cfg.Timeout, Control: setNotSentLowat}
	return &Client{
		cfg: cfg,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute},
			// A redirect is not followed, because that would send the body of a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Interface.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	q := url.Values{ParamKey: {key}}
	return c.read(ctx, call{op: "get", key: key, path: PathValue + "?" + q.Encode(), timeout: c.cfg.Timeout})
}

// Watch implements Interface.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	q := url.Values{ParamKey: {key}, ParamAfter: {strconv.FormatUint(after, 10)}}
	return c.read(ctx, call{op: "watch", key: key, path: PathWatch + "?" + q.Encode(), after: after, timeout: c.cfg.WatchTimeout})
}

func (c *Client) read(ctx context.Context, k call) (Value, error) {
	var body ValueBody
	if err := c.do(ctx, k, &body); err != nil {
		return Value{}, err
	}
	return Value(body), nil
}

// CompareAndSwap implements Interface.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, data []byte, lease LeaseID) (uint64, error) {
	if len(data) > MaxValue {
		return 0, &ValueTooLargeError{Key: key, Size: len(data)}
	}
	var body VersionBody
	err := c.do(ctx, call{
		op: "compare-and-swap", key: key, path: PathSwap, expect: expect, lease: lease, timeout: c.cfg.Timeout,
		body: SwapBody{Key: key, Expect: expect, Data: data, Lease: lease}, write: true,
	}, &body)
	return body.Version, err
}

// Delete implements Interface.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	return c.do(ctx, call{
		op: "delete", key: key, path: PathDelete, expect: expect, timeout: c.cfg.Timeout,
		body: SwapBody{Key: key, Expect: expect}, write: true,
	}, nil)
}

// Grant implements Interface. If the response is lost, the granted lease expires unused.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var body LeaseBody
	err := c.do(ctx, call{op: "grant", path: PathGrant, timeout: c.cfg.Timeout, body: LeaseBody{TTL: ttl.Milliseconds()}}, &body)
	return body.Lease, err
}

// Renew implements Interface.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	return c.do(ctx, call{op: "renew", path: PathRenew, lease: lease, timeout: c.cfg.Timeout, body: LeaseBody{Lease: lease}}, nil)
}

// call describes one request to the store.
type call struct {
	op, key, path string
	body          any // nil for a GET
	write         bool
	expect, after uint64
	lease         LeaseID
	timeout       time.Duration // until the response begins
}

func (c *Client) do(ctx context.Context, k call, out any) error {
	ctx, e := transfer.Begin(ctx, transfer.Limits{ResponseTimeout: k.timeout, ProgressTimeout: c.cfg.Timeout})
	defer e.End()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := c.request(ctx, e, k)
	if err != nil {
		return &UnavailableError{Op: k.op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return k.callError(transfer.Err(ctx, err), sent.Load())
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(e.Body(resp.Body, resp.ContentLength), maxResponseBytes))
	if err != nil {
		return k.callError(transfer.Err(ctx, err), true)
	}
	if resp.StatusCode == http.StatusOK {
		return k.decode(raw, out)
	}
	return k.statusError(resp, raw)
}

// request builds the HTTP request. net/http retries a request by itself when a reused
// connection fails, if the method is idempotent, or if nothing was written and the body can
// be read again. A compare-and-swap sent twice would find the result of its own first write
// and report a conflict although the edit is in force. A POST without GetBody is never
// retried.
func (c *Client) request(ctx context.Context, e *transfer.Exchange, k call) (*http.Request, error) {
	if k.body == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.URL+k.path, nil)
	}
	data, err := json.Marshal(k.body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.URL+k.path, e.Request(bytes.NewReader(data)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// callError returns the error of a call without a usable response: *UnknownOutcomeError for a
// write that may have taken effect because a connection was available to send it, otherwise
// *UnavailableError.
func (k call) callError(err error, sent bool) error {
	if k.write && sent {
		return &UnknownOutcomeError{Op: k.op, Key: k.key, Err: err}
	}
	return &UnavailableError{Op: k.op, Err: err}
}

func (k call) decode(raw []byte, out any) error {
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return k.callError(fmt.Errorf("malformed response: %w", err), true)
	}
	return nil
}

// statusError returns the error of a response with a status other than 200. Only a response
// with an ErrorBody of the store proves that a write had no effect: a 5xx without one may
// come from a proxy that timed out.
func (k call) statusError(resp *http.Response, raw []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return k.callError(fmt.Errorf("status %s", resp.Status), true)
	}
	switch body.Code {
	case CodeNotFound:
		return &NotFoundError{Key: k.key}
	case CodeConflict:
		return &ConflictError{Key: k.key, Expected: k.expect, Current: body.Current}
	case CodeLeaseExpired:
		return &LeaseExpiredError{Lease: k.lease}
	case CodeTooLarge:
		return &ValueTooLargeError{Key: k.key}
	case CodeTimeout:
		return &WatchTimeoutError{Key: k.key, After: k.after}
	case CodeNotRun, CodeInvalid:
		return &UnavailableError{Op: k.op, RetryAfter: retryAfter(resp), Err: errors.New(body.Detail)}
	}
	return k.callError(fmt.Errorf("status %s, code %q", resp.Status, body.Code), true)
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}
