package lab

import (
	"net/netip"
	"time"

	"github.com/hemlockscale/hemlockscale/membership"
)

// Process is a balancer if Machine is set, else an agent.
type Process struct {
	Machine   *membership.Machine
	Announcer *membership.Announcer
	Record    membership.Record // as it started
	Stopped   bool              // killed or replaced
	Paused    bool              // runs nothing while its socket buffer fills
	Inbox     []Delivery        // content of the socket buffer while paused

	SentBytes    int // on the wire
	SentMessages int

	tickStep int // step within TickEvery at which the process ticks
}

// Delivery is a message in transit to a process.
type Delivery struct {
	From netip.AddrPort
	To   *Process
	Msg  *membership.Message
}

// socketBuffer is the number of messages that a paused process receives when it
// resumes; further ones are lost.
const socketBuffer = 100

// Self returns the process's own current record.
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
