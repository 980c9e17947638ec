package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// linkedFleet is a fleet with a fault-injecting proxy in front of the store and of each backend
// server.
func linkedFleet() fleet.Config {
	c := kanatpar()
	c.Links = true
	return c
}

// Guards against edits that are in force at no balancer although the store works. Connections to
// the store stay open but carry no data while an edit is accepted, and recover later. A call
// without a timeout of its own waits forever for its lost response.
func TestStoreLinkStalls(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, linkedFleet())
	f.StoreLink.AddToxic(fleet.Toxic{Type: "timeout", Attributes: `{"timeout":0}`})
	revision := editQueueLimit(t, f, "listing", 61)
	awaitServed(t, f, "listing")
	f.StoreLink.RemoveToxics()
	awaitInForce(t, f, revision)
	awaitInForce(t, f, editQueueLimit(t, f, "listing", 62))
}

// Guards against truncated answers that callers take for complete, and against the outcome not-run
// for a reservation that ran. The connection to the backend server is reset, or ends after a few
// bytes of the answer, which looks like the end of the answer.
func TestBackendLinkBreaks(t *testing.T) {
	t.Parallel()
	for _, x := range []fleet.Toxic{
		{Type: "reset_peer", Attributes: `{"timeout":0}`},
		{Type: "limit_data", Attributes: `{"bytes":400}`},
		{Type: "timeout", Attributes: `{"timeout":300}`},
	} {
		t.Run(x.Type, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, linkedFleet())
			for _, a := range f.Agents {
				a.Link.AddToxic(x)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit)
			defer cancel()
			for n := range 10 {
				requestOverFaultyLink(ctx, t, f, n)
			}
			for _, a := range f.Agents {
				a.Link.RemoveToxics()
			}
			awaitServed(t, f, "listing")
			checkRunOnce(t, f)
		})
	}
}

// requestOverFaultyLink sends a reservation and a download over a faulty link and checks what the
// caller sees.
func requestOverFaultyLink(ctx context.Context, t *testing.T, f *fleet.Fleet, n int) {
	t.Helper()
	c := f.Caller("listing")
	defer c.Close()
	key := fmt.Sprint("broken-", n)
	a, err := c.Reserve(ctx, key, "part")
	checkAnswerError(t, err)
	if a != nil && a.Outcome == "not-run" && runsByKey(f)[key] > 0 {
		t.Errorf("%s: outcome not-run for a request that ran", key)
	}
	if a != nil && a.Status == http.StatusCreated && runsByKey(f)[key] == 0 {
		t.Errorf("%s: status 201 for a request that did not run", key)
	}
	d := f.CallerWith(caller.Config{Service: "records", IdleTimeout: 5 * time.Second})
	defer d.Close()
	_, err = d.Download(ctx, 1<<20, uint64(n), nil)
	checkAnswerError(t, err)
	if err == nil {
		t.Errorf("download %d was complete over a link that breaks", n)
	}
}
