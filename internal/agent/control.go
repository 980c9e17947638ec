package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/admission"
	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/contact"
	"github.com/hemlockscale/hemlockscale/internal/control"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/membership"
)

const (
	controlTick = 50 * time.Millisecond
	// entryRetry is the least time between two requests for the entry.
	entryRetry = 250 * time.Millisecond
	// contactSilence is how long all balancers must be silent before contact
	// slots are read again.
	contactSilence = 10 * time.Second
	// healthInterval is how often the backend server is connected to.
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 400 * time.Millisecond
	// healthFailures is how many connects in a row must fail before the
	// backend server counts as gone: one lost packet must not take it out.
	healthFailures = 2
)

// duty is the control duty: it keeps the catalogue entry, announces the agent
// and judges the backend server. One goroutine runs it.
type duty struct {
	a         *Agent
	link      *control.Link
	announcer *membership.Announcer // nil until the entry is known
	rng       *rand.Rand
	leaves    chan struct{}

	held     *catalogue.Held
	slots    *membership.Slots // nil without a store
	contacts *contact.Caller
	seeds    []netip.AddrPort // of the settings and the contact slots
	askedAt  time.Time
	newer    netip.AddrPort // a balancer that has another version of the entry
	turn     int            // of observers
	health   chan bool
	readyAt  time.Time // when the backend server became reachable; zero while it is not
	settled  bool      // requests with idempotency keys can run here
	left     bool
}

func newDuty(a *Agent, link *control.Link) *duty {
	d := &duty{
		a:      a,
		link:   link,
		held:   catalogue.NewHeld(a.cfg.Service),
		rng:    newRand(),
		leaves: make(chan struct{}, 1),
		health: make(chan bool, 1),
		seeds:  a.cfg.Seeds,
	}
	if a.cfg.Store != nil {
		d.contacts = contact.NewCaller(a.cfg.Store)
		d.slots = membership.NewSlots(time.Now(), membership.SlotsConfig{Zone: a.cfg.Zone, Self: a.cfg.Internal, Seed: d.rng.Uint64()})
	}
	return d
}

// results is where outcomes of store calls come from; nil without a store.
func (d *duty) results() <-chan contact.Result {
	if d.contacts == nil {
		return nil
	}
	return d.contacts.Results
}

// seekContacts reads contact slots until some balancer is known, and again when
// all that are known have been silent for contactSilence.
func (d *duty) seekContacts(ctx context.Context, now time.Time) {
	if d.slots == nil {
		return
	}
	if d.announcer != nil && now.Sub(d.announcer.LastAck()) > contactSilence {
		d.slots.Want(now)
	}
	if call, ok := d.slots.Next(now); ok {
		d.contacts.Make(ctx, call)
	}
}

// takeContact takes in a contact slot that was read.
func (d *duty) takeContact(now time.Time, r contact.Result) {
	d.slots.Done(now, d.contacts.Done(r))
	d.seeds = append(d.slots.Contacts(), d.a.cfg.Seeds...)
	if d.announcer != nil {
		d.announcer.SetSeeds(d.seeds)
	}
}

// leave makes the duty announce that the agent leaves.
func (d *duty) leave() {
	select {
	case d.leaves <- struct{}{}:
	default: // announced already
	}
}

func (d *duty) run(ctx context.Context) {
	go d.watchBackend(ctx)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case m := <-d.a.conn.control:
			d.receive(time.Now(), m)
		case up := <-d.health:
			d.judge(time.Now(), up)
		case <-d.leaves:
			d.left = true
			d.a.claims.leave()
			d.announceState(time.Now())
		case r := <-d.results():
			d.takeContact(time.Now(), r)
		case now := <-tick.C:
			d.seekContacts(ctx, now)
			d.tick(now)
		case <-ctx.Done():
			return
		}
		d.flush()
	}
}

func (d *duty) tick(now time.Time) {
	d.askEntry(now)
	if d.announcer == nil {
		return
	}
	if !d.readyAt.IsZero() {
		d.announcer.SetWeight(now, d.a.cfg.Ramp.Weight(now.Sub(d.readyAt)))
	}
	d.announcer.Tick(now)
	d.a.claims.tick(d.observer(), d.a.entry.Load().Number)
	d.a.metrics.keysReady.Set(boolValue(d.a.claims.ready()))
	if !d.settled && d.a.claims.settled() {
		d.settled = true
		d.announceState(now)
	}
}

// observer returns the balancers that this agent reports to in turn, so that
// one that died spoils no two requests in a row.
func (d *duty) observer() netip.AddrPort {
	observers := d.announcer.Observers()
	if len(observers) == 0 {
		return netip.AddrPort{}
	}
	d.turn++
	return observers[d.turn%len(observers)]
}

func (d *duty) flush() {
	if d.announcer == nil {
		return
	}
	for _, e := range d.announcer.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			d.a.log.Error("membership message not sent", zap.Error(err))
			continue
		}
		d.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}

func (d *duty) receive(now time.Time, m control.Datagram) {
	topic, b, ok := d.link.Open(m)
	if !ok {
		d.a.metrics.controlBad.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		d.receiveMembership(now, m.From, b)
	case seal.TopicCatalogue:
		d.receiveEntry(now, b)
	case seal.TopicClaim, seal.TopicVote, seal.TopicReport, seal.TopicRosterIs:
		if !d.a.claims.receive(topic, m.From, b) {
			d.a.metrics.controlBad.Inc()
		}
	default:
		d.a.metrics.controlBad.Inc()
	}
}

func (d *duty) receiveMembership(now time.Time, from netip.AddrPort, b []byte) {
	msg, err := membership.Decode(b)
	if err != nil {
		d.a.metrics.controlBad.Inc()
		return
	}
	if d.announcer != nil {
		d.announcer.Receive(now, from, msg)
		if msg.Kind == membership.KindAck {
			d.hearVersion(from, msg.Entry)
		}
	}
}

// offerEntry gives this agent's entry to a balancer that has no catalogue, as
// after a restart of all balancers while the store is down: the agents' entries
// are then all that is left of it.
func (d *duty) offerEntry(to netip.AddrPort) {
	if m, ok := d.held.Offer(); ok {
		d.link.SendBytes(seal.TopicCatalogue, to, m.Encode())
	}
}

// askEntry asks for the catalogue entry until it is known, and again once an
// ack has told of another version.
func (d *duty) askEntry(now time.Time) {
	if now.Sub(d.askedAt) < entryRetry {
		return
	}
	to := d.newer
	d.newer = netip.AddrPort{}
	if d.announcer == nil && len(d.seeds) > 0 {
		to = d.seeds[d.rng.IntN(len(d.seeds))]
	}
	if !to.IsValid() {
		return
	}
	d.askedAt = now
	d.link.SendBytes(seal.TopicCatalogue, to, d.held.Request().Encode())
}

// hearVersion takes in what an ack says of this agent's entry. Asking only when
// the entry changed keeps agents from asking at each of the fleet's edits.
func (d *duty) hearVersion(from netip.AddrPort, version uint64) {
	held, _ := d.held.Entry()
	switch {
	case version == control.NoCatalogue:
		d.offerEntry(from)
	case version == control.NoEntry || version > held.Version:
		d.newer = from
	}
}

func (d *duty) receiveEntry(now time.Time, b []byte) {
	m, err := catalogue.DecodeMessage(b)
	if err != nil {
		d.a.metrics.controlBad.Inc()
		return
	}
	changed := d.held.Receive(m)
	entry, found := d.held.Entry()
	if !changed || !found {
		// An entry that was deleted leaves the last one in force for the
		// flows that are open; balancers send no new ones.
		return
	}
	d.a.setEntry(&entry)
	// A service that was deleted and entered again has a new number.
	if d.announcer == nil || d.announcer.Self().Service != entry.Number {
		d.startAnnouncing(now)
	}
}

func (d *duty) startAnnouncing(now time.Time) {
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
		d.a.log.Error("can't announce", zap.Error(err))
		return
	}
	d.announcer = announcer
	d.announceState(now)
}

// announceState announces what the agent can do now.
func (d *duty) announceState(now time.Time) {
	if d.announcer == nil {
		return
	}
	state := membership.StateReady
	switch {
	case d.left:
		state = membership.StateLeaving
	case !d.settled:
		state = membership.StateStarting
	case d.readyAt.IsZero():
		state = membership.StateDraining
	}
	d.announcer.SetState(now, state)
	d.a.ready.Store(state == membership.StateReady)
	d.a.log.Info("state", zap.Stringer("state", state))
}

// judge takes in whether the backend server can be reached.
func (d *duty) judge(now time.Time, up bool) {
	if up == !d.readyAt.IsZero() {
		return
	}
	d.readyAt = time.Time{}
	if up {
		d.readyAt = now
	}
	d.a.gate.do(func(c *admission.Controller, now time.Time) { c.SetBackend(now, up) })
	d.a.log.Info("backend server", zap.Bool("reachable", up))
	d.announceState(now)
}

// watchBackend connects to the backend server at intervals. The agent's own
// connect goes before the health endpoint, which may lag or mislead.
func (d *duty) watchBackend(ctx context.Context) {
	dialer := &net.Dialer{Timeout: healthTimeout}
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	failures := 0
	for {
		conn, err := dialer.DialContext(ctx, "tcp", d.a.cfg.Backend.Host)
		if err == nil {
			conn.Close()
			failures = 0
		} else {
			failures++
		}
		if failures == 0 || failures >= healthFailures {
			select {
			case d.health <- failures == 0:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
