package test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

const (
	feedInterval = 10 * time.Millisecond
	downloadRate = 2 << 20 // bytes per second
)

// flows are open feeds and downloads whose every byte is checked.
type flows struct {
	t       *testing.T
	wg      sync.WaitGroup
	begun   atomic.Int64 // feeds and downloads that have received something
	mu      sync.Mutex
	longest []time.Duration // by flow: the longest time without progress
	slowest time.Duration
}

// openFlows starts feeds of listing and downloads of records, n of each, that
// last for about a time, and returns once all of them are under way.
func openFlows(t *testing.T, f *fleet.Fleet, n int, last time.Duration) *flows {
	t.Helper()
	l := &flows{t: t}
	events := int(last / feedInterval)
	size := uint64(last.Seconds() * downloadRate)
	for i := range n {
		l.run(f.Caller("listing"), func(ctx context.Context, c *caller.Caller, w *stallWatch) error {
			_, err := c.Feed(ctx, events, feedInterval, uint64(i), func(int) { w.progress() })
			return err
		})
		l.run(f.Caller("records"), func(ctx context.Context, c *caller.Caller, w *stallWatch) error {
			_, err := c.DownloadAt(ctx, size, downloadRate, uint64(i), func(uint64) { w.progress() })
			return err
		})
	}
	fleet.Eventually(t, "all flows under way", func() bool { return l.begun.Load() == int64(2*n) })
	return l
}

func (l *flows) run(c *caller.Caller, flow func(context.Context, *caller.Caller, *stallWatch) error) {
	w := &stallWatch{begun: &l.begun}
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.Limit)
		defer cancel()
		start := time.Now()
		if err := flow(ctx, c, w); err != nil {
			l.t.Errorf("after %v: %v", time.Since(start), err)
		}
		l.mu.Lock()
		l.longest = append(l.longest, w.longest)
		l.slowest = max(l.slowest, time.Since(start))
		l.mu.Unlock()
	})
}

// wait waits for the end of all flows, each of which must be whole, and logs
// their longest pauses. These are not judged: when acknowledgements are lost
// the caller's and the agent's QUIC double their timeouts, so the pauses have a
// long tail. What the agent can do about it is judged in its own tests.
func (l *flows) wait() {
	l.t.Helper()
	l.wg.Wait()
	slices.Sort(l.longest)
	n := len(l.longest)
	l.t.Logf("longest pause by flow, %d flows: min %v median %v max %v; slowest flow took %v", n, l.longest[0], l.longest[n/2], l.longest[n-1], l.slowest)
}

// stallWatch measures the longest time without progress of one flow.
type stallWatch struct {
	begun   *atomic.Int64
	last    time.Time
	longest time.Duration
}

func (w *stallWatch) progress() {
	now := time.Now()
	if w.last.IsZero() {
		w.begun.Add(1)
	} else {
		w.longest = max(w.longest, now.Sub(w.last))
	}
	w.last = now
}

// pause waits while flows run on under a fault. It is no wait for a condition:
// the fault is to last.
func pause(d time.Duration) { <-time.After(d) }
