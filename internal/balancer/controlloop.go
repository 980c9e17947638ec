package balancer

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
	"github.com/hemlockscale/hemlockscale/placement"
)

const controlTick = 100 * time.Millisecond

// controlLoop is the control controlLoop: it keeps the roster and the catalogue, and answers
// agents and other balancers. One goroutine runs it.
type controlLoop struct {
	b            *Balancer
	link         *control.Link
	machine      *membership.Machine
	replica      *catalogue.Replica
	follower     *catalogue.Follower
	interim      catalogue.Interim // agents' entries, while the replica has nothing
	slots        *membership.Slots
	storeCalls   *catalogueCalls
	contacts     *contact.Caller
	rng          *rand.Rand
	peers        *peerSet
	placedAgents map[netip.AddrPort]struct{} // agents that take new flows
	voters       *voters

	stateChanges   chan membership.State
	bulkRequests   chan bulkRequest
	bulkResults    chan bulkResult
	publishedAt    time.Time // when the catalogue was put in force last
	followingStore bool      // the catalogue in the store
	contactSeeds   int       // contacts from the store among the machine's seeds
}

func newControlLoop(b *Balancer) (*controlLoop, error) {
	link, err := control.NewLink(b.cfg.Keys, b.internal)
	if err != nil {
		return nil, err
	}
	link.Sent = func(n int) { b.metrics.controlSent.Add(float64(n)) }
	now := time.Now()
	d := &controlLoop{
		b:            b,
		link:         link,
		storeCalls:   newCatalogueCalls(b.cfg.Store),
		contacts:     contact.NewCaller(b.cfg.Store),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		placedAgents: make(map[netip.AddrPort]struct{}),
		voters:       newVoters(now, b.cfg.Retention),
		stateChanges: make(chan membership.State, 4),
		bulkRequests: make(chan bulkRequest),
		bulkResults:  make(chan bulkResult, maxBulkResults),
	}
	d.peers = newPeerSet(b.cfg.Internal, b.cfg.Seeds, d.rng)
	d.replica = catalogue.NewReplica(catalogue.ReplicaConfig{Peers: d.peers.sample})
	d.follower = catalogue.NewFollower(catalogue.FollowerConfig{Rand: d.rng}, d.replica)
	incarnation := uint64(now.UnixNano())
	d.machine, err = membership.NewMachine(membership.Config{
		Self: membership.Record{
			Addr:        b.cfg.Internal,
			Role:        membership.RoleBalancer,
			State:       membership.StateStarting,
			Weight:      placement.FullWeight,
			Incarnation: incarnation,
			Bulk:        bulkAddr(b.cfg.Internal).Port(),
			Zone:        b.cfg.Zone,
			Region:      b.cfg.Region,
		},
		Seeds:        b.cfg.Seeds,
		Seed:         d.rng.Uint64(),
		EntryVersion: d.entryVersion,
	})
	if err != nil {
		return nil, err
	}
	d.slots = membership.NewSlots(now, membership.SlotsConfig{
		Zone:        b.cfg.Zone,
		Self:        b.cfg.Internal,
		Incarnation: incarnation,
		ClaimsSlots: true,
		Seed:        d.rng.Uint64(),
		Candidate:   d.machine.SlotCandidate,
	})
	return d, nil
}

// entryVersion is what acks tell agents of their catalogue entry.
func (d *controlLoop) entryVersion(service uint32) uint64 {
	if d.replica.Digest().Revision == 0 {
		return control.NoCatalogue
	}
	e, ok := d.replica.Catalogue().EntryByNumber(service)
	if !ok {
		return control.NoEntry
	}
	return e.Version
}

func (d *controlLoop) run(ctx context.Context) {
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case m := <-d.b.data.control:
			d.receive(time.Now(), m)
		case s := <-d.stateChanges:
			d.machine.SetState(time.Now(), s)
		case r := <-d.storeCalls.results:
			d.follower.Done(time.Now(), r)
		case r := <-d.contacts.Results:
			d.slots.Done(time.Now(), d.contacts.Done(r))
		case q := <-d.bulkRequests:
			d.replyBulk(q)
		case a := <-d.bulkResults:
			d.applyBulk(time.Now(), a)
		case now := <-tick.C:
			d.machine.Tick(now)
			d.replica.Tick(now)
			d.followingStore = d.shouldFollowStore(now)
		case <-ctx.Done():
			return
		}
		d.callStore(ctx, time.Now())
		d.fetchBulk(ctx)
		d.applyMemberChanges()
		d.updateCatalogue()
		d.sendMembership()
	}
}

// shouldFollowStore reports whether this balancer follows the catalogue in the
// store. Those that hold a contact slot or would take an empty one do, a few in
// each availability zone; all others have it from balancers, so that the
// store's calls grow with zones and not with the fleet.
//
// Holding alone would not do: in an outage of the store all leases lapse, slots
// are taken again only after a backoff of up to a minute, and until then an
// edit would be in force nowhere though the store answers again.
func (d *controlLoop) shouldFollowStore(now time.Time) bool {
	_, holds := d.slots.HeldSlot(now)
	return holds || d.machine.SlotCandidate()
}

// callStore makes the calls to the platform's store that are due.
func (d *controlLoop) callStore(ctx context.Context, now time.Time) {
	if call, ok := d.slots.Next(now); ok {
		d.contacts.Make(ctx, call)
	}
	if d.followingStore {
		d.storeCalls.make(ctx, d.follower.Next(now))
	}
	if contacts := d.slots.Contacts(); len(contacts) != d.contactSeeds {
		d.contactSeeds = len(contacts)
		seeds := append(contacts, d.b.cfg.Seeds...)
		d.machine.SetSeeds(seeds)
		d.peers.setSeeds(seeds)
	}
}

func (d *controlLoop) receive(now time.Time, m control.Datagram) {
	d.b.metrics.controlReceived.Add(float64(len(m.Data)))
	topic, b, ok := d.link.Open(m)
	if !ok {
		d.b.metrics.controlRejected.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		msg, err := membership.Decode(b)
		if err != nil {
			d.b.metrics.controlRejected.Inc()
			return
		}
		d.machine.Receive(now, m.From, msg)
	case seal.TopicCatalogue:
		d.receiveCatalogue(now, m.From, b)
	case seal.TopicRoster:
		d.sendVoters(now, m.From, b)
	case seal.TopicTrace:
		if !d.b.data.forwarder.traces.receiveClaim(b) {
			d.b.metrics.controlRejected.Inc()
		}
	default:
		d.b.metrics.controlRejected.Inc()
	}
}

// applyMemberChanges puts changes of the roster in force for new flows.
func (d *controlLoop) applyMemberChanges() {
	for _, c := range d.machine.Changes() {
		switch c.Kind {
		case membership.ChangeZone:
			d.applyZone(c.Zone, c.Reachable)
		case membership.ChangeRemove:
			d.b.data.forwarder.sequences.remove(c.Record.Addr)
			d.updatePlacement(&c.Record, false)
			d.updateVoter(&c.Record, true)
			d.updatePeer(&c.Record, true)
		case membership.ChangeRecord:
			d.updatePlacement(&c.Record, c.Record.TakesWork())
			d.updateVoter(&c.Record, false)
			d.updatePeer(&c.Record, false)
		}
	}
}

// applyZone takes the agents of a whole availability zone out of placement, or
// puts those back that take work.
func (d *controlLoop) applyZone(zone string, reachable bool) {
	d.b.log.Info("availability zone", zap.String("zone", zone), zap.Bool("reachable", reachable))
	for r := range d.machine.Records() {
		if r.Zone == zone {
			d.updatePlacement(&r, reachable && r.TakesWork())
		}
	}
}

// updatePeer keeps the balancers that the catalogue spreads to.
func (d *controlLoop) updatePeer(r *membership.Record, forgotten bool) {
	if r.Role != membership.RoleBalancer {
		return
	}
	d.peers.set(r.Addr, !forgotten && r.Verdict != membership.VerdictDead)
}

func (d *controlLoop) updateVoter(r *membership.Record, forgotten bool) {
	if r.Role == membership.RoleAgent {
		d.voters.set(r, time.Now(), forgotten)
	}
}

func (d *controlLoop) updatePlacement(r *membership.Record, takesWork bool) {
	if r.Role != membership.RoleAgent {
		d.b.placer.remove(r.Addr) // it may have been an agent's address before
		return
	}
	if err := d.b.placer.set(r, takesWork); err != nil {
		d.b.log.Error("agent not placed", zap.Error(err))
		return
	}
	if takesWork {
		d.placedAgents[r.Addr] = struct{}{}
	} else {
		delete(d.placedAgents, r.Addr)
	}
	d.b.agentsReady.Store(int64(len(d.placedAgents)))
	d.b.metrics.agentsReady.Set(float64(len(d.placedAgents)))
	d.b.log.Info("agent", zap.Stringer("agent", r.Addr), zap.Uint32("service", r.Service),
		zap.Stringer("state", r.State), zap.Stringer("verdict", r.Verdict), zap.Uint8("weight", r.Weight), zap.Bool("takes_work", takesWork))
}

func (d *controlLoop) sendMembership() {
	for _, e := range d.machine.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			d.b.log.Error("membership message not sent", zap.Error(err))
			continue
		}
		d.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}
