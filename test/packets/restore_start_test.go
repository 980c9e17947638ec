package packets

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Guards against restarted balancers that put the older configuration of a restored store into
// force, or even send it to others. All balancers are killed or terminated and restarted in turn,
// while keys written since the restore have raised the store's revision above the one under which
// the other balancers retained the newer configuration.
func TestRetainedConfigurationSurvivesRollingRestart(t *testing.T) {
	for _, stop := range []struct {
		name string
		do   func(*vm)
	}{
		{"killed", func(v *vm) { v.process.Kill() }},
		{"terminated", func(v *vm) {
			v.process.Terminate()
			if err := v.process.Wait(waitLimit); err != nil {
				v.d.t.Errorf("after SIGTERM: %v", err)
			}
		}},
	} {
		t.Run(stop.name, func(t *testing.T) {
			d := startWithoutRoute(t, 3)
			old := d.revision
			c := d.store.Backup()
			d.addRoute()
			d.restoreWithoutRewrite(c)
			d.awaitRestoreDetected()
			late := d.addAgent("listing")
			d.await("a key that raises the store's revision is in the store", func() bool { return d.hasKey(late) })
			for _, b := range d.balancers {
				stop.do(b)
				b.startProcess()
				d.await("the restarted process has the route", func() bool { return b.inForce(d.revision) })
				d.checkNeverApplied(b, old)
			}
			d.serveRoute()
		})
	}
}

// Guards against the older configuration of a restored store at a balancer that starts while the
// store refuses its calls, so that it reads that configuration later.
func TestRestartedBalancerKeepsRetainedConfigurationOnceStoreAnswers(t *testing.T) {
	d := startWithoutRoute(t, 2)
	c := d.store.Backup()
	d.addRoute()
	d.restoreWithoutRewrite(c)
	d.awaitRestoreDetected()
	b := d.balancers[0]
	b.endpoint.SetFault(platform.Fault{RefuseStatus: http.StatusServiceUnavailable})
	b.process.Kill()
	b.startProcess()
	d.await("the restarted process has the route", func() bool { return b.inForce(d.revision) })
	b.endpoint.SetFault(platform.Fault{})
	for _, other := range d.balancers[1:] {
		other.process.Kill() // the restarted process has to read the store itself
		other.startProcess()
		d.await("the next restarted process has the route", func() bool { return other.inForce(d.revision) })
	}
	d.serveRoute()
}

// Guards against balancers that keep the configuration they retained over a restore of the store
// after the operator has written a newer one.
func TestNewerConfigurationReplacesRetainedOne(t *testing.T) {
	d := startWithoutRoute(t, 2)
	c := d.store.Backup()
	d.addRoute()
	rewrite := d.restoreWithoutRewrite(c)
	d.awaitRestoreDetected()
	b := d.balancers[0]
	b.process.Kill()
	b.startProcess()
	d.await("the restarted process has the route", func() bool { return b.inForce(d.revision) })
	rewrite()
	delete(d.routes, host("records"))
	d.configure()
	for _, b := range d.balancers {
		d.await("the newer configuration is in force", func() bool { return b.inForce(d.revision) })
	}
	d.serve(2, 5, "listing")
}

// startWithoutRoute runs a deployment whose configuration has no route to the service "records".
func startWithoutRoute(t *testing.T, balancers int) *deployment {
	t.Helper()
	d := start(t, balancers, "listing", "records")
	delete(d.routes, host("records"))
	d.configureAndWait()
	return d
}

// addRoute has the operator add the route to the service "records", and waits until it is in force.
func (d *deployment) addRoute() {
	d.t.Helper()
	d.routes[host("records")] = "records"
	d.configureAndWait()
}

// configureAndWait writes the operator's configuration and waits until it is in force at every
// balancer.
func (d *deployment) configureAndWait() {
	d.t.Helper()
	d.configure()
	for _, b := range d.balancers {
		d.await("the configuration is in force", func() bool { return b.inForce(d.revision) })
	}
}

// serveRoute has callers send requests along the route that addRoute added.
func (d *deployment) serveRoute() {
	d.t.Helper()
	d.await("all balancers in rotation", func() bool { return d.router.Ready() == len(d.balancers) })
	d.serve(2, 5, "records")
}

// checkNeverApplied fails the test if the process, since its last start, has logged a
// configuration with the revision, whether or not it came into force.
func (d *deployment) checkNeverApplied(v *vm, revision uint64) {
	d.t.Helper()
	if strings.Contains(v.process.Log(), fmt.Sprintf(`"revision":%d,"in_force"`, revision)) {
		d.t.Errorf("%s logged configuration %d, which it must never apply", v.addr, revision)
	}
}

// Guards against new flows in an evacuated zone, at an agent that starts after the store was
// restored from a copy older than the evacuation and before the operator has rewritten it. None,
// one or both of the balancers start in that time too.
func TestEvacuationSurvivesRestartedProcesses(t *testing.T) {
	for _, restarted := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d balancers start", restarted), func(t *testing.T) {
			d := start(t, 2, "listing", "listing/b", "listing/b")
			c := d.store.Backup()
			d.evacuate("b")
			inB := d.agents[1:]
			for _, v := range inB {
				d.await("the agent has applied the evacuation", func() bool { return v.loggedState("evacuated") })
			}
			before := inB[0].server.AcceptedFlows() + inB[1].server.AcceptedFlows()
			rewrite := d.restoreWithoutRewrite(c)
			d.awaitRestoreDetected()
			begun := time.Now()
			for _, b := range d.balancers[:restarted] {
				b.process.Kill()
				b.startProcess()
				d.await("the restarted process has the configuration", func() bool { return b.inForce(d.revision) })
			}
			inB[0].process.Kill()
			inB[0].startProcess()
			d.await("the restarted agent has received a heartbeat of its server", func() bool { return strings.Contains(inB[0].process.Log(), `"msg":"server"`) })
			for time.Since(begun) < rewriteDelay {
				d.serve(4, 10, "listing")
			}
			rewrite()
			d.serve(4, 10, "listing")
			if after := inB[0].server.AcceptedFlows() + inB[1].server.AcceptedFlows(); after > before {
				t.Errorf("%d new flows in the evacuated zone", after-before)
			}
			d.endEvacuation("b")
			d.await("the zone gets new flows again", func() bool {
				d.serve(1, 5, "listing")
				return inB[0].server.AcceptedFlows()+inB[1].server.AcceptedFlows() > before
			})
		})
	}
}
