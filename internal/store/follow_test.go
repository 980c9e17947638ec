package store_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	standin "github.com/hemlockscale/hemlockscale/internal/standin/store"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Guards against a holder of a contact slot that no longer follows the catalogue: its watches
// stop without an error, followed by an edit. The follower must not rely on its watch alone.
// The outage step ends at once, before the next edit, so it hardly exercises retries.
func TestFollowOverHTTP(t *testing.T) {
	s := standin.New(standin.Config{WatchWait: 200 * time.Millisecond})
	hs := httptest.NewServer(s.Handler())
	defer hs.Close()
	client, err := store.New(store.Config{URL: hs.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	st := store.ForCatalogue(client)

	var mu sync.Mutex
	newRevisions := make(chan uint64, 64)
	r := catalogue.NewReplica(catalogue.ReplicaConfig{Peers: func(int) []netip.AddrPort { return nil }})
	f := catalogue.NewFollower(catalogue.FollowerConfig{CheckInterval: 50 * time.Millisecond, BackoffMax: 50 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1))}, r)
	do := func(run func(time.Time)) {
		mu.Lock()
		defer mu.Unlock()
		before := r.Digest().Revision
		run(time.Now())
		if now := r.Digest().Revision; now > before {
			newRevisions <- now
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = store.Follow(ctx, st, f, do) })
	defer wg.Wait()
	defer cancel()

	for i, faults := range []standin.Faults{{}, {StopWatches: true}, {}, {Outage: true}, {}} {
		s.SetFaults(faults)
		if faults.Outage {
			continue // the next edit is made after the outage
		}
		e := catalogue.Entry{Service: fmt.Sprintf("s%d", i), Owner: "kanatpar", Class: catalogue.ClassStream}
		e.Addresses = []netip.Addr{netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + i)})}
		a, err := (&catalogue.Editor{Store: st}).Apply(ctx, catalogue.Edit{Editor: "ayse", Put: []catalogue.Entry{e}})
		if err != nil {
			t.Fatal(err)
		}
		for got := uint64(0); got < a.Revision; {
			got = <-newRevisions
		}
	}
}
