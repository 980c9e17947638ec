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
)

const (
	// valuePath is where a process serves the value that it follows.
	valuePath = "/value"
	// versionHeader carries the value's version in the store.
	versionHeader = "Hemlock-Store-Version"
	// askTimeout bounds one question to another process. A VM without power
	// does not refuse a connection, so the others must not wait for it.
	askTimeout = 300 * time.Millisecond
	// AskAtOnce is the number of processes asked at a time: of three, one lives
	// and can be reached even if most of a fleet has just been restarted.
	AskAtOnce = 3
	// valueLimit bounds a value in bytes: twice what the store keeps.
	valueLimit = 2 << 20
)

// NoValueError reports that no other process could tell the value.
type NoValueError struct {
	Asked int   // processes that were asked
	Last  error // what the last of them said; nil if there was none to ask
}

func (e *NoValueError) Error() string {
	return fmt.Sprintf("none of %d other processes told the value; it comes with the store's return: %v", e.Asked, e.Last)
}

func (e *NoValueError) Unwrap() error { return e.Last }

// PartialValueError reports a value of which only a part arrived.
type PartialValueError struct {
	Process netip.AddrPort
	Got     int           // bytes that arrived
	Size    int64         // bytes of the whole; -1 if the process did not tell
	Took    time.Duration // since the first of them was waited for
	Err     error
}

func (e *PartialValueError) Error() string {
	return fmt.Sprintf("%v: %d of %d bytes of the value arrived in %v: %v; another process or the store is asked", e.Process, e.Got, e.Size, e.Took, e.Err)
}

func (e *PartialValueError) Unwrap() error { return e.Err }

// ValuePage serves the value that f follows to other processes, so that one
// which starts while the store is away need not wait for it.
func ValuePage(f *Follower) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+valuePath, func(w http.ResponseWriter, _ *http.Request) {
		v := f.Value()
		if v.Version == 0 {
			http.Error(w, "nothing known yet", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(versionHeader, strconv.FormatUint(v.Version, 10))
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(v.Data)))
		w.Write(v.Data)
	})
	return mux
}

// ValueClient asks other processes for the value that they follow. It is safe
// for concurrent use.
type ValueClient struct {
	http *http.Client
}

// NewValueClient returns a client without open connections.
func NewValueClient() *ValueClient {
	dialer := &net.Dialer{Timeout: askTimeout}
	return &ValueClient{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// Ask returns the value of whichever of some of the processes answers first.
func (c *ValueClient) Ask(ctx context.Context, processes []netip.AddrPort) (store.Value, error) {
	rand.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	processes = processes[:min(len(processes), AskAtOnce)]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type answer struct {
		value store.Value
		err   error
	}
	answers := make(chan answer, len(processes))
	for _, p := range processes {
		go func() {
			v, err := c.ask(ctx, p)
			answers <- answer{v, err}
		}()
	}
	failed := &NoValueError{Asked: len(processes)}
	for range processes {
		a := <-answers
		if a.err == nil {
			return a.value, nil
		}
		failed.Last = a.err
	}
	return store.Value{}, failed
}

func (c *ValueClient) ask(ctx context.Context, process netip.AddrPort) (store.Value, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.String()+valuePath, nil)
	if err != nil {
		return store.Value{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return store.Value{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return store.Value{}, fmt.Errorf("%v: status %s", process, resp.Status)
	}
	version, err := strconv.ParseUint(resp.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return store.Value{}, fmt.Errorf("%v: version: %w", process, err)
	}
	begun := time.Now()
	data, err := io.ReadAll(io.LimitReader(resp.Body, valueLimit))
	if err != nil {
		return store.Value{}, &PartialValueError{Process: process, Got: len(data), Size: resp.ContentLength, Took: time.Since(begun), Err: err}
	}
	return store.Value{Data: data, Version: version}, nil
}
