// Command frozen-balancer is a case of the review: a balancer is frozen while callers open flows,
// some agents are killed and start again, and the balancer wakes with the callers' first
// packets still in its socket.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	agents  = 8
	callers = 120
	// frozenFor is for_s of the site's node_freeze.
	frozenFor = 3500 * time.Millisecond
	// opensAfter is the time from the freeze until the callers open their flows. Routers notice
	// after two readiness checks that a balancer does not answer.
	opensAfter   = 600 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// settled is the time from the end of the freeze until the callers send their next requests. It
	// exceeds stabilityMs, 4 s.
	settled = 6 * time.Second
)

// killsAfter are the times from the freeze until one agent of eight is killed, as in the day's rounds.
var killsAfter = [...]time.Duration{1400 * time.Millisecond, 2100 * time.Millisecond, 2700 * time.Millisecond}

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	var names []string
	for range agents {
		names = append(names, "-"+service)
	}
	if err := r.Start(2, names...); err != nil {
		return err
	}
	c := &callersOf{rig: r, next: make(chan struct{})}
	for _, v := range r.Agents {
		s, err := v.StartSoundServer()
		if err != nil {
			return err
		}
		defer s.Close()
		c.servers = append(c.servers, s)
	}
	time.Sleep(4 * time.Second)
	frozen := time.Now()
	if rig.Trouble() {
		r.Balancers[0].Signal(syscall.SIGSTOP)
	}
	time.Sleep(opensAfter)
	for i := range callers {
		c.done.Go(func() { c.use(i) })
	}
	killed := map[int]bool{}
	for _, after := range killsAfter {
		time.Sleep(time.Until(frozen.Add(after)))
		if err := c.killBusiest(killed); err != nil {
			return err
		}
	}
	r.Record.Printf("agents restarted %v after the start of the freeze", time.Since(frozen).Round(time.Millisecond))
	time.Sleep(time.Until(frozen.Add(frozenFor)))
	if rig.Trouble() {
		r.Balancers[0].Signal(syscall.SIGCONT)
	}
	time.Sleep(settled)
	close(c.next)
	c.done.Wait()
	r.Record.Printf("flows: %d opened, %d of them after a repeated first packet; %d answered again, %d reset", c.opened, c.late, c.answered, c.reset)
	if c.late == 0 && rig.Trouble() {
		return errors.New("no flow was opened by a repeated first packet")
	}
	for _, b := range r.Balancers {
		b.RecordLog("not held by any agent")
	}
	return nil
}

// killBusiest kills the agent beside the server with the most open flows, of those that were not
// killed yet, and starts it again.
func (c *callersOf) killBusiest(killed map[int]bool) error {
	busiest := -1
	for n, s := range c.servers {
		if !killed[n] && (busiest < 0 || s.OpenFlows() > c.servers[busiest].OpenFlows()) {
			busiest = n
		}
	}
	killed[busiest] = true
	v := c.rig.Agents[busiest]
	c.rig.Record.Printf("%s: killed, its server holds %d open flows", v.Name, c.servers[busiest].OpenFlows())
	v.Kill()
	time.Sleep(restartDelay)
	return v.StartProcess()
}

// callersOf are the callers. Each opens a flow, sends a request, and sends another one on it once
// next is closed.
type callersOf struct {
	rig     *rig.Rig
	servers []*rig.Server
	next    chan struct{}
	done    sync.WaitGroup

	mu                            sync.Mutex
	opened, late, answered, reset int
}

func (c *callersOf) use(i int) {
	caller, err := c.rig.Caller(i)
	if err != nil {
		c.rig.Record.Printf("caller %d: %v", i, err)
		return
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	start := time.Now()
	f, err := caller.Open(ctx, rig.ServiceAddr(service))
	if err != nil {
		c.rig.Record.Printf("caller %d: flow not opened: %v", i, err)
		return
	}
	took := time.Since(start)
	if err := f.Request(ctx, fmt.Sprintf("c%d-1", i), service, false, 600); err != nil {
		c.rig.Record.Printf("caller %d: first request: %v", i, err)
		return
	}
	c.mu.Lock()
	c.opened++
	if took > 500*time.Millisecond {
		c.late++
	}
	c.mu.Unlock()
	<-c.next
	c.sendAgain(ctx, i, f)
}

// sendAgain sends the second request on a flow.
func (c *callersOf) sendAgain(ctx context.Context, i int, f *platform.Flow) {
	err := f.Request(ctx, fmt.Sprintf("c%d-2", i), service, false, 600)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.answered++
		f.Close()
		return
	}
	c.rig.Record.Printf("caller %d: second request: %v", i, err)
	var reset *platform.ResetError
	if !errors.As(err, &reset) {
		return
	}
	c.reset++
	flow := netip.AddrPortFrom(c.rig.CallerAddr(i), rig.FirstCallerPort)
	for n, s := range c.servers {
		if s.Holds(flow) {
			c.rig.Journal.RecordViolation("flow %v was reset while the server beside %s holds it", flow, c.rig.Agents[n].Name)
		}
	}
}
