package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Store is what the processes need of the platform's store.
type Store interface {
	store.Interface
	store.Lister
}

// Role is what a process does.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Peer is one process as it introduces itself in the store.
type Peer struct {
	Role    Role           `json:"role"`
	Addr    netip.AddrPort `json:"addr"` // UDP, for the system's own messages
	Zone    string         `json:"zone"`
	Service string         `json:"service,omitempty"` // agents
}

// PeersPrefix begins the keys of all processes.
const PeersPrefix = "hemlock/nodes/"

func (p *Peer) key() string { return PeersPrefix + p.Addr.String() }

// PeerError reports a key that no process has written.
type PeerError struct {
	Key    string
	Reason string
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("key %s: %s; remove it, only processes of this system write under %s", e.Key, e.Reason, PeersPrefix)
}

// parsePeer reads the key of a process. Other programs may write under the same
// prefix: what is not whole, or stands under another address's key, names nobody.
func parsePeer(key string, data []byte) (Peer, error) {
	var p Peer
	if err := json.Unmarshal(data, &p); err != nil {
		return Peer{}, &PeerError{key, err.Error()}
	}
	switch {
	case p.Role != RoleBalancer && p.Role != RoleAgent:
		return Peer{}, &PeerError{key, fmt.Sprintf("role %q is not known", p.Role)}
	case !p.Addr.Addr().Is4() || p.Addr.Port() == 0:
		return Peer{}, &PeerError{key, "no IPv4 address with a port"}
	case p.key() != key:
		return Peer{}, &PeerError{key, "names " + p.Addr.String()}
	case p.Zone == "":
		return Peer{}, &PeerError{key, "no availability zone"}
	case p.Role == RoleAgent && p.Service == "":
		return Peer{}, &PeerError{key, "an agent without a service"}
	}
	return p, nil
}

const (
	// entryLease is how long the key of a process outlives it: longer than most
	// outages of the store and than any restart.
	entryLease = 45 * time.Second
	// renewEvery leaves a lease two more tries before it ends.
	renewEvery = 14 * time.Second
	// listEvery is the time between two looks for processes that did not
	// introduce themselves by a message. Such a read may be stale and costs a
	// tenth of a call.
	listEvery = 5 * time.Second
	// retryBase and retryMax space the repeats of failed calls. Keys have to be back
	// within two seconds of the store's return. Refused calls are priced like others:
	// at 1 s, and 150 ms at a start, an outage for some of 82 processes took a third
	// more calls in a day, 2,070 in place of 1,594.
	retryBase = 200 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// NewWrongKeys returns the counter of keys that no process has written.
func NewWrongKeys(reg prometheus.Registerer) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_store_keys_wrong_total", Help: "keys read in the store that no process of this system has written"})
	reg.MustRegister(c)
	return c
}

// Introducer keeps the key of this process in the store and learns of others.
type Introducer struct {
	Self  Peer
	Store Store
	Found func(peers []Peer) // called with every list, by the introducer's goroutine
	Wrong prometheus.Counter // keys that no process has written, each time they are read
	Log   *zap.Logger

	mu       sync.Mutex // guards lease
	lease    store.LeaseID
	renewAt  time.Time
	readOnce bool // a list was read that can't be stale
	failing  bool
	left     atomic.Bool // the key was taken away for good
}

// Run introduces the process until ctx ends.
func (i *Introducer) Run(ctx context.Context) error {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for {
		wait := listEvery
		err := i.step(ctx)
		i.noteStore(err)
		if err == nil {
			backoff.Reset()
		} else {
			wait = backoff.Next()
		}
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// leaveTimeout bounds the call that takes the own key away.
const leaveTimeout = 300 * time.Millisecond

// Leave takes the own key away: what the store names is asked by every balancer
// that starts, and the flows that it must be sure about wait for the answer. A
// key that stays ends with its lease.
func (i *Introducer) Leave(ctx context.Context) {
	i.left.Store(true)
	lease := i.leaseID()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := i.Store.Revoke(ctx, lease)
	i.Log.Info("key taken away", zap.String("key", i.Self.key()), zap.Error(err))
}

func (i *Introducer) leaseID() store.LeaseID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lease
}

func (i *Introducer) setLease(lease store.LeaseID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease = lease
}

// noteStore logs the store's loss and its return.
func (i *Introducer) noteStore(err error) {
	if failed := err != nil; failed != i.failing {
		i.failing = failed
		if failed {
			i.Log.Warn("store lost", zap.String("duty", "introduce"), zap.Error(err))
		} else {
			i.Log.Info("store regained", zap.String("duty", "introduce"))
		}
	}
}

// step makes the calls that are due. The own key is written before others are
// read: of two processes that start at once, the later one then sees the other.
func (i *Introducer) step(ctx context.Context) error {
	if i.left.Load() {
		return nil
	}
	if i.leaseID() == "" {
		if err := i.enter(ctx); err != nil {
			return err
		}
	}
	if err := i.renew(ctx); err != nil {
		return err
	}
	return i.list(ctx)
}

// enter writes the own key under a new lease.
func (i *Introducer) enter(ctx context.Context) error {
	lease, err := i.Store.Grant(ctx, entryLease)
	if err != nil {
		return err
	}
	data, err := json.Marshal(i.Self)
	if err != nil {
		return err
	}
	if err := i.Store.Put(ctx, i.Self.key(), data, lease); err != nil {
		return err
	}
	i.setLease(lease)
	i.renewAt = time.Now().Add(renewEvery)
	i.Log.Info("introduced", zap.String("key", i.Self.key()), zap.String("lease", string(lease)))
	return nil
}

func (i *Introducer) renew(ctx context.Context) error {
	if time.Now().Before(i.renewAt) {
		return nil
	}
	lease := i.leaseID()
	err := i.Store.Renew(ctx, lease)
	var expired *store.LeaseExpiredError
	if errors.As(err, &expired) {
		i.Log.Warn("lease expired", zap.String("lease", string(lease)))
		i.setLease("")
		return i.enter(ctx)
	}
	if err != nil {
		return err
	}
	i.renewAt = time.Now().Add(renewEvery)
	return nil
}

// list reads the keys of all processes. The first read is never stale.
func (i *Introducer) list(ctx context.Context) error {
	items, err := i.Store.List(ctx, PeersPrefix, i.readOnce)
	if err != nil {
		return err
	}
	own := false
	peers := make([]Peer, 0, len(items))
	var wrong error
	for _, item := range items {
		p, err := parsePeer(item.Key, item.Data)
		if err != nil {
			i.Wrong.Inc()
			wrong = err
			continue
		}
		if p.Addr == i.Self.Addr {
			own = true
			continue
		}
		peers = append(peers, p)
	}
	if wrong != nil {
		i.Log.Warn("key of no process", zap.Error(wrong), zap.Int("processes", len(peers)))
	}
	i.Found(peers)
	i.readOnce = true
	if own {
		return nil
	}
	return i.enterIfMissing(ctx)
}

// enterIfMissing writes the own key again if it is not in the store: the store
// may take keys away without ending their lease. The list that lacks it may be
// from before it was written, so the key itself decides.
func (i *Introducer) enterIfMissing(ctx context.Context) error {
	_, err := i.Store.Get(ctx, i.Self.key())
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		return err
	}
	i.Log.Warn("own key is missing from the store", zap.String("key", i.Self.key()))
	return i.enter(ctx)
}
