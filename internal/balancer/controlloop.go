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

// controlTick is the time between two timer runs of the control loop.
const controlTick = 100 * time.Millisecond

// controlLoop maintains the member list and the catalogue, and answers agents and other
// balancers. One goroutine runs it.
type controlLoop struct {
	b            *Balancer
	link         *control.Link
	machine      *membership.Machine
	replica      *catalogue.Replica
	follower     *catalogue.Follower
	interim      catalogue.Interim // agents' copies of their entries, used while the replica is empty
	slots        *membership.Slots
	storeCalls   *catalogueCalls
	contacts     *contact.Client
	rng          *rand.Rand
	peers        *peerSet
	placedAgents map[netip.AddrPort]struct{} // agents that accept new flows
	voters       *voters

	stateChanges   chan membership.State
	bulkRequests   chan bulkRequest
	bulkResults    chan bulkResult
	publishedAt    time.Time // when the catalogue was last put in force
	followingStore bool      // whether this balancer follows the catalogue in the store
	contactSeeds   int       // number of contacts from the store among the machine's seeds
}

func newControlLoop(b *Balancer) (*controlLoop, error) {
	link, err := control.NewLink(b.cfg.Keys, b.internal)
	if err != nil {
		return nil, err
	}
	link.OnSent = func(n int) { b.metrics.controlSent.Add(float64(n)) }
	now := time.Now()
	l := &controlLoop{
		b:            b,
		link:         link,
		storeCalls:   newCatalogueCalls(b.cfg.Store),
		contacts:     contact.NewClient(b.cfg.Store),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		placedAgents: make(map[netip.AddrPort]struct{}),
		voters:       newVoters(now, b.cfg.Retention),
		stateChanges: make(chan membership.State, 4),
		bulkRequests: make(chan bulkRequest),
		bulkResults:  make(chan bulkResult, maxBulkResults),
	}
	l.peers = newPeerSet(b.cfg.Internal, b.cfg.Seeds, l.rng)
	l.replica = catalogue.NewReplica(catalogue.ReplicaConfig{Peers: l.peers.sample})
	l.follower = catalogue.NewFollower(catalogue.FollowerConfig{Rand: l.rng}, l.replica)
	incarnation := uint64(now.UnixNano())
	l.machine, err = membership.NewMachine(membership.Config{
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
		Seed:         l.rng.Uint64(),
		EntryVersion: l.entryVersion,
	})
	if err != nil {
		return nil, err
	}
	l.slots = membership.NewSlots(now, membership.SlotsConfig{
		Zone:        b.cfg.Zone,
		Self:        b.cfg.Internal,
		Incarnation: incarnation,
		ClaimsSlots: true,
		Seed:        l.rng.Uint64(),
		Candidate:   l.machine.SlotCandidate,
	})
	return l, nil
}

// entryVersion returns the version of a service's catalogue entry, which acks carry to the
// service's agents.
func (l *controlLoop) entryVersion(service uint32) uint64 {
	if l.replica.Digest().Revision == 0 {
		return control.NoCatalogue
	}
	e, ok := l.replica.Catalogue().EntryByNumber(service)
	if !ok {
		return control.NoEntry
	}
	return e.Version
}

// run is the control loop; it returns when ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for {
		select {
		case m := <-l.b.data.control:
			l.receive(time.Now(), m)
		case s := <-l.stateChanges:
			l.machine.SetState(time.Now(), s)
		case r := <-l.storeCalls.results:
			l.follower.Done(time.Now(), r)
		case r := <-l.contacts.Results:
			l.slots.Done(time.Now(), l.contacts.Complete(r))
		case q := <-l.bulkRequests:
			l.replyBulk(q)
		case a := <-l.bulkResults:
			l.applyBulk(time.Now(), a)
		case now := <-tick.C:
			l.machine.Tick(now)
			l.replica.Tick(now)
			l.followingStore = l.shouldFollowStore(now)
		case <-ctx.Done():
			return
		}
		l.callStore(ctx, time.Now())
		l.fetchBulk(ctx)
		l.applyMemberChanges()
		l.updateCatalogue()
		l.sendMembership()
	}
}

// shouldFollowStore reports whether this balancer follows the catalogue in the store. The
// balancers that hold a contact slot or are candidates for an empty one do, a few in each
// availability zone. All others get the catalogue from balancers, so that the number of
// calls of the store grows with the zones and not with the fleet.
//
// Holding a slot can't be the only condition: in an outage of the store all leases expire,
// slots are claimed again only after a backoff of up to a minute, and until then no balancer
// would put an edit in force although the store answers again.
func (l *controlLoop) shouldFollowStore(now time.Time) bool {
	_, holds := l.slots.HeldSlot(now)
	return holds || l.machine.SlotCandidate()
}

// callStore starts the calls of the platform's store that are due.
func (l *controlLoop) callStore(ctx context.Context, now time.Time) {
	if call, ok := l.slots.Next(now); ok {
		l.contacts.Start(ctx, call)
	}
	if l.followingStore {
		l.storeCalls.make(ctx, l.follower.Next(now))
	}
	if contacts := l.slots.Contacts(); len(contacts) != l.contactSeeds {
		l.contactSeeds = len(contacts)
		seeds := append(contacts, l.b.cfg.Seeds...)
		l.machine.SetSeeds(seeds)
		l.peers.setSeeds(seeds)
	}
}

// receive processes one control datagram.
func (l *controlLoop) receive(now time.Time, m control.Datagram) {
	l.b.metrics.controlReceived.Add(float64(len(m.Data)))
	topic, b, ok := l.link.Open(m)
	if !ok {
		l.b.metrics.controlRejected.Inc()
		return
	}
	switch topic {
	case seal.TopicMembership:
		msg, err := membership.Decode(b)
		if err != nil {
			l.b.metrics.controlRejected.Inc()
			return
		}
		l.machine.Receive(now, m.From, msg)
	case seal.TopicCatalogue:
		l.receiveCatalogue(now, m.From, b)
	case seal.TopicVoterListRequest:
		l.sendVoters(now, m.From, b)
	case seal.TopicTrace:
		if !l.b.data.forwarder.traces.receiveClaim(b) {
			l.b.metrics.controlRejected.Inc()
		}
	default:
		l.b.metrics.controlRejected.Inc()
	}
}

// applyMemberChanges applies changes of the member list to placement, voters and peers.
func (l *controlLoop) applyMemberChanges() {
	for _, c := range l.machine.Changes() {
		switch c.Kind {
		case membership.ChangeZone:
			l.applyZone(c.Zone, c.Reachable)
		case membership.ChangeRemove:
			l.b.data.forwarder.sequences.remove(c.Record.Addr)
			l.updatePlacement(&c.Record, false)
			l.updateVoter(&c.Record, true)
			l.updatePeer(&c.Record, true)
		case membership.ChangeRecord:
			l.updatePlacement(&c.Record, c.Record.TakesWork())
			l.updateVoter(&c.Record, false)
			l.updatePeer(&c.Record, false)
		}
	}
}

// applyZone excludes all agents of an availability zone from placement, or includes those
// again that take work.
func (l *controlLoop) applyZone(zone string, reachable bool) {
	l.b.log.Info("availability zone reachability changed", zap.String("zone", zone), zap.Bool("reachable", reachable))
	for r := range l.machine.Records() {
		if r.Zone == zone {
			l.updatePlacement(&r, reachable && r.TakesWork())
		}
	}
}

// updatePeer updates the set of balancers to which catalogue messages are sent.
func (l *controlLoop) updatePeer(r *membership.Record, removed bool) {
	if r.Role != membership.RoleBalancer {
		return
	}
	l.peers.set(r.Addr, !removed && r.Verdict != membership.VerdictDead)
}

// updateVoter updates the agent's entry among its service's voters.
func (l *controlLoop) updateVoter(r *membership.Record, removed bool) {
	if r.Role == membership.RoleAgent {
		l.voters.set(r, time.Now(), removed)
	}
}

// updatePlacement includes the agent in placement if takesWork is true, or excludes it.
func (l *controlLoop) updatePlacement(r *membership.Record, takesWork bool) {
	if r.Role != membership.RoleAgent {
		l.b.placer.remove(r.Addr) // the address may have been an agent's before
		return
	}
	if err := l.b.placer.set(r, takesWork); err != nil {
		l.b.log.Error("placement of an agent not updated", zap.Error(err))
		return
	}
	if takesWork {
		l.placedAgents[r.Addr] = struct{}{}
	} else {
		delete(l.placedAgents, r.Addr)
	}
	l.b.agentsReady.Store(int64(len(l.placedAgents)))
	l.b.metrics.agentsReady.Set(float64(len(l.placedAgents)))
	l.b.log.Info("agent", zap.Stringer("agent", r.Addr), zap.Uint32("service", r.Service),
		zap.Stringer("state", r.State), zap.Stringer("verdict", r.Verdict), zap.Uint8("weight", r.Weight), zap.Bool("takes_work", takesWork))
}

// sendMembership sends the machine's outgoing messages.
func (l *controlLoop) sendMembership() {
	for _, e := range l.machine.Outbox() {
		b, err := membership.Encode(e.Msg)
		if err != nil {
			l.b.log.Error("membership message can't be encoded, not sent", zap.Error(err))
			continue
		}
		l.link.SendBytes(seal.TopicMembership, e.To, b)
	}
}
