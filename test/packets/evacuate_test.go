package packets

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// evacuate has the operator take an availability zone out of service, and endEvacuation puts it
// back into service.
func (d *deployment) evacuate(zone string)      { d.store.Put("op/evacuate/"+zone, []byte("{}")) }
func (d *deployment) endEvacuation(zone string) { d.store.Remove("op/evacuate/" + zone) }

// loggedState reports whether the process has logged that its server entered a state.
func (v *vm) loggedState(state string) bool {
	return strings.Contains(v.process.Log(), `"state":"`+state+`"`)
}

// Guards against new flows at backend servers of a zone seconds after the operator evacuated it.
// One of the zone's agents is killed and restarted while the store refuses calls, so it cannot
// read the evacuation there. Open flows must continue, and the zone is put back into service.
func TestEvacuatedZone(t *testing.T) {
	d := start(t, 2, "listing", "listing/b", "listing/b")
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	open, err := d.caller(0).Open(ctx, serviceAddr("listing"))
	if err != nil {
		t.Fatal(err)
	}
	d.evacuate("b")
	inB := d.agents[1:]
	for _, v := range inB {
		d.await("the agent has applied the evacuation", func() bool { return v.loggedState("evacuated") })
	}
	away := platform.Fault{RefuseStatus: http.StatusServiceUnavailable}
	for _, v := range d.all() {
		v.endpoint.SetFault(away)
	}
	inB[0].process.Kill()
	inB[0].startProcess()
	d.await("the new process has applied the evacuation", func() bool { return inB[0].loggedState("evacuated") })
	before := inB[0].server.AcceptedFlows() + inB[1].server.AcceptedFlows()
	d.serve(4, 10, "listing")
	if after := inB[0].server.AcceptedFlows() + inB[1].server.AcceptedFlows(); after > before {
		t.Errorf("%d new flows in the evacuated zone", after-before)
	}
	if err := open.Request(ctx, d.requestID(), "listing", true, 500); err != nil {
		t.Errorf("flow that was open before: %v", err)
	}
	open.Close()
	for _, v := range d.all() {
		v.endpoint.SetFault(platform.Fault{})
	}
	d.endEvacuation("b")
	begun := time.Now()
	d.await("the zone gets new flows again", func() bool {
		d.serve(1, 5, "listing")
		return inB[0].server.AcceptedFlows()+inB[1].server.AcceptedFlows() > before
	})
	t.Logf("new flows %v after the end of the evacuation", time.Since(begun))
}

// Guards against callers that wait, or get servers in an evacuated zone, when all zones of a
// service are evacuated. Both zones are evacuated at the same moment, so that one of the two
// orders could be missed, and then one zone is put back into service.
func TestAllZonesEvacuated(t *testing.T) {
	d := start(t, 2, "listing", "listing/b")
	d.evacuate("a")
	d.evacuate("b")
	for _, v := range d.agents {
		d.await("the agent has applied the evacuation", func() bool { return v.loggedState("evacuated") })
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	begun := time.Now()
	if _, err := d.caller(0).Open(ctx, serviceAddr("listing")); err == nil {
		t.Error("a flow was opened")
	} else if took := time.Since(begun); took >= time.Second {
		t.Errorf("refused after %v, want at once", took)
	}
	d.endEvacuation("b")
	c := d.caller(1)
	d.await("the zone that is in service again serves", func() bool { return d.call(ctx, c, "listing", true, 500) == nil })
}
