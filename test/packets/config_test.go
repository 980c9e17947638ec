package packets

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/propagation"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

// Guards against a balancer that stays out of rotation, and has no later change, for as long as
// the store turns it away.
func TestStoreServesSomeOnly(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platform.Fault
	}{
		{"busy", platform.Fault{RefuseStatus: http.StatusServiceUnavailable}},
		{"too many", platform.Fault{RefuseStatus: http.StatusTooManyRequests}},
		{"silent", platform.Fault{Hang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, 3, "listing", "listing", "records")
			b := d.balancers[0]
			b.endpoint.SetFault(c.fault)
			b.process.Kill()
			b.startProcess()
			d.await("the balancer has the configuration", func() bool { return b.inForce(d.revision) })
			d.await("the balancer is back", func() bool { return d.router.Ready() == len(d.balancers) })
			d.serve(3, 5, "listing", "records")
			d.idle++
			d.configure()
			d.await("a change is in force there too", func() bool { return b.inForce(d.revision) })
			d.serve(3, 5, "listing", "records")
		})
	}
}

// Guards against balancers that all started while the store was away and keep to an older
// configuration once it is back.
func TestStoreReturnsWithNewerConfiguration(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	for _, b := range d.balancers {
		b.endpoint.SetFault(platform.Fault{RefuseStatus: http.StatusServiceUnavailable})
		b.process.Kill()
		b.startProcess()
	}
	d.idle++
	d.configure()
	for _, b := range d.balancers {
		b.endpoint.SetFault(platform.Fault{})
	}
	for _, b := range d.balancers {
		d.await("the newest configuration is in force", func() bool { return b.inForce(d.revision) })
	}
	d.await("all balancers in rotation", func() bool { return d.router.Ready() == len(d.balancers) })
	d.serve(2, 5, "listing")
}

// Guards against connections to the store that carry nothing and look like ones on which
// nothing happens.
func TestStoreConnectionsGoSilent(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	for _, v := range append(d.balancers[:2:2], d.agents...) {
		v.endpoint.DropOpenConnections()
	}
	d.store.Remove("hemlock/nodes/")
	d.idle++
	d.configure()
	for _, b := range d.balancers {
		d.await("the change is in force", func() bool { return b.inForce(d.revision) })
	}
	d.await("every key is back", func() bool { return len(d.store.Keys("hemlock/nodes/")) == 4 })
	d.serve(2, 5, "listing")
}

// Symptom: the store's rates are used up, and its price is the highest of all, when a
// fleet grows.
// Sequence: the configuration changes while many balancers run.
// Cause: each of them watched it.
func TestChangesCostTheSameWithMoreBalancers(t *testing.T) {
	const changes = 5
	for _, balancers := range []int{2, 8} {
		d := start(t, balancers, "listing")
		made := func() int {
			calls := d.store.Calls()
			return calls["watch"] + calls["key"] + calls["range of orders"]
		}
		d.await("somebody watches", func() bool { return d.store.Calls()["watch"] > 0 })
		before, begun := made(), time.Now()
		for range changes {
			d.idle++
			d.configure()
			for _, b := range d.balancers {
				d.await("the change is in force", func() bool { return b.inForce(d.revision) })
			}
		}
		calls := made() - before
		// Two a change and, for each Wait, a watch and half a read, twice over.
		limit := 2*changes + 3*(1+int(time.Since(begun)/propagation.WatchTimeout))
		if calls > limit {
			t.Errorf("%d balancers: %d calls for %d changes, want %d at most", balancers, calls, changes, limit)
		}
	}
}

// Guards against open flows that stall, or a change that waits, while a large configuration is
// read.
func TestManyRoutes(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	f, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		d.idle += 500
		d.configure()
		for n := 0; n < 5 || !d.balancers[0].inForce(d.revision) || !d.balancers[1].inForce(d.revision); n++ {
			if err := f.Request(ctx, d.requestID(), "listing", true, 2000); err != nil {
				t.Fatalf("open flow: %v", err)
			}
		}
	}
	if !strings.Contains(d.balancers[0].process.Log(), fmt.Sprintf(`"routes":%d`, d.idle+len(d.routes))) {
		t.Error("not every route is known")
	}
	f.Close()
	d.serve(2, 5, "listing")
}

// Guards against changed settings that count from the next start only, and wrong ones that are
// taken.
func TestSettingsAreReadAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal bool
	}{{"signal", true}, {"no signal", false}} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, 1, "listing")
			for _, v := range append(d.balancers[:1:1], d.agents...) {
				v.maxAgeS = 61
				v.writeSettings()
				if c.signal {
					v.process.Hangup()
				}
				d.await("the new settings are in force", func() bool { return strings.Contains(v.process.Log(), `"max_flow_age":61`) })
				v.maxAgeS = -1
				v.writeSettings()
				if c.signal {
					v.process.Hangup()
				}
				d.await("the wrong ones are refused", func() bool { return strings.Contains(v.process.Log(), "reload refused") })
			}
			d.serve(1, 3, "listing")
		})
	}
}

// Guards against an exit code by which a supervisor starts a process with wrong settings again
// and again.
func TestWrongSettingsFile(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(bad, []byte(`ip = "nowhere"`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, program := range []string{"hemlock-balancer", "hemlock-agent"} {
		for _, env := range []map[string]string{
			{}, {"HEMLOCKSCALE_NODE_FILE": bad + "-not-there"}, {"HEMLOCKSCALE_NODE_FILE": bad},
		} {
			r := fleet.RunOnce(t, program, env, "-platform")
			if r.Exit != 2 || strings.Count(r.Stderr, "\n") != 1 || !strings.Contains(r.Stderr, "settings file") {
				t.Errorf("%s with %v: exit %d, %q", program, env, r.Exit, r.Stderr)
			}
		}
	}
}
