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

// linked is a fleet with a fault-injecting proxy before the store and before
// each backend server.
func linked() fleet.Config {
	c := kanatpar()
	c.Links = true
	return c
}

// TestStoreLinkStalls: symptom: edits are in force nowhere though the store is
// up. Sequence: the connections to the store stay open and carry nothing; edits
// are accepted meanwhile; the connections carry again. Cause: a call without a
// limit of its own waits for an answer that is lost.
func TestStoreLinkStalls(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, linked())
	f.StoreLink.Disturb(fleet.Toxic{Type: "timeout", Attributes: `{"timeout":0}`})
	revision := edit(t, f, "listing", 61)
	serves(t, f, "listing")
	f.StoreLink.Heal()
	inForce(t, f, revision)
	inForce(t, f, edit(t, f, "listing", 62))
}

// TestBackendLinkBreaks: symptom: a caller takes a cut answer for a whole one, or
// a reservation that ran is said not to have run. Sequence: the connection to
// the backend server is reset, or ends after a few bytes of the answer. Cause:
// the end of a connection looks like the end of an answer.
func TestBackendLinkBreaks(t *testing.T) {
	t.Parallel()
	for _, x := range []fleet.Toxic{
		{Type: "reset_peer", Attributes: `{"timeout":0}`},
		{Type: "limit_data", Attributes: `{"bytes":400}`},
		{Type: "timeout", Attributes: `{"timeout":300}`},
	} {
		t.Run(x.Type, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, linked())
			for _, a := range f.Agents {
				a.Link.Disturb(x)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.Limit)
			defer cancel()
			for n := range 10 {
				breakOne(ctx, t, f, n)
			}
			for _, a := range f.Agents {
				a.Link.Heal()
			}
			serves(t, f, "listing")
			expectOnce(t, f)
		})
	}
}

// breakOne sends a reservation and a download over a disturbed link.
func breakOne(ctx context.Context, t *testing.T, f *fleet.Fleet, n int) {
	t.Helper()
	c := f.Caller("listing")
	defer c.Close()
	key := fmt.Sprint("broken-", n)
	a, err := c.Reserve(ctx, key, "part")
	mustNotBeWrong(t, err)
	if a != nil && a.Outcome == "not-run" && runs(f)[key] > 0 {
		t.Errorf("%s: said not to have run, and ran", key)
	}
	if a != nil && a.Status == http.StatusCreated && runs(f)[key] == 0 {
		t.Errorf("%s: said to have run, and did not", key)
	}
	d := f.CallerWith(caller.Config{Service: "records", IdleTimeout: 5 * time.Second})
	defer d.Close()
	_, err = d.Download(ctx, 1<<20, uint64(n), nil)
	mustNotBeWrong(t, err)
	if err == nil {
		t.Errorf("download %d came whole over a link that breaks", n)
	}
}
