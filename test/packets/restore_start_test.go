package packets

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Guards against an older configuration of the store that a balancer which starts puts in
// force, or even hands on to the others: all balancers are stopped and started in series,
// by a kill or by SIGTERM, and keys that were written meanwhile have raised the store's
// revision above the one under which the others carried the newer configuration over.
func TestCarriedConfigurationOutlivesEveryProcess(t *testing.T) {
	for _, stop := range []struct {
		name string
		do   func(*vm)
	}{
		{"killed", func(v *vm) { v.process.Kill() }},
		{"terminated", func(v *vm) {
			v.process.Terminate()
			if err := v.process.Wait(limit); err != nil {
				v.d.t.Errorf("after SIGTERM: %v", err)
			}
		}},
	} {
		t.Run(stop.name, func(t *testing.T) {
			d := startWithoutRoute(t, 3)
			old := d.revision
			c := d.store.Backup()
			d.addRoute()
			d.restoreOnly(c)
			d.awaitRestoreNoticed()
			late := d.addAgent("listing")
			d.await("a key that raises the store's revision", func() bool { return d.hasKey(late) })
			for _, b := range d.balancers {
				stop.do(b)
				b.startProcess()
				d.await("the new process has the route", func() bool { return b.inForce(d.revision) })
				d.notInForce(b, old)
			}
			d.serveRoute()
		})
	}
}

// Guards against the same in a balancer that starts while the store turns it away, and reads
// the older configuration later.
func TestStartedBalancerKeepsTheCarriedConfigurationOnceTheStoreServesIt(t *testing.T) {
	d := startWithoutRoute(t, 2)
	c := d.store.Backup()
	d.addRoute()
	d.restoreOnly(c)
	d.awaitRestoreNoticed()
	b := d.balancers[0]
	b.endpoint.SetFault(platform.Fault{RefuseStatus: http.StatusServiceUnavailable})
	b.process.Kill()
	b.startProcess()
	d.await("the new process has the route", func() bool { return b.inForce(d.revision) })
	b.endpoint.SetFault(platform.Fault{})
	for _, other := range d.balancers[1:] {
		other.process.Kill() // the new process has to read the store itself
		other.startProcess()
		d.await("the next process has the route", func() bool { return other.inForce(d.revision) })
	}
	d.serveRoute()
}

// Guards against balancers that hold on to a carried configuration once the operator has
// written a newer one.
func TestNewerConfigurationReplacesTheCarriedOne(t *testing.T) {
	d := startWithoutRoute(t, 2)
	c := d.store.Backup()
	d.addRoute()
	rewrite := d.restoreOnly(c)
	d.awaitRestoreNoticed()
	b := d.balancers[0]
	b.process.Kill()
	b.startProcess()
	d.await("the new process has the route", func() bool { return b.inForce(d.revision) })
	rewrite()
	delete(d.routes, host("records"))
	d.configure()
	for _, b := range d.balancers {
		d.await("the newer configuration is in force", func() bool { return b.inForce(d.revision) })
	}
	d.serve(2, 5, "listing")
}

// startWithoutRoute runs a deployment whose configuration has no route to records.
func startWithoutRoute(t *testing.T, balancers int) *deployment {
	t.Helper()
	d := start(t, balancers, "listing", "records")
	delete(d.routes, host("records"))
	d.configureAll()
	return d
}

// addRoute has the operator add the route to records.
func (d *deployment) addRoute() {
	d.t.Helper()
	d.routes[host("records")] = "records"
	d.configureAll()
}

// configureAll writes the operator's configuration and waits until it is in force.
func (d *deployment) configureAll() {
	d.t.Helper()
	d.configure()
	for _, b := range d.balancers {
		d.await("the route is in force", func() bool { return b.inForce(d.revision) })
	}
}

// serveRoute has callers use the route that addRoute added.
func (d *deployment) serveRoute() {
	d.t.Helper()
	d.await("all balancers in rotation", func() bool { return d.router.Ready() == len(d.balancers) })
	d.serve(2, 5, "records")
}

// notInForce fails the test if the process ever had a configuration in force.
func (d *deployment) notInForce(v *vm, revision uint64) {
	d.t.Helper()
	if strings.Contains(v.process.Log(), fmt.Sprintf(`"revision":%d,"in_force"`, revision)) {
		d.t.Errorf("%s had configuration %d in force", v.addr, revision)
	}
}

// Guards against new flows in an evacuated zone, to an agent that starts after the store came
// back from a copy of before the evacuation and before the operator has written it again, by
// balancers of which some start then too.
func TestEvacuationOutlivesProcessesThatStart(t *testing.T) {
	for _, restarted := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d balancers start", restarted), func(t *testing.T) {
			d := start(t, 2, "listing", "listing/b", "listing/b")
			c := d.store.Backup()
			d.evacuate("b")
			inB := d.agents[1:]
			for _, v := range inB {
				d.await("the agent knows", func() bool { return v.says("evacuated") })
			}
			before := inB[0].server.Flows() + inB[1].server.Flows()
			rewrite := d.restoreOnly(c)
			d.awaitRestoreNoticed()
			begun := time.Now()
			for _, b := range d.balancers[:restarted] {
				b.process.Kill()
				b.startProcess()
				d.await("the new process has the configuration", func() bool { return b.inForce(d.revision) })
			}
			inB[0].process.Kill()
			inB[0].startProcess()
			d.await("the new process knows its server", func() bool { return strings.Contains(inB[0].process.Log(), `"msg":"server"`) })
			for time.Since(begun) < rewriteAfter {
				d.serve(4, 10, "listing")
			}
			rewrite()
			d.serve(4, 10, "listing")
			if after := inB[0].server.Flows() + inB[1].server.Flows(); after > before {
				t.Errorf("%d new flows in the evacuated zone", after-before)
			}
			d.giveBack("b")
			d.await("the zone serves again", func() bool {
				d.serve(1, 5, "listing")
				return inB[0].server.Flows()+inB[1].server.Flows() > before
			})
		})
	}
}
