// Package contact makes the calls to the platform's store that
// membership.Slots asks for.
package contact

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/membership"
)

const (
	// results is above the number of calls under way, which is one, so that
	// no result waits for its reader.
	results     = 2
	callTimeout = 4 * time.Second
)

// Result is the outcome of one call, with the lease that it was granted.
type Result struct {
	membership.Result
	granted store.LeaseID
}

// Caller makes calls, each in a goroutine of its own. Make and Done are called
// by one goroutine, which reads Results.
type Caller struct {
	Results chan Result

	store store.Interface
	// lease is the newest lease granted, which Slots knows as number leaseNo.
	lease   store.LeaseID
	leaseNo uint64
}

// NewCaller returns a caller of s.
func NewCaller(s store.Interface) *Caller {
	return &Caller{Results: make(chan Result, results), store: s}
}

// Make makes one call; its outcome comes over Results.
func (c *Caller) Make(ctx context.Context, call membership.Call) {
	lease := c.lease
	go func() {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r := c.call(limited, call, lease)
		select {
		case c.Results <- r:
		case <-ctx.Done():
		}
	}()
}

// Done returns what Slots is told of a result.
func (c *Caller) Done(r Result) membership.Result {
	if r.granted != "" {
		c.lease = r.granted
		c.leaseNo++
		r.Lease = c.leaseNo
	}
	return r.Result
}

func (c *Caller) call(ctx context.Context, call membership.Call, lease store.LeaseID) Result {
	r := Result{Result: membership.Result{ID: call.ID}}
	var err error
	switch call.Op {
	case membership.OpGet:
		var v store.Value
		v, err = c.store.Get(ctx, call.Key)
		r.Value = string(v.Data)
	case membership.OpGrant:
		r.granted, err = c.store.Grant(ctx, call.TTL)
	case membership.OpClaim:
		_, err = c.store.CompareAndSwap(ctx, call.Key, 0, []byte(call.Value), lease)
	case membership.OpRenew:
		err = c.store.Renew(ctx, lease)
	}
	r.Outcome = outcomeOf(err)
	return r
}

// outcomeOf translates the store's errors.
func outcomeOf(err error) membership.Outcome {
	var notFound *store.NotFoundError
	var expired *store.LeaseExpiredError
	var conflict *store.ConflictError
	var unknown *store.UnknownOutcomeError
	switch {
	case err == nil:
		return membership.OutcomeOK
	case errors.As(err, &notFound), errors.As(err, &expired):
		return membership.OutcomeAbsent
	case errors.As(err, &conflict):
		return membership.OutcomeTaken
	case errors.As(err, &unknown):
		return membership.OutcomeUnknown
	}
	return membership.OutcomeRefused
}
