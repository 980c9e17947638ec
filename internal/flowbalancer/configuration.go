package flowbalancer

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/propagation"
)

// propagate sends a digest of the operator's orders to other balancers if one is due, and
// wakes the follower if a call or fetch may be due.
func (b *Balancer) propagate(out *node.Output) {
	now := node.Now()
	b.mu.Lock()
	b.propagator.ObserveRevision(now, b.director.NewestOrders())
	b.director.StoreRead(b.propagator.ReadAt())
	digest, send := b.propagator.NextDigest(now)
	var to []netip.AddrPort
	if send {
		to = b.director.SampleBalancers(now, propagation.Fanout)
	}
	due := b.propagator.Due(now)
	isWatcher := b.propagator.IsWatcher()
	b.mu.Unlock()
	if b.loggedWatcher.Swap(isWatcher) != isWatcher {
		b.log.Info("role as watcher of the store changed", zap.Bool("watcher", isWatcher), zap.Uint64("latest_read", digest.Read.Number))
	}
	for _, addr := range to {
		out.Add([]flow.Effect{digestMessage(addr, digest, now)})
	}
	out.Flush()
	if !due {
		return
	}
	select {
	case b.followerDue <- struct{}{}:
	default:
	}
}

// digestMessage returns the message that carries a digest to another balancer.
func digestMessage(to netip.AddrPort, d propagation.Digest, now time.Time) flow.Effect {
	return flow.Effect{Kind: flow.SendMessage, To: to, Message: flow.Message{
		Kind: flow.Configured, Revision: d.Revision, ReadAge: flow.AgeOf(now, d.Read.At), Incarnation: d.Read.Reader,
	}, Packet: appendDigestNumbers(nil, d)}
}

// digestNumbersSize is the size in bytes of the data after a digest's message: the number
// of the read and the number of the configuration, both little-endian.
const digestNumbersSize = 16

func appendDigestNumbers(b []byte, d propagation.Digest) []byte {
	b = binary.LittleEndian.AppendUint64(b, d.Read.Number)
	return binary.LittleEndian.AppendUint64(b, d.Content)
}

// receiveDigest processes another balancer's digest of the operator's orders and adds the
// answer, if any, to out. A message without the two numbers does not come from a balancer
// and is ignored. The caller holds b.mu.
func (b *Balancer) receiveDigest(now time.Time, from netip.AddrPort, m *flow.Message, numbers []byte, out *node.Output) {
	if len(numbers) != digestNumbersSize {
		return
	}
	read := propagation.ReadMark{Number: binary.LittleEndian.Uint64(numbers), At: flow.ReadAt(now, m.ReadAge), Reader: m.Incarnation}
	d := propagation.Digest{Revision: m.Revision, Content: binary.LittleEndian.Uint64(numbers[8:]), Read: read}
	if answer, ok := b.propagator.Receive(now, from, d); ok {
		out.Add([]flow.Effect{digestMessage(from, answer, now)})
	}
}

// followerPlan decides for the follower which calls and fetches are due.
type followerPlan struct{ b *Balancer }

// StoreCall implements node.Plan.
func (p followerPlan) StoreCall() propagation.Call {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	now := node.Now()
	c := p.b.propagator.StoreCall(now)
	if c != propagation.None {
		p.b.propagator.CallStarted(now, c)
	}
	return c
}

// StoreCalled implements node.Plan.
func (p followerPlan) StoreCalled(c propagation.Call, begun time.Time, o propagation.Outcome) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.propagator.CallDone(node.Now(), c, begun, o)
}

// Fetch implements node.Plan.
func (p followerPlan) Fetch() (from []netip.AddrPort, ok bool) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	now := node.Now()
	source, ok := p.b.propagator.Fetch(now)
	if !ok {
		return nil, false
	}
	to := []netip.AddrPort{source}
	if !source.IsValid() {
		to = p.b.director.SampleBalancers(now, node.MaxParallelRequests)
	}
	if len(to) == 0 {
		return nil, false // no other balancer is known yet
	}
	p.b.propagator.FetchStarted(now)
	return to, true
}

// Receiving implements node.Plan.
func (p followerPlan) Receiving() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.propagator.FetchReceiving()
}

// Fetched implements node.Plan.
func (p followerPlan) Fetched() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.propagator.FetchDone()
}

// newFollower returns the follower that keeps the operator's orders up to date.
func (b *Balancer) newFollower() *node.Follower {
	source := &node.OrdersSource{Store: b.cfg.Store, Keys: b.cfg.Orders}
	return &node.Follower{Source: source, Plan: followerPlan{b}, Changed: b.applyOrders, Due: b.followerDue, Log: b.log}
}

func (b *Balancer) addFollower(g *run.Group) {
	g.Add(func() error { return b.follower.Run(b.ctx) }, func(error) { b.cancel() })
}

// addOrdersServer serves the operator's orders to other balancers.
func (b *Balancer) addOrdersServer(g *run.Group) {
	s := &http.Server{Handler: node.ValueHandler(b.follower), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(s.Serve(b.ordersListener)) }, func(error) { s.Close() })
}

// applyOrders puts the operator's orders in force, unless those in force are as new or newer. It
// reports whether they were decoded and this balancer has routes.
func (b *Balancer) applyOrders(v store.Value) bool {
	start := node.Now()
	b.registrar.ObserveVersion(v.Version)
	o, err := node.DecodeOrders(v.Data)
	if err != nil {
		b.log.Error("operator's orders can't be decoded; the previous ones stay in force", zap.Error(err))
		return false
	}
	routes := b.parseRoutes(o.Configuration)
	b.mu.Lock()
	previous := b.director.Routes()
	restored := b.observeEra(start, v.Version)
	inForce := b.director.SetOrders(start, flow.NewOrders(v.Version, routes, o.Evacuated))
	if inForce {
		b.propagator.Applied(node.Now(), v.Version)
	}
	if routes == nil {
		routes = b.director.Routes()
	}
	if routes != nil {
		b.propagator.ContentApplied(node.Now(), routes.Revision)
	}
	b.mu.Unlock()
	if restored {
		b.wake()
	}
	if routes == nil {
		return false
	}
	if after, first := b.readiness.Reached(); first {
		b.log.Info("ready", zap.Duration("after", after))
	}
	if previous == nil || routes.Revision != previous.Revision {
		b.log.Info("configuration", zap.Uint64("revision", routes.Revision), zap.Bool("in_force", inForce), zap.Int("routes", routes.Len()), zap.Int("bytes", len(o.Configuration)), node.VersionField("orders", v.Version), zap.Duration("took", node.Now().Sub(start)))
	}
	b.logEvacuations(v.Version, inForce, o.Evacuated)
	b.lastOrders = o
	return true
}

// observeEra records the store era of the orders that are being put in force. It reports
// whether they are the first orders read after the store was restored from an older copy.
// The caller holds b.mu.
func (b *Balancer) observeEra(now time.Time, version uint64) bool {
	era := store.EraOf(version)
	if era <= b.era {
		return false
	}
	b.era = era
	b.director.StoreRestored(now, store.VersionAt(era, 0))
	return true
}

// parseRoutes decodes a configuration. It returns nil if the configuration equals the one
// decoded last or can't be decoded; the routes in force then stay.
func (b *Balancer) parseRoutes(configuration []byte) *flow.Routes {
	if bytes.Equal(configuration, b.lastOrders.Configuration) {
		return nil
	}
	routes, errs := b.cfg.ParseConfig(configuration)
	for _, err := range errs {
		b.log.Error("configuration or a part of it can't be decoded and is ignored", zap.Error(err))
	}
	return routes
}

// logEvacuations logs the evacuated availability zones if they have changed, and warns of
// zones that the settings do not name. Such a zone has no agents: its name may be mistyped,
// and the operator would wait for an evacuation that never happens.
func (b *Balancer) logEvacuations(number uint64, inForce bool, zones []string) {
	if slices.Equal(zones, b.lastOrders.Evacuated) {
		return
	}
	b.log.Info("evacuated zones changed", zap.Strings("zones", zones), zap.Strings("before", b.lastOrders.Evacuated), node.VersionField("orders", number), zap.Bool("in_force", inForce))
	known := b.cfg.Settings.Zones
	for _, zone := range zones {
		if _, ok := known[zone]; !ok && len(known) > 0 {
			b.log.Warn("an evacuated zone is not among those of the settings; check its name in the store", zap.String("zone", zone))
		}
	}
}
