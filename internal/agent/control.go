package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/contact"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/membership"
)

const controlTickInterval = 50 * time.Millisecond

// controlLoop keeps the catalogue entry up to date, announces the agent to the balancers
// and tracks whether the backend server is reachable. One goroutine runs it.
type controlLoop struct {
	a             *Agent
	link          *control.Link
	announcer     *membership.Announcer // nil until the catalogue entry is known
	rng           *rand.Rand
	leaveRequests chan struct{}

	held           *catalogue.HeldEntry
	slots          *membership.Slots // nil without a store
	contacts       *contact.Caller
	seeds          []netip.AddrPort // from the settings and the contact slots
	requestedAt    time.Time
	newerFrom      netip.AddrPort // a balancer that has another version of the entry; zero if none is known
	observerIndex  int            // index of the observer used last
	health         chan bool
	reachableSince time.Time // when the backend server became reachable; zero while it is unreachable
	acceptsFlows   bool      // claims.acceptsFlows has returned true
	leaving        bool
}

func newControlLoop(a *Agent, link *control.Link) *controlLoop {
	d := &controlLoop{
		a:             a,
		link:          link,
		held:          catalogue.NewHeldEntry(a.cfg.Service),
		rng:           newRand(),
		leaveRequests: make(chan struct{}, 1),
		health:        make(chan bool, 1),
		seeds:         a.cfg.Seeds,
	}
	if a.cfg.Store != nil {
		d.contacts = contact.NewCaller(a.cfg.Store)
		d.slots = membership.NewSlots(time.Now(), membership.SlotsConfig{Zone: a.cfg.Zone, Self: a.cfg.Internal, Seed: d.rng.Uint64()})
	}
	return d
}

// leave makes the control loop announce that the agent leaves.
func (d *controlLoop) leave() {
	select {
	case d.leaveRequests <- struct{}{}:
	default: // already requested
	}
}

func (d *controlLoop) run(ctx context.Context) {
	go d.watchBackend(ctx)
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-d.a.conn.control:
			d.receive(time.Now(), m)
		case up := <-d.health:
			d.setBackendReachable(time.Now(), up)
		case <-d.leaveRequests:
			d.leaving = true
			d.a.claims.stopVoting()
			d.announceState(time.Now())
		case r := <-d.results():
			d.receiveContact(time.Now(), r)
		case now := <-tick.C:
			d.readContacts(ctx, now)
			d.tick(now)
		case <-ctx.Done():
			return
		}
		d.sendOutbox()
	}
}

func (d *controlLoop) tick(now time.Time) {
	d.requestEntry(now)
	if d.announcer == nil {
		return
	}
	if !d.reachableSince.IsZero() {
		d.announcer.SetWeight(now, d.a.cfg.Ramp.Weight(now.Sub(d.reachableSince)))
	}
	d.announcer.Tick(now)
	d.a.claims.tick(d.nextObserver(), d.a.entry.Load().Number)
	d.a.metrics.keysReady.Set(boolValue(d.a.claims.ready()))
	if !d.acceptsFlows && d.a.claims.acceptsFlows() {
		d.acceptsFlows = true
		d.announceState(now)
	}
}

// nextObserver returns the next of the balancers that this agent reports to, in turn, so
// that a failed balancer does not affect two requests in a row. It returns the zero value if
// there is none.
func (d *controlLoop) nextObserver() netip.AddrPort {
	observers := d.announcer.Observers()
	if len(observers) == 0 {
		return netip.AddrPort{}
	}
	d.observerIndex++
	return observers[d.observerIndex%len(observers)]
}

func (d *controlLoop) sendOutbox() {
	if d.announcer == nil {
		return
	}
	for _, e := range d.announcer.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			d.a.log.Error("membership message can't be encoded, not sent", zap.Error(err))
			continue
		}
		d.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}

func (d *controlLoop) receive(now time.Time, m control.Datagram) {
	topic, b, ok := d.link.Open(m)
	if !ok {
		d.a.metrics.controlRejected.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		d.receiveMembership(now, m.From, b)
	case seal.TopicCatalogue:
		d.receiveEntry(now, b)
	case seal.TopicClaim, seal.TopicVote, seal.TopicReport, seal.TopicRosterIs:
		if !d.a.claims.receive(topic, m.From, b) {
			d.a.metrics.controlRejected.Inc()
		}
	default:
		d.a.metrics.controlRejected.Inc()
	}
}

func (d *controlLoop) receiveMembership(now time.Time, from netip.AddrPort, b []byte) {
	msg, err := membership.Decode(b)
	if err != nil {
		d.a.metrics.controlRejected.Inc()
		return
	}
	if d.announcer != nil {
		d.announcer.Receive(now, from, msg)
		if msg.Kind == membership.KindAck {
			d.receiveVersion(from, msg.EntryVersion)
		}
	}
}

func (d *controlLoop) startAnnouncing(now time.Time) {
	cfg := d.a.cfg
	announcer, err := membership.NewAnnouncer(membership.AnnouncerConfig{
		Self: membership.Record{
			Addr:        cfg.Internal,
			Role:        membership.RoleAgent,
			State:       membership.StateStarting,
			Weight:      cfg.Ramp.Weight(0),
			Service:     d.a.entry.Load().Number,
			Incarnation: uint64(now.UnixNano()),
			Zone:        cfg.Zone,
			Region:      cfg.Region,
		},
		Seeds: d.seeds,
		Seed:  d.rng.Uint64(),
	})
	if err != nil {
		d.a.log.Error("agent can't be announced to balancers and receives no flows", zap.Error(err))
		return
	}
	d.announcer = announcer
	d.announceState(now)
}

// announceState announces the agent's current state.
func (d *controlLoop) announceState(now time.Time) {
	if d.announcer == nil {
		return
	}
	state := membership.StateReady
	switch {
	case d.leaving:
		state = membership.StateLeaving
	case !d.acceptsFlows:
		state = membership.StateStarting
	case d.reachableSince.IsZero():
		state = membership.StateDraining
	}
	d.announcer.SetState(now, state)
	d.a.ready.Store(state == membership.StateReady)
	d.a.log.Info("state", zap.Stringer("state", state))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
