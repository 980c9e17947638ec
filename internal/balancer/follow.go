package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// followPause is how long to wait after the store failed.
const followPause = 500 * time.Millisecond

// follow is the duty that reads the catalogue from the platform's store and
// waits for its changes.
func (b *Balancer) follow(ctx context.Context) {
	st := store.ForCatalogue(b.cfg.Store)
	for ctx.Err() == nil {
		version := b.loadCatalogue(ctx, st)
		if version > 0 {
			_, err := st.Watch(ctx, catalogue.HeadKey, version)
			if err == nil {
				continue
			}
		}
		select {
		case <-time.After(followPause):
		case <-ctx.Done():
		}
	}
}

func (b *Balancer) loadCatalogue(ctx context.Context, st catalogue.Store) (version uint64) {
	c, _, version, err := catalogue.Load(ctx, st)
	if err != nil {
		b.log.Warn("store not read", zap.Error(err))
		return 0
	}
	b.putCatalogue(c)
	return version
}
