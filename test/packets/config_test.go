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

// Guards against a balancer that stays out of rotation, and misses later configuration changes,
// while the store refuses its calls or does not answer them but serves all other processes.
func TestStoreRefusesOneBalancer(t *testing.T) {
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
			d.await("the balancer is in rotation again", func() bool { return d.router.Ready() == len(d.balancers) })
			d.serve(3, 5, "listing", "records")
			d.unusedRoutes++
			d.configure()
			d.await("the change is in force at that balancer", func() bool { return b.inForce(d.revision) })
			d.serve(3, 5, "listing", "records")
		})
	}
}

// Guards against balancers that keep an older configuration after the store recovers. All of
// them start while the store refuses calls, and the configuration changes meanwhile.
func TestStoreReturnsWithNewerConfiguration(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	for _, b := range d.balancers {
		b.endpoint.SetFault(platform.Fault{RefuseStatus: http.StatusServiceUnavailable})
		b.process.Kill()
		b.startProcess()
	}
	d.unusedRoutes++
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

// Guards against stalled connections to the store, which stay open without data and look like
// idle ones. Meanwhile keys are removed and the configuration changes.
func TestStoreConnectionsStall(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	for _, v := range append(d.balancers[:2:2], d.agents...) {
		v.endpoint.DropOpenConnections()
	}
	d.store.Remove("hemlock/nodes/")
	d.unusedRoutes++
	d.configure()
	for _, b := range d.balancers {
		d.await("the change is in force", func() bool { return b.inForce(d.revision) })
	}
	d.await("every key is in the store again", func() bool { return len(d.store.Keys("hemlock/nodes/")) == 4 })
	d.serve(2, 5, "listing")
}

// Guards against calls to the store that grow with the number of balancers, which would use up
// the store's rate limits and make it the largest cost. The configuration changes while 2 and 8
// balancers run; each of them watching the store by itself would be such a fault.
func TestChangesCostTheSameWithMoreBalancers(t *testing.T) {
	const changes = 5
	for _, balancers := range []int{2, 8} {
		d := start(t, balancers, "listing")
		callCount := func() int {
			calls := d.store.Calls()
			return calls["watch"] + calls["key"] + calls["range of orders"]
		}
		d.await("a balancer watches the store", func() bool { return d.store.Calls()["watch"] > 0 })
		before, begun := callCount(), time.Now()
		for range changes {
			d.unusedRoutes++
			d.configure()
			for _, b := range d.balancers {
				d.await("the change is in force", func() bool { return b.inForce(d.revision) })
			}
		}
		calls := callCount() - before
		// Two calls for each change and, for each WatchTimeout, a watch and half a read, doubled.
		maxCalls := 2*changes + 3*(1+int(time.Since(begun)/propagation.WatchTimeout))
		if calls > maxCalls {
			t.Errorf("%d balancers: %d calls for %d changes, want %d at most", balancers, calls, changes, maxCalls)
		}
	}
}

// Guards against open flows that stall, and changes that are delayed, while balancers read a
// large configuration.
func TestManyRoutes(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	f, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		d.unusedRoutes += 500
		d.configure()
		for n := 0; n < 5 || !d.balancers[0].inForce(d.revision) || !d.balancers[1].inForce(d.revision); n++ {
			if err := f.Request(ctx, d.requestID(), "listing", true, 2000); err != nil {
				t.Fatalf("open flow: %v", err)
			}
		}
	}
	if !strings.Contains(d.balancers[0].process.Log(), fmt.Sprintf(`"routes":%d`, d.unusedRoutes+len(d.routes))) {
		t.Error("the balancer has not logged the number of all routes")
	}
	f.Close()
	d.serve(2, 5, "listing")
}

// Guards against changed settings that take effect only at the next start, and invalid settings
// that are accepted. The settings file is reloaded after SIGHUP and without a signal.
func TestSettingsAreReloaded(t *testing.T) {
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
				d.await("the invalid settings are refused", func() bool { return strings.Contains(v.process.Log(), "reload refused") })
			}
			d.serve(1, 3, "listing")
		})
	}
}

// Guards against an exit code that makes a supervisor restart a process with invalid settings
// in a loop. The settings file is not named, does not exist or is invalid.
func TestInvalidSettingsFile(t *testing.T) {
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
