package store

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// followInterval is the interval at which a follower's due calls are collected.
const followInterval = 100 * time.Millisecond

// Follow makes the calls of f until ctx ends, and returns ctx.Err(). It accesses the
// follower and its replica only in functions that it passes to do. do must run the function
// before it returns, and must exclude every other access to the follower and the replica.
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
