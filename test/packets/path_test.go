package packets

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// serve has callers send requests to every service until all are answered, and checks the
// journal for violations.
func (d *deployment) serve(callers, requests int, services ...string) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var wg sync.WaitGroup
	for i := range callers {
		c := d.caller(100 + i)
		wg.Go(func() {
			defer c.Close()
			for n := range requests {
				d.requestUntilServed(ctx, c, services[(i+n)%len(services)])
			}
		})
	}
	wg.Wait()
	d.check()
}

// requestUntilServed repeats an idempotent request until it is answered.
func (d *deployment) requestUntilServed(ctx context.Context, c *platform.Caller, service string) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		err := d.call(callCtx, c, service, false, 4000)
		cancel()
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			d.t.Errorf("request to %s: %v", service, err)
			return
		}
	}
}

// TestWholePath checks that requests of two services, many requests on one flow, and a long
// response are answered.
func TestWholePath(t *testing.T) {
	d := start(t, 3, "listing", "listing", "records")
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	d.serve(6, 5, "listing", "records")
	f, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if err := f.Request(ctx, d.requestID(), "listing", true, 500); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Request(ctx, d.requestID(), "listing", false, 80000); err != nil {
		t.Fatal(err)
	}
	f.Close()
	d.check()
}

// Guards against open flows that break in a rolling restart. Each balancer gets SIGTERM and is
// started again while flows are in use, so routers send the flows' packets to balancers that
// have no state of them.
func TestFlowSurvivesRolledBalancers(t *testing.T) {
	d := start(t, 3, "listing", "listing", "listing")
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	var flows []*platform.Flow
	for i := range 6 {
		f, err := d.caller(i).Open(ctx, serviceAddr("listing"))
		if err != nil {
			t.Fatal(err)
		}
		flows = append(flows, f)
	}
	use := func() {
		for _, f := range flows {
			if err := f.Request(ctx, d.requestID(), "listing", true, 2000); err != nil {
				t.Fatalf("open flow: %v", err)
			}
		}
	}
	use()
	for _, b := range d.balancers {
		b.process.Terminate()
		use()
		if err := b.process.Wait(waitLimit); err != nil {
			t.Fatalf("stop: %v", err)
		}
		b.startProcess()
		use()
		d.await("the balancer is in rotation again", func() bool { return d.router.Ready() == len(d.balancers) })
		use()
	}
	d.check()
}

// Guards against new flows at a draining server whose agent was killed right after it had
// acknowledged the drain. The restarted agent has no state of what it acknowledged before.
func TestDrainingServerGetsNoFlowAfterAgentRestart(t *testing.T) {
	d := start(t, 2, "listing", "listing")
	d.agents[0].server.Drain()
	d.await("the drain is acknowledged", d.agents[0].server.Drained)
	d.agents[0].process.Kill()
	d.agents[0].startProcess()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c := d.caller(0)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		d.requestUntilServed(ctx, c, "listing")
	}
	d.check()
}

// Guards against flows of one service at a server of another. A server crashes, and its address
// is reused by a server and an agent of another service, while balancers still have the address
// as one of the old service.
func TestAddressGoesToAnotherService(t *testing.T) {
	d := start(t, 2, "listing", "listing", "records")
	v := d.agents[0]
	v.server.Crash()
	v.process.Kill()
	v.service = "records"
	v.startProcess()
	v.startServer()
	d.serve(4, 20, "listing", "records")
}

// Guards against callers of a crashed server that wait for their deadlines instead of getting a
// reset. The server crashes without a deregistration and is restarted, and no process has
// state of the flows that it held.
func TestCrashedServersFlowsAreReset(t *testing.T) {
	d := start(t, 2, "listing")
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	f, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Request(ctx, d.requestID(), "listing", false, 100); err != nil {
		t.Fatal(err)
	}
	d.agents[0].server.Crash()
	d.agents[0].startServer()
	var reset *platform.ResetError
	if err := f.Request(ctx, d.requestID(), "listing", false, 100); !errors.As(err, &reset) {
		t.Fatalf("request on the lost flow: %v", err)
	}
	d.serve(1, 3, "listing")
}

// Guards against processes that stop serving while the store fails, although they have all the
// state that they need, and against keys that stay missing after it recovers. The store refuses
// calls, hangs, loses or delays responses, and the keys of all processes are removed.
func TestStoreInTrouble(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault platform.Fault
	}{
		{"busy", platform.Fault{RefuseStatus: http.StatusServiceUnavailable}},
		{"silent", platform.Fault{Hang: true}},
		{"answers lost", platform.Fault{LoseResponses: true}},
		{"slow", platform.Fault{Delay: 400 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := start(t, 2, "listing", "listing")
			d.await("every key is in the store", func() bool { return len(d.store.Keys("hemlock/nodes/")) == 4 })
			d.store.SetFault(func(netip.Addr) platform.Fault { return c.fault })
			d.store.Remove("hemlock/nodes/")
			d.serve(2, 5, "listing")
			d.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{} })
			d.await("every key is in the store again", func() bool { return len(d.store.Keys("hemlock/nodes/")) == 4 })
			d.serve(2, 5, "listing")
		})
	}
}

// Guards against a configuration change that takes effect only when the current watch times out.
// While a route is added, watches get neither events nor errors, as if nothing had changed.
func TestWatchWithoutEvents(t *testing.T) {
	d := start(t, 2, "listing", "records")
	delete(d.routes, host("records"))
	d.configure()
	c := d.caller(0)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var reset *platform.ResetError
	d.await("the route is removed", func() bool { return errors.As(d.call(ctx, c, "records", false, 100), &reset) })
	d.store.SetFault(func(netip.Addr) platform.Fault { return platform.Fault{StopWatches: true} })
	d.routes[host("records")] = "records"
	start := time.Now()
	d.configure()
	d.await("the route is in force again", func() bool { return d.call(ctx, c, "records", false, 100) == nil })
	if took := time.Since(start); took > 10*time.Second {
		t.Fatalf("the change is in force only after %v, want 10s at most", took)
	}
	d.check()
}

// Guards against processes that exit on SIGHUP, as a process without a handler for the signal
// does. SIGHUP is sent to a balancer and to an agent.
func TestProcessesSurviveSIGHUP(t *testing.T) {
	d := start(t, 1, "listing")
	for _, v := range append(d.balancers[:1:1], d.agents...) {
		v.process.Hangup()
		d.await("the reload is logged", func() bool { return strings.Contains(v.process.Log(), `"reloaded"`) })
		v.env["HEMLOCKSCALE_NODE_FILE"] = "" // no effect on the running process; nothing is restarted here
	}
	d.serve(1, 3, "listing")
}
