package node

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/propagation"
)

// slowSource is a store whose reads last until they are ended.
type slowSource struct{ begun chan struct{} }

func (slowSource) Name() string { return "slow" }

func (s slowSource) Read(ctx context.Context, _ store.Value) (store.Value, error) {
	close(s.begun)
	<-ctx.Done()
	return store.Value{}, &store.UnavailableError{Op: "read", Err: ctx.Err()}
}

func (s slowSource) Watch(ctx context.Context, known store.Value) (store.Value, error) {
	return s.Read(ctx, known)
}

// readThenFetch is a Plan that reads the store once and, once that has begun, takes the
// value from a process.
type readThenFetch struct {
	from  netip.AddrPort
	begun chan struct{}
	ended chan propagation.Outcome

	mu            sync.Mutex
	read, fetched bool
}

func (p *readThenFetch) StoreCall() propagation.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.read {
		return propagation.None
	}
	p.read = true
	return propagation.Read
}

func (p *readThenFetch) StoreCalled(_ propagation.Call, _ time.Time, o propagation.Outcome) {
	p.ended <- o
}

func (p *readThenFetch) Fetch() ([]netip.AddrPort, bool) {
	<-p.begun
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetched {
		return nil, false
	}
	p.fetched = true
	return []netip.AddrPort{p.from}, true
}

func (p *readThenFetch) Receiving() {}
func (p *readThenFetch) Fetched()   {}

// Guards against a thin link that goes on carrying the store's answer when another process
// has sent the value.
func TestReadEndsWhenAnotherProcessHasSentTheValue(t *testing.T) {
	other, addr := serving(t, nil)
	other.take(store.Value{Data: []byte("value"), Version: 2})
	begun := make(chan struct{})
	plan := &readThenFetch{from: addr, begun: begun, ended: make(chan propagation.Outcome, 1)}
	taken := make(chan store.Value, 1)
	f := &Follower{Source: slowSource{begun}, Plan: plan, Due: make(chan struct{}), Log: zap.NewNop(), Changed: func(v store.Value) bool {
		taken <- v
		return true
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	if v := <-taken; string(v.Data) != "value" {
		t.Errorf("took %q", v.Data)
	}
	select {
	case o := <-plan.ended:
		if o != propagation.Overtaken {
			t.Errorf("outcome %v", o)
		}
	case <-time.After(5 * time.Second):
		t.Error("the read goes on")
	}
	cancel()
	<-done
}
