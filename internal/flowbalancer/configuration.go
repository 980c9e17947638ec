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

// propagate does what is due for the operator's orders: digests are sent, and the follower
// is woken if it may have something to do.
func (b *Balancer) propagate(out *node.Output) {
	now := node.Now()
	b.mu.Lock()
	b.plan.ObserveRevision(now, b.director.NewestOrders())
	b.director.StoreRead(b.plan.ReadAt())
	digest, send := b.plan.NextDigest(now)
	var to []netip.AddrPort
	if send {
		to = b.director.SampleBalancers(now, propagation.Fanout)
	}
	due := b.plan.Due(now)
	watches := b.plan.IsWatcher()
	b.mu.Unlock()
	if b.watches.Swap(watches) != watches {
		b.log.Info("watch of the store", zap.Bool("for_all", watches), zap.Uint64("read", digest.Read.Number))
	}
	for _, addr := range to {
		out.Add([]flow.Effect{digestMessage(addr, digest, now)})
	}
	out.Flush()
	if !due {
		return
	}
	select {
	case b.due <- struct{}{}:
	default:
	}
}

// digestMessage returns the message that carries a digest to another balancer.
func digestMessage(to netip.AddrPort, d propagation.Digest, now time.Time) flow.Effect {
	return flow.Effect{Kind: flow.SendMessage, To: to, Message: flow.Message{
		Kind: flow.Configured, Revision: d.Revision, ReadAge: flow.AgeOf(now, d.Read.At), Incarnation: d.Read.Reader,
	}, Packet: appendNumbers(nil, d)}
}

// numbersSize is the length of what follows the message, in bytes: the number of the read,
// and that of the configuration.
const numbersSize = 16

func appendNumbers(b []byte, d propagation.Digest) []byte {
	b = binary.LittleEndian.AppendUint64(b, d.Read.Number)
	return binary.LittleEndian.AppendUint64(b, d.Content)
}

// onDigest takes another balancer's digest of the operator's orders, with b.mu held, and
// adds the answer to out. A message without its numbers is not one of this system.
func (b *Balancer) onDigest(now time.Time, from netip.AddrPort, m *flow.Message, numbers []byte, out *node.Output) {
	if len(numbers) != numbersSize {
		return
	}
	read := propagation.ReadMark{Number: binary.LittleEndian.Uint64(numbers), At: flow.ReadAt(now, m.ReadAge), Reader: m.Incarnation}
	d := propagation.Digest{Revision: m.Revision, Content: binary.LittleEndian.Uint64(numbers[8:]), Read: read}
	if answer, ok := b.plan.Receive(now, from, d); ok {
		out.Add([]flow.Effect{digestMessage(from, answer, now)})
	}
}

// plan lets the follower ask what to do.
type plan struct{ b *Balancer }

// StoreCall implements node.Plan.
func (p plan) StoreCall() propagation.Call {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	now := node.Now()
	c := p.b.plan.StoreCall(now)
	if c != propagation.None {
		p.b.plan.CallStarted(now, c)
	}
	return c
}

// StoreCalled implements node.Plan.
func (p plan) StoreCalled(c propagation.Call, begun time.Time, o propagation.Outcome) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.plan.CallDone(node.Now(), c, begun, o)
}

// Fetch implements node.Plan.
func (p plan) Fetch() (from []netip.AddrPort, ok bool) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	now := node.Now()
	source, ok := p.b.plan.Fetch(now)
	if !ok {
		return nil, false
	}
	to := []netip.AddrPort{source}
	if !source.IsValid() {
		to = p.b.director.SampleBalancers(now, node.MaxParallelRequests)
	}
	if len(to) == 0 {
		return nil, false // nobody is known yet
	}
	p.b.plan.FetchStarted(now)
	return to, true
}

// Receiving implements node.Plan.
func (p plan) Receiving() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.plan.FetchReceiving()
}

// Fetched implements node.Plan.
func (p plan) Fetched() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.plan.FetchDone()
}

// newFollower returns what follows the operator's orders.
func (b *Balancer) newFollower() *node.Follower {
	source := &node.OrdersSource{Store: b.cfg.Store, Keys: b.cfg.Orders}
	return &node.Follower{Source: source, Plan: plan{b}, Changed: b.takeOrders, Due: b.due, Log: b.log}
}

func (b *Balancer) addFollower(g *run.Group) {
	g.Add(func() error { return b.follower.Run(b.ctx) }, func(error) { b.cancel() })
}

// addShared serves the operator's orders to other balancers.
func (b *Balancer) addShared(g *run.Group) {
	s := &http.Server{Handler: node.ValueHandler(b.follower), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(s.Serve(b.shared)) }, func(error) { s.Close() })
}

// takeOrders puts the operator's orders in force and reports whether they could be read.
func (b *Balancer) takeOrders(v store.Value) bool {
	start := node.Now()
	b.introducer.ObserveVersion(v.Version)
	o, err := node.DecodeOrders(v.Data)
	if err != nil {
		b.log.Error("orders refused", zap.Error(err))
		return false
	}
	routes := b.routesOf(o.Configuration)
	b.mu.Lock()
	configured := b.director.Routes()
	restored := b.noteEra(start, v.Version)
	taken := b.director.SetOrders(start, flow.NewOrders(v.Version, routes, o.Evacuated))
	if taken {
		b.plan.Applied(node.Now(), v.Version)
	}
	if routes == nil {
		routes = b.director.Routes()
	}
	if routes != nil {
		b.plan.ContentApplied(node.Now(), routes.Revision)
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
	if configured == nil || routes.Revision != configured.Revision {
		b.log.Info("configuration", zap.Uint64("revision", routes.Revision), zap.Bool("in_force", taken), zap.Int("routes", routes.Len()), zap.Int("bytes", len(o.Configuration)), node.VersionField("orders", v.Version), zap.Duration("took", node.Now().Sub(start)))
	}
	b.logEvacuations(v.Version, taken, o.Evacuated)
	b.inForce = o
	return true
}

// noteEra takes the version of the orders that are being put in force, with b.mu held. It
// reports whether they are the first that were read after the store came back from an older
// copy.
func (b *Balancer) noteEra(now time.Time, version uint64) bool {
	era := store.EraOf(version)
	if era <= b.era {
		return false
	}
	b.era = era
	b.director.StoreRestored(now, store.VersionAt(era, 0))
	return true
}

// routesOf reads a configuration. It returns nil for the one that was read last, and for
// one that can't be read: the routes in force stay.
func (b *Balancer) routesOf(configuration []byte) *flow.Routes {
	if bytes.Equal(configuration, b.inForce.Configuration) {
		return nil
	}
	routes, errs := b.cfg.ParseConfig(configuration)
	for _, err := range errs {
		b.log.Error("configuration refused in part", zap.Error(err))
	}
	return routes
}

// logEvacuations writes a line if other availability zones are evacuated than before. A
// zone that the settings do not name has no agents: its name may be mistyped, and the
// operator would wait for nothing.
func (b *Balancer) logEvacuations(number uint64, taken bool, zones []string) {
	if slices.Equal(zones, b.inForce.Evacuated) {
		return
	}
	b.log.Info("evacuated zones", zap.Strings("zones", zones), zap.Strings("before", b.inForce.Evacuated), node.VersionField("orders", number), zap.Bool("in_force", taken))
	known := b.cfg.Settings.Zones
	for _, zone := range zones {
		if _, ok := known[zone]; !ok && len(known) > 0 {
			b.log.Warn("an evacuated zone is not among those of the settings; check its name in the store", zap.String("zone", zone))
		}
	}
}
