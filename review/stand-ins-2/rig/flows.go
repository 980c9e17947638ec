package rig

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Flows are callers that each keep one flow open and send requests on it.
type Flows struct {
	rig    *Rig
	stop   chan struct{}
	done   sync.WaitGroup
	mu     sync.Mutex
	opened int
}

// OpenFlows starts n callers, each with a flow to service and a pause between its requests.
func (r *Rig) OpenFlows(service string, n int, pause time.Duration) *Flows {
	f := &Flows{rig: r, stop: make(chan struct{})}
	for i := range n {
		f.done.Go(func() { f.use(service, i, pause) })
	}
	return f
}

// Opened returns the number of flows that were opened.
func (f *Flows) Opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened
}

// Stop ends the callers.
func (f *Flows) Stop() {
	close(f.stop)
	f.done.Wait()
}

func (f *Flows) use(service string, i int, pause time.Duration) {
	c, err := f.rig.Caller(i)
	if err != nil {
		f.rig.Record.Printf("caller %d: %v", i, err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	flow, err := c.Open(ctx, ServiceAddr(service))
	if err != nil {
		f.rig.Record.Printf("caller %d: flow not opened: %v", i, err)
		return
	}
	defer flow.Close()
	f.mu.Lock()
	f.opened++
	f.mu.Unlock()
	for n := 1; ; n++ {
		id := fmt.Sprintf("c%d-%d", i, n)
		if err := flow.Request(ctx, id, service, false, 600); err != nil {
			f.rig.Record.Printf("caller %d: request %s: %v", i, id, err)
			return
		}
		select {
		case <-f.stop:
			f.rig.Record.Printf("caller %d: %d requests answered on one flow", i, n)
			return
		case <-time.After(pause):
		}
	}
}
