// Command late-heartbeat is a case of the review: heartbeats of a crashed server, delayed by a
// partition, reach the agent after a new server has registered at the same address.
package main

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	// callers is the number of callers, each of which keeps one flow open.
	callers = 24
	// requestPause is the time between two requests on a flow.
	requestPause = 300 * time.Millisecond
	// crashedFor is the time between a server's crash and the start of the next one at its
	// address; reuseDelayS is 2.
	crashedFor = 2100 * time.Millisecond
	// partitionedFor is the time in which the second server runs without reaching its agent.
	partitionedFor = 1600 * time.Millisecond
	// settled is the time from the third server's start until the late heartbeats arrive. It
	// exceeds stabilityMs, 4 s. Flows are opened in the last flowsBefore of it.
	settled     = 5 * time.Second
	flowsBefore = 2 * time.Second
	// watched is how long the flows are watched after that.
	watched = 6 * time.Second
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	if err := r.Start(2, service, service, service); err != nil {
		return err
	}
	vm := r.Agents[0]
	relay, err := vm.StartControlRelay(0, rig.Trouble())
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	r.Record.Printf("first server at %s crashes", vm.Name)
	vm.Server.Crash()
	time.Sleep(crashedFor)
	r.Record.Printf("second server starts at %s", vm.Name)
	if err := vm.StartServer(r.RelayAddr(0)); err != nil {
		return err
	}
	time.Sleep(partitionedFor)
	r.Record.Printf("second server at %s crashes", vm.Name)
	relay.SenderCrashed()
	vm.Server.Crash()
	time.Sleep(crashedFor)
	r.Record.Printf("third server starts at %s and sends its heartbeats straight to the agent", vm.Name)
	if _, err := vm.StartControlRelay(1, false); err != nil {
		return err
	}
	if err := vm.StartServer(r.RelayAddr(1)); err != nil {
		return err
	}
	time.Sleep(settled - flowsBefore)
	flows := r.OpenFlows(service, callers, requestPause)
	time.Sleep(flowsBefore)
	r.Record.Printf("third server has accepted %d flows", vm.Server.AcceptedFlows())
	if vm.Server.AcceptedFlows() == 0 {
		return fmt.Errorf("no flow was opened at the third server")
	}
	relay.Release()
	time.Sleep(watched)
	flows.Stop()
	vm.RecordLog("instance", "heartbeat")
	return nil
}
