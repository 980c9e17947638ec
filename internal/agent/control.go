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
	contacts       *contact.Client
	seeds          []netip.AddrPort // from the settings and the contact slots
	requestedAt    time.Time
	newerFrom      netip.AddrPort // a balancer whose catalogue has a newer version of the entry, or no entry; zero if none is known
	observerIndex  int            // index of the observer used last
	health         chan bool
	reachableSince time.Time // when the backend server became reachable; zero while it is unreachable
	acceptsFlows   bool      // claims.acceptsFlows has returned true
	leaving        bool
}

func newControlLoop(a *Agent, link *control.Link) *controlLoop {
	l := &controlLoop{
		a:             a,
		link:          link,
		held:          catalogue.NewHeldEntry(a.cfg.Service),
		rng:           newRand(),
		leaveRequests: make(chan struct{}, 1),
		health:        make(chan bool, 1),
		seeds:         a.cfg.Seeds,
	}
	if a.cfg.Store != nil {
		l.contacts = contact.NewClient(a.cfg.Store)
		l.slots = membership.NewSlots(time.Now(), membership.SlotsConfig{Zone: a.cfg.Zone, Self: a.cfg.Internal, Seed: l.rng.Uint64()})
	}
	return l
}

// leave makes the control loop announce that the agent leaves.
func (l *controlLoop) leave() {
	select {
	case l.leaveRequests <- struct{}{}:
	default: // already requested
	}
}

func (l *controlLoop) run(ctx context.Context) {
	go l.watchBackend(ctx)
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-l.a.conn.control:
			l.receive(time.Now(), m)
		case up := <-l.health:
			l.setBackendReachable(time.Now(), up)
		case <-l.leaveRequests:
			l.leaving = true
			l.a.claims.stopVoting()
			l.announceState(time.Now())
		case r := <-l.results():
			l.receiveContact(time.Now(), r)
		case now := <-tick.C:
			l.readContacts(ctx, now)
			l.tick(now)
		case <-ctx.Done():
			return
		}
		l.sendOutbox()
	}
}

func (l *controlLoop) tick(now time.Time) {
	l.logHealth()
	l.requestEntry(now)
	if l.announcer == nil {
		return
	}
	if !l.reachableSince.IsZero() {
		l.announcer.SetWeight(now, l.weight(now))
	}
	l.announcer.Tick(now)
	l.a.claims.tick(l.nextObserver(), l.a.entry.Load().Number)
	l.a.metrics.keysReady.Set(boolValue(l.a.claims.ready()))
	if !l.acceptsFlows && l.a.claims.acceptsFlows() {
		l.acceptsFlows = true
		l.announceState(now)
	}
}

// nextObserver returns the next of the balancers that this agent reports to, in turn, so
// that a failed balancer does not affect two requests in a row. It returns the zero value if
// there is none.
func (l *controlLoop) nextObserver() netip.AddrPort {
	observers := l.announcer.Observers()
	if len(observers) == 0 {
		return netip.AddrPort{}
	}
	l.observerIndex++
	return observers[l.observerIndex%len(observers)]
}

func (l *controlLoop) sendOutbox() {
	if l.announcer == nil {
		return
	}
	for _, e := range l.announcer.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			l.a.log.Error("membership message can't be encoded, not sent", zap.Error(err))
			continue
		}
		l.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}

func (l *controlLoop) receive(now time.Time, m control.Datagram) {
	topic, b, ok := l.link.Open(m)
	if !ok {
		l.a.metrics.controlRejected.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		l.receiveMembership(now, m.From, b)
	case seal.TopicCatalogue:
		l.receiveEntry(now, b)
	case seal.TopicClaim, seal.TopicVote, seal.TopicReport, seal.TopicVoterList:
		if !l.a.claims.receive(topic, m.From, b) {
			l.a.metrics.controlRejected.Inc()
		}
	default:
		l.a.metrics.controlRejected.Inc()
	}
}

func (l *controlLoop) receiveMembership(now time.Time, from netip.AddrPort, b []byte) {
	msg, err := membership.Decode(b)
	if err != nil {
		l.a.metrics.controlRejected.Inc()
		return
	}
	if l.announcer != nil {
		l.announcer.Receive(now, from, msg)
		if msg.Kind == membership.KindAck {
			l.receiveVersion(from, msg.EntryVersion)
		}
	}
}

func (l *controlLoop) startAnnouncing(now time.Time) {
	cfg := l.a.cfg
	announcer, err := membership.NewAnnouncer(membership.AnnouncerConfig{
		Self: membership.Record{
			Addr:        cfg.Internal,
			Role:        membership.RoleAgent,
			State:       membership.StateStarting,
			Weight:      cfg.Ramp.Weight(0),
			Service:     l.a.entry.Load().Number,
			Incarnation: uint64(now.UnixNano()),
			Zone:        cfg.Zone,
			Region:      cfg.Region,
		},
		Seeds: l.seeds,
		Seed:  l.rng.Uint64(),
	})
	if err != nil {
		l.a.log.Error("agent can't be announced to balancers and receives no flows", zap.Error(err))
		return
	}
	l.announcer = announcer
	l.announceState(now)
}

// announceState announces the agent's current state.
func (l *controlLoop) announceState(now time.Time) {
	if l.announcer == nil {
		return
	}
	state := membership.StateReady
	switch {
	case l.leaving:
		state = membership.StateLeaving
	case !l.acceptsFlows:
		state = membership.StateStarting
	case l.reachableSince.IsZero():
		state = membership.StateDraining
	}
	l.announcer.SetState(now, state)
	l.a.ready.Store(state == membership.StateReady)
	l.a.log.Info("state", zap.Stringer("state", state))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
