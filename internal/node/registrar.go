package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Store is the part of the platform's store that the processes use.
type Store interface {
	store.Interface
	store.Lister
	store.Prefixed
}

// Role is the role of a process.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// Peer is a process as registered in the store.
type Peer struct {
	Role    Role           `json:"role"`
	Addr    netip.AddrPort `json:"addr"` // UDP, for messages between processes
	Zone    string         `json:"zone"`
	Service string         `json:"service,omitempty"` // agents only
}

// PeersPrefix is the prefix of the keys of all processes.
const PeersPrefix = "hemlock/nodes/"

// rolePrefix returns the prefix of the keys of all processes with a role.
func rolePrefix(r Role) string { return PeersPrefix + string(r) + "/" }

func (p *Peer) key() string { return rolePrefix(p.Role) + p.Addr.String() }

// PeerError reports a key under PeersPrefix whose content no process can have written.
type PeerError struct {
	Key    string
	Reason string
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("key %s is not the registration of a process: %s; remove the key, since only processes of this system may write under %s", e.Key, e.Reason, PeersPrefix)
}

// parsePeer decodes the registration under a key. Other programs may write under the same
// prefix, so it rejects data that is incomplete or belongs to another key. Errors: *PeerError.
func parsePeer(key string, data []byte) (Peer, error) {
	var p Peer
	if err := json.Unmarshal(data, &p); err != nil {
		return Peer{}, &PeerError{key, err.Error()}
	}
	switch {
	case p.Role != RoleBalancer && p.Role != RoleAgent:
		return Peer{}, &PeerError{key, fmt.Sprintf("unknown role %q", p.Role)}
	case !p.Addr.Addr().Is4() || p.Addr.Port() == 0:
		return Peer{}, &PeerError{key, "no IPv4 address with a port"}
	case p.key() != key:
		return Peer{}, &PeerError{key, "the data belongs to " + p.Addr.String()}
	case p.Zone == "":
		return Peer{}, &PeerError{key, "no availability zone"}
	case p.Role == RoleAgent && p.Service == "":
		return Peer{}, &PeerError{key, "agent without a service"}
	}
	return p, nil
}

const (
	// leaseTTL is how long the key of a process stays after the process has failed. It is
	// longer than most outages of the store and than any restart.
	leaseTTL = 45 * time.Second
	// renewInterval is the time between renewals. If one fails, there is time for two more
	// before the lease expires.
	renewInterval = 14 * time.Second
	// listInterval is the time between two lists of the processes' keys, which find processes
	// whose messages did not arrive. It is shorter than the time after which two processes
	// that are cut off from each other remove each other. Such a list may be stale and costs
	// a tenth of a call. A process that starts announces itself by messages.
	listInterval = 15 * time.Second
	// secondListDelay and thirdListDelay are the times from the first to the second and from
	// the second to the third list of a process that has recently started. The first list
	// lacks the processes that started at the same time.
	secondListDelay = time.Second
	thirdListDelay  = 4 * time.Second
	// ownKeyGrace is how long the process's own key may be missing from lists after it was
	// written, since a stale list may be seconds old.
	ownKeyGrace = 5 * time.Second
	// reclaimJitter bounds the random delay between the notice that the store was restored
	// from an older copy and the renewal of the lease. Keys have to be back within two seconds.
	reclaimJitter = 500 * time.Millisecond
	// retryBase and retryMax bound the delay between retries of failed calls. Keys have to be
	// back within two seconds of the store's return, and refused calls cost as much as others:
	// with 1 s, and 150 ms at a start, an outage that affects some of 82 processes
	// causes a third more calls in a day, 2,070 instead of 1,594.
	retryBase = 200 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// NewInvalidKeys registers and returns the counter for Registrar.InvalidKeys.
func NewInvalidKeys(reg prometheus.Registerer) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: "hemlock_store_keys_wrong_total", Help: "keys read from the store that are not the registration of a process"})
	reg.MustRegister(c)
	return c
}

// Registrar keeps the key of this process in the store and lists the keys of other processes.
type Registrar struct {
	Self        Peer
	Store       Store
	PeersListed func(peers []Peer) // called with the other processes of every list, from Run's goroutine
	// StoreRestored, if not nil, is called from Run's goroutine when a response of the store
	// is the first to show that the store was restored from an older copy. version is the
	// lowest version of the new store era.
	StoreRestored func(version uint64)
	InvalidKeys   prometheus.Counter // keys that are no valid registration, counted at every read
	Log           *zap.Logger

	mu           sync.Mutex // guards lease
	lease        store.LeaseID
	renewAt      time.Time
	registeredAt time.Time // when the process's own key was written
	listCount    int       // number of lists read
	listAt       time.Time // when the next list is due
	storeFailing bool
	deregistered atomic.Bool   // Deregister was called: the key is not written again
	latestEra    atomic.Uint64 // latest store era observed by any process

	initLeaseCheck sync.Once
	leaseCheck     chan struct{} // signalled when the store may have lost the process's own key; see leaseCheckDue
}

// Run keeps the process registered until ctx ends.
func (i *Registrar) Run(ctx context.Context) error {
	backoff := store.Backoff{Base: retryBase, Max: retryMax}
	for {
		err := i.step(ctx)
		i.logStoreState(err)
		wait := time.Until(i.nextCallAt())
		if err == nil {
			backoff.Reset()
		} else {
			wait = backoff.Next()
		}
		i.pause(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pause waits for d, or until the store may have lost the process's own key. In that case the
// lease is renewed after a random delay, which shows whether the key is lost. The delay
// spreads the calls of the processes, which are notified at the same moment.
func (i *Registrar) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	case <-i.leaseCheckDue():
		sleep(ctx, rand.N(reclaimJitter))
		i.renewAt = time.Time{}
	}
}

// leaseCheckDue returns the channel that requests an early renewal. It is created on first
// use, since messages of other processes may arrive before Run is called.
func (i *Registrar) leaseCheckDue() chan struct{} {
	i.initLeaseCheck.Do(func() { i.leaseCheck = make(chan struct{}, 1) })
	return i.leaseCheck
}

// ObserveVersion records the version of a value that any process has read from the store. If
// it is of a later store era than the lease, the store was restored from an older copy and
// may lack this process's key, so the lease is renewed soon. The next regular renewal would
// detect the loss up to 14 s later, and processes that start until then would not find this
// process.
func (i *Registrar) ObserveVersion(version uint64) {
	era := store.EraOf(version)
	if uint64(era) <= i.latestEra.Load() {
		return
	}
	i.latestEra.Store(uint64(era))
	if i.fromEarlierEra(i.leaseID()) {
		signal(i.leaseCheckDue())
	}
}

// observeItems records the store era of a response of the store to this process, which is
// that of the highest version among its items.
func (i *Registrar) observeItems(items []store.Item) {
	latest := uint64(0)
	for n := range items {
		latest = max(latest, items[n].Version)
	}
	i.observeOwnEra(store.EraOf(latest))
}

// observeOwnEra records the store era of a response of the store to this process. A new era
// is announced to the other processes: in an idle fleet no other process may call the store
// for a second or two, and by then their keys have to be back.
func (i *Registrar) observeOwnEra(era store.Era) {
	if uint64(era) <= i.latestEra.Load() {
		return
	}
	first := store.VersionAt(era, 0)
	i.ObserveVersion(first)
	if i.StoreRestored != nil {
		i.StoreRestored(first)
	}
}

// fromEarlierEra reports whether a lease is of an earlier store era than the latest observed.
func (i *Registrar) fromEarlierEra(lease store.LeaseID) bool {
	era, _, ok := lease.Split()
	return ok && uint64(era) < i.latestEra.Load()
}

// nextCallAt returns when the next call is due.
func (i *Registrar) nextCallAt() time.Time {
	if i.renewAt.Before(i.listAt) {
		return i.renewAt
	}
	return i.listAt
}

// revokeTimeout bounds the time that Deregister takes.
const revokeTimeout = 300 * time.Millisecond

// Deregister removes this process's key from the store. Every balancer that starts queries
// all registered agents, and flows whose agent is not known yet wait for all responses. If
// the removal fails, the key expires with its lease.
func (i *Registrar) Deregister(ctx context.Context) {
	i.deregistered.Store(true)
	lease := i.leaseID()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := i.revoke(ctx, lease)
	i.Log.Info("deregistration from the store finished", zap.String("key", i.Self.key()), zap.Error(err))
}

// revoke revokes the lease of the process's own key. A lease ID of an earlier store era may
// belong to another process by now, so the current one is read from the key.
func (i *Registrar) revoke(ctx context.Context, lease store.LeaseID) error {
	if i.fromEarlierEra(lease) {
		own, err := i.ownKey(ctx, false)
		if err != nil || own == nil {
			return err
		}
		lease = own.Lease
	}
	return i.Store.Revoke(ctx, lease)
}

func (i *Registrar) leaseID() store.LeaseID {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lease
}

func (i *Registrar) setLease(lease store.LeaseID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease = lease
}

// logStoreState logs when calls to the store begin to fail and when they succeed again.
func (i *Registrar) logStoreState(err error) {
	if failed := err != nil; failed != i.storeFailing {
		i.storeFailing = failed
		if failed {
			i.Log.Warn("store not available, retrying", zap.String("task", "registration"), zap.Error(err))
		} else {
			i.Log.Info("store available again", zap.String("task", "registration"))
		}
	}
}

// step makes the calls that are due. The process writes its own key before it lists the
// others. Of two processes that start at the same time, at least the later one then finds
// the other.
func (i *Registrar) step(ctx context.Context) error {
	if i.deregistered.Load() {
		i.renewAt, i.listAt = time.Now().Add(listInterval), time.Now().Add(listInterval)
		return nil
	}
	if err := i.ensureLease(ctx); err != nil {
		return err
	}
	if time.Now().Before(i.listAt) {
		return nil
	}
	return i.list(ctx)
}

// ensureLease renews the lease of the process's own key, or registers the process if it has
// no lease.
func (i *Registrar) ensureLease(ctx context.Context) error {
	if i.leaseID() != "" {
		return i.renew(ctx)
	}
	own, err := i.ownKey(ctx, true)
	if err != nil {
		return err
	}
	return i.takeOverOrRegister(ctx, own)
}

// register writes the process's own key under a new lease.
func (i *Registrar) register(ctx context.Context) error {
	lease, err := i.Store.Grant(ctx, leaseTTL)
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
	if era, _, ok := lease.Split(); ok {
		i.observeOwnEra(era)
	}
	i.registeredAt = time.Now()
	i.renewAt = i.registeredAt.Add(renewInterval)
	i.Log.Info("introduced", zap.String("key", i.Self.key()), zap.String("lease", string(lease)))
	return nil
}

func (i *Registrar) renew(ctx context.Context) error {
	if time.Now().Before(i.renewAt) {
		return nil
	}
	lease := i.leaseID()
	err := i.Store.Renew(ctx, lease)
	var expired *store.LeaseExpiredError
	var restored *store.RestoredError
	switch {
	case errors.As(err, &expired):
		i.Log.Warn("lease of own key expired, registering again", zap.String("lease", string(lease)))
		i.setLease("")
		return i.register(ctx)
	case errors.As(err, &restored):
		return i.reclaim(ctx, lease)
	case err != nil:
		return err
	}
	i.renewAt = time.Now().Add(renewInterval)
	return nil
}

// reclaim reads the process's own key after the store was restored from an older copy, which
// may lack the key. If the key is there, its lease is taken over: one read and one renewal
// instead of two writes, for every process of the fleet at once. A stale read might show the
// key as it was before the restore, so the read is not stale.
func (i *Registrar) reclaim(ctx context.Context, lease store.LeaseID) error {
	own, err := i.ownKey(ctx, false)
	if err != nil {
		return err
	}
	i.Log.Warn("store was restored from an older copy", zap.String("key", i.Self.key()), zap.String("lease", string(lease)), zap.Bool("key_kept", own != nil))
	i.setLease("")
	return i.takeOverOrRegister(ctx, own)
}

// list reads the keys of other processes and checks that the own key is in the store.
func (i *Registrar) list(ctx context.Context) error {
	// A balancer's first list is not stale, because after a start of the whole fleet the
	// balancer assumes that its agents are all agents that exist.
	stale := i.listCount > 0 || i.Self.Role == RoleAgent
	items, err := i.Store.List(ctx, i.listPrefix(), stale)
	if err != nil {
		return err
	}
	i.observeItems(items)
	i.PeersListed(i.parsePeers(items))
	if err := i.checkOwnKey(ctx); err != nil {
		return err
	}
	i.listCount++
	i.listAt = time.Now().Add(i.untilNextList())
	return nil
}

// listPrefix returns the prefix of the keys that this process lists: balancers list all
// processes, agents only balancers.
func (i *Registrar) listPrefix() string {
	if i.Self.Role == RoleAgent {
		return rolePrefix(RoleBalancer)
	}
	return PeersPrefix
}

// untilNextList returns the delay until the next list.
func (i *Registrar) untilNextList() time.Duration {
	switch i.listCount {
	case 1:
		return secondListDelay
	case 2:
		return thirdListDelay
	}
	return listInterval
}

// parsePeers returns the other processes that are registered in items. It counts and logs
// invalid keys.
func (i *Registrar) parsePeers(items []store.Item) []Peer {
	peers := make([]Peer, 0, len(items))
	var wrong error
	for _, item := range items {
		p, err := parsePeer(item.Key, item.Data)
		if err != nil {
			i.InvalidKeys.Inc()
			wrong = err
			continue
		}
		if p.Addr != i.Self.Addr {
			peers = append(peers, p)
		}
	}
	if wrong != nil {
		i.Log.Warn("ignored invalid keys among the registered processes", zap.Error(wrong), zap.Int("processes", len(peers)))
	}
	return peers
}

// ownKey returns the process's own key, nil if it is not in the store. A stale read costs a
// tenth of a call and may return the key as it was seconds ago.
func (i *Registrar) ownKey(ctx context.Context, stale bool) (*store.Item, error) {
	items, err := i.Store.List(ctx, i.Self.key(), stale)
	if err != nil {
		return nil, err
	}
	i.observeItems(items)
	for n := range items {
		if p, err := parsePeer(items[n].Key, items[n].Data); err == nil && p == i.Self {
			return &items[n], nil
		}
	}
	return nil, nil
}

// takeOverOrRegister takes over the lease of the process's own key if an earlier process at
// this address has left it in the store, and otherwise writes the key under a new lease. A
// renewal costs a twentieth of the two calls for a new lease and key, which every process of
// the fleet would make after a power failure of all VMs.
func (i *Registrar) takeOverOrRegister(ctx context.Context, own *store.Item) error {
	if own == nil || own.Lease == "" {
		return i.register(ctx)
	}
	i.setLease(own.Lease)
	i.renewAt = time.Time{}
	return i.renew(ctx)
}

// checkOwnKey registers the process again if its key is missing: the store may remove keys
// without ending their leases. It skips the check for ownKeyGrace after the key was written,
// since a stale read may lack the key.
func (i *Registrar) checkOwnKey(ctx context.Context) error {
	if time.Since(i.registeredAt) < ownKeyGrace {
		return nil
	}
	own, err := i.ownKey(ctx, true)
	if err != nil || own != nil {
		return err
	}
	return i.registerIfMissing(ctx)
}

// registerIfMissing registers the process again if a read that is not stale shows that its
// key is missing. The stale read before it may predate the key.
func (i *Registrar) registerIfMissing(ctx context.Context) error {
	_, err := i.Store.Get(ctx, i.Self.key())
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		return err
	}
	i.Log.Warn("own key is missing from the store, registering again", zap.String("key", i.Self.key()))
	return i.register(ctx)
}
