// Package transfer limits the time in which an exchange of a request and its response
// makes no progress, not its total time. With a total time limit, responses above a
// certain size could never be transferred over a slow link, and each retry would load the
// link again.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// minProgress is the number of bytes that must be transferred within a timeout. Without
// it, a peer that sends single bytes could keep an exchange open forever.
const minProgress = 4 << 10

// Limits holds the timeouts of an exchange.
type Limits struct {
	ResponseTimeout time.Duration // until the response begins; restarted with each minProgress bytes of the request sent
	ProgressTimeout time.Duration // for each minProgress bytes of the response
}

// StalledError reports an exchange that was aborted because it made no progress.
type StalledError struct {
	Received   int64         // bytes of the response received
	Size       int64         // length of the response in bytes, -1 if not known
	StalledFor time.Duration // time without a response, or without minProgress more bytes of it
}

func (e *StalledError) Error() string {
	if e.Size < 0 {
		return fmt.Sprintf("nothing arrived for %v after %d bytes; check that the peer is running and that its link is not overloaded", e.StalledFor, e.Received)
	}
	return fmt.Sprintf("nothing arrived for %v after %d of %d bytes; check that the peer is running and that its link is not overloaded", e.StalledFor, e.Received, e.Size)
}

// Timeout reports true, as in net.Error.
func (e *StalledError) Timeout() bool { return true }

// Exchange is one request and its response.
type Exchange struct {
	limits Limits
	cancel context.CancelCauseFunc

	mu       sync.Mutex // guards the fields below
	timer    *time.Timer
	timeout  time.Duration // duration of the running timer
	size     int64
	got      int64
	progress int64 // bytes transferred since the timer was started

	responseBegun bool // the response has begun
}

// Begin starts an exchange. It returns the exchange and a context that is cancelled,
// with a *StalledError as its cause, when the exchange stalls. The caller must call End.
func Begin(ctx context.Context, limits Limits) (context.Context, *Exchange) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &Exchange{limits: limits, cancel: cancel, timeout: limits.ResponseTimeout, size: -1}
	e.timer = time.AfterFunc(limits.ResponseTimeout, e.stall)
	return ctx, e
}

func (e *Exchange) stall() {
	e.mu.Lock()
	err := &StalledError{Received: e.got, Size: e.size, StalledFor: e.timeout}
	e.mu.Unlock()
	e.cancel(err)
}

// Request wraps the body of the request. Bytes read from it count as progress, since the
// peer accepts them.
func (e *Exchange) Request(r io.Reader) io.Reader { return &request{e, r} }

func (e *Exchange) recordSent(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.progress += int64(n)
	if e.progress >= minProgress && !e.responseBegun {
		e.progress = 0
		e.timer.Reset(e.limits.ResponseTimeout)
	}
}

// End stops the timer and releases the exchange's context.
func (e *Exchange) End() {
	e.timer.Stop()
	e.cancel(nil)
}

// Body records that the response has begun, and wraps its body. size is the length of the
// body in bytes, -1 if it is not known.
func (e *Exchange) Body(r io.Reader, size int64) io.Reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.size, e.responseBegun = size, true
	e.restartTimer()
	return &body{e, r}
}

// restartTimer starts the timer with the progress timeout. e.mu must be held.
func (e *Exchange) restartTimer() {
	e.progress, e.timeout = 0, e.limits.ProgressTimeout
	e.timer.Reset(e.limits.ProgressTimeout)
}

func (e *Exchange) recordReceived(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got += int64(n)
	e.progress += int64(n)
	if e.progress >= minProgress {
		e.restartTimer()
	}
}

// Err returns the *StalledError if err is not nil and the exchange with the context ctx
// has stalled, and err otherwise.
func Err(ctx context.Context, err error) error {
	var stalled *StalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

type request struct {
	e *Exchange
	r io.Reader
}

func (r *request) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.e.recordSent(n)
	return n, err
}

type body struct {
	e *Exchange
	r io.Reader
}

// Read reads at most a quarter of minProgress. Some readers, such as that of an HTTP body
// without a length, return only after they have filled p, which would hide progress.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), minProgress/4)])
	b.e.recordReceived(n)
	return n, err
}
