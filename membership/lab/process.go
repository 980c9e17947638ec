package lab

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// Process is one process: a balancer if Machine is set, else an agent.
type Process struct {
	Machine   *membership.Machine
	Announcer *membership.Announcer
	Record    membership.Record // as it started
	Stopped   bool              // killed
	Paused    bool              // runs nothing, its socket buffer fills
	Inbox     []Delivery        // while paused: what the socket buffer holds

	SentBytes    int // on the wire
	SentMessages int

	phase int // step within tickEvery at which it ticks
}

// Delivery is a message on its way to a process.
type Delivery struct {
	From netip.AddrPort
	To   *Process
	Msg  *membership.Message
}

// socketBuffer is how many messages a paused process finds when it goes on.
const socketBuffer = 100

// Self returns the process's own record as it is now.
func (p *Process) Self() membership.Record {
	if p.Machine != nil {
		return p.Machine.Self()
	}
	return p.Announcer.Self()
}

// SetState changes the process's own state.
func (p *Process) SetState(now time.Time, s membership.State) {
	if p.Machine != nil {
		p.Machine.SetState(now, s)
	} else {
		p.Announcer.SetState(now, s)
	}
}

func (p *Process) tick(now time.Time) {
	if p.Machine != nil {
		p.Machine.Tick(now)
	} else {
		p.Announcer.Tick(now)
	}
}

func (p *Process) receive(now time.Time, d Delivery) {
	if p.Machine != nil {
		p.Machine.Receive(now, d.From, d.Msg)
	} else {
		p.Announcer.Receive(now, d.From, d.Msg)
	}
}

func (p *Process) outbox() []membership.Envelope {
	if p.Machine != nil {
		return p.Machine.Outbox()
	}
	return p.Announcer.Outbox()
}
