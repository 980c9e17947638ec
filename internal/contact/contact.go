// Package contact executes the calls to the platform's store that
// membership.Slots requests.
package contact

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/membership"
)

const (
	// resultsCapacity exceeds the number of calls in progress, which is one, so that
	// sending a result does not block.
	resultsCapacity = 2
	callTimeout     = 4 * time.Second
)

// Result is the outcome of one call, with the lease if one was granted.
type Result struct {
	membership.Result
	granted store.LeaseID
}

// Client makes the calls, each in its own goroutine. Start and Complete must be called
// by the goroutine that reads Results.
type Client struct {
	Results chan Result

	store store.Interface
	// lease is the newest lease granted; Slots identifies it by leaseNumber.
	lease       store.LeaseID
	leaseNumber uint64
}

// NewClient returns a client of s.
func NewClient(s store.Interface) *Client {
	return &Client{Results: make(chan Result, resultsCapacity), store: s}
}

// Start starts one call; its result is sent to Results unless ctx ends first.
func (c *Client) Start(ctx context.Context, call membership.Call) {
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

// Complete returns the result in the form that Slots expects. A granted lease is used
// for the calls started from now on.
func (c *Client) Complete(r Result) membership.Result {
	if r.granted != "" {
		c.lease = r.granted
		c.leaseNumber++
		r.Lease = c.leaseNumber
	}
	return r.Result
}

// call makes one call of the store and returns its result.
func (c *Client) call(ctx context.Context, call membership.Call, lease store.LeaseID) Result {
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

// outcomeOf maps an error of the store to the outcome of a call.
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
