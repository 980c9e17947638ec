package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/fabric"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

const flowsPerService = 4

// TestFlowsSurviveBalancerKill guards against a return path that follows the last received packet
// through a balancer that has failed.
func TestFlowsSurviveBalancerKill(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, 2*flowsPerService, 4*time.Second)
	f.Balancers[1].Kill()
	l.wait()
}

// TestFlowsSurviveBalancerFreeze guards against flows that break while a balancer is frozen: its
// kernel accepts packets, and it forwards all of them ten seconds late.
func TestFlowsSurviveBalancerFreeze(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 13*time.Second)
	f.Balancers[1].Freeze()
	pause(10 * time.Second)
	f.Balancers[1].Resume()
	l.wait()
}

// TestFlowsSurviveBalancerReplaced guards against flows that break when another process starts at
// a balancer's address.
func TestFlowsSurviveBalancerReplaced(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 6*time.Second)
	replaceBalancer(t, f, 1)
	l.wait()
}

// TestFlowsSurviveBalancersRolled guards against flows that break in a rolling restart of the
// balancers, at the end of which no process is left that forwarded when the flows began.
func TestFlowsSurviveBalancersRolled(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 14*time.Second)
	for i := range f.Balancers {
		replaceBalancer(t, f, i)
	}
	l.wait()
}

func replaceBalancer(t *testing.T, f *fleet.Fleet, i int) {
	t.Helper()
	f.Balancers[i].Terminate()
	if err := f.Balancers[i].Wait(fleet.WaitLimit); err != nil {
		t.Errorf("%s: %v", f.Balancers[i].Name, err)
	}
	f.StartBalancer(i)
	f.WaitReady()
}

// TestFlowsSurviveBalancerAdded guards against flows that break when the fabric starts to use an
// additional balancer, which has no state of them.
func TestFlowsSurviveBalancerAdded(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 4*time.Second)
	f.StartBalancer(len(f.Balancers))
	f.WaitReady()
	f.Fabric.SetBalancers(f.Ports())
	l.wait()
}

// TestFlowsSurviveAgentDrain guards against a planned stop that cuts the agent's flows.
func TestFlowsSurviveAgentDrain(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 4*time.Second)
	leaving := []*fleet.Agent{f.Agents[0], f.Agents[2]}
	for _, a := range leaving {
		a.Terminate()
	}
	l.wait()
	for _, a := range leaving {
		if err := a.Wait(fleet.WaitLimit); err != nil {
			t.Errorf("%s: %v", a.Name, err)
		}
	}
}

// TestFlowsSurviveOneWayCut guards against flows that break because a balancer looks alive to
// agents, while nothing that it sends, or that is sent to it, arrives.
func TestFlowsSurviveOneWayCut(t *testing.T) {
	t.Parallel()
	cuts := map[string]func(port uint16) fabric.Faults{
		"from balancer": func(port uint16) fabric.Faults { return fabric.Faults{CutFrom: []uint16{port}} },
		"to balancer":   func(port uint16) fabric.Faults { return fabric.Faults{CutTo: []uint16{port}} },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fleet.Start(t, kanatpar())
			l := openFlows(t, f, flowsPerService, 7*time.Second)
			f.Fabric.SetFaults(cut(f.Balancers[1].Port))
			pause(5 * time.Second)
			f.Fabric.SetFaults(fabric.Faults{})
			l.wait()
		})
	}
}

// TestFlowsSurviveZoneLoss guards against flows that break when an availability zone fails. Two of
// four balancers, all those of one zone, are killed at the same moment. The agents of the flows
// run in the other zone, and the fabric continues to send half of all packets to the killed
// balancers.
func TestFlowsSurviveZoneLoss(t *testing.T) {
	t.Parallel()
	cfg := kanatpar()
	cfg.Balancers = 4
	cfg.Zones = []string{"zone-a", "zone-b"}
	f := fleet.Start(t, cfg)
	l := openFlows(t, f, flowsPerService, 5*time.Second)
	f.Balancers[1].Kill()
	f.Balancers[3].Kill()
	l.wait()
}

// TestFlowsSurviveCatalogueEdits guards against flows that break when limits are changed and
// addresses are added.
func TestFlowsSurviveCatalogueEdits(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 4*time.Second)
	for n, name := range []string{"listing", "records"} {
		e := f.Entry(name)
		e.Limits.Connections = 100 + n
		e.Addresses = append(e.Addresses, f.SpareAddress(n))
		f.WaitRevision(f.Apply(catalogue.Edit{Editor: "test", Put: []catalogue.Entry{e}}))
	}
	l.wait()
}

// TestFlowsSurviveKeyRotation guards against flows that break in a rotation of the fleet key:
// balancers get the new key as the second one, new agents use it first, and the old agents drain.
// The flows' connection IDs stay under the old key to their end.
func TestFlowsSurviveKeyRotation(t *testing.T) {
	t.Parallel()
	const second = "2:101112131415161718191a1b1c1d1e1f"
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 14*time.Second)
	f.SetFleetKeys(fleet.FleetKey + "," + second)
	for i := range f.Balancers {
		replaceBalancer(t, f, i)
	}
	f.SetFleetKeys(second + "," + fleet.FleetKey)
	f.StartAgent(kanatpar().Services[0])
	f.StartAgent(kanatpar().Services[1])
	f.WaitReady()
	for _, a := range f.Agents[:4] {
		a.Terminate()
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
	defer cancel()
	fresh := f.Agents[4].Backend
	fleet.Eventually(t, "a new caller is served under the new key", func() bool {
		c := f.Caller("listing")
		defer c.Close()
		a, err := c.Card(ctx, "rotated")
		return err == nil && a.Status == 200 && a.Server == fresh.Name()
	})
	l.wait()
	for _, a := range f.Agents[:4] {
		if err := a.Wait(fleet.WaitLimit); err != nil {
			t.Errorf("%s: %v", a.Name, fmt.Errorf("after drain: %w", err))
		}
	}
}

// TestFlowsSurviveLostFirstAcknowledgements guards against downloads that stall when each
// acknowledgement that the caller sends unprompted is lost: QUIC sends two packets when its timer
// fires, one acknowledgement covers both, and the timer doubles each time.
func TestFlowsSurviveLostFirstAcknowledgements(t *testing.T) {
	t.Parallel()
	const outage, silence = 400 * time.Millisecond, 100 * time.Millisecond
	f := fleet.Start(t, kanatpar())
	l := openFlows(t, f, flowsPerService, 5*time.Second)
	f.Fabric.SetFaults(fabric.Faults{CutTo: f.Ports()})
	pause(outage)
	f.Fabric.SetFaults(fabric.Faults{LoseAfterIdle: silence})
	l.wait()
}
