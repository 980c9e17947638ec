package balancer

import (
	"context"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// maxCallResults is above the number of calls of a follower under way, one of
// each kind, so that no result waits for the control duty.
const maxCallResults = 8

// catalogueCalls makes the calls to the platform's store that a
// catalogue.Follower asks for, each in a goroutine of its own, since a watch
// waits for long.
type catalogueCalls struct {
	store   catalogue.Store
	results chan catalogue.Result
}

func newCatalogueCalls(s store.Interface) *catalogueCalls {
	return &catalogueCalls{store: store.ForCatalogue(s), results: make(chan catalogue.Result, maxCallResults)}
}

func (c *catalogueCalls) make(ctx context.Context, calls []catalogue.Call) {
	for _, call := range calls {
		go func() {
			select {
			case c.results <- catalogue.MakeCall(ctx, c.store, call):
			case <-ctx.Done():
			}
		}()
	}
}
