package balancer

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/membership"
)

// storeCalls makes the calls to the platform's store that the state machines
// of the control duty ask for, each in a goroutine of its own, since a call may
// wait for long. At most one call of each kind is under way.
type storeCalls struct {
	store  store.Interface
	values catalogue.Store
	// followed and slotted carry the results back to the control duty.
	followed chan catalogue.Result
	slotted  chan slotResult
	// lease is the newest lease granted, which Slots knows as number leaseNo.
	lease   store.LeaseID
	leaseNo uint64
}

// slotResult is the result of a call of membership.Slots, with the lease that
// it was granted, if any.
type slotResult struct {
	membership.Result
	granted store.LeaseID
}

const (
	// storeResults is above the number of calls under way, so that no result
	// waits for the control duty.
	storeResults = 8
	slotTimeout  = 4 * time.Second
)

func newStoreCalls(s store.Interface) *storeCalls {
	return &storeCalls{
		store:    s,
		values:   store.ForCatalogue(s),
		followed: make(chan catalogue.Result, storeResults),
		slotted:  make(chan slotResult, storeResults),
	}
}

// follow makes the calls of a catalogue.Follower.
func (c *storeCalls) follow(ctx context.Context, calls []catalogue.Call) {
	for _, call := range calls {
		go func() {
			select {
			case c.followed <- catalogue.Make(ctx, c.values, call):
			case <-ctx.Done():
			}
		}()
	}
}

// slot makes a call of membership.Slots.
func (c *storeCalls) slot(ctx context.Context, call membership.Call) {
	lease := c.lease
	go func() {
		limited, cancel := context.WithTimeout(ctx, slotTimeout)
		defer cancel()
		r := c.call(limited, call, lease)
		select {
		case c.slotted <- r:
		case <-ctx.Done():
		}
	}()
}

// slotDone returns what Slots is told of a finished call.
func (c *storeCalls) slotDone(r slotResult) membership.Result {
	if r.granted != "" {
		c.lease = r.granted
		c.leaseNo++
		r.Lease = c.leaseNo
	}
	return r.Result
}

func (c *storeCalls) call(ctx context.Context, call membership.Call, lease store.LeaseID) slotResult {
	r := slotResult{Result: membership.Result{ID: call.ID}}
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
