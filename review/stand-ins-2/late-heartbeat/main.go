// Command late-heartbeat is a case of the review: two heartbeats of a crashed server, delayed
// by a partition, reach the agent while the server that runs there now is draining.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	// crashedFor is the time between a server's crash and the start of the next one at its
	// address; reuseDelayS is 2.
	crashedFor = 2100 * time.Millisecond
	// firstRan is how long the first server runs before its heartbeats are delayed, secondRan how
	// long the second one runs before it crashes, and thirdRan how long the third one runs before
	// it drains.
	firstRan  = 3 * time.Second
	secondRan = time.Second
	thirdRan  = time.Second
	// delayed is the number of heartbeats of the first server that are delayed.
	delayed = 2
	// drainBound is drainMs of the settings, stability is stabilityMs.
	drainBound = 3 * time.Second
	stability  = 4 * time.Second
	// served is how long the draining server goes on serving after the late heartbeats.
	served = 4 * time.Second
	// callPause is the time between two calls, each with a flow of its own.
	callPause = 15 * time.Millisecond
	// callers is the number of callers that make calls at the same time.
	callers = 4
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	if err := r.Start(2, service, service, service, service, service, service, service, "-"+service); err != nil {
		return err
	}
	vm := r.Agents[7]
	first, err := vm.StartControlRelay(0, false)
	if err != nil {
		return err
	}
	if _, err := vm.StartControlRelay(1, false); err != nil {
		return err
	}
	if err := vm.StartServer(r.RelayAddr(0)); err != nil {
		return err
	}
	r.Record.Printf("first server started at %s", vm.Name)
	time.Sleep(firstRan)
	if rig.Trouble() {
		first.Hold()
		if err := rig.Await(5*time.Second, "two heartbeats delayed", func() bool { return first.Held() == delayed }); err != nil {
			return err
		}
	}
	first.SenderCrashed()
	if err := replaceServer(r, vm, "second"); err != nil {
		return err
	}
	time.Sleep(secondRan)
	if err := replaceServer(r, vm, "third"); err != nil {
		return err
	}
	var stops []func()
	for i := range callers {
		stops = append(stops, startCalls(r, i))
	}
	time.Sleep(thirdRan)
	if vm.Server.AcceptedFlows() == 0 {
		return fmt.Errorf("no flow was opened at the third server")
	}
	vm.Server.Drain()
	acknowledged := time.Now()
	if !vm.Server.Drained() {
		return fmt.Errorf("draining was not acknowledged")
	}
	r.Record.Printf("draining of the third server acknowledged")
	time.Sleep(stability)
	before := vm.Server.AcceptedFlows()
	r.Record.Printf("the third server has accepted %d flows so far", before)
	first.Release()
	time.Sleep(served)
	late := vm.Server.AcceptedFlows() - before
	r.Record.Printf("flows accepted in the last %v, from %v after the acknowledgement on: %d", served, time.Since(acknowledged.Add(served)).Round(time.Millisecond), late)
	if late > 0 {
		r.Journal.RecordViolation("%d requests reached a backend more than %v after the acknowledgement that it is draining (drainMs is %v)", late, stability, drainBound)
	}
	for _, stop := range stops {
		stop()
	}
	vm.RecordLog("instance", "heartbeat", "state")
	return nil
}

// replaceServer crashes the server beside an agent and starts the next one there.
func replaceServer(r *rig.Rig, vm *rig.VM, which string) error {
	r.Record.Printf("server at %s crashes", vm.Name)
	vm.Server.Crash()
	time.Sleep(crashedFor)
	r.Record.Printf("%s server starts at %s", which, vm.Name)
	return vm.StartServer(r.RelayAddr(1))
}

// startCalls has the i-th caller make calls until the returned function is called.
func startCalls(r *rig.Rig, i int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := r.Caller(i)
		if err != nil {
			r.Record.Printf("caller %d: %v", i, err)
			return
		}
		defer c.Close()
		answered := 0
		for n := 0; ctx.Err() == nil; n++ {
			if call(ctx, c, fmt.Sprintf("q%d-%d", i, n)) == nil {
				answered++
			}
			time.Sleep(callPause)
		}
		r.Record.Printf("caller %d: %d calls answered", i, answered)
	}()
	return func() {
		cancel()
		<-done
	}
}

// call opens a flow, sends one request and closes the flow.
func call(ctx context.Context, c *platform.Caller, id string) error {
	f, err := c.Open(ctx, rig.ServiceAddr(service))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Request(ctx, id, service, false, 600)
}
