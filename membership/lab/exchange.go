package lab

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/lab/exchange"
	"github.com/hemlockscale/hemlockscale/membership"
)

// Exchange carries messages between state machines in simulated time. The settings
// of its network may change at any time. It is not safe for concurrent use.
type Exchange struct {
	exchange.Network[*Process]
	Now       time.Time
	Start     time.Time
	Processes []*Process // in the order of Add, including stopped ones

	Encode   bool                                   // pass each message through Encode and Decode
	OnChange func(p *Process, c *membership.Change) // called on each change of a member list; may be nil
	Fail     func(err *FaultError)                  // called on a fault that ends the run; must not return

	byAddr map[netip.AddrPort]*Process
	due    [maxDelaySteps][]Delivery
	seed   uint64
}

// Step is the resolution of simulated time and the delay of messages within a region.
const Step = 5 * time.Millisecond

// TickEvery is the time between two ticks of a process.
const TickEvery = 100 * time.Millisecond

// maxDelaySteps bounds the delay of a message, in units of Step.
const maxDelaySteps = 256

// FaultError is a fault of a state machine or codec that ends a run.
type FaultError struct {
	What string
	Err  error // may be nil
}

func (e *FaultError) Error() string {
	if e.Err == nil {
		return "membership/lab: " + e.What
	}
	return fmt.Sprintf("membership/lab: %s: %v", e.What, e.Err)
}

func (e *FaultError) Unwrap() error { return e.Err }

// NewExchange returns an exchange without processes. Unless Fail is replaced, a
// fault panics with a *FaultError.
func NewExchange(seed uint64) *Exchange {
	start := time.Unix(1_000_000, 0)
	x := &Exchange{Now: start, Start: start, seed: seed, byAddr: map[netip.AddrPort]*Process{}}
	x.Rand = rand.New(rand.NewPCG(seed, 1))
	x.Delay = func(_, _ *Process) time.Duration { return Step }
	x.Fail = func(err *FaultError) { panic(err) }
	return x
}

// ProcessAt returns the process at address a, or nil.
func (x *Exchange) ProcessAt(a netip.AddrPort) *Process { return x.byAddr[a] }

// Add adds a process and stops a previous process at the same address.
func (x *Exchange) Add(p *Process) *Process {
	p.tickStep = x.Rand.IntN(int(TickEvery / Step))
	if old := x.byAddr[p.Record.Addr]; old != nil {
		old.Stopped = true
	}
	x.byAddr[p.Record.Addr] = p
	x.Processes = append(x.Processes, p)
	return p
}

// Run passes time in steps of Step until d has passed or done returns true. done may
// be nil. Run reports whether done returned true.
func (x *Exchange) Run(d time.Duration, done func() bool) bool {
	for end := x.Now.Add(d); x.Now.Before(end); {
		x.step()
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (x *Exchange) step() {
	x.Now = x.Now.Add(Step)
	n := int(x.Now.Sub(x.Start) / Step)
	slot := &x.due[n%maxDelaySteps]
	if len(*slot) > 100*len(x.Processes)+1000 {
		x.Fail(&FaultError{What: fmt.Sprintf("message storm: %d messages within %v", len(*slot), Step)})
	}
	for _, d := range *slot {
		x.deliver(d)
	}
	clear(*slot)
	*slot = (*slot)[:0]
	for _, p := range x.Processes {
		if p.Stopped || p.Paused || n%int(TickEvery/Step) != p.tickStep {
			continue
		}
		p.tick(x.Now)
		x.Flush(p)
	}
}

func (x *Exchange) deliver(d Delivery) {
	p := d.To
	if p.Stopped {
		return
	}
	if p.Paused {
		if len(p.Inbox) < socketBuffer {
			p.Inbox = append(p.Inbox, d)
		}
		return
	}
	p.receive(x.Now, d)
	x.Flush(p)
}

// Resume continues a paused process, which receives the messages in its Inbox.
func (x *Exchange) Resume(p *Process) {
	p.Paused = false
	for _, d := range p.Inbox {
		x.deliver(d)
	}
	p.Inbox = nil
}

// Flush sends the outbox of a process. Call it after a call of its state machine from
// outside the exchange.
func (x *Exchange) Flush(p *Process) {
	out := p.outbox()
	if p.Machine != nil {
		changes := p.Machine.Changes()
		for i := range changes {
			if x.OnChange != nil {
				x.OnChange(p, &changes[i])
			}
		}
	}
	for _, e := range out {
		p.SentMessages++
		p.SentBytes += membership.WireSize(e.Msg)
		x.send(p, e)
	}
}

func (x *Exchange) send(p *Process, e membership.Envelope) {
	to := x.byAddr[e.To]
	if x.Encode {
		e.Msg = x.roundTrip(e.Msg)
	}
	if to == nil {
		return
	}
	x.Deliver(p, to, func(delay time.Duration) {
		n := int(x.Now.Add(delay).Sub(x.Start)/Step) % maxDelaySteps
		x.due[n] = append(x.due[n], Delivery{p.Record.Addr, to, e.Msg})
	})
}

func (x *Exchange) roundTrip(m *membership.Message) *membership.Message {
	b, err := membership.Encode(m)
	if err != nil {
		x.Fail(&FaultError{fmt.Sprintf("encode %+v", m), err})
	}
	got, err := membership.Decode(b)
	if err != nil {
		x.Fail(&FaultError{fmt.Sprintf("decode %+v", m), err})
	}
	return got
}
