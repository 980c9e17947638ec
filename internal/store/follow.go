package store

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// followInterval is how often a follower is asked for due calls.
const followInterval = 100 * time.Millisecond

// Follow makes the calls of f until ctx ends, and returns its error. The
// follower and its replica are touched only inside do, which must run the
// function it is given before it returns, where nothing else touches them.
func Follow(ctx context.Context, st catalogue.Store, f *catalogue.Follower, do func(func(now time.Time))) error {
	results := make(chan catalogue.Result)
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		var due []catalogue.Call
		do(func(now time.Time) { due = f.Next(now) })
		for _, c := range due {
			calls.Go(func() {
				r := catalogue.MakeCall(ctx, st, c)
				select {
				case results <- r:
				case <-ctx.Done():
				}
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-results:
			do(func(now time.Time) { f.Done(now, r) })
		case <-ticker.C:
		}
	}
}
