package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/membership"
)

const controlTick = 100 * time.Millisecond

// duty is the control duty: it keeps the roster and answers agents. One
// goroutine runs it.
type duty struct {
	b       *Balancer
	link    *control.Link
	machine *membership.Machine
	states  chan membership.State
	placed  map[netip.AddrPort]struct{} // agents that take new flows
	voters  *voters
}

func newDuty(b *Balancer) (*duty, error) {
	link, err := control.NewLink(b.cfg.Keys, b.internal)
	if err != nil {
		return nil, err
	}
	link.Sent = func(n int) { b.metrics.controlSent.Add(float64(n)) }
	machine, err := membership.NewMachine(membership.Config{
		Self: membership.Record{
			Addr:        b.cfg.Internal,
			Role:        membership.RoleBalancer,
			State:       membership.StateStarting,
			Weight:      255,
			Incarnation: uint64(time.Now().UnixNano()),
			Zone:        b.cfg.Zone,
			Region:      b.cfg.Region,
		},
		Seeds: b.cfg.Seeds,
		Seed:  uint64(time.Now().UnixNano()),
		Entry: b.Revision,
	})
	if err != nil {
		return nil, err
	}
	return &duty{b: b, link: link, machine: machine, states: make(chan membership.State, 4), placed: make(map[netip.AddrPort]struct{}), voters: newVoters(time.Now(), b.cfg.Retention)}, nil
}

func (d *duty) run(ctx context.Context) {
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case m := <-d.b.data.control:
			d.receive(time.Now(), m)
		case s := <-d.states:
			d.machine.SetState(time.Now(), s)
		case now := <-tick.C:
			d.machine.Tick(now)
		case <-ctx.Done():
			return
		}
		d.applyChanges()
		d.flush()
	}
}

func (d *duty) receive(now time.Time, m control.Datagram) {
	d.b.metrics.controlReceived.Add(float64(len(m.Data)))
	topic, b, ok := d.link.Open(m)
	if !ok {
		d.b.metrics.controlBad.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		msg, err := membership.Decode(b)
		if err != nil {
			d.b.metrics.controlBad.Inc()
			return
		}
		d.machine.Receive(now, m.From, msg)
	case seal.TopicEntry:
		d.answerEntry(m.From, b)
	case seal.TopicRoster:
		d.answerRoster(now, m.From, b)
	default:
		d.b.metrics.controlBad.Inc()
	}
}

// answerEntry tells an agent its catalogue entry, or that there is none.
func (d *duty) answerEntry(to netip.AddrPort, b []byte) {
	var request control.EntryRequest
	if err := cbor.Unmarshal(b, &request); err != nil {
		d.b.metrics.controlBad.Inc()
		return
	}
	c := d.b.current.Load()
	if c == nil {
		return // the agent asks again
	}
	answer := control.EntryAnswer{Revision: c.Revision()}
	if e, ok := c.Entry(request.Service); ok && e.Version > request.Known {
		answer.Entry = &e
	}
	if err := d.link.Send(seal.TopicEntryIs, to, answer); err != nil {
		d.b.log.Error("entry not sent", zap.Error(err))
	}
}

// applyChanges puts changes of the roster in force for new flows.
func (d *duty) applyChanges() {
	for _, c := range d.machine.Changes() {
		switch c.Kind {
		case membership.ChangeZone:
			d.applyZone(c.Zone, c.Reachable)
		case membership.ChangeForget:
			d.b.data.forwarder.peers.forget(c.Record.Addr)
			d.place(&c.Record, false)
			d.vote(&c.Record, true)
		case membership.ChangeRecord:
			d.place(&c.Record, c.Record.TakesWork())
			d.vote(&c.Record, false)
		}
	}
}

// applyZone takes the agents of a whole availability zone out of placement, or
// puts those back that take work.
func (d *duty) applyZone(zone string, reachable bool) {
	d.b.log.Info("availability zone", zap.String("zone", zone), zap.Bool("reachable", reachable))
	for r := range d.machine.All() {
		if r.Zone == zone {
			d.place(&r, reachable && r.TakesWork())
		}
	}
}

func (d *duty) vote(r *membership.Record, forgotten bool) {
	if r.Role == membership.RoleAgent {
		d.voters.set(r, time.Now(), forgotten)
	}
}

func (d *duty) place(r *membership.Record, takesWork bool) {
	if r.Role != membership.RoleAgent {
		return
	}
	if err := d.b.places.set(r, takesWork); err != nil {
		d.b.log.Error("agent not placed", zap.Error(err))
		return
	}
	if takesWork {
		d.placed[r.Addr] = struct{}{}
	} else {
		delete(d.placed, r.Addr)
	}
	d.b.agentsReady.Store(int64(len(d.placed)))
	d.b.metrics.agentsReady.Set(float64(len(d.placed)))
	d.b.log.Info("agent", zap.Stringer("agent", r.Addr), zap.Uint32("service", r.Service),
		zap.Stringer("state", r.State), zap.Stringer("verdict", r.Verdict), zap.Uint8("weight", r.Weight), zap.Bool("takes_work", takesWork))
}

func (d *duty) flush() {
	for _, e := range d.machine.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			d.b.log.Error("membership message not sent", zap.Error(err))
			continue
		}
		d.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}
