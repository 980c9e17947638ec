// Command foreign-heartbeat is a case of the review: another program writes heartbeats of an unknown
// service to an agent's control address while the agent is stopped and started again.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	// callers is the number of callers, each of which keeps one flow open.
	callers = 64
	// requestPause is the time between two requests on a flow. It is below idleTimeoutMs, 15 s, and
	// the second request is sent more than stabilityMs after the restart.
	requestPause = 10 * time.Second
	// foreignInterval is the time between two heartbeats of the other program.
	foreignInterval = 200 * time.Millisecond
	// restartDelay is the time from the end of the agent's process to its next start.
	restartDelay = 300 * time.Millisecond
	// watched is how long the flows are watched after the restart.
	watched = 10 * time.Second
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	if err := r.Start(2, service, service, service, service, service, service, service, service); err != nil {
		return err
	}
	vm := r.Agents[0]
	time.Sleep(3 * time.Second)
	flows := r.OpenFlows(service, callers, requestPause)
	time.Sleep(2 * time.Second)
	r.Record.Printf("%d flows open, %d accepted by the server beside %s", flows.Opened(), vm.Server.AcceptedFlows(), vm.Name)
	if vm.Server.AcceptedFlows() == 0 {
		return fmt.Errorf("no flow was opened at the server beside %s", vm.Name)
	}
	if rig.Trouble() {
		stop := make(chan struct{})
		defer close(stop)
		go writeForeignHeartbeats(r, vm, stop)
	}
	vm.Server.Drain()
	if !vm.Server.Drained() {
		return fmt.Errorf("draining was not acknowledged")
	}
	r.Record.Printf("draining of the server beside %s acknowledged", vm.Name)
	time.Sleep(time.Second)
	vm.Signal(syscall.SIGTERM)
	if err := vm.WaitExit(6 * time.Second); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if err := vm.StartProcess(); err != nil {
		return err
	}
	time.Sleep(watched)
	flows.Stop()
	vm.RecordLog("new server instance", "\"server\"", "status checked")
	return nil
}

// writeForeignHeartbeats sends heartbeats with a service that no configuration names until stop is
// closed. Changes of the answer are recorded.
func writeForeignHeartbeats(r *rig.Rig, vm *rig.VM, stop <-chan struct{}) {
	url := fmt.Sprintf("http://%v/api/instances/x-1/heartbeat", vm.At(rig.ControlPort))
	client := http.Client{Timeout: time.Second}
	last := ""
	for n := 1; ; n++ {
		body, err := json.Marshal(map[string]any{
			"service": "monitoring", "address": vm.At(rig.AppPort).String(), "zone": "zone-a", "version": "v1",
			"concurrency": 5, "state": "ready", "coldRemainingMs": 0, "sequence": n,
		})
		if err != nil {
			panic(err)
		}
		answer := "none"
		if resp, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
			answer = resp.Status
		}
		if answer != last {
			r.Record.Printf("other program: heartbeat %d of service monitoring: answer %s", n, answer)
			last = answer
		}
		select {
		case <-stop:
			return
		case <-time.After(foreignInterval):
		}
	}
}
