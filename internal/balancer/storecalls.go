package balancer

import (
	"context"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// maxCallResults exceeds the number of concurrent calls of a follower, one of each kind, so
// that no result has to wait for the control loop.
const maxCallResults = 8

// catalogueCalls makes the calls to the platform's store that a catalogue.Follower requests.
// Each call runs in its own goroutine, since a watch blocks for a long time.
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
