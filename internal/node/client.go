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
	// responseTimeout is the time in which the answer to a question has to begin. A VM without
	// power does not refuse a connection, so the others must not wait for it.
	responseTimeout = 300 * time.Millisecond
	// maxTimeoutDoublings bounds how often that time is doubled after questions without an
	// answer: where every link is full, no answer begins in the usual time.
	maxTimeoutDoublings = 2
	// progressTimeout is the time in which more of an answer has to arrive: above what TCP waits
	// before it repeats a lost segment for the second time.
	progressTimeout = 800 * time.Millisecond
	// MaxParallelRequests is the number of processes asked at a time: of three, one lives
	// and can be reached even if most of a fleet has just been restarted.
	MaxParallelRequests = 3
	// maxValueBytes bounds a value in bytes: twice what the store keeps.
	maxValueBytes = 2 * store.MaxValue
)

// NoNewerValueError reports that no other process could tell a newer value.
type NoNewerValueError struct {
	Requested int   // processes that were asked
	Last      error // what the last of them said; nil if there was none to ask
}

func (e *NoNewerValueError) Error() string {
	return fmt.Sprintf("none of %d other processes told a newer value; others or the store are asked: %v", e.Requested, e.Last)
}

func (e *NoNewerValueError) Unwrap() error { return e.Last }

// NotNewerError reports a process that has no newer value than the asker.
type NotNewerError struct {
	Process netip.AddrPort
	Version uint64 // that it has
}

func (e *NotNewerError) Error() string {
	return fmt.Sprintf("%v has version %s, which is not newer; no action is needed", e.Process, store.FormatVersion(e.Version))
}

// ResponseStatusError reports a process that answered with neither a value nor that it has
// none that is newer.
type ResponseStatusError struct {
	Process netip.AddrPort
	Status  string
}

func (e *ResponseStatusError) Error() string {
	return fmt.Sprintf("%v answered %s; another process or the store is asked", e.Process, e.Status)
}

// ValueTransferError reports a process whose answer did not arrive, or not whole.
type ValueTransferError struct {
	Process netip.AddrPort
	Err     error
}

func (e *ValueTransferError) Error() string {
	return fmt.Sprintf("%v: %v; another process or the store is asked", e.Process, e.Err)
}

func (e *ValueTransferError) Unwrap() error { return e.Err }

// ValueClient asks other processes for the value that they follow. It is not safe for
// concurrent use.
type ValueClient struct {
	http *http.Client
	// BodyStarted, if not nil, is called when a process begins to send a newer value.
	BodyStarted func()
	// ContentNumber returns the number of a value's content; nil if contents have none.
	ContentNumber func(data []byte) uint64

	unanswered int  // questions in a row to which no answer began
	fetchFull  bool // the next value is not to be encoded against the one that is known
}

// NewValueClient returns a client without open connections.
func NewValueClient() *ValueClient {
	dialer := &net.Dialer{}
	return &ValueClient{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// ReceivedValue is a value of another process.
type ReceivedValue struct {
	store.Value
	Process netip.AddrPort
	Bytes   int64 // that the answer's body took
}

// valueResponse is the answer of one process, of which the body is not read yet.
type valueResponse struct {
	process  netip.AddrPort
	ctx      context.Context
	exchange *transfer.Exchange
	resp     *http.Response
	known    uint64 // number of the content that the asker has
	err      error
}

// Fetch returns a value newer than known from whichever of some of the processes answers
// first. The answers of the others are not taken: together they would fill the link.
func (c *ValueClient) Fetch(ctx context.Context, processes []netip.AddrPort, known store.Value) (ReceivedValue, error) {
	rand.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	processes = processes[:min(len(processes), MaxParallelRequests)]
	asking, stop := context.WithCancel(ctx)
	defer stop()
	limits := transfer.Limits{Answer: responseTimeout << min(c.unanswered, maxTimeoutDoublings), Step: progressTimeout}
	answers := make(chan valueResponse)
	cancels := make([]context.CancelFunc, len(processes))
	for i, p := range processes {
		var one context.Context
		one, cancels[i] = context.WithCancel(asking)
		go func() {
			a := c.request(one, p, known, limits)
			select {
			case answers <- a:
			case <-one.Done():
				a.close()
			}
		}()
	}
	return c.firstNewer(processes, cancels, answers, known)
}

// firstNewer takes the firstNewer answer that has a newer value.
func (c *ValueClient) firstNewer(processes []netip.AddrPort, cancels []context.CancelFunc, answers <-chan valueResponse, known store.Value) (ReceivedValue, error) {
	failed := &NoNewerValueError{Requested: len(processes)}
	answered := false
	for range processes {
		a := <-answers
		answered = answered || a.resp != nil
		if a.err == nil {
			c.unanswered = 0
			for i, p := range processes {
				if p != a.process {
					cancels[i]()
				}
			}
			return c.receive(a, known)
		}
		failed.Last = a.err
		a.close()
	}
	if answered || len(processes) == 0 {
		c.unanswered = 0
	} else {
		c.unanswered++
	}
	return ReceivedValue{}, failed
}

// request sends the question to one process and waits until its answer begins.
func (c *ValueClient) request(ctx context.Context, process netip.AddrPort, known store.Value, limits transfer.Limits) valueResponse {
	a := valueResponse{process: process, known: c.contentNumber(known)}
	a.ctx, a.exchange = transfer.Begin(ctx, limits)
	req, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+process.String()+valuePath, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("Accept-Encoding", encodingName)
	if known.Version != 0 {
		req.Header.Set(versionHeader, strconv.FormatUint(known.Version, 10))
		req.Header.Set(contentHeader, strconv.FormatUint(a.known, 10))
	}
	if known.Version != 0 && !c.fetchFull {
		req.Header.Set("If-None-Match", tagOf(known.Data))
	}
	a.resp, err = c.http.Do(req)
	if err != nil {
		a.err = &ValueTransferError{Process: process, Err: transfer.Err(a.ctx, err)}
		return a
	}
	a.err = a.checkNewer(known)
	return a
}

// contentNumber returns the number of the content that the asker has, 0 if it has none.
func (c *ValueClient) contentNumber(known store.Value) uint64 {
	if c.ContentNumber == nil || known.Version == 0 {
		return 0
	}
	return c.ContentNumber(known.Data)
}

// checkNewer reports why an answer brings no newer value, nil if it brings one.
func (a *valueResponse) checkNewer(known store.Value) error {
	switch a.resp.StatusCode {
	case http.StatusOK, http.StatusNotModified, http.StatusNoContent:
	default:
		return &ResponseStatusError{Process: a.process, Status: a.resp.Status}
	}
	version, err := a.version()
	if err != nil {
		return &ValueTransferError{Process: a.process, Err: err}
	}
	content, err := headerNumber(a.resp.Header, contentHeader)
	switch {
	case err != nil:
		return &ValueTransferError{Process: a.process, Err: err}
	case version <= known.Version && content <= a.known, a.resp.StatusCode == http.StatusNoContent:
		return &NotNewerError{Process: a.process, Version: version}
	}
	return nil
}

func (a *valueResponse) version() (uint64, error) {
	return strconv.ParseUint(a.resp.Header.Get(versionHeader), 10, 64)
}

func (a *valueResponse) close() {
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.exchange.End()
}

// receive reads the value of an answer that has one.
func (c *ValueClient) receive(a valueResponse, known store.Value) (ReceivedValue, error) {
	defer a.close()
	version, err := a.version()
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: a.process, Err: err}
	}
	v := ReceivedValue{Value: store.Value{Data: known.Data, Version: version}, Process: a.process}
	if a.resp.StatusCode == http.StatusNotModified {
		return v, nil
	}
	if c.BodyStarted != nil {
		c.BodyStarted()
	}
	data, err := io.ReadAll(io.LimitReader(a.exchange.Body(a.resp.Body, a.resp.ContentLength), maxValueBytes))
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: a.process, Err: transfer.Err(a.ctx, err)}
	}
	v.Bytes = int64(len(data))
	v.Data, err = decodeBody(a.resp.Header, data, known.Data)
	c.fetchFull = err != nil
	if err != nil {
		return ReceivedValue{}, &ValueTransferError{Process: a.process, Err: err}
	}
	return v, nil
}

// decodeBody returns the value in an answer's body.
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
