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
	// askTimeout is the time in which the answer to a question has to begin. A VM without
	// power does not refuse a connection, so the others must not wait for it.
	askTimeout = 300 * time.Millisecond
	// askDoublings bounds how often that time is doubled after questions without an
	// answer: where every link is full, no answer begins in the usual time.
	askDoublings = 2
	// askStep is the time in which more of an answer has to arrive: above what TCP waits
	// before it repeats a lost segment for the second time.
	askStep = 800 * time.Millisecond
	// AskAtOnce is the number of processes asked at a time: of three, one lives
	// and can be reached even if most of a fleet has just been restarted.
	AskAtOnce = 3
	// valueLimit bounds a value in bytes: twice what the store keeps.
	valueLimit = 2 * store.MaxValue
)

// NoValueError reports that no other process could tell a newer value.
type NoValueError struct {
	Asked int   // processes that were asked
	Last  error // what the last of them said; nil if there was none to ask
}

func (e *NoValueError) Error() string {
	return fmt.Sprintf("none of %d other processes told a newer value; others or the store are asked: %v", e.Asked, e.Last)
}

func (e *NoValueError) Unwrap() error { return e.Last }

// NothingNewerError reports a process that has no newer value than the asker.
type NothingNewerError struct {
	Process netip.AddrPort
	Version uint64 // that it has
}

func (e *NothingNewerError) Error() string {
	return fmt.Sprintf("%v has version %s, which is not newer; no action is needed", e.Process, store.FormatVersion(e.Version))
}

// RefusedValueError reports a process that answered with neither a value nor that it has
// none that is newer.
type RefusedValueError struct {
	Process netip.AddrPort
	Status  string
}

func (e *RefusedValueError) Error() string {
	return fmt.Sprintf("%v answered %s; another process or the store is asked", e.Process, e.Status)
}

// LostValueError reports a process whose answer did not arrive, or not whole.
type LostValueError struct {
	Process netip.AddrPort
	Err     error
}

func (e *LostValueError) Error() string {
	return fmt.Sprintf("%v: %v; another process or the store is asked", e.Process, e.Err)
}

func (e *LostValueError) Unwrap() error { return e.Err }

// ValueClient asks other processes for the value that they follow. It is not safe for
// concurrent use.
type ValueClient struct {
	http *http.Client
	// Began, if not nil, is called when a process begins to send a newer value.
	Began func()
	// Content returns the number of a value's content; nil if contents have none.
	Content func(data []byte) uint64

	unanswered int  // questions in a row to which no answer began
	whole      bool // the next value is not to be encoded against the one that is known
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

// valueAnswer is the answer of one process, of which the body is not read yet.
type valueAnswer struct {
	process  netip.AddrPort
	ctx      context.Context
	exchange *transfer.Exchange
	resp     *http.Response
	known    uint64 // number of the content that the asker has
	err      error
}

// Ask returns a value newer than known from whichever of some of the processes answers
// first. The answers of the others are not taken: together they would fill the link.
func (c *ValueClient) Ask(ctx context.Context, processes []netip.AddrPort, known store.Value) (ReceivedValue, error) {
	rand.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	processes = processes[:min(len(processes), AskAtOnce)]
	asking, stop := context.WithCancel(ctx)
	defer stop()
	limits := transfer.Limits{Answer: askTimeout << min(c.unanswered, askDoublings), Step: askStep}
	answers := make(chan valueAnswer)
	cancels := make([]context.CancelFunc, len(processes))
	for i, p := range processes {
		var one context.Context
		one, cancels[i] = context.WithCancel(asking)
		go func() {
			a := c.ask(one, p, known, limits)
			select {
			case answers <- a:
			case <-one.Done():
				a.close()
			}
		}()
	}
	return c.first(processes, cancels, answers, known)
}

// first takes the first answer that has a newer value.
func (c *ValueClient) first(processes []netip.AddrPort, cancels []context.CancelFunc, answers <-chan valueAnswer, known store.Value) (ReceivedValue, error) {
	failed := &NoValueError{Asked: len(processes)}
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

// ask sends the question to one process and waits until its answer begins.
func (c *ValueClient) ask(ctx context.Context, process netip.AddrPort, known store.Value, limits transfer.Limits) valueAnswer {
	a := valueAnswer{process: process, known: c.contentOf(known)}
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
	if known.Version != 0 && !c.whole {
		req.Header.Set("If-None-Match", tagOf(known.Data))
	}
	a.resp, err = c.http.Do(req)
	if err != nil {
		a.err = &LostValueError{Process: process, Err: transfer.Err(a.ctx, err)}
		return a
	}
	a.err = a.judge(known)
	return a
}

// contentOf returns the number of the content that the asker has, 0 if it has none.
func (c *ValueClient) contentOf(known store.Value) uint64 {
	if c.Content == nil || known.Version == 0 {
		return 0
	}
	return c.Content(known.Data)
}

// judge reports why an answer brings no newer value, nil if it brings one.
func (a *valueAnswer) judge(known store.Value) error {
	switch a.resp.StatusCode {
	case http.StatusOK, http.StatusNotModified, http.StatusNoContent:
	default:
		return &RefusedValueError{Process: a.process, Status: a.resp.Status}
	}
	version, err := a.version()
	if err != nil {
		return &LostValueError{Process: a.process, Err: err}
	}
	content, err := headerNumber(a.resp.Header, contentHeader)
	switch {
	case err != nil:
		return &LostValueError{Process: a.process, Err: err}
	case version <= known.Version && content <= a.known, a.resp.StatusCode == http.StatusNoContent:
		return &NothingNewerError{Process: a.process, Version: version}
	}
	return nil
}

func (a *valueAnswer) version() (uint64, error) {
	return strconv.ParseUint(a.resp.Header.Get(versionHeader), 10, 64)
}

func (a *valueAnswer) close() {
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.exchange.End()
}

// receive reads the value of an answer that has one.
func (c *ValueClient) receive(a valueAnswer, known store.Value) (ReceivedValue, error) {
	defer a.close()
	version, err := a.version()
	if err != nil {
		return ReceivedValue{}, &LostValueError{Process: a.process, Err: err}
	}
	v := ReceivedValue{Value: store.Value{Data: known.Data, Version: version}, Process: a.process}
	if a.resp.StatusCode == http.StatusNotModified {
		return v, nil
	}
	if c.Began != nil {
		c.Began()
	}
	data, err := io.ReadAll(io.LimitReader(a.exchange.Body(a.resp.Body, a.resp.ContentLength), valueLimit))
	if err != nil {
		return ReceivedValue{}, &LostValueError{Process: a.process, Err: transfer.Err(a.ctx, err)}
	}
	v.Bytes = int64(len(data))
	v.Data, err = decodeBody(a.resp.Header, data, known.Data)
	c.whole = err != nil
	if err != nil {
		return ReceivedValue{}, &LostValueError{Process: a.process, Err: err}
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
		err = errOtherTag
	}
	if err != nil {
		return nil, &EncodedValueError{Reason: err}
	}
	return data, nil
}
