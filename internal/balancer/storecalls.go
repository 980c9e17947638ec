package balancer

import (
	"context"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// followResults is above the number of calls of a follower under way, one of
// each kind, so that no result waits for the control duty.
const followResults = 8

// followCalls makes the calls to the platform's store that a
// catalogue.Follower asks for, each in a goroutine of its own, since a watch
// waits for long.
type followCalls struct {
	store   catalogue.Store
	results chan catalogue.Result
}

func newFollowCalls(s store.Interface) *followCalls {
	return &followCalls{store: store.ForCatalogue(s), results: make(chan catalogue.Result, followResults)}
}

func (c *followCalls) make(ctx context.Context, calls []catalogue.Call) {
	for _, call := range calls {
		go func() {
			select {
			case c.results <- catalogue.MakeCall(ctx, c.store, call):
			case <-ctx.Done():
			}
		}()
	}
}
