package flowbalancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// lookIfDue has the configuration read if somebody spoke of a newer one, or if
// nobody is known to have read it lately: a watch that hears nothing looks like
// one that has nothing to tell, and neither the store nor a connection need
// say that it is deaf.
func (b *Balancer) lookIfDue(now time.Time) {
	b.mu.Lock()
	due := b.lookDue(now)
	b.mu.Unlock()
	if !due {
		return
	}
	select {
	case b.look <- struct{}{}:
	default:
	}
}

// lookDue reports whether a look is due, with b.mu held. Balancers draw the age
// that they bear for each read that they hear of, so that mostly one of them
// reads for all.
func (b *Balancer) lookDue(now time.Time) bool {
	d := b.director
	if d.Routes() == nil || now.Sub(b.lookAt) < lookEvery {
		return false
	}
	if at := d.ReadAt(); at != b.readAt {
		b.readAt = at
		b.lookAfter = lookAfterMin + rand.N(lookAfterSpan)
	}
	if !d.Behind() && now.Sub(b.readAt) < b.lookAfter {
		return false
	}
	b.lookAt = now
	return true
}

// newFollower returns what follows the configuration in the store, and asks
// other balancers for it while the store does not answer.
func (b *Balancer) newFollower() *node.Follower {
	others := node.NewValueClient()
	return &node.Follower{
		Key: b.cfg.ConfigKey, Store: b.cfg.Store,
		Changed: b.configure, Confirmed: b.confirm, Look: b.look,
		Others: func(ctx context.Context) (store.Value, error) { return others.Ask(ctx, b.others()) },
		Behind: b.behind,
		Log:    b.log,
	}
}

func (b *Balancer) others() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.director.Balancers()
}

func (b *Balancer) behind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.director.Behind()
}

func (b *Balancer) addFollower(g *run.Group) {
	g.Add(func() error { return b.follower.Run(b.ctx) }, func(error) { b.cancel() })
}

// addShared serves the configuration to other balancers.
func (b *Balancer) addShared(g *run.Group) {
	s := &http.Server{Handler: node.ValuePage(b.follower), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return node.IgnoreServerClosed(s.Serve(b.shared)) }, func(error) { s.Close() })
}

func (b *Balancer) confirm(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.director.Confirm(at)
}

// configure puts a configuration in force and reports whether it could be read.
func (b *Balancer) configure(data []byte) bool {
	start := node.Now()
	routes, errs := b.cfg.ParseConfig(data)
	for _, err := range errs {
		b.log.Error("configuration refused in part", zap.Error(err))
	}
	if routes == nil {
		return false
	}
	b.mu.Lock()
	taken := b.director.SetRoutes(routes)
	b.mu.Unlock()
	if after, first := b.readiness.Reached(); first {
		b.log.Info("ready", zap.Duration("after", after))
	}
	b.log.Info("configuration", zap.Uint64("revision", routes.Revision), zap.Bool("in_force", taken), zap.Int("routes", routes.Len()), zap.Duration("took", node.Now().Sub(start)))
	return true
}
