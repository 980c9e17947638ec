package packets

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// evacuate has the operator take a zone out of service, and giveBack ends that.
func (d *deployment) evacuate(zone string) { d.store.Put("op/evacuate/"+zone, []byte("{}")) }
func (d *deployment) giveBack(zone string) { d.store.Remove("op/evacuate/" + zone) }

// says reports whether the process has logged that its server's state has changed so.
func (v *vm) says(state string) bool {
	return strings.Contains(v.process.Log(), `"state":"`+state+`"`)
}

// Symptom: new flows reach backend servers of a zone seconds after the operator took it
// out of service.
// Sequence: a zone is evacuated; its open flows go on; one of its agents is killed and
// starts while the store is away; the zone is given back.
// Cause: evacuations were read by nobody, and not known to a process that starts.
func TestEvacuatedZone(t *testing.T) {
	d := start(t, 2, "listing", "listing/b", "listing/b")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	open, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	d.evacuate("b")
	inB := d.agents[1:]
	for _, v := range inB {
		d.await("the agent knows", func() bool { return v.says("evacuated") })
	}
	away := platform.Fault{RefuseStatus: http.StatusServiceUnavailable}
	for _, v := range d.all() {
		v.endpoint.SetFault(away)
	}
	inB[0].process.Kill()
	inB[0].startProcess()
	d.await("the new process knows", func() bool { return inB[0].says("evacuated") })
	before := inB[0].server.Flows() + inB[1].server.Flows()
	d.serve(4, 10, "listing")
	if after := inB[0].server.Flows() + inB[1].server.Flows(); after > before {
		t.Errorf("%d new flows in the evacuated zone", after-before)
	}
	if err := open.Request(ctx, d.requestID(), "listing", true, 500); err != nil {
		t.Errorf("flow that was open before: %v", err)
	}
	open.Close()
	for _, v := range d.all() {
		v.endpoint.SetFault(platform.Fault{})
	}
	d.giveBack("b")
	begun := time.Now()
	d.await("the zone serves again", func() bool {
		d.serve(1, 5, "listing")
		return inB[0].server.Flows()+inB[1].server.Flows() > before
	})
	t.Logf("new flows %v after the zone was given back", time.Since(begun))
}

// Symptom: callers of a service wait, or get servers that they must not, when all its
// zones are evacuated.
// Sequence: both zones are evacuated at once, and one is given back.
// Cause: two orders in one moment, of which one was missed.
func TestAllZonesEvacuated(t *testing.T) {
	d := start(t, 2, "listing", "listing/b")
	d.evacuate("a")
	d.evacuate("b")
	for _, v := range d.agents {
		d.await("the agent knows", func() bool { return v.says("evacuated") })
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	begun := time.Now()
	if _, err := d.caller(0).Open(ctx, serviceAddr("listing")); err == nil {
		t.Error("a flow was opened")
	} else if took := time.Since(begun); took >= time.Second {
		t.Errorf("refused after %v, want at once", took)
	}
	d.giveBack("b")
	c := d.caller(1)
	d.await("the zone that was given back serves", func() bool { return d.call(ctx, c, "listing", true, 500) == nil })
}
