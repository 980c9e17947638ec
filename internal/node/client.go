package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/transfer"
)

const (
	// responseTimeout bounds the wait for a response header. A VM without power does not
	// refuse a connection, so this timeout keeps it from delaying the other processes' responses.
	responseTimeout = 300 * time.Millisecond
	// maxTimeoutDoublings bounds how often responseTimeout is doubled after requests that got
	// no response: where every link is saturated, no response begins within responseTimeout.
	maxTimeoutDoublings = 2
	// progressTimeout is the longest pause while a response body is read. It is above the
	// time after which TCP retransmits a lost segment for the second time.
	progressTimeout = 800 * time.Millisecond
	// MaxParallelRequests is the number of processes to which a request is sent at a time.
	// With three, at least one is reachable even if most of the fleet has just restarted.
	MaxParallelRequests = 3
	// maxValueBytes bounds a received value. It is twice the largest value in the store.
	maxValueBytes = 2 * store.MaxValue
)

// NoNewerValueError reports that no other process returned a newer value.
type NoNewerValueError struct {
	Requested int   // number of processes that the request was sent to
	Last      error // error of the last process that failed; nil if there was no process to send to
}

func (e *NoNewerValueError) Error() string {
	return fmt.Sprintf("none of %d other processes returned a newer value: read it from the store; last result: %v", e.Requested, e.Last)
}

func (e *NoNewerValueError) Unwrap() error { return e.Last }

// NotNewerError reports that a process has no newer value than the requesting one.
type NotNewerError struct {
	Process netip.AddrPort
	Version uint64 // version of the process's value
}

func (e *NotNewerError) Error() string {
	return fmt.Sprintf("process %v has version %s of the value, which is not newer; no action is needed", e.Process, store.FormatVersion(e.Version))
}

// ResponseStatusError reports a response with a status other than 200, 204 and 304.
type ResponseStatusError struct {
	Process netip.AddrPort
	Status  string
}

func (e *ResponseStatusError) Error() string {
	return fmt.Sprintf("process %v answered a request for its value with status %s; another process or the store is tried next", e.Process, e.Status)
}

// ValueTransferError reports a response that did not arrive, is incomplete or can't be read.
type ValueTransferError struct {
	Process netip.AddrPort
	Err     error
}

func (e *ValueTransferError) Error() string {
	return fmt.Sprintf("value not received from process %v: %v; another process or the store is tried next", e.Process, e.Err)
}

func (e *ValueTransferError) Unwrap() error { return e.Err }

// ValueClient fetches the followed value from other processes. It is not safe for
// concurrent use.
type ValueClient struct {
	http *http.Client
	// BodyStarted, if not nil, is called before the body of a newer value is read.
	BodyStarted func()
	// ContentNumber returns the number of a value's content; nil if contents have no numbers.
	ContentNumber func(data []byte) uint64

	unanswered int  // fetches in a row without any response
	fetchFull  bool // request the next value without the known one as its dictionary
}

// NewValueClient returns a client without open connections.
func NewValueClient() *ValueClient {
	dialer := &net.Dialer{}
	return &ValueClient{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// ReceivedValue is a value fetched from another process.
type ReceivedValue struct {
	store.Value
	Process netip.AddrPort
	Bytes   int64 // size of the response body
}

// valueResponse is the response of one process whose body has not been read yet.
type valueResponse struct {
	process  netip.AddrPort
	ctx      context.Context
	exchange *transfer.Exchange
	resp     *http.Response
	known    uint64 // content number of the value that the requesting process has
	err      error
}

// Fetch sends a request to up to MaxParallelRequests of the processes, chosen at random, and
// returns the first value that is newer than known. It cancels the other requests, since
// several responses at once would saturate the link. Errors: *NoNewerValueError,
// *ValueTransferError. It reorders processes.
func (c *ValueClient) Fetch(ctx context.Context, processes []netip.AddrPort, known store.Value) (ReceivedValue, error) {
	rand.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	processes = processes[:min(len(processes), MaxParallelRequests)]
	requestCtx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	limits := transfer.Limits{ResponseTimeout: responseTimeout << min(c.unanswered, maxTimeoutDoublings), ProgressTimeout: progressTimeout}
	responses := make(chan valueResponse, len(processes)) // each request sends one, whether or not it is read
	cancels := make([]context.CancelFunc, len(processes))
	for i, p := range processes {
		var processCtx context.Context
		processCtx, cancels[i] = context.WithCancel(requestCtx)
		go func() { responses <- c.request(processCtx, p, known, limits) }()
	}
	return c.firstNewer(processes, cancels, responses, known)
}

// firstNewer reads the first response that has a newer value and cancels the other requests.
func (c *ValueClient) firstNewer(processes []netip.AddrPort, cancels []context.CancelFunc, responses <-chan valueResponse, known store.Value) (ReceivedValue, error) {
	noNewer := &NoNewerValueError{Requested: len(processes)}
	responded := false
	for i := range processes {
		response := <-responses
		responded = responded || response.resp != nil
		if response.err == nil {
			c.unanswered = 0
			for n, p := range processes {
				if p != response.process {
					cancels[n]()
				}
			}
			go closeResponses(responses, len(processes)-i-1)
			return c.receive(response, known)
		}
		noNewer.Last = response.err
		response.close()
	}
	if responded || len(processes) == 0 {
		c.unanswered = 0
	} else {
		c.unanswered++
	}
	return ReceivedValue{}, noNewer
}

// closeResponses closes the next n responses. Their requests have been cancelled.
func closeResponses(responses <-chan valueResponse, n int) {
	for range n {
		response := <-responses
		response.close()
	}
}

// request sends a request to one process and waits for the response header.
func (c *ValueClient) request(ctx context.Context, process netip.AddrPort, known store.Value, limits transfer.Limits) valueResponse {
	response := valueResponse{process: process, known: c.contentNumber(known)}
	response.ctx, response.exchange = transfer.Begin(ctx, limits)
	req, err := http.NewRequestWithContext(response.ctx, http.MethodGet, "http://"+process.String()+valuePath, nil)
	if err != nil {
		response.err = err
		return response
	}
	req.Header.Set("Accept-Encoding", encodingName)
	if known.Version != 0 {
		req.Header.Set(versionHeader, strconv.FormatUint(known.Version, 10))
		req.Header.Set(contentHeader, strconv.FormatUint(response.known, 10))
	}
	if known.Version != 0 && !c.fetchFull {
		req.Header.Set("If-None-Match", tagOf(known.Data))
	}
	response.resp, err = c.http.Do(req)
	if err != nil {
		response.err = &ValueTransferError{Process: process, Err: transfer.Err(response.ctx, err)}
		return response
	}
	response.err = response.checkNewer(known)
	return response
}

// contentNumber returns the number of the known value's content, 0 if there is none.
func (c *ValueClient) contentNumber(known store.Value) uint64 {
	if c.ContentNumber == nil || known.Version == 0 {
		return 0
	}
	return c.ContentNumber(known.Data)
}

// checkNewer returns why a response has no newer value, nil if it has one.
func (r *valueResponse) checkNewer(known store.Value) error {
	switch r.resp.StatusCode {
	case http.StatusOK, http.StatusNotModified, http.StatusNoContent:
	default:
		return &ResponseStatusError{Process: r.process, Status: r.resp.Status}
	}
	version, err := r.version()
	if err != nil {
		return &ValueTransferError{Process: r.process, Err: err}
	}
	content, err := headerNumber(r.resp.Header, contentHeader)
	switch {
	case err != nil:
		return &ValueTransferError{Process: r.process, Err: err}
	case version <= known.Version && content <= r.known, r.resp.StatusCode == http.StatusNoContent:
		return &NotNewerError{Process: r.process, Version: version}
	}
	return nil
}

func (r *valueResponse) version() (uint64, error) {
	return strconv.ParseUint(r.resp.Header.Get(versionHeader), 10, 64)
}

func (r *valueResponse) close() {
	if r.resp != nil {
		r.resp.Body.Close()
	}
	r.exchange.End()
}

// receive reads the newer value in a response. For status 304 it is the known data under the
// response's version.
func (c *ValueClient) receive(response valueResponse, known store.Value) (ReceivedValue, error) {
	defer response.close()
	version, err := response.version()
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: response.process, Err: err}
	}
	v := ReceivedValue{Value: store.Value{Data: known.Data, Version: version}, Process: response.process}
	if response.resp.StatusCode == http.StatusNotModified {
		return v, nil
	}
	if c.BodyStarted != nil {
		c.BodyStarted()
	}
	data, err := io.ReadAll(io.LimitReader(response.exchange.Body(response.resp.Body, response.resp.ContentLength), maxValueBytes))
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: response.process, Err: transfer.Err(response.ctx, err)}
	}
	v.Bytes = int64(len(data))
	v.Data, err = decodeBody(response.resp.Header, data, known.Data)
	c.fetchFull = err != nil
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: response.process, Err: err}
	}
	return v, nil
}

// decodeBody returns the value in a response body.
func decodeBody(h http.Header, body, known []byte) ([]byte, error) {
	if h.Get("Content-Encoding") != encodingName {
		return body, nil
	}
	var dictionary []byte
	if h.Get(dictionaryHeader) != "" {
		dictionary = known
	}
	data, err := decode(body, dictionary)
	if err == nil && tagOf(data) != h.Get("ETag") {
		err = errTagMismatch
	}
	if err != nil {
		return nil, &ValueDecodeError{Reason: err}
	}
	return data, nil
}
