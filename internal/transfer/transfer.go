// Package transfer bounds an exchange by the time in which nothing of it arrives, not by
// the time that it takes. A limit on the whole has a size above which a link never brings
// an answer, however often it is asked for; and each try loads the link again.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// stepSize is the least number of bytes in a Limits.Step: a peer that sends a byte now and
// then would hold an exchange for good.
const stepSize = 4 << 10

// Limits bounds an exchange.
type Limits struct {
	Answer time.Duration // until the answer begins; anew with each stepSize of the request that is sent
	Step   time.Duration // for each stepSize of the answer
}

// StalledError reports an exchange that was given up.
type StalledError struct {
	Got   int64         // bytes of the answer that arrived
	Size  int64         // bytes of the whole; -1 if not known
	After time.Duration // without an answer, or without stepSize more of it
}

func (e *StalledError) Error() string {
	if e.Size < 0 {
		return fmt.Sprintf("nothing arrived for %v after %d bytes; see whether the other end runs and its link has room", e.After, e.Got)
	}
	return fmt.Sprintf("nothing arrived for %v after %d of %d bytes; see whether the other end runs and its link has room", e.After, e.Got, e.Size)
}

// Timeout implements the part of net.Error that callers ask for.
func (e *StalledError) Timeout() bool { return true }

// Exchange is one request and its answer.
type Exchange struct {
	limits Limits
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards what follows
	timer *time.Timer
	wait  time.Duration // that the timer runs for
	size  int64
	got   int64
	step  int64 // bytes since the timer began

	answered bool // the answer has begun
}

// Begin returns an exchange and a context that ends, with a *StalledError as its cause,
// when the exchange stalls. End has to be called.
func Begin(ctx context.Context, limits Limits) (context.Context, *Exchange) {
	ctx, cancel := context.WithCancelCause(ctx)
	e := &Exchange{limits: limits, cancel: cancel, wait: limits.Answer, size: -1}
	e.timer = time.AfterFunc(limits.Answer, e.stall)
	return ctx, e
}

func (e *Exchange) stall() {
	e.mu.Lock()
	err := &StalledError{Got: e.got, Size: e.size, After: e.wait}
	e.mu.Unlock()
	e.cancel(err)
}

// Request returns the body of a request as it is to be sent: what is taken of it shows
// that the other end takes it.
func (e *Exchange) Request(r io.Reader) io.Reader { return &request{e, r} }

func (e *Exchange) sent(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step += int64(n)
	if e.step >= stepSize && !e.answered {
		e.step = 0
		e.timer.Reset(e.limits.Answer)
	}
}

// End releases the exchange's context.
func (e *Exchange) End() {
	e.timer.Stop()
	e.cancel(nil)
}

// Body notes that the answer begins, and returns its body. size is the length of the
// body in bytes, -1 if it is not known.
func (e *Exchange) Body(r io.Reader, size int64) io.Reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.size, e.answered = size, true
	e.restart()
	return &body{e, r}
}

// restart starts the time of a step, with e.mu held.
func (e *Exchange) restart() {
	e.step, e.wait = 0, e.limits.Step
	e.timer.Reset(e.limits.Step)
}

func (e *Exchange) arrived(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got += int64(n)
	e.step += int64(n)
	if e.step >= stepSize {
		e.restart()
	}
}

// Err returns the cause in place of err if the exchange with that context stalled.
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
	r.e.sent(n)
	return n, err
}

type body struct {
	e *Exchange
	r io.Reader
}

// Read reads a part of a step at most: some readers, such as that of an HTTP body without a
// length, return only once they have filled p.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(len(p), stepSize/4)])
	b.e.arrived(n)
	return n, err
}
