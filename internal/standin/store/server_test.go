package store

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, cfg Config) (*Server, *store.Client) {
	t.Helper()
	s := New(cfg)
	hs := httptest.NewServer(s.Handler())
	t.Cleanup(hs.Close)
	c, err := store.New(store.Config{URL: hs.URL, Timeout: 5 * time.Second, WatchTimeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, c
}

func swap(t *testing.T, c *store.Client, key string, expect uint64, lease store.LeaseID) uint64 {
	t.Helper()
	v, err := c.CompareAndSwap(context.Background(), key, expect, []byte("x"), lease)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestSwapAndDelete(t *testing.T) {
	ctx := context.Background()
	_, c := start(t, Config{})
	var missing *store.NotFoundError
	if _, err := c.Get(ctx, "a"); !errors.As(err, &missing) {
		t.Fatalf("get of a missing key: %v", err)
	}
	v := swap(t, c, "a", 0, "")
	var conflict *store.ConflictError
	if _, err := c.CompareAndSwap(ctx, "a", 0, nil, ""); !errors.As(err, &conflict) || conflict.Current != v {
		t.Fatalf("swap at a wrong version: %v", err)
	}
	if err := c.Delete(ctx, "a", v+1); !errors.As(err, &conflict) {
		t.Fatalf("delete at a wrong version: %v", err)
	}
	if err := c.Delete(ctx, "a", v); err != nil {
		t.Fatal(err)
	}
	if w := swap(t, c, "a", 0, ""); w <= v {
		t.Fatalf("new value has version %d, want above %d", w, v)
	}
	var large *store.ValueTooLargeError
	if _, err := c.CompareAndSwap(ctx, "b", 0, make([]byte, store.MaxValue+1), ""); !errors.As(err, &large) {
		t.Fatalf("large value: %v", err)
	}
}

func TestValueEndsWithItsLease(t *testing.T) {
	ctx := context.Background()
	s, c := start(t, Config{})
	id, err := c.Grant(ctx, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(ctx, id); err != nil {
		t.Fatal(err)
	}
	v := swap(t, c, "slot", 0, id)
	var missing *store.NotFoundError
	if _, err := c.Watch(ctx, "slot", v); !errors.As(err, &missing) {
		t.Fatalf("watch until after the end of the lease: %v", err)
	}
	var expired *store.LeaseExpiredError
	if err := c.Renew(ctx, id); !errors.As(err, &expired) {
		t.Fatalf("renew after the end: %v", err)
	}
	if _, err := c.CompareAndSwap(ctx, "slot", 0, nil, id); !errors.As(err, &expired) {
		t.Fatalf("swap after the end: %v", err)
	}
	if calls := s.Calls(); calls.Leases != 3 || calls.Writes != 2 || calls.Watches != 1 {
		t.Fatalf("wrong number of calls: %+v", calls)
	}
}

func TestWatchReturnsNewerOrTimesOut(t *testing.T) {
	ctx := context.Background()
	_, c := start(t, Config{WatchWait: 20 * time.Millisecond})
	v := swap(t, c, "a", 0, "")
	if got, err := c.Watch(ctx, "a", v-1); err != nil || got.Version != v {
		t.Fatalf("watch after an older version: %+v, %v", got, err)
	}
	var timeout *store.WatchTimeoutError
	if _, err := c.Watch(ctx, "a", v); !errors.As(err, &timeout) {
		t.Fatalf("watch of an unchanged key: %v", err)
	}
}

func TestWatchWakes(t *testing.T) {
	s, c := start(t, Config{})
	v := swap(t, c, "a", 0, "")
	got := make(chan store.Value, 1)
	go func() {
		w, _ := c.Watch(context.Background(), "a", v)
		got <- w
	}()
	for s.Calls().Watches == 0 {
		if _, err := c.Get(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
	}
	next := swap(t, c, "a", v, "")
	if w := <-got; w.Version != next {
		t.Fatalf("watched version %d, want %d", w.Version, next)
	}
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	s, c := start(t, Config{ReadRate: 2, WriteRate: 2})
	v := swap(t, c, "a", 0, "")

	s.SetFaults(Faults{LoseResponse: 1})
	var unknown *store.UnknownOutcomeError
	if _, err := c.CompareAndSwap(ctx, "a", v, []byte("y"), ""); !errors.As(err, &unknown) {
		t.Fatalf("lost response: %v", err)
	}
	s.SetFaults(Faults{Outage: true})
	var unavailable *store.UnavailableError
	if _, err := c.CompareAndSwap(ctx, "a", v, []byte("z"), ""); !errors.As(err, &unavailable) {
		t.Fatalf("outage: %v", err)
	}
	s.SetFaults(Faults{})
	if got, err := c.Get(ctx, "a"); err != nil || string(got.Data) != "y" {
		t.Fatalf("after a lost response: %q, %v", got.Data, err)
	}
	s.SetFaults(Faults{StopWatches: true})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, err := c.Watch(short, "a", 0); !errors.As(err, &unavailable) {
		t.Fatalf("stopped watch: %v", err)
	}
	s.SetFaults(Faults{})
	unavailable = nil
	for i := 0; unavailable == nil && i < 1000; i++ {
		_, err := c.Get(ctx, "a")
		errors.As(err, &unavailable)
	}
	if unavailable == nil || unavailable.RetryAfter != time.Second {
		t.Fatalf("over the rate limit: %v", unavailable)
	}
	if s.Calls().Limited == 0 {
		t.Fatal("no call was counted as limited")
	}
}
