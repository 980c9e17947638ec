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

// flows is a set of open feeds and downloads whose every byte is checked.
type flows struct {
	t       *testing.T
	wg      sync.WaitGroup
	started atomic.Int64 // feeds and downloads that have received data
	mu      sync.Mutex
	longest []time.Duration // of each flow: the longest time without progress
	slowest time.Duration
}

// openFlows starts n feeds of listing and n downloads of records that take about the given
// time, and returns once each has received data.
func openFlows(t *testing.T, f *fleet.Fleet, n int, duration time.Duration) *flows {
	t.Helper()
	l := &flows{t: t}
	events := int(duration / feedInterval)
	size := uint64(duration.Seconds() * downloadRate)
	for i := range n {
		l.run(f.Caller("listing"), func(ctx context.Context, c *caller.Caller, w *progressTimer) error {
			_, err := c.Feed(ctx, events, feedInterval, uint64(i), func(int) { w.progress() })
			return err
		})
		l.run(f.Caller("records"), func(ctx context.Context, c *caller.Caller, w *progressTimer) error {
			_, err := c.DownloadAt(ctx, size, downloadRate, uint64(i), func(uint64) { w.progress() })
			return err
		})
	}
	fleet.Eventually(t, "all flows have received data", func() bool { return l.started.Load() == int64(2*n) })
	return l
}

// run starts a flow in the background. A flow that returns an error fails the test.
func (l *flows) run(c *caller.Caller, flow func(context.Context, *caller.Caller, *progressTimer) error) {
	w := &progressTimer{started: &l.started}
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.WaitLimit)
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

// wait waits for the end of all flows, each of which must be complete, and logs their longest
// pauses. The pauses are not checked here: when acknowledgements are lost, QUIC at the caller and
// at the agent doubles its timeouts, so the pauses have a long tail. The agent's part in them is
// checked in its own tests.
func (l *flows) wait() {
	l.t.Helper()
	l.wg.Wait()
	slices.Sort(l.longest)
	n := len(l.longest)
	l.t.Logf("longest pause by flow, %d flows: min %v median %v max %v; slowest flow took %v", n, l.longest[0], l.longest[n/2], l.longest[n-1], l.slowest)
}

// progressTimer measures the longest time without progress of one flow.
type progressTimer struct {
	started *atomic.Int64
	last    time.Time
	longest time.Duration
}

// progress records that the flow has received data.
func (p *progressTimer) progress() {
	now := time.Now()
	if p.last.IsZero() {
		p.started.Add(1)
	} else {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// pause keeps a fault in place while flows go on. It waits for no condition.
func pause(d time.Duration) { <-time.After(d) }
