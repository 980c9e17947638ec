// Command reused-port is a case of the review: a server crashes, callers whose flows it has lost
// open new flows from the same ports at other servers, and the balancers are restarted in turn.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	// callers is the number of callers. Each keeps a flow open, ends it, and opens another one from
	// the same port after reopenAfter.
	callers      = 64
	requestPause = 500 * time.Millisecond
	reopenAfter  = 30 * time.Second
	// downFor is how long the crashed server is down.
	downFor = 2500 * time.Millisecond
	// settled is the time from the second flows' start until the balancers are restarted. It
	// exceeds stabilityMs, 4 s.
	settled = 5 * time.Second
	// betweenStops is the time between the stops of two balancers.
	betweenStops = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	if err := r.Start(2, service, service, service, service, service, service, service, service); err != nil {
		return err
	}
	vm := r.Agents[0]
	time.Sleep(3 * time.Second)
	first := openFlows(r, 1)
	time.Sleep(2 * time.Second)
	r.Record.Printf("%d flows accepted by the server beside %s", vm.Server.AcceptedFlows(), vm.Name)
	if rig.Trouble() {
		r.Record.Printf("server beside %s crashes", vm.Name)
		vm.Server.Crash()
		time.Sleep(downFor)
		r.Record.Printf("next server starts beside %s", vm.Name)
		if err := vm.StartServer(vm.At(rig.ControlPort)); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	first.end()
	r.Record.Printf("first flows: %d reset, %d closed by their callers", first.reset.Load(), first.closed.Load())
	time.Sleep(reopenAfter)

	second := openFlows(r, 2)
	time.Sleep(settled)
	r.Record.Printf("%d of %d callers have opened another flow from the same port", second.opened.Load(), callers)
	for _, b := range r.Balancers {
		b.Signal(syscall.SIGTERM)
		if err := b.WaitExit(6 * time.Second); err != nil {
			return err
		}
		time.Sleep(restartDelay)
		if err := b.StartProcess(); err != nil {
			return err
		}
		time.Sleep(betweenStops)
	}
	second.end()
	r.Record.Printf("second flows: %d reset, %d closed by their callers", second.reset.Load(), second.closed.Load())
	return nil
}

// flows are one flow of each caller, opened at the same time.
type flows struct {
	rig                   *rig.Rig
	number                int // first or second flow of each caller
	stop                  chan struct{}
	done                  sync.WaitGroup
	opened, reset, closed atomic.Int32
}

func openFlows(r *rig.Rig, number int) *flows {
	f := &flows{rig: r, number: number, stop: make(chan struct{})}
	for i := range callers {
		f.done.Go(func() {
			if err := f.use(i); err != nil {
				r.Record.Printf("caller %d, flow %d: %v", i, number, err)
			}
		})
	}
	return f
}

// end has the callers close their flows.
func (f *flows) end() {
	close(f.stop)
	f.done.Wait()
}

// use opens a flow and sends requests on it. Each new Caller starts with the same port.
func (f *flows) use(i int) error {
	c, err := f.rig.Caller(i)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	flow, err := c.Open(ctx, rig.ServiceAddr(service))
	if err != nil {
		return err
	}
	f.opened.Add(1)
	for n := 1; ; n++ {
		err := flow.Request(ctx, fmt.Sprintf("c%d-%d-%d", i, f.number, n), service, false, 600)
		var reset *platform.ResetError
		if errors.As(err, &reset) {
			f.reset.Add(1)
		}
		if err != nil {
			return err
		}
		select {
		case <-f.stop:
			flow.Close()
			f.closed.Add(1)
			return nil
		case <-time.After(requestPause):
		}
	}
}
